//! The load tool against a stand-in that takes, refuses, stalls and breaks off.

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

/// Answers each command, counted over all connections from 0, with what `says` gives; nothing ends the connection.
fn stand_in(says: impl Fn(u64) -> Option<&'static str> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let (says, count) = (Arc::new(says), Arc::new(AtomicU64::new(0)));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (says, count) = (says.clone(), count.clone());
            spawn(move || serve(stream, &*says, &count));
        }
    });
    at
}

fn serve(mut stream: TcpStream, says: &dyn Fn(u64) -> Option<&'static str>, count: &AtomicU64) {
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
            // No word of these tests holds a line's end.
            if line().is_none() {
                return;
            }
        }
        match says(count.fetch_add(1, Ordering::SeqCst)) {
            Some(text) => drop(stream.write_all(text.as_bytes())),
            None => return,
        }
    }
    let _ = stream.read(&mut [0]);
}

fn plan(to: SocketAddr, rate: f64, length: Duration, connections: usize) -> Plan {
    Plan {
        relay: to,
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

#[test_case(|_| Some("+OK\r\n") => (100, 0, 0, 0); "taken")]
#[test_case(|n| Some(if n % 4 == 0 { "-BUSY 500\r\n" } else { "+OK\r\n" }) => (75, 25, 0, 0); "pushed back")]
#[test_case(|n| Some(if n % 10 == 0 { "-ERR no\r\n" } else { "$2\r\n" }) => (90, 0, 10, 0); "failed, and a bulk answer")]
#[test_case(|n| (n % 5 != 0).then_some("+OK\r\n") => (80, 0, 0, 20); "broken off")]
fn every_answer_is_counted(
    says: impl Fn(u64) -> Option<&'static str> + Send + Sync + 'static,
) -> (u64, u64, u64, u64) {
    let report = run(&plan(stand_in(says), 500.0, ms(200), 1)).expect("a report");
    assert_eq!(report.due, 100);
    counts(&report)
}

#[test]
fn what_waits_behind_a_stall_counts_from_when_it_was_due() {
    let stalls = |n| {
        if n == 40 {
            sleep(ms(400));
        }
        Some("+OK\r\n")
    };
    let report = run(&plan(stand_in(stalls), 100.0, ms(2_000), 1)).expect("a report");
    // Forty of two hundred fell due while it stood still, not one.
    assert_eq!(counts(&report), (200, 0, 0, 0));
    assert!(report.max_ms >= 395.0 && report.p90_ms >= 150.0, "{report}");
    assert!(report.p50_ms < 150.0, "{report}");
}

#[test]
fn a_search_stops_where_answers_get_late() {
    // One connection, and every answer takes five milliseconds: it bears something under 200 a second.
    let slow = |_| {
        sleep(ms(5));
        Some("+OK\r\n")
    };
    let (mut tried, to) = (0, stand_in(slow));
    let best =
        search(&plan(to, 40.0, ms(400), 1), ms(60), |_| tried += 1).expect("a search").expect("a rate");
    // The bound follows from the plan: a rate r borne for 0.4 s with answers of 5 ms keeps the 99th
    // percentile's wait, about 0.4 * r * 5 ms - 0.4 s, within 60 ms only up to about 232 a second. Guards
    // against a bound of 220 that failed whenever sleeps came out exact (222 was found, rightly).
    assert!((40.0..240.0).contains(&best) && tried >= 6, "{best} after {tried}");
    assert_eq!(search(&plan(to, 4_000.0, ms(300), 1), ms(1), |_| {}).expect("a search"), None);
}

#[test]
fn what_can_not_be_played_is_one_line() {
    let refused = |change: &dyn Fn(&mut Plan)| {
        let mut p = plan("127.0.0.1:1".parse().expect("an address"), 10.0, ms(100), 1);
        change(&mut p);
        run(&p).expect_err("refused").to_string()
    };
    let elsewhere = refused(&|p| p.relay = "192.0.2.1:6390".parse().expect("an address"));
    assert_eq!(elsewhere, "192.0.2.1:6390 is no loopback address: this tool loads nothing else");
    assert_eq!(refused(&|p| p.schedule.from = 0.0), "a rate above 0 and a span above 0 are needed");
    assert_eq!(refused(&|p| p.destinations.clear()), "a connection and a destination are needed");
}
