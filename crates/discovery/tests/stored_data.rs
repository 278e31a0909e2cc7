//! Compatibility with the drain record of the previous version (commit 64fb5b4), in both directions.

use mountshift_discovery::{DrainRecord, ListEntry, ListHeader, ParsedDrainRecord, Phase};

const TEXT: &str = include_str!("../../relay/tests/fixtures/64fb5b4/leaving");
/// Time of the fixture's drain.
const DRAINED_MS: u64 = 1_796_189_815_197;
/// Discovery service that listed the drain.
const SOURCE: &str = "127.0.0.1:39973";
/// Revision of the list with the drain.
const REVISION: u64 = 3;

/// Returns the phase of `e11-draining` after a list that shows it as ready.
fn after_ready(source: &str, revision: u64, is_full: bool, up_since_ms: u64) -> Phase {
    let ParsedDrainRecord { mut record, unreadable_lines } = DrainRecord::from_text(TEXT);
    assert_eq!((record.len(), unreadable_lines), (1, 0));
    let list = ListHeader { source, revision, is_full, now_ms: DRAINED_MS + 5_000 };
    let entry = ListEntry { id: "e11-draining", phase: Phase::Ready, up_since_ms };
    record.apply(&list, &[entry]).phases[0]
}

#[test]
fn drain_recorded_by_the_previous_version_lasts_until_a_newer_list() {
    // Each of the record's revision, source and time decides at least one of these results.
    assert_eq!(after_ready(SOURCE, REVISION, true, 0), Phase::Draining);
    assert_eq!(after_ready(SOURCE, REVISION + 1, true, 0), Phase::Ready);
    assert_eq!(after_ready("127.0.0.1:1", REVISION + 1, true, 0), Phase::Draining);
    assert_eq!(after_ready(SOURCE, REVISION, true, DRAINED_MS), Phase::Draining);
    assert_eq!(after_ready(SOURCE, REVISION, true, DRAINED_MS + 1), Phase::Ready);
}

// Guarantees that the previous version can read the records of this one.
#[test]
fn writes_the_drain_record_as_the_previous_version() {
    let mut record = DrainRecord::from_text(TEXT).record;
    let list = ListHeader { source: SOURCE, revision: 4, is_full: false, now_ms: DRAINED_MS - 1 };
    record.apply(&list, &[ListEntry { id: "other", phase: Phase::Draining, up_since_ms: 0 }]);
    let expected = format!("{TEXT}other {} 4 {SOURCE}\n", DRAINED_MS - 1);
    assert_eq!(record.text_if_changed(10_000), Some(expected));
}
