use super::*;

const A: &str = "10.2.0.1:8500";
const B: &str = "10.2.0.1:8501";

fn list(source: &str, revision: u64, whole: bool) -> ListHeader<'_> {
    ListHeader { source, revision, whole, now_ms: 1_000 * revision }
}

fn says(id: &str, phase: Phase) -> ListEntry<'_> {
    ListEntry { id, phase, up_since_ms: 0 }
}

fn take(book: &mut DrainRecord, list: &ListHeader, entries: &[ListEntry]) -> Vec<Phase> {
    book.take(list, entries).0
}

use Phase::{Draining, Gone, Ready};

/// Told as draining at revision 7 of A.
fn told() -> DrainRecord {
    let mut book = DrainRecord::default();
    assert_eq!(take(&mut book, &list(A, 5, true), &[says("x", Ready), says("y", Ready)]), [Ready, Ready]);
    assert_eq!(take(&mut book, &list(A, 7, false), &[says("x", Draining)]), [Draining]);
    book
}

#[test]
fn what_was_told_as_leaving_stays_until_it_is_newly_listed() {
    for (source, revision, whole, expected) in [
        (A, 5, true, Draining),  // a stale whole list
        (A, 7, true, Draining),  // the same list again
        (A, 6, false, Draining), // a stale change
        (A, 8, false, Ready),    // a newer change
        (A, 8, true, Ready),     // a newer whole list
        (B, 3, true, Draining),  // another discovery's list, as old as it may be
        (B, 90, true, Draining), // its revisions say nothing here
        (B, 3, false, Ready),    // a change that it tells
    ] {
        let seen = take(&mut told(), &list(source, revision, whole), &[says("x", Ready)]);
        assert_eq!(seen, [expected], "{source} {revision} {whole}");
    }
}

#[test]
fn an_endpoint_that_started_since_serves_again() {
    let mut book = told();
    let old = ListEntry { id: "x", phase: Ready, up_since_ms: 6_999 };
    assert_eq!(book.take(&list(B, 3, true), &[old]), (vec![Draining], 1));
    let new = ListEntry { id: "x", phase: Ready, up_since_ms: 7_001 };
    assert_eq!(book.take(&list(B, 3, false), &[new]), (vec![Ready], 0));
    assert!(!book.leaving.contains_key("x"));
}

#[test]
fn a_whole_list_tells_that_what_it_leaves_out_is_gone() {
    let mut book = told();
    assert_eq!(take(&mut book, &list(A, 8, true), &[says("z", Ready)]), [Ready]);
    // x stays as told at 7, y is gone since 8: a list of before revives neither.
    assert_eq!(
        take(&mut book, &list(A, 7, true), &[says("x", Ready), says("y", Ready)]),
        [Draining, Draining]
    );
    // That list left z out, which came later; the changes since then name it again.
    assert_eq!(take(&mut book, &list(A, 8, false), &[says("z", Ready)]), [Ready]);
    assert_eq!(take(&mut book, &list(A, 9, false), &[says("y", Ready)]), [Ready]);
}

#[test]
fn an_empty_list_is_taken_as_told() {
    let mut book = told();
    assert_eq!(take(&mut book, &list(A, 8, true), &[]), []);
    assert_eq!(take(&mut book, &list(A, 7, false), &[says("y", Ready)]), [Draining]);
    assert_eq!(book.len(), 2);
}

#[test]
fn the_first_time_told_counts_and_the_newest_revision_must_be_passed() {
    let mut book = told();
    assert_eq!(take(&mut book, &list(A, 9, false), &[says("x", Gone)]), [Gone]);
    assert_eq!(take(&mut book, &list(A, 8, true), &[says("x", Ready)]), [Draining]);
    let since = ListEntry { id: "x", phase: Ready, up_since_ms: 8_000 };
    assert_eq!(take(&mut book, &list(A, 8, true), &[since]), [Ready]);
}

#[test]
fn the_book_outlives_the_process() {
    let mut book = told();
    let text = book.written(10_000).expect("a change");
    assert_eq!(book.written(10_000), None);
    let (mut again, bad) = DrainRecord::read(&text);
    assert_eq!((again.len(), bad), (1, 0));
    // A start's list, as the earlier process had it first.
    assert_eq!(take(&mut again, &list(A, 5, true), &[says("x", Ready), says("y", Ready)]), [Draining, Ready]);
    assert_eq!(again.written(10_000), None);
    assert_eq!(take(&mut again, &list(A, 8, false), &[says("x", Ready)]), [Ready]);
    assert_eq!(again.written(10_000).as_deref(), Some("mountshift leaving 1\n"));
}

#[test]
fn a_book_that_cannot_be_read_costs_its_bad_lines_alone() {
    let (book, bad) =
        DrainRecord::read("mountshift leaving 1\nx 7000 7 a:1\nhalf 70\n\u{0}\u{0}\ny 8 8 b:1\n");
    assert_eq!((book.len(), bad), (2, 2));
    let (book, bad) = DrainRecord::read("mountshift leaving 2\nx 7000 7 a:1\n");
    assert_eq!((book.len(), bad), (1, 1));
    assert_eq!(DrainRecord::read("").1, 0);
}

#[test]
fn a_book_stays_within_its_room_and_keeps_those_told_last() {
    let mut book = DrainRecord::default();
    for n in 0..5_000_u64 {
        let id = format!("s-{n:08x}");
        take(&mut book, &list(A, n + 1, false), &[says(&id, Gone)]);
    }
    take(&mut book, &list(A, 6_000, false), &[says("no word", Gone), says("", Gone)]);
    let text = book.written(150_000).expect("a change");
    assert!(text.len() <= 150_000 && text.len() > 149_900, "{}", text.len());
    let (again, bad) = DrainRecord::read(&text);
    assert_eq!(bad, 0);
    // More than 1,024 of them, in the 3 MB folder of the platform's page.
    assert!(again.len() > 3_000, "{}", again.len());
    assert!(again.leaving.contains_key("s-00001387") && !again.leaving.contains_key("s-00000000"));
}
