//! Compatibility with the spool of the previous version (commit 64fb5b4), in both directions.

use mountshift_spool::{AcceptedMessage, AttemptRecord, FinalOutcome, Spool, StoredMessage};
use std::fs;
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../relay/tests/fixtures/64fb5b4").join(name)
}

/// Opens a copy of the fixture, because opening may write.
fn open_copy(name: &str) -> (tempfile::TempDir, Spool) {
    let dir = tempfile::tempdir().expect("a folder");
    fs::copy(fixture(name), dir.path().join("spool.log")).expect("a copy");
    let spool = Spool::open(dir.path(), 1 << 20, 8, 5).expect("a spool of the previous version");
    (dir, spool)
}

fn stored(id: &str, key: u64, metadata: &str, deadline: u64, accepted_at_us: u64) -> StoredMessage {
    let body = format!("body of {id}").into_bytes();
    let accepted =
        AcceptedMessage { id: id.into(), key, metadata: metadata.into(), deadline, body, accepted_at_us };
    StoredMessage { accepted, attempts: Vec::new(), pending_outcome: None }
}

fn attempt(at: u64, may_have_run: bool) -> AttemptRecord {
    AttemptRecord { zone: "north".into(), at, may_have_run }
}

#[test]
fn reads_the_complete_spool_of_an_active_process_of_the_previous_version() {
    let (_dir, spool) = open_copy("spool.log");
    let messages: Vec<(u64, StoredMessage)> = spool.messages().iter().map(|(n, m)| (*n, m.clone())).collect();
    let expected = [
        StoredMessage {
            attempts: vec![attempt(1_796_189_815_202, true)],
            pending_outcome: Some(FinalOutcome::Failed),
            ..stored("pending-outcome", 0, "c=once,d=19000,dest=10", 1_796_189_834_200, 1_796_189_815_202_568)
        },
        stored("untried", 0, "c=any,d=19000,dest=8", 1_796_189_834_219, 1_796_189_815_222_497),
        StoredMessage {
            attempts: vec![attempt(1_796_189_817_017, true)],
            ..stored(
                "may-have-run-once",
                0,
                "c=once,d=19000,dest=9",
                1_796_189_836_016,
                1_796_189_817_016_752,
            )
        },
        StoredMessage {
            attempts: vec![attempt(1_796_189_817_022, true)],
            ..stored("may-have-run-any", 0, "c=any,d=19000,dest=9", 1_796_189_836_017, 1_796_189_817_021_829)
        },
        StoredMessage {
            attempts: vec![attempt(1_796_189_817_032, false)],
            ..stored("ordered-1", 0x5a, "c=pay,d=19000,dest=7", 1_796_189_836_027, 1_796_189_817_031_919)
        },
        stored("ordered-2", 0x5a, "c=pay,d=19000,dest=7", 1_796_189_836_038, 1_796_189_817_042_023),
    ];
    let expected: Vec<(u64, StoredMessage)> = (1..).zip(expected).collect();
    assert_eq!(messages, expected);
}

#[test]
fn reads_the_complete_spool_of_a_successor_of_the_previous_version() {
    let (_dir, spool) = open_copy("next/spool.log");
    let expected =
        stored("held-by-successor", 0x77, "c=once,d=19000,dest=12", 1_796_189_836_107, 1_796_189_817_108_307);
    assert_eq!(spool.messages().iter().collect::<Vec<_>>(), [(&1, &expected)]);
}

// Compaction writes records of every type, so equal bytes show that the previous version can read the spools
// of this one.
#[test]
fn compaction_writes_the_same_bytes_as_the_previous_version() {
    for name in ["spool.log", "next/spool.log"] {
        let (dir, mut spool) = open_copy(name);
        let messages: Vec<StoredMessage> = spool.messages().values().cloned().collect();
        assert!(spool.replace_all(messages).expect("written").is_empty());
        let written = fs::read(dir.path().join("spool.log")).expect("a spool");
        assert_eq!(written, fs::read(fixture(name)).expect("a fixture"), "{name}");
    }
}
