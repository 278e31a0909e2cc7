//! The spool against torn tails, full disks and restarts.

use mountshift_spool::{AcceptedMessage, AttemptRecord, FinalOutcome, Spool, StoredMessage};
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

const MAX_ATTEMPTS: u64 = 4;

fn open(dir: &Path, limit: u64) -> Spool {
    Spool::open(dir, limit, MAX_ATTEMPTS, 8).expect("a spool")
}

fn accepted(id: &str, body: usize) -> AcceptedMessage {
    let body = (0..body).map(|i| (i * 7) as u8).collect();
    AcceptedMessage {
        id: id.into(),
        key: 5,
        metadata: "c=a,d=8000,dest=7".into(),
        deadline: 1_000,
        body,
        accepted_at_us: 9,
    }
}

fn attempt(at: u64, may_have_run: bool) -> AttemptRecord {
    AttemptRecord { zone: "north".into(), at, may_have_run }
}

/// What all files in the folder take, in whole blocks.
fn disk(dir: &Path) -> u64 {
    let files = fs::read_dir(dir).expect("a folder").flatten();
    files.map(|f| f.metadata().expect("a file").len().div_ceil(512) * 512).sum()
}

#[test]
fn messages_are_read_back_in_the_order_accepted() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut spool = open(dir.path(), 1 << 20);
    let n: Vec<u64> =
        ["a", "b", "c", "d"].iter().map(|id| spool.accept(accepted(id, 300)).expect("room")).collect();
    spool.record_attempt(n[0], "north", 10);
    spool.record_not_processed(n[0]);
    spool.record_attempt(n[0], "north", 20);
    spool.record_outcome(n[1], FinalOutcome::Rejected(500));
    spool.record_outcome(n[3], FinalOutcome::Failed);
    spool.remove(n[2]);
    spool.commit().expect("written");
    drop(spool); // as when the process is killed: nothing is written at the end
    let mut spool = open(dir.path(), 1 << 20);
    let kept = |id, attempts, pending_outcome| StoredMessage {
        accepted: accepted(id, 300),
        attempts,
        pending_outcome,
    };
    let expected = BTreeMap::from([
        (n[0], kept("a", vec![attempt(10, false), attempt(20, true)], None)),
        (n[1], kept("b", vec![], Some(FinalOutcome::Rejected(500)))),
        (n[3], kept("d", vec![], Some(FinalOutcome::Failed))),
    ]);
    assert_eq!(*spool.messages(), expected);
    assert!(spool.accept(accepted("e", 1)).expect("room") > n[3], "a number is used twice");
}

#[test]
fn what_is_not_committed_is_not_there() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut spool = open(dir.path(), 1 << 20);
    spool.accept(accepted("a", 10)).expect("room");
    assert!(open(dir.path(), 1 << 20).messages().is_empty());
    spool.commit().expect("written");
    assert_eq!(open(dir.path(), 1 << 20).messages().len(), 1);
}

// A message accepted in a step whose commit fails is rejected: a log written anew in that step must not hold it, or a kill
// brings it back.
#[test]
fn a_log_written_anew_before_the_commit_holds_nothing_that_is_not_committed() {
    const LIMIT: u64 = 24 * 1024;
    let dir = tempfile::tempdir().expect("a folder");
    let mut spool = open(dir.path(), LIMIT);
    let mut compactions = 0;
    for n in 0..200 {
        let size_before = spool.size();
        let (first, second) = (format!("first{n}"), format!("second{n}"));
        let numbers = [&first, &second].map(|id| spool.accept(accepted(id, 300)).expect("room"));
        compactions += usize::from(spool.size() < size_before);
        let found = ids(&open(dir.path(), LIMIT));
        assert!(found.is_empty(), "{found:?} before the commit {n}");
        spool.commit().expect("written");
        assert_eq!(ids(&open(dir.path(), LIMIT)), [first, second]);
        for number in numbers {
            spool.remove(number);
        }
        spool.commit().expect("written");
    }
    assert!(compactions > 3, "{compactions}");
}

