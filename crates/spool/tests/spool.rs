//! The spool against torn tails, full disks and restarts.

use mountshift_spool::{End, Kept, Leg, Spool, Taken};
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

const LEGS: u64 = 4;

fn open(dir: &Path, limit: u64) -> Spool {
    Spool::open(dir, limit, LEGS, 8).expect("a spool")
}

fn taken(id: &str, body: usize) -> Taken {
    let body = (0..body).map(|i| (i * 7) as u8).collect();
    Taken { id: id.into(), key: 5, list: "c=a,d=8000,dest=7".into(), deadline: 1_000, body, at_us: 9 }
}

fn leg(at: u64, may_have_run: bool) -> Leg {
    Leg { zone: "north".into(), at, may_have_run }
}

/// What all files in the folder take, in whole blocks.
fn disk(dir: &Path) -> u64 {
    let files = fs::read_dir(dir).expect("a folder").flatten();
    files.map(|f| f.metadata().expect("a file").len().div_ceil(512) * 512).sum()
}

#[test]
fn everything_comes_back_in_the_order_handed_in() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut spool = open(dir.path(), 1 << 20);
    let n: Vec<u64> =
        ["a", "b", "c", "d"].iter().map(|id| spool.add(taken(id, 300)).expect("room")).collect();
    spool.leg(n[0], "north", 10);
    spool.never_ran(n[0]);
    spool.leg(n[0], "north", 20);
    spool.owe(n[1], End::PushedBack(500));
    spool.owe(n[3], End::Failed);
    spool.over(n[2]);
    spool.commit().expect("written");
    drop(spool); // as when the process is killed: nothing is written at the end
    let mut spool = open(dir.path(), 1 << 20);
    let kept = |id, legs, owed| Kept { taken: taken(id, 300), legs, owed };
    let expected = BTreeMap::from([
        (n[0], kept("a", vec![leg(10, false), leg(20, true)], None)),
        (n[1], kept("b", vec![], Some(End::PushedBack(500)))),
        (n[3], kept("d", vec![], Some(End::Failed))),
    ]);
    assert_eq!(*spool.live(), expected);
    assert!(spool.add(taken("e", 1)).expect("room") > n[3], "a number is used twice");
}

#[test]
fn what_is_not_committed_is_not_there() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut spool = open(dir.path(), 1 << 20);
    spool.add(taken("a", 10)).expect("room");
    assert!(open(dir.path(), 1 << 20).live().is_empty());
    spool.commit().expect("written");
    assert_eq!(open(dir.path(), 1 << 20).live().len(), 1);
}

