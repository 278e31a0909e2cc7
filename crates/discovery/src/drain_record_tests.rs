use super::*;

const A: &str = "10.2.0.1:8500";
const B: &str = "10.2.0.1:8501";

fn list(source: &str, revision: u64, is_full: bool) -> ListHeader<'_> {
    ListHeader { source, revision, is_full, now_ms: 1_000 * revision }
}

fn entry(id: &str, phase: Phase) -> ListEntry<'_> {
    ListEntry { id, phase, up_since_ms: 0 }
}

fn apply(record: &mut DrainRecord, list: &ListHeader, entries: &[ListEntry]) -> Vec<Phase> {
    record.apply(list, entries).phases
}

use Phase::{Draining, Gone, Ready};

/// Returns a record in which `x` was listed as draining at revision 7 of A.
fn drained_x() -> DrainRecord {
    let mut record = DrainRecord::default();
    assert_eq!(
        apply(&mut record, &list(A, 5, true), &[entry("x", Ready), entry("y", Ready)]),
        [Ready, Ready]
    );
    assert_eq!(apply(&mut record, &list(A, 7, false), &[entry("x", Draining)]), [Draining]);
    record
}

#[test]
fn drained_endpoint_stays_drained_until_a_newer_list_shows_it_as_ready() {
    for (source, revision, is_full, expected) in [
        (A, 5, true, Draining),  // a stale full list
        (A, 7, true, Draining),  // the same list again
        (A, 6, false, Draining), // a stale change
        (A, 8, false, Ready),    // a newer change
        (A, 8, true, Ready),     // a newer full list
        (B, 3, true, Draining),  // a full list of another source, which may be old
        (B, 90, true, Draining), // revisions of two sources can't be compared
        (B, 3, false, Ready),    // a list of changes of another source
    ] {
        let phases = apply(&mut drained_x(), &list(source, revision, is_full), &[entry("x", Ready)]);
        assert_eq!(phases, [expected], "{source} {revision} {is_full}");
    }
}

#[test]
fn endpoint_started_after_its_drain_is_ready() {
    let mut record = drained_x();
    let old = ListEntry { id: "x", phase: Ready, up_since_ms: 6_999 };
    assert_eq!(
        record.apply(&list(B, 3, true), &[old]),
        EffectivePhases { phases: vec![Draining], overridden_ready_count: 1 }
    );
    let new = ListEntry { id: "x", phase: Ready, up_since_ms: 7_001 };
    assert_eq!(
        record.apply(&list(B, 3, false), &[new]),
        EffectivePhases { phases: vec![Ready], overridden_ready_count: 0 }
    );
    assert!(!record.drains.contains_key("x"));
}

#[test]
fn full_list_removes_missing_endpoints() {
    let mut record = drained_x();
    assert_eq!(apply(&mut record, &list(A, 8, true), &[entry("z", Ready)]), [Ready]);
    // x is draining since revision 7, y is removed since revision 8: an older list makes neither of them
    // ready.
    assert_eq!(
        apply(&mut record, &list(A, 7, true), &[entry("x", Ready), entry("y", Ready)]),
        [Draining, Draining]
    );
    // The older list does not contain z, which was added later; a newer list of changes contains it again.
    assert_eq!(apply(&mut record, &list(A, 8, false), &[entry("z", Ready)]), [Ready]);
    assert_eq!(apply(&mut record, &list(A, 9, false), &[entry("y", Ready)]), [Ready]);
}

#[test]
fn empty_full_list_removes_every_endpoint() {
    let mut record = drained_x();
    assert_eq!(apply(&mut record, &list(A, 8, true), &[]), []);
    assert_eq!(apply(&mut record, &list(A, 7, false), &[entry("y", Ready)]), [Draining]);
    assert_eq!(record.len(), 2);
}