/// Commits the messages a, b and c one by one; where each commit ends in the log.
fn write_three_commits(dir: &Path) -> Vec<usize> {
    let mut spool = open(dir, 1 << 20);
    let mut ends = Vec::new();
    for id in ["a", "b", "c"] {
        spool.accept(accepted(id, 20)).expect("room");
        spool.commit().expect("written");
        ends.push(fs::metadata(dir.join("spool.log")).expect("a log").len() as usize);
    }
    ends
}

#[test]
fn a_log_cut_anywhere_keeps_all_whole_records() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("spool.log");
    let ends = write_three_commits(dir.path());
    let whole = fs::read(&path).expect("a log");
    for cut in 0..=whole.len() {
        fs::write(&path, &whole[..cut]).expect("a log");
        let mut spool = open(dir.path(), 1 << 20);
        let expected = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(spool.messages().len(), expected, "cut at {cut}");
        // What is appended after a dropped tail can be read.
        spool.accept(accepted("z", 5)).expect("room");
        spool.commit().expect("written");
        assert_eq!(open(dir.path(), 1 << 20).messages().len(), expected + 1, "cut at {cut}");
    }
}

/// The ids of the messages, in order.
fn ids(spool: &Spool) -> Vec<String> {
    let ids = spool.messages().values().map(|m| String::from_utf8_lossy(&m.accepted.id).into_owned());
    ids.collect()
}

#[test]
fn an_unreadable_byte_costs_the_message_that_it_belongs_to_and_no_other() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("spool.log");
    let ends = write_three_commits(dir.path());
    let whole = fs::read(&path).expect("a log");
    for at in 0..whole.len() {
        let mut bad = whole.clone();
        bad[at] ^= 0x55;
        fs::write(&path, &bad).expect("a log");
        let mut spool = open(dir.path(), 1 << 20);
        let hit = ends.iter().filter(|end| **end <= at).count();
        let mut others = vec!["a", "b", "c"];
        others.remove(hit);
        let read = ids(&spool);
        let read_others: Vec<&String> = read.iter().filter(|id| others.contains(&id.as_str())).collect();
        assert_eq!(read_others, others, "flipped at {at}");
        // What is appended behind it can be read.
        spool.accept(accepted("z", 5)).expect("room");
        spool.commit().expect("written");
        let again = ids(&open(dir.path(), 1 << 20));
        assert_eq!(again.len(), read.len() + 1, "flipped at {at}");
    }
}

#[test]
fn what_was_committed_together_is_found_together_or_not_at_all() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("spool.log");
    let mut spool = open(dir.path(), 1 << 20);
    spool.accept(accepted("first", 20)).expect("room");
    spool.commit().expect("written");
    let before = fs::metadata(&path).expect("a log").len() as usize;
    for id in ["a", "b", "c"] {
        spool.accept(accepted(id, 20)).expect("room");
    }
    spool.commit().expect("written");
    let whole = fs::read(&path).expect("a log");
    for cut in before..=whole.len() {
        fs::write(&path, &whole[..cut]).expect("a log");
        let expected = if cut == whole.len() { 4 } else { 1 };
        assert_eq!(open(dir.path(), 1 << 20).messages().len(), expected, "cut at {cut}");
    }
}

#[test]
fn a_torn_message_whose_body_looks_like_records_brings_none_of_them() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("spool.log");
    let mut spool = open(dir.path(), 1 << 20);
    let kept = spool.accept(accepted("kept", 20)).expect("room");
    spool.commit().expect("written");
    let mut removed = vec![b'E'];
    removed.extend(kept.to_le_bytes());
    let forged = AcceptedMessage { body: framed(&removed).repeat(20), ..accepted("forged", 0) };
    spool.accept(forged).expect("room");
    spool.commit().expect("written");
    let whole = fs::read(&path).expect("a log");
    for cut in whole.len() - 200..whole.len() {
        fs::write(&path, &whole[..cut]).expect("a log");
        assert_eq!(ids(&open(dir.path(), 1 << 20)), ["kept"], "cut at {cut}");
    }
}

