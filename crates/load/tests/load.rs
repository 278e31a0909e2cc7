//! Tests of the load tool against a stand-in relay that accepts, rejects, stalls and closes connections.

use mountshift_load::{Plan, Report, Schedule, run, search};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Starts a relay that answers each command with `answer` of its number, counted from 0 over all connections. `None`
/// closes the connection.
fn start_relay(answer: impl Fn(u64) -> Option<&'static str> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (answer, count) = (Arc::new(answer), Arc::new(AtomicU64::new(0)));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, count) = (answer.clone(), count.clone());
            spawn(move || serve(stream, &*answer, &count));
        }
    });
    address
}

fn serve(mut stream: TcpStream, answer: &dyn Fn(u64) -> Option<&'static str>, count: &AtomicU64) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    let mut line = || {
        let mut line = String::new();
        (reader.read_line(&mut line).unwrap_or(0) > 0).then(|| line.trim_end().to_string())
    };
    while let Some(words) = line() {
        assert_eq!(words, "*5");
        for _ in 0..5 {
            let Some(length) = line() else { return };
            assert!(length.starts_with('$'), "{length}");
            // No word in these tests contains a line break.
            if line().is_none() {
                return;
            }
        }
        match answer(count.fetch_add(1, Ordering::SeqCst)) {
            Some(text) => drop(stream.write_all(text.as_bytes())),
            None => return,
        }
    }
    let _ = stream.read(&mut [0]);
}

fn plan(relay: SocketAddr, rate: f64, length: Duration, connections: usize) -> Plan {
    Plan {
        relay,
        schedule: Schedule::steady(rate, length),
        connections,
        class: "any".into(),
        destinations: vec![1, 2],
        keys: 3,
        body_bytes: 10,
        deadline: ms(8_000),
        answer_timeout: ms(500),
        seed: 1,
    }
}

fn counts(r: &Report) -> (u64, u64, u64, u64) {
    (r.accepted, r.rejected, r.failed, r.unanswered)
}

#[test_case(|_| Some("+OK\r\n") => (100, 0, 0, 0); "accepted")]
#[test_case(|n| Some(if n % 4 == 0 { "-BUSY 500\r\n" } else { "+OK\r\n" }) => (75, 25, 0, 0); "rejected")]
#[test_case(|n| Some(if n % 10 == 0 { "-ERR no\r\n" } else { "$2\r\n" }) => (90, 0, 10, 0); "failed, or accepted with a bulk string")]
#[test_case(|n| (n % 5 != 0).then_some("+OK\r\n") => (80, 0, 0, 20); "connection closed")]
fn every_answer_is_counted(
    answer: impl Fn(u64) -> Option<&'static str> + Send + Sync + 'static,
) -> (u64, u64, u64, u64) {
    let report = run(&plan(start_relay(answer), 500.0, ms(200), 1)).expect("a report");
    assert_eq!(report.due, 100);
    counts(&report)
}

#[test]
fn latency_of_messages_delayed_by_a_stall_is_measured_from_their_due_time() {
    let stall_once = |n| {
        if n == 40 {
            sleep(ms(400));
        }
        Some("+OK\r\n")
    };
    let report = run(&plan(start_relay(stall_once), 100.0, ms(2_000), 1)).expect("a report");
    // 40 of the 200 messages became due during the stall, so it must show in the 90th percentile too.
    assert_eq!(counts(&report), (200, 0, 0, 0));
    assert!(report.max_ms >= 395.0 && report.p90_ms >= 150.0, "{report}");
    assert!(report.p50_ms < 150.0, "{report}");
}

#[test]
fn search_finds_the_highest_rate_with_answers_in_time() {
    // One connection with 5 ms per answer sustains slightly less than 200 messages a second.
    let slow = |_| {
        sleep(ms(5));
        Some("+OK\r\n")
    };
    let (mut trials, relay) = (0, start_relay(slow));
    let best =
        search(&plan(relay, 40.0, ms(400), 1), ms(60), |_| trials += 1).expect("a search").expect("a rate");
    // At rate r for 0.4 s and with 5 ms per answer, the wait at the 99th percentile is about
    // 0.4 * r * 5 ms - 0.4 s, which is within 60 ms up to about 232 messages a second. A bound of 220 is too low: with
    // exact sleeps the search correctly finds 222.
    assert!((40.0..240.0).contains(&best) && trials >= 6, "{best} after {trials} trials");
    assert_eq!(search(&plan(relay, 4_000.0, ms(300), 1), ms(1), |_| {}).expect("a search"), None);
}

#[test]
fn invalid_plans_are_rejected_with_one_line() {
    let error_of = |change: &dyn Fn(&mut Plan)| {
        let mut plan = plan("127.0.0.1:1".parse().expect("an address"), 10.0, ms(100), 1);
        change(&mut plan);
        run(&plan).expect_err("an invalid plan").to_string()
    };
    let not_loopback = error_of(&|plan| plan.relay = "192.0.2.1:6390".parse().expect("an address"));
    assert_eq!(
        not_loopback,
        "192.0.2.1:6390 is not a loopback address; the load tool connects only to loopback addresses"
    );
    assert_eq!(
        error_of(&|plan| plan.schedule.start_rate = 0.0),
        "the rates and the length of the schedule must be above 0"
    );
    assert_eq!(
        error_of(&|plan| plan.destinations.clear()),
        "at least one connection and one destination are needed"
    );
}