#[test]
fn repeated_drain_keeps_the_first_time_and_takes_the_newest_revision() {
    let mut record = drained_x();
    assert_eq!(apply(&mut record, &list(A, 9, false), &[entry("x", Gone)]), [Gone]);
    assert_eq!(apply(&mut record, &list(A, 8, true), &[entry("x", Ready)]), [Draining]);
    let restarted = ListEntry { id: "x", phase: Ready, up_since_ms: 8_000 };
    assert_eq!(apply(&mut record, &list(A, 8, true), &[restarted]), [Ready]);
}

#[test]
fn record_is_restored_from_its_text() {
    let mut record = drained_x();
    let text = record.text_if_changed(10_000).expect("a change");
    assert_eq!(record.text_if_changed(10_000), None);
    let ParsedDrainRecord { record: mut again, unreadable_lines } = DrainRecord::from_text(&text);
    assert_eq!((again.len(), unreadable_lines), (1, 0));
    // The list at the start of a process may be as old as the first one of the earlier process.
    assert_eq!(
        apply(&mut again, &list(A, 5, true), &[entry("x", Ready), entry("y", Ready)]),
        [Draining, Ready]
    );
    assert_eq!(again.text_if_changed(10_000), None);
    assert_eq!(apply(&mut again, &list(A, 8, false), &[entry("x", Ready)]), [Ready]);
    assert_eq!(again.text_if_changed(10_000).as_deref(), Some("mountshift leaving 1\n"));
}

#[test]
fn unreadable_lines_are_skipped_one_by_one() {
    let ParsedDrainRecord { record, unreadable_lines } =
        DrainRecord::from_text("mountshift leaving 1\nx 7000 7 a:1\nhalf 70\n\u{0}\u{0}\ny 8 8 b:1\n");
    assert_eq!((record.len(), unreadable_lines), (2, 2));
    let ParsedDrainRecord { record, unreadable_lines } =
        DrainRecord::from_text("mountshift leaving 2\nx 7000 7 a:1\n");
    assert_eq!((record.len(), unreadable_lines), (1, 1));
    assert_eq!(DrainRecord::from_text("").unreadable_lines, 0);
}

#[test]
fn text_stays_within_its_limit_and_keeps_the_most_recent_drains() {
    let mut record = DrainRecord::default();
    for n in 0..5_000_u64 {
        let id = format!("s-{n:08x}");
        apply(&mut record, &list(A, n + 1, false), &[entry(&id, Gone)]);
    }
    apply(&mut record, &list(A, 6_000, false), &[entry("no word", Gone), entry("", Gone)]);
    let text = record.text_if_changed(150_000).expect("a change");
    assert!(text.len() <= 150_000 && text.len() > 149_900, "{}", text.len());
    let ParsedDrainRecord { record: again, unreadable_lines } = DrainRecord::from_text(&text);
    assert_eq!(unreadable_lines, 0);
    // 150,000 bytes are the record's share of a 3 MB state folder, the size that the platform documents. They
    // hold far more than 1,024 drains.
    assert!(again.len() > 3_000, "{}", again.len());
    assert!(again.drains.contains_key("s-00001387") && !again.drains.contains_key("s-00000000"));
}

// The last start of an endpoint is measured by discovery's clock, and this relay's clock may be behind it.
#[test]
fn start_before_the_drain_does_not_end_it_if_discoverys_clock_is_ahead() {
    const STARTED_MS: u64 = 9_000_000;
    let entry = |phase, up_since_ms| ListEntry { id: "x", phase, up_since_ms };
    for is_absent in [false, true] {
        for (up_since_ms, expected) in [(STARTED_MS, Draining), (STARTED_MS + 1, Ready)] {
            let mut record = DrainRecord::default();
            apply(&mut record, &list(A, 5, true), &[entry(Ready, STARTED_MS)]);
            if is_absent {
                apply(&mut record, &list(A, 7, true), &[]);
            } else {
                apply(&mut record, &list(A, 7, false), &[entry(Draining, STARTED_MS)]);
            }
            let stale = list(B, 3, true);
            assert_eq!(apply(&mut record, &stale, &[entry(Ready, up_since_ms)]), [expected], "{is_absent}");
        }
    }
}