/// A record as the log frames it.
fn framed(payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    [&length[..], &crc32fast::hash(payload).to_le_bytes(), payload].concat()
}

#[test]
fn a_log_of_another_format_is_refused_by_name_and_left_as_it_is() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("spool.log");
    let mut spool = open(dir.path(), 1 << 20);
    spool.accept(accepted("a", 20)).expect("room");
    spool.commit().expect("written");
    let log = fs::read(&path).expect("a log");
    let head = framed(&[&b"V"[..], &2u64.to_le_bytes()].concat());
    assert!(log.starts_with(&head));
    let refused = |bytes: Vec<u8>| {
        fs::write(&path, &bytes).expect("a log");
        let why = Spool::open(dir.path(), 1 << 20, MAX_ATTEMPTS, 8).err().expect("it is refused").to_string();
        assert_eq!(fs::read(&path).expect("a log"), bytes, "it is left as it is");
        why
    };
    let newer = framed(&[&b"V"[..], &3u64.to_le_bytes()].concat());
    let why = refused([newer, log[head.len()..].to_vec()].concat());
    assert_eq!(why, "spool.log, byte 0: it is of format 3; this program reads formats up to 2");
    let unknown = framed(&[&b"Q"[..], &9u64.to_le_bytes()].concat());
    let why = refused([log.clone(), unknown, framed(b"E12345678")].concat());
    let at = log.len();
    assert_eq!(why, format!("spool.log, byte {at}: a record of a kind that this program does not know"));
    // A log from before there were formats is read, and gets a format record when it is next written anew.
    fs::write(&path, &log[head.len()..]).expect("a log");
    let mut old = open(dir.path(), 4_000);
    assert_eq!(old.messages().len(), 1);
    while !fs::read(&path).expect("a log").starts_with(&head) {
        let n = old.accept(accepted("b", 200)).expect("room");
        old.remove(n);
        old.commit().expect("written");
    }
    assert_eq!(open(dir.path(), 4_000).messages().len(), 1);
}

#[test]
fn what_an_older_version_appended_behind_a_torn_record_is_read() {
    let dir = tempfile::tempdir().expect("a folder");
    let message = |number: u64, id: &[u8]| {
        let mut payload = vec![b'M'];
        for field in [number, 5, 1_000] {
            payload.extend(field.to_le_bytes());
        }
        for text in [id, b"c=a,d=8000,dest=7", b"body"] {
            payload.extend((text.len() as u32).to_le_bytes());
            payload.extend(text);
        }
        payload.extend(9u64.to_le_bytes());
        framed(&payload)
    };
    let head = framed(&[&b"V"[..], &2u64.to_le_bytes()].concat());
    let torn = message(2, b"torn");
    for cut in 1..torn.len() {
        let log = [&head[..], &message(1, b"before"), &torn[..cut], &message(3, b"behind")].concat();
        fs::write(dir.path().join("spool.log"), log).expect("a log");
        assert_eq!(ids(&open(dir.path(), 1 << 20)), ["before", "behind"], "cut at {cut}");
    }
}

#[test]
fn both_files_stay_within_the_limit_and_a_full_spool_accepts_nothing() {
    let (dir, limit) = (tempfile::tempdir().expect("a folder"), 40_000);
    let mut spool = open(dir.path(), limit);
    let (mut held, mut full) = (Vec::new(), 0);
    for i in 0..3_000u64 {
        match spool.accept(accepted(&i.to_string(), (i % 900) as usize)) {
            Some(n) => held.push(n),
            None => full += 1,
        }
        // Every attempt and outcome of what was accepted has room, however full it is.
        for n in held.iter().rev().take(1) {
            (0..MAX_ATTEMPTS).for_each(|at| spool.record_attempt(*n, "northern", at));
        }
        if held.len() > 60 || (full > 0 && i % 3 == 0 && !held.is_empty()) {
            spool.remove(held.remove(0));
        }
        spool.commit().expect("written");
        assert!(disk(dir.path()) <= limit, "{} at {i}", disk(dir.path()));
        if i % 500 == 0 {
            assert_eq!(open(dir.path(), limit).messages(), spool.messages(), "at {i}");
        }
    }
    assert!(full > 0 && full < 2_000, "{full} not accepted");
}