#[test]
fn a_log_cut_anywhere_keeps_all_whole_records() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("spool.log");
    let mut spool = open(dir.path(), 1 << 20);
    let mut ends = Vec::new();
    for id in ["a", "b", "c"] {
        spool.add(taken(id, 20)).expect("room");
        spool.commit().expect("written");
        ends.push(fs::metadata(&path).expect("a log").len() as usize);
    }
    let whole = fs::read(&path).expect("a log");
    for cut in 0..=whole.len() {
        fs::write(&path, &whole[..cut]).expect("a log");
        let mut spool = open(dir.path(), 1 << 20);
        let expected = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(spool.live().len(), expected, "cut at {cut}");
        // What is appended after a dropped tail can be read.
        spool.add(taken("z", 5)).expect("room");
        spool.commit().expect("written");
        assert_eq!(open(dir.path(), 1 << 20).live().len(), expected + 1, "cut at {cut}");
    }
    for at in 0..whole.len() {
        let mut bad = whole.clone();
        bad[at] ^= 0x55;
        fs::write(&path, &bad).expect("a log");
        let expected = ends.iter().filter(|end| **end <= at).count();
        assert_eq!(open(dir.path(), 1 << 20).live().len(), expected, "flipped at {at}");
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
    spool.add(taken("a", 20)).expect("room");
    spool.commit().expect("written");
    let log = fs::read(&path).expect("a log");
    let head = framed(&[&b"V"[..], &2u64.to_le_bytes()].concat());
    assert!(log.starts_with(&head));
    let refused = |bytes: Vec<u8>| {
        fs::write(&path, &bytes).expect("a log");
        let why = Spool::open(dir.path(), 1 << 20, LEGS, 8).err().expect("it is refused").to_string();
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
    // A log from before there were formats is read, and gets a head when it is next written anew.
    fs::write(&path, &log[head.len()..]).expect("a log");
    let mut old = open(dir.path(), 4_000);
    assert_eq!(old.live().len(), 1);
    while !fs::read(&path).expect("a log").starts_with(&head) {
        let n = old.add(taken("b", 200)).expect("room");
        old.over(n);
        old.commit().expect("written");
    }
    assert_eq!(open(dir.path(), 4_000).live().len(), 1);
}

#[test]
fn both_files_stay_within_the_limit_and_a_full_spool_takes_nothing_on() {
    let (dir, limit) = (tempfile::tempdir().expect("a folder"), 40_000);
    let mut spool = open(dir.path(), limit);
    let (mut held, mut full) = (Vec::new(), 0);
    for i in 0..3_000u64 {
        match spool.add(taken(&i.to_string(), (i % 900) as usize)) {
            Some(n) => held.push(n),
            None => full += 1,
        }
        // Every leg and end of what was taken on has room, however full it is.
        for n in held.iter().rev().take(1) {
            (0..LEGS).for_each(|at| spool.leg(*n, "northern", at));
        }
        if held.len() > 60 || (full > 0 && i % 3 == 0 && !held.is_empty()) {
            spool.over(held.remove(0));
        }
        spool.commit().expect("written");
        assert!(disk(dir.path()) <= limit, "{} at {i}", disk(dir.path()));
        if i % 500 == 0 {
            assert_eq!(open(dir.path(), limit).live(), spool.live(), "at {i}");
        }
    }
    assert!(full > 0 && full < 2_000, "{full} not taken on");
}

#[test]
fn the_old_and_the_new_file_fit_together() {
    // Guards against a fresh file that is written while the old one nearly fills the limit.
    let (dir, limit) = (tempfile::tempdir().expect("a folder"), 40_000);
    let mut spool = open(dir.path(), limit);
    for i in 0..500u64 {
        let n = spool.add(taken(&i.to_string(), 700)).expect("room");
        spool.commit().expect("written");
        let live: u64 = spool.live().values().map(|k| k.taken.body.len() as u64).sum();
        assert!(spool.size() + live <= limit, "{} and {live} at {i}", spool.size());
        if spool.live().len() > 10 {
            spool.over(n - 10);
        }
    }
    fs::write(dir.path().join("spool.new"), vec![0; 30_000]).expect("left over");
    let again = open(dir.path(), limit);
    assert!(disk(dir.path()) <= limit && again.live().len() >= 9, "{}", disk(dir.path()));
}

#[test]
fn a_log_of_format_1_is_read_with_no_time_of_taking() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut message = vec![b'M'];
    [1u64, 5, 1_000].iter().for_each(|x| message.extend(x.to_le_bytes()));
    for text in [&b"a"[..], b"c=a,d=8000,dest=7", b"body"] {
        message.extend((text.len() as u32).to_le_bytes());
        message.extend(text);
    }
    let head = framed(&[&b"V"[..], &1u64.to_le_bytes()].concat());
    fs::write(dir.path().join("spool.log"), [head, framed(&message)].concat()).expect("a log");
    let spool = open(dir.path(), 1 << 20);
    let kept = &spool.live()[&1].taken;
    assert_eq!((&kept.id[..], &kept.body[..], kept.at_us), (&b"a"[..], &b"body"[..], 0));
}

#[test]
fn all_that_is_alive_is_replaced_in_the_order_given_and_numbered_anew() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut spool = open(dir.path(), 1 << 20);
    for id in ["a", "b", "c"] {
        spool.add(taken(id, 10)).expect("room");
    }
    spool.leg(2, "north", 77);
    spool.commit().expect("written");
    let mut order: Vec<Kept> = spool.live().values().cloned().collect();
    order.reverse();
    order.push(Kept { taken: taken("d", 10), legs: Vec::new(), owed: Some(End::Failed) });
    assert!(spool.replace_all(order.clone()).expect("written").is_empty());
    let ids = |s: &Spool| s.live().iter().map(|(n, k)| (*n, k.taken.id.clone())).collect::<Vec<_>>();
    let wanted: Vec<(u64, Vec<u8>)> =
        [(1, "c"), (2, "b"), (3, "a"), (4, "d")].iter().map(|(n, id)| (*n, id.as_bytes().to_vec())).collect();
    assert_eq!(ids(&spool), wanted);
    let again = open(dir.path(), 1 << 20);
    assert_eq!(ids(&again), wanted);
    assert_eq!(again.live()[&2].legs, vec![leg(77, true)]);
    assert_eq!(again.live()[&4].owed, Some(End::Failed));
    // What does not fit comes back and is not in the log.
    let other = tempfile::tempdir().expect("a folder");
    let mut small = open(other.path(), 6_000);
    let many: Vec<Kept> =
        (0..20).map(|n| Kept { taken: taken(&n.to_string(), 100), legs: vec![], owed: None }).collect();
    let left = small.replace_all(many).expect("written");
    assert!(!left.is_empty() && small.live().len() + left.len() == 20);
    assert_eq!(left[0].taken.id, small.live().len().to_string().into_bytes());
}
