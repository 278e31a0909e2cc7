//! Compatibility with the handover snapshot of the previous version (commit 64fb5b4), in both directions.

use mountshift_handover::{RouteRecord, Snapshot};

const TEXT: &str = include_str!("../../relay/tests/fixtures/64fb5b4/handover.json");

#[test]
fn reads_the_complete_snapshot_of_the_previous_version() {
    let retry_after = RouteRecord {
        destination: 7,
        endpoint: None,
        retry_after_until_ms: 1_796_189_820_036,
        open_until_ms: None,
        slow_start_since_ms: Some(1_796_189_820_036),
    };
    let open_breaker = RouteRecord {
        destination: 8,
        endpoint: Some("e8".into()),
        retry_after_until_ms: 0,
        open_until_ms: Some(1_796_189_818_811),
        slow_start_since_ms: Some(1_796_189_817_011),
    };
    let expected = Snapshot {
        format: 1,
        writer: None,
        written_ms: 1_796_189_817_036,
        routes: vec![retry_after, open_breaker],
    };
    assert_eq!(Snapshot::from_json(TEXT).expect("a snapshot"), expected);
}

// Guarantees that the previous version can read the snapshots of this one.
#[test]
fn writes_the_snapshot_byte_for_byte_as_the_previous_version() {
    assert_eq!(Snapshot::from_json(TEXT).expect("a snapshot").to_json(), TEXT);
}
