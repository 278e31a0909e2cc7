//! Recovery of the spool after torn writes, unreadable bytes and restarts, and its size limit.

use mountshift_spool::{
    AcceptedMessage, AttemptRecord, EndedId, FinalOutcome, LogChange, Spool, SpoolFollower, StoredMessage,
};
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

/// Returns the disk space that all files in the folder take, in bytes of whole blocks.
fn disk_bytes(dir: &Path) -> u64 {
    let files = fs::read_dir(dir).expect("a folder").flatten();
    files.map(|f| f.metadata().expect("a file").len().div_ceil(512) * 512).sum()
}

#[test]
fn messages_are_read_back_in_the_order_of_acceptance() {
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
    drop(spool); // as if the process was killed: closing writes nothing
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
    assert!(spool.accept(accepted("e", 1)).expect("room") > n[3], "a message number is reused");
}

#[test]
fn uncommitted_messages_are_not_stored() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut spool = open(dir.path(), 1 << 20);
    spool.accept(accepted("a", 10)).expect("room");
    assert!(open(dir.path(), 1 << 20).messages().is_empty());
    spool.commit().expect("written");
    assert_eq!(open(dir.path(), 1 << 20).messages().len(), 1);
}

// A message is rejected if the commit of its step fails. If a compaction in that step had written the
// message, it would be restored after a kill although it was rejected.
#[test]
fn compaction_before_the_commit_stores_no_uncommitted_message() {
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
        assert!(found.is_empty(), "{found:?} before commit {n}");
        spool.commit().expect("written");
        assert_eq!(ids(&open(dir.path(), LIMIT)), [first, second]);
        for number in numbers {
            spool.remove(number);
        }
        spool.commit().expect("written");
    }
    assert!(compactions > 3, "{compactions}");
}

/// Commits the messages a, b and c one by one; returns the offset in the log at which each commit ends.
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
fn truncated_log_keeps_all_complete_commits() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("spool.log");
    let ends = write_three_commits(dir.path());
    let whole = fs::read(&path).expect("a log");
    for cut in 0..=whole.len() {
        fs::write(&path, &whole[..cut]).expect("a log");
        let mut spool = open(dir.path(), 1 << 20);
        let expected = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(spool.messages().len(), expected, "cut at {cut}");
        // Records appended after a dropped tail can be read.
        spool.accept(accepted("z", 5)).expect("room");
        spool.commit().expect("written");
        assert_eq!(open(dir.path(), 1 << 20).messages().len(), expected + 1, "cut at {cut}");
    }
}

/// Returns the ids of the messages, in order.
fn ids(spool: &Spool) -> Vec<String> {
    let ids = spool.messages().values().map(|m| String::from_utf8_lossy(&m.accepted.id).into_owned());
    ids.collect()
}

#[test]
fn corrupted_byte_affects_only_the_message_that_it_belongs_to() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("spool.log");
    let ends = write_three_commits(dir.path());
    let whole = fs::read(&path).expect("a log");
    for at in 0..whole.len() {
        let mut corrupted_log = whole.clone();
        corrupted_log[at] ^= 0x55;
        fs::write(&path, &corrupted_log).expect("a log");
        let mut spool = open(dir.path(), 1 << 20);
        let corrupted_index = ends.iter().filter(|end| **end <= at).count();
        let mut others = vec!["a", "b", "c"];
        others.remove(corrupted_index);
        let read = ids(&spool);
        let read_others: Vec<&String> = read.iter().filter(|id| others.contains(&id.as_str())).collect();
        assert_eq!(read_others, others, "corrupted at {at}");
        // Records appended after the corrupted byte can be read.
        spool.accept(accepted("z", 5)).expect("room");
        spool.commit().expect("written");
        let again = ids(&open(dir.path(), 1 << 20));
        assert_eq!(again.len(), read.len() + 1, "corrupted at {at}");
    }
}

