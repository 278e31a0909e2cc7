use super::*;
use SpoolOwner::{Active, Successor};
use std::time::Duration;

#[test]
fn the_role_follows_from_the_locks() {
    let role_of = |active, successor, spool| determine_role(active, successor, spool).expect("a role");
    assert_eq!(role_of(true, true, false), Role::Active(PreviousSuccessor::None));
    assert_eq!(role_of(true, true, true), Role::Active(PreviousSuccessor::LeftMessages));
    // A successor that is still there keeps its messages until it is active.
    assert_eq!(role_of(true, false, true), Role::Active(PreviousSuccessor::Running));
    assert_eq!(role_of(false, true, true), Role::Successor);
    assert!(matches!(determine_role(false, false, false), Err(HandoverError::StateFolderTaken)));
}

#[test]
fn a_successor_accepts_only_what_has_time_left_beyond_its_longest_hold() {
    for (is_in_order, is_handing_over) in [(false, false), (false, true), (true, true)] {
        let active = ActiveProcessState { is_handing_over, has_shared_clock: true };
        assert!(!successor_accepts(MAX_TAKEOVER_DELAY, is_in_order, active));
        assert!(!successor_accepts(MAX_TAKEOVER_DELAY + DEADLINE_MARGIN, is_in_order, active));
        assert!(successor_accepts(Duration::from_secs(8), is_in_order, active));
    }
}

// Of two processes side by side at most one takes messages in order, and a successor only where they can be merged.
#[test]
fn messages_in_order_are_accepted_by_one_process_at_a_time() {
    let long = Duration::from_secs(8);
    for is_handing_over in [false, true] {
        let successor = |has_shared_clock| {
            successor_accepts(long, true, ActiveProcessState { is_handing_over, has_shared_clock })
        };
        assert_eq!((successor(true), successor(false)), (is_handing_over, false));
        assert_ne!(active_accepts(true, is_handing_over, false), successor(true));
    }
    assert!(!active_accepts(true, false, true), "an ending successor may hold earlier ones");
    assert!(active_accepts(false, true, true), "others have no place to keep");
}

#[test]
fn a_stop_with_a_successor_accepts_and_sends_nothing_more_and_leaves_what_it_holds() {
    let handover = stop_plan(true);
    assert_eq!(
        (handover.accept_duration, handover.send_duration, handover.is_handover),
        (Duration::ZERO, Duration::ZERO, true)
    );
    assert!(handover.exit_timeout < Duration::from_millis(3_700));
    let restart = stop_plan(false);
    assert!(
        !restart.is_handover
            && restart.send_duration > Duration::ZERO
            && restart.exit_timeout < Duration::from_millis(3_700)
    );
}

#[test]
fn two_spools_merge_by_the_time_of_acceptance_and_keep_each_ones_order() {
    let active: Vec<(&[u8], u64)> = vec![(b"a", 10), (b"b", 30), (b"c", 50)];
    let successor: Vec<(&[u8], u64)> = vec![(b"x", 20), (b"b", 25), (b"y", 30), (b"z", 60)];
    let order = merge(&active, &successor);
    // b came first to the active process; y ties with the active process's b and goes after it.
    assert_eq!(
        order,
        vec![(Active, 0), (Successor, 0), (Active, 1), (Successor, 2), (Active, 2), (Successor, 3)]
    );
    // A side whose times go back (the clock was set) keeps its own order.
    let active: Vec<(&[u8], u64)> = vec![(b"a", 50), (b"b", 10)];
    assert_eq!(merge(&active, &[]), vec![(Active, 0), (Active, 1)]);
}

#[test]
fn a_snapshot_is_read_back_and_one_of_a_newer_format_is_refused_by_name() {
    let route = RouteRecord {
        destination: 7,
        endpoint: Some("s-1".into()),
        retry_after_until_ms: 2_000,
        open_until_ms: Some(0),
        slow_start_since_ms: None,
    };
    let snapshot = Snapshot { format: FORMAT, writer: None, written_ms: 1_000, routes: vec![route] };
    assert_eq!(Snapshot::from_json(&snapshot.to_json()).expect("a snapshot"), snapshot);
    let newer = snapshot.to_json().replace("\"format\":1", "\"format\":2");
    let why = Snapshot::from_json(&newer).expect_err("it is refused").to_string();
    assert_eq!(why, "it is of format 2; this program reads formats up to 1");
    let why = Snapshot::from_json("{\"format\":1,").expect_err("it is refused").to_string();
    assert!(why.starts_with("no snapshot: "), "{why}");
}

#[test]
fn what_binds_no_more_is_not_restored() {
    let route = |destination, retry_after_until_ms, open_until_ms| RouteRecord {
        destination,
        endpoint: None,
        retry_after_until_ms,
        open_until_ms,
        slow_start_since_ms: None,
    };
    let snapshot = Snapshot {
        writer: None,
        format: FORMAT,
        written_ms: 0,
        routes: vec![route(1, 900, None), route(2, 1_100, None), route(3, 900, Some(5))],
    };
    let kept = snapshot.without_expired(1_000);
    assert_eq!(kept.routes, vec![route(2, 1_100, None), route(3, 0, Some(5))]);
}

#[test]
fn only_a_successor_reads_what_the_active_process_left() {
    assert!(reads_snapshot(Role::Successor));
    assert!(
        !reads_snapshot(Role::Active(PreviousSuccessor::None))
            && !reads_snapshot(Role::Active(PreviousSuccessor::LeftMessages))
    );
}
