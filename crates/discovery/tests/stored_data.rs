//! The drain record that the version before (commit 64fb5b4) left is read, kept to, and written as it would.

use mountshift_discovery::{DrainRecord, ListEntry, ListHeader, ParsedDrainRecord, Phase};

const TEXT: &str = include_str!("../../relay/tests/fixtures/64fb5b4/leaving");
/// When the fixture's drain was told, by which discovery and at which of its revisions.
const TOLD_MS: u64 = 1_796_189_815_197;
const SOURCE: &str = "127.0.0.1:39973";
const REVISION: u64 = 3;

/// The phase of `e11-draining` after a list that says it is ready.
fn after_ready(source: &str, revision: u64, is_full: bool, up_since_ms: u64) -> Phase {
    let ParsedDrainRecord { mut record, unreadable_lines } = DrainRecord::from_text(TEXT);
    assert_eq!((record.len(), unreadable_lines), (1, 0));
    let list = ListHeader { source, revision, is_full, now_ms: TOLD_MS + 5_000 };
    let entry = ListEntry { id: "e11-draining", phase: Phase::Ready, up_since_ms };
    record.apply(&list, &[entry]).phases[0]
}

#[test]
fn a_drain_recorded_by_the_version_before_is_kept_until_it_is_newly_listed() {
    // The revision, the source and the time of the record are read: each decides one of these.
    assert_eq!(after_ready(SOURCE, REVISION, true, 0), Phase::Draining);
    assert_eq!(after_ready(SOURCE, REVISION + 1, true, 0), Phase::Ready);
    assert_eq!(after_ready("127.0.0.1:1", REVISION + 1, true, 0), Phase::Draining);
    assert_eq!(after_ready(SOURCE, REVISION, true, TOLD_MS), Phase::Draining);
    assert_eq!(after_ready(SOURCE, REVISION, true, TOLD_MS + 1), Phase::Ready);
}

// So the version before can read what this one writes.
#[test]
fn the_drain_record_is_written_as_the_version_before_wrote_it() {
    let mut record = DrainRecord::from_text(TEXT).record;
    let list = ListHeader { source: SOURCE, revision: 4, is_full: false, now_ms: TOLD_MS - 1 };
    record.apply(&list, &[ListEntry { id: "other", phase: Phase::Draining, up_since_ms: 0 }]);
    let expected = format!("{TEXT}other {} 4 {SOURCE}\n", TOLD_MS - 1);
    assert_eq!(record.text_if_changed(10_000), Some(expected));
}