#[test]
fn messages_committed_together_are_read_together_or_not_at_all() {
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
fn torn_message_whose_body_contains_records_adds_no_records() {
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

/// Returns the payload framed as in the log.
fn framed(payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    [&length[..], &crc32fast::hash(payload).to_le_bytes(), payload].concat()
}

#[test]
fn log_of_an_unknown_format_is_rejected_and_left_unchanged() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("spool.log");
    let mut spool = open(dir.path(), 1 << 20);
    spool.accept(accepted("a", 20)).expect("room");
    spool.commit().expect("written");
    let log = fs::read(&path).expect("a log");
    let head = framed(&[&b"V"[..], &2u64.to_le_bytes()].concat());
    assert!(log.starts_with(&head));
    let rejection = |bytes: Vec<u8>| {
        fs::write(&path, &bytes).expect("a log");
        let error = Spool::open(dir.path(), 1 << 20, MAX_ATTEMPTS, 8).err().expect("an error").to_string();
        assert_eq!(fs::read(&path).expect("a log"), bytes, "the log is left unchanged");
        error
    };
    let newer = framed(&[&b"V"[..], &3u64.to_le_bytes()].concat());
    let error = rejection([newer, log[head.len()..].to_vec()].concat());
    assert_eq!(error, "spool.log, byte 0: unsupported format 3; this program reads formats up to 2");
    let unknown = framed(&[&b"Q"[..], &9u64.to_le_bytes()].concat());
    let error = rejection([log.clone(), unknown, framed(b"E12345678")].concat());
    let at = log.len();
    assert_eq!(error, format!("spool.log, byte {at}: record of unknown type"));
    // A log of format 0, which has no format record, is read; the next compaction adds a format record.
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
fn records_appended_by_an_older_version_after_a_torn_record_are_read() {
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
    let (mut accepted_numbers, mut rejected_count) = (Vec::new(), 0);
    for i in 0..3_000u64 {
        match spool.accept(accepted(&i.to_string(), (i % 900) as usize)) {
            Some(n) => accepted_numbers.push(n),
            None => rejected_count += 1,
        }
        // There is space for every attempt and outcome of an accepted message, however full the spool is.
        for n in accepted_numbers.iter().rev().take(1) {
            (0..MAX_ATTEMPTS).for_each(|at| spool.record_attempt(*n, "northern", at));
        }
        if accepted_numbers.len() > 60 || (rejected_count > 0 && i % 3 == 0 && !accepted_numbers.is_empty()) {
            spool.remove(accepted_numbers.remove(0));
        }
        spool.commit().expect("written");
        assert!(disk_bytes(dir.path()) <= limit, "{} at {i}", disk_bytes(dir.path()));
        if i % 500 == 0 {
            assert_eq!(open(dir.path(), limit).messages(), spool.messages(), "at {i}");
        }
    }
    assert!(rejected_count > 0 && rejected_count < 2_000, "{rejected_count} not accepted");
}

#[test]
fn old_and_new_file_together_stay_within_the_limit() {
    // Guards against writing the new file while the old one nearly fills the limit.
    let (dir, limit) = (tempfile::tempdir().expect("a folder"), 40_000);
    let mut spool = open(dir.path(), limit);
    for i in 0..500u64 {
        let n = spool.accept(accepted(&i.to_string(), 700)).expect("room");
        spool.commit().expect("written");
        let body_bytes: u64 = spool.messages().values().map(|k| k.accepted.body.len() as u64).sum();
        assert!(spool.size() + body_bytes <= limit, "{} and {body_bytes} at {i}", spool.size());
        if spool.messages().len() > 10 {
            spool.remove(n - 10);
        }
    }
    fs::write(dir.path().join("spool.new"), vec![0; 30_000]).expect("a leftover file");
    let again = open(dir.path(), limit);
    assert!(disk_bytes(dir.path()) <= limit && again.messages().len() >= 9, "{}", disk_bytes(dir.path()));
}

#[test]
fn log_of_format_1_is_read_without_times_of_acceptance() {
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
fn replace_all_keeps_the_given_order_and_renumbers_messages() {
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
    let expected: Vec<(u64, Vec<u8>)> =
        [(1, "c"), (2, "b"), (3, "a"), (4, "d")].iter().map(|(n, id)| (*n, id.as_bytes().to_vec())).collect();
    assert_eq!(ids(&spool), expected);
    let again = open(dir.path(), 1 << 20);
    assert_eq!(ids(&again), expected);
    assert_eq!(again.messages()[&2].attempts, vec![attempt(77, true)]);
    assert_eq!(again.messages()[&4].pending_outcome, Some(FinalOutcome::Failed));
    // Messages that don't fit are returned and are not in the log.
    let other = tempfile::tempdir().expect("a folder");
    let mut small = open(other.path(), 6_000);
    let many: Vec<StoredMessage> = (0..20)
        .map(|n| StoredMessage {
            accepted: accepted(&n.to_string(), 100),
            attempts: vec![],
            pending_outcome: None,
        })
        .collect();
    let not_stored = small.replace_all(many).expect("written");
    assert!(!not_stored.is_empty() && small.messages().len() + not_stored.len() == 20);
    assert_eq!(not_stored[0].accepted.id, small.messages().len().to_string().into_bytes());
}

/// Returns the ids of the messages that the follower reports as accepted, and those of the removed ones with whether
/// they have ended.
fn follow(
    follower: &mut SpoolFollower,
    ids: &mut BTreeMap<u64, String>,
) -> (Vec<String>, Vec<(String, bool)>) {
    let (mut accepted, mut removed) = (Vec::new(), Vec::new());
    for change in follower.read_changes().expect("readable") {
        match change {
            LogChange::Replaced => ids.clear(),
            LogChange::EndedBefore(ended) => removed.push((format!("hash {}", ended.id), true)),
            LogChange::Accepted { number, message } => {
                let id = String::from_utf8(message.id).expect("text");
                ids.insert(number, id.clone());
                accepted.push(id);
            }
            LogChange::Removed { number, has_ended } => {
                removed.push((ids.remove(&number).expect("a reported message"), has_ended));
            }
        }
    }
    (accepted, removed)
}

// The other process of a relay decides by these reports under which ids it may accept messages.
#[test]
fn follower_reports_committed_changes_once_and_reads_a_replaced_log_anew() {
    let dir = tempfile::tempdir().expect("a folder");
    let (mut follower, mut ids) = (SpoolFollower::new(dir.path()), BTreeMap::new());
    let none = (Vec::<String>::new(), Vec::<(String, bool)>::new());
    assert_eq!(follow(&mut follower, &mut ids), none, "no log yet");
    let mut spool = open(dir.path(), 1 << 20);
    let n: Vec<u64> =
        ["a", "b", "c"].iter().map(|id| spool.accept(accepted(id, 300)).expect("room")).collect();
    assert_eq!(follow(&mut follower, &mut ids), none, "not committed");
    spool.commit().expect("written");
    assert_eq!(follow(&mut follower, &mut ids), (vec!["a".into(), "b".into(), "c".into()], vec![]));
    spool.record_attempt(n[0], "north", 10);
    spool.remove(n[0]);
    spool.record_attempt(n[1], "north", 10);
    spool.record_not_processed(n[1]);
    spool.remove(n[1]);
    spool.commit().expect("written");
    let removed = vec![("a".to_string(), true), ("b".to_string(), false)];
    assert_eq!(follow(&mut follower, &mut ids), (vec![], removed), "b never ran and may be submitted again");
    assert_eq!(follow(&mut follower, &mut ids), none, "reported once");
    let kept = spool.messages().values().cloned().collect();
    spool.record_ended(EndedId { id: 1, content: 2 });
    spool.replace_all(kept).expect("written");
    let ended_before = vec![("hash 1".to_string(), true)];
    assert_eq!(follow(&mut follower, &mut ids), (vec!["c".into()], ended_before), "another file");
    drop(spool);
    let mut spool = open(dir.path(), 1 << 20);
    assert_eq!(spool.take_ended(), vec![], "a new log holds no ended messages, but their ids");
    assert_eq!(spool.ended_ids().iter().collect::<Vec<_>>(), [EndedId { id: 1, content: 2 }]);
    spool.record_outcome(1, FinalOutcome::Failed);
    spool.remove(1);
    spool.commit().expect("written");
    assert_eq!(follow(&mut follower, &mut ids), (vec![], vec![("c".to_string(), true)]));
    assert_eq!(open(dir.path(), 1 << 20).take_ended(), vec![accepted("c", 300)]);
    fs::remove_file(dir.path().join("spool.log")).expect("removed");
    assert_eq!(follower.read_changes().expect("no log"), vec![LogChange::Replaced]);
}