#[test]
fn the_old_and_the_new_file_fit_together() {
    // Guards against a fresh file that is written while the old one nearly fills the limit.
    let (dir, limit) = (tempfile::tempdir().expect("a folder"), 40_000);
    let mut spool = open(dir.path(), limit);
    for i in 0..500u64 {
        let n = spool.accept(accepted(&i.to_string(), 700)).expect("room");
        spool.commit().expect("written");
        let live: u64 = spool.messages().values().map(|k| k.accepted.body.len() as u64).sum();
        assert!(spool.size() + live <= limit, "{} and {live} at {i}", spool.size());
        if spool.messages().len() > 10 {
            spool.remove(n - 10);
        }
    }
    fs::write(dir.path().join("spool.new"), vec![0; 30_000]).expect("left over");
    let again = open(dir.path(), limit);
    assert!(disk(dir.path()) <= limit && again.messages().len() >= 9, "{}", disk(dir.path()));
}

#[test]
fn a_log_of_format_1_is_read_with_no_time_of_acceptance() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut message = vec![b'M'];
    for number in [1u64, 5, 1_000] {
        message.extend(number.to_le_bytes());
    }
    for text in [&b"a"[..], b"c=a,d=8000,dest=7", b"body"] {
        message.extend((text.len() as u32).to_le_bytes());
        message.extend(text);
    }
    let head = framed(&[&b"V"[..], &1u64.to_le_bytes()].concat());
    fs::write(dir.path().join("spool.log"), [head, framed(&message)].concat()).expect("a log");
    let spool = open(dir.path(), 1 << 20);
    let kept = &spool.messages()[&1].accepted;
    assert_eq!((&kept.id[..], &kept.body[..], kept.accepted_at_us), (&b"a"[..], &b"body"[..], 0));
}

#[test]
fn all_messages_are_replaced_in_the_order_given_and_numbered_anew() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut spool = open(dir.path(), 1 << 20);
    for id in ["a", "b", "c"] {
        spool.accept(accepted(id, 10)).expect("room");
    }
    spool.record_attempt(2, "north", 77);
    spool.commit().expect("written");
    let mut order: Vec<StoredMessage> = spool.messages().values().cloned().collect();
    order.reverse();
    order.push(StoredMessage {
        accepted: accepted("d", 10),
        attempts: Vec::new(),
        pending_outcome: Some(FinalOutcome::Failed),
    });
    assert!(spool.replace_all(order.clone()).expect("written").is_empty());
    let ids = |s: &Spool| s.messages().iter().map(|(n, k)| (*n, k.accepted.id.clone())).collect::<Vec<_>>();
    let wanted: Vec<(u64, Vec<u8>)> =
        [(1, "c"), (2, "b"), (3, "a"), (4, "d")].iter().map(|(n, id)| (*n, id.as_bytes().to_vec())).collect();
    assert_eq!(ids(&spool), wanted);
    let again = open(dir.path(), 1 << 20);
    assert_eq!(ids(&again), wanted);
    assert_eq!(again.messages()[&2].attempts, vec![attempt(77, true)]);
    assert_eq!(again.messages()[&4].pending_outcome, Some(FinalOutcome::Failed));
    // What does not fit comes back and is not in the log.
    let other = tempfile::tempdir().expect("a folder");
    let mut small = open(other.path(), 6_000);
    let many: Vec<StoredMessage> = (0..20)
        .map(|n| StoredMessage {
            accepted: accepted(&n.to_string(), 100),
            attempts: vec![],
            pending_outcome: None,
        })
        .collect();
    let left = small.replace_all(many).expect("written");
    assert!(!left.is_empty() && small.messages().len() + left.len() == 20);
    assert_eq!(left[0].accepted.id, small.messages().len().to_string().into_bytes());
}
