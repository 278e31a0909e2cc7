use super::*;
use SpoolOwner::{Active, Successor};
use std::time::Duration;

#[test]
fn role_is_determined_by_the_acquired_locks() {
    let role_of = |active, successor, spool| determine_role(active, successor, spool).expect("a role");
    assert_eq!(role_of(true, true, false), Role::Active(PreviousSuccessor::None));
    assert_eq!(role_of(true, true, true), Role::Active(PreviousSuccessor::LeftMessages));
    // A successor that is still running keeps its messages until it is active.
    assert_eq!(role_of(true, false, true), Role::Active(PreviousSuccessor::Running));
    assert_eq!(role_of(false, true, true), Role::Successor);
    assert!(matches!(determine_role(false, false, false), Err(HandoverError::StateDirInUse)));
}

/// Progress of an upgrade whose active process has handed over since `elapsed`.
fn handing_over(elapsed: Duration) -> TakeoverProgress {
    TakeoverProgress {
        successor_uptime: MAX_READY_DELAY + elapsed,
        handover_elapsed: Some(elapsed),
        stop_elapsed: None,
        is_handing_over: true,
        has_shared_clock: true,
    }
}

/// Progress of an upgrade whose active process still sends.
fn sending(successor_uptime: Duration) -> TakeoverProgress {
    TakeoverProgress {
        successor_uptime,
        handover_elapsed: None,
        is_handing_over: false,
        ..handing_over(Duration::ZERO)
    }
}

/// Asserts that a successor accepts messages with more than `wait` and the margin to their deadline, and no others.
fn assert_longest_wait(progress: TakeoverProgress, wait: Duration) {
    assert_eq!(progress.longest_wait(), Some(wait));
    assert!(!successor_accepts(wait, false, progress));
    assert!(!successor_accepts(wait + DEADLINE_MARGIN, false, progress));
    assert!(successor_accepts(wait + DEADLINE_MARGIN + Duration::from_millis(1), false, progress));
}

#[test]
fn successor_rejects_messages_that_may_expire_before_takeover() {
    for is_in_order in [false, true] {
        let progress = handing_over(Duration::ZERO);
        assert!(!successor_accepts(MAX_TAKEOVER_DELAY, is_in_order, progress));
        assert!(!successor_accepts(MAX_TAKEOVER_DELAY + DEADLINE_MARGIN, is_in_order, progress));
        assert!(successor_accepts(Duration::from_secs(8), is_in_order, progress));
    }
    // The handover has begun some time ago, and the active process exits the sooner.
    let elapsed = Duration::from_millis(2_500);
    assert_longest_wait(handing_over(elapsed), MAX_TAKEOVER_DELAY - elapsed);
}

// Guards against messages that expire in a successor that waits for the handover: it counted the time from SIGTERM to
// SIGKILL only, but SIGTERM may come as late as its report that it serves.
#[test]
fn successor_beside_a_sending_process_expects_the_latest_handover() {
    let longest = MAX_READY_DELAY + MAX_TAKEOVER_DELAY;
    for uptime in [Duration::ZERO, Duration::from_millis(500), MAX_READY_DELAY] {
        assert_longest_wait(sending(uptime), longest - uptime);
    }
}

// A stopping successor hands its messages to another process, at the latest after its SIGKILL.
#[test]
fn stopping_successor_expects_another_process_to_find_its_messages() {
    let elapsed = Duration::from_millis(1_000);
    let wait = MAX_TAKEOVER_DELAY - elapsed + ORPHAN_CHECK_INTERVAL;
    for progress in [handing_over(Duration::from_secs(3)), sending(Duration::from_secs(60))] {
        assert_longest_wait(TakeoverProgress { stop_elapsed: Some(elapsed), ..progress }, wait);
    }
}

// Without a bound on its wait a successor can promise no end: the platform has exceeded its own limits.
#[test]
fn successor_accepts_nothing_once_its_wait_has_no_bound() {
    let late = Duration::from_millis(1);
    let overdue = [
        handing_over(MAX_TAKEOVER_DELAY + late),
        sending(MAX_READY_DELAY + MAX_TAKEOVER_DELAY + late),
        TakeoverProgress { stop_elapsed: Some(MAX_TAKEOVER_DELAY + late), ..handing_over(Duration::ZERO) },
    ];
    for progress in overdue {
        assert!(!successor_accepts(Duration::from_secs(3_600), false, progress), "{progress:?}");
    }
}

