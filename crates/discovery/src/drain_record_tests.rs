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

/// A record of `x`, listed as draining at revision 7 of A.
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
fn a_drained_endpoint_stays_so_until_it_is_newly_listed() {
    for (source, revision, is_full, expected) in [
        (A, 5, true, Draining),  // a stale whole list
        (A, 7, true, Draining),  // the same list again
        (A, 6, false, Draining), // a stale change
        (A, 8, false, Ready),    // a newer change
        (A, 8, true, Ready),     // a newer whole list
        (B, 3, true, Draining),  // another discovery's list, as old as it may be
        (B, 90, true, Draining), // its revisions say nothing here
        (B, 3, false, Ready),    // a change that it lists
    ] {
        let seen = apply(&mut drained_x(), &list(source, revision, is_full), &[entry("x", Ready)]);
        assert_eq!(seen, [expected], "{source} {revision} {is_full}");
    }
}

#[test]
fn an_endpoint_that_started_since_serves_again() {
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
fn a_whole_list_removes_what_it_leaves_out() {
    let mut record = drained_x();
    assert_eq!(apply(&mut record, &list(A, 8, true), &[entry("z", Ready)]), [Ready]);
    // x stays as listed at 7, y is gone since 8: a list of before revives neither.
    assert_eq!(
        apply(&mut record, &list(A, 7, true), &[entry("x", Ready), entry("y", Ready)]),
        [Draining, Draining]
    );
    // That list left z out, which came later; the changes since then name it again.
    assert_eq!(apply(&mut record, &list(A, 8, false), &[entry("z", Ready)]), [Ready]);
    assert_eq!(apply(&mut record, &list(A, 9, false), &[entry("y", Ready)]), [Ready]);
}

#[test]
fn an_empty_whole_list_removes_every_endpoint() {
    let mut record = drained_x();
    assert_eq!(apply(&mut record, &list(A, 8, true), &[]), []);
    assert_eq!(apply(&mut record, &list(A, 7, false), &[entry("y", Ready)]), [Draining]);
    assert_eq!(record.len(), 2);
}

#[test]
fn the_first_time_counts_and_the_newest_revision_must_be_passed() {
    let mut record = drained_x();
    assert_eq!(apply(&mut record, &list(A, 9, false), &[entry("x", Gone)]), [Gone]);
    assert_eq!(apply(&mut record, &list(A, 8, true), &[entry("x", Ready)]), [Draining]);
    let since = ListEntry { id: "x", phase: Ready, up_since_ms: 8_000 };
    assert_eq!(apply(&mut record, &list(A, 8, true), &[since]), [Ready]);
}

#[test]
fn the_record_outlives_the_process() {
    let mut record = drained_x();
    let text = record.text_if_changed(10_000).expect("a change");
    assert_eq!(record.text_if_changed(10_000), None);
    let ParsedDrainRecord { record: mut again, unreadable_lines } = DrainRecord::from_text(&text);
    assert_eq!((again.len(), unreadable_lines), (1, 0));
    // A start's list, as the earlier process had it first.
    assert_eq!(
        apply(&mut again, &list(A, 5, true), &[entry("x", Ready), entry("y", Ready)]),
        [Draining, Ready]
    );
    assert_eq!(again.text_if_changed(10_000), None);
    assert_eq!(apply(&mut again, &list(A, 8, false), &[entry("x", Ready)]), [Ready]);
    assert_eq!(again.text_if_changed(10_000).as_deref(), Some("mountshift leaving 1\n"));
}

#[test]
fn unreadable_lines_are_left_out_one_by_one() {
    let ParsedDrainRecord { record, unreadable_lines } =
        DrainRecord::from_text("mountshift leaving 1\nx 7000 7 a:1\nhalf 70\n\u{0}\u{0}\ny 8 8 b:1\n");
    assert_eq!((record.len(), unreadable_lines), (2, 2));
    let ParsedDrainRecord { record, unreadable_lines } =
        DrainRecord::from_text("mountshift leaving 2\nx 7000 7 a:1\n");
    assert_eq!((record.len(), unreadable_lines), (1, 1));
    assert_eq!(DrainRecord::from_text("").unreadable_lines, 0);
}

#[test]
fn the_text_stays_within_its_limit_and_keeps_those_drained_last() {
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
    // More than 1,024 of them, in the 3 MB folder of the platform's page.
    assert!(again.len() > 3_000, "{}", again.len());
    assert!(again.drains.contains_key("s-00001387") && !again.drains.contains_key("s-00000000"));
}

// The last start of an endpoint is told by discovery's clock; this relay's may be behind it.
#[test]
fn a_start_before_the_drain_does_not_end_it_where_another_clock_is_ahead() {
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