// While both processes run, only one of them accepts messages in order, and the successor only if they can be
// merged.
#[test]
fn messages_in_order_are_accepted_by_one_process_at_a_time() {
    let long = Duration::from_secs(12);
    for progress in [sending(Duration::ZERO), handing_over(Duration::ZERO)] {
        let is_handing_over = progress.is_handing_over;
        let successor = |has_shared_clock| {
            successor_accepts(long, true, TakeoverProgress { has_shared_clock, ..progress })
        };
        assert!(
            successor_accepts(long, false, progress),
            "messages without an order need no certain position"
        );
        assert_eq!((successor(true), successor(false)), (is_handing_over, false));
        assert_ne!(active_accepts(true, is_handing_over, false), successor(true));
    }
    assert!(!active_accepts(true, false, true), "a stopping successor may hold earlier messages of the key");
    assert!(active_accepts(false, true, true), "messages without an order are always accepted");
}

#[test]
fn accept_queue_is_stalled_while_no_poll_finds_it_empty() {
    let mut monitor = AcceptQueueMonitor::default();
    for _ in 0..3 {
        for _ in 1..STALLED_QUEUE_POLLS {
            assert!(!monitor.record_poll(true), "the active process may still accept the connection");
        }
        assert!(monitor.record_poll(true) && monitor.record_poll(true));
        assert!(!monitor.record_poll(false));
    }
    // The platform's bound for a process that is held up, and the time for which clients wait.
    let stalled_after = ACCEPT_QUEUE_POLL_INTERVAL * STALLED_QUEUE_POLLS;
    assert!(stalled_after > Duration::from_millis(150) && stalled_after < Duration::from_millis(400));
}

#[test]
fn handover_stop_accepts_and_sends_nothing_and_leaves_its_messages() {
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
fn merge_orders_by_time_of_acceptance_and_keeps_the_order_of_each_spool() {
    let active: Vec<(&[u8], u64)> = vec![(b"a", 10), (b"b", 30), (b"c", 50)];
    let successor: Vec<(&[u8], u64)> = vec![(b"x", 20), (b"b", 25), (b"y", 30), (b"z", 60)];
    let order = merge(&active, &successor);
    // The successor's b is a duplicate of the active process's b and is omitted; y ties with that b and
    // follows it.
    assert_eq!(
        order,
        vec![(Active, 0), (Successor, 0), (Active, 1), (Successor, 2), (Active, 2), (Successor, 3)]
    );
    // A spool whose times go backwards (the clock was set back) keeps its own order.
    let active: Vec<(&[u8], u64)> = vec![(b"a", 50), (b"b", 10)];
    assert_eq!(merge(&active, &[]), vec![(Active, 0), (Active, 1)]);
}

#[test]
fn snapshot_round_trips_and_a_newer_format_is_rejected() {
    let route = RouteRecord {
        destination: 7,
        endpoint: Some("s-1".into()),
        retry_after_until_ms: 2_000,
        open_until_ms: Some(0),
        slow_start_since_ms: None,
    };
    let snapshot = Snapshot { format: SNAPSHOT_FORMAT, writer: None, written_ms: 1_000, routes: vec![route] };
    assert_eq!(Snapshot::from_json(&snapshot.to_json()).expect("a snapshot"), snapshot);
    let newer = snapshot.to_json().replace("\"format\":1", "\"format\":2");
    let error = Snapshot::from_json(&newer).expect_err("an error").to_string();
    assert_eq!(error, "unsupported format 2; this program reads formats up to 1");
    let error = Snapshot::from_json("{\"format\":1,").expect_err("an error").to_string();
    assert!(error.starts_with("not a valid snapshot: "), "{error}");
}

#[test]
fn expired_state_is_not_restored() {
    let route = |destination, retry_after_until_ms, open_until_ms| RouteRecord {
        destination,
        endpoint: None,
        retry_after_until_ms,
        open_until_ms,
        slow_start_since_ms: None,
    };
    let snapshot = Snapshot {
        writer: None,
        format: SNAPSHOT_FORMAT,
        written_ms: 0,
        routes: vec![route(1, 900, None), route(2, 1_100, None), route(3, 900, Some(5))],
    };
    let kept = snapshot.without_expired(1_000);
    assert_eq!(kept.routes, vec![route(2, 1_100, None), route(3, 0, Some(5))]);
}

#[test]
fn only_a_successor_reads_the_snapshot() {
    assert!(reads_snapshot(Role::Successor));
    assert!(
        !reads_snapshot(Role::Active(PreviousSuccessor::None))
            && !reads_snapshot(Role::Active(PreviousSuccessor::LeftMessages))
    );
}
