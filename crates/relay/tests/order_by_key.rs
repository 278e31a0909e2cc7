//! Messages of one ordering key never overtake each other, however the previous call ends.

#[allow(dead_code)]
#[path = "support/mod.rs"]
mod support;

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Hold-off of a key after an attempt that may still be running. Longer than usual, to tell it from the delays of a busy
/// machine.
const HOLD_OFF: Duration = Duration::from_millis(1_200);
/// Tolerance of the protocol for delays of sockets: the server notices the end of a call after the relay has ended it.
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// Maximum gap before the next message of a key without a hold-off.
const MAX_GAP_WITHOUT_HOLD_OFF: Duration = Duration::from_millis(800);
/// Time to the deadline of messages whose call may end at the relay's timeout.
const SHORT_DEADLINE_MS: u64 = 2_500;
/// Number of cases that one relay runs concurrently, each with its own destination.
const CONCURRENT_CASES: usize = 16;

/// An endpoint's response to its first call, and the expected effect on the key.
struct Case {
    name: String,
    first_response: ServerAction,
    /// Whether the attempt may still be running from the relay's point of view.
    needs_hold_off: bool,
    /// Whether the call carries two messages.
    is_batch: bool,
}

fn incomplete(name: &str, steps: Vec<Step>) -> Case {
    Case {
        name: name.into(),
        first_response: ServerAction::Script(steps),
        needs_hold_off: true,
        is_batch: false,
    }
}

fn incomplete_batch(name: &str, steps: Vec<Step>) -> Case {
    Case { is_batch: true, ..incomplete(name, steps) }
}

fn write(text: &str) -> Step {
    Step::Write(text.as_bytes().to_vec())
}

/// Returns cases in which the endpoint may still be working after the end of the call: the relay cancelled the call, or the
/// response was truncated.
fn incomplete_responses() -> Vec<Case> {
    const WITH_LENGTH: &str = "HTTP/1.1 500 X\r\nContent-Length: 50\r\n\r\nbegun";
    const BAD_CHUNK: &str = "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbegun";
    let oversized = format!("HTTP/1.1 500 X\r\nContent-Length: 900000\r\n\r\n{}", "x".repeat(400_000));
    let dripped_response = b"HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\nsome text".to_vec();
    let stalled = |name: &str, text: &str| incomplete(name, vec![write(text), Step::AwaitPeerClose]);
    vec![
        incomplete("no response", vec![Step::AwaitPeerClose]),
        incomplete("closed connection", vec![]),
        incomplete("reset", vec![Step::Reset]),
        incomplete("half-closed without a response", vec![Step::ShutdownWrite, Step::AwaitPeerClose]),
        stalled("stalled status line", "HTTP/1.1 5"),
        stalled("stalled body with a length", WITH_LENGTH),
        stalled("chunk with an invalid size", BAD_CHUNK),
        stalled("stalled body without a length", "HTTP/1.1 500 X\r\n\r\nbegun"),
        stalled("oversized body", &oversized),
        stalled("non-HTTP bytes", "what is this\r\n\r\n"),
        stalled(
            "two Content-Length headers",
            "HTTP/1.1 500 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        ),
        stalled("stalled rejection", "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nsor"),
        stalled("interim response only", "HTTP/1.1 102 X\r\n\r\n"),
        stalled("stalled success", "HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\nbegun"),
        incomplete("truncated body", vec![write(WITH_LENGTH)]),
        incomplete("reset within the body", vec![write(WITH_LENGTH), Step::Reset]),
        incomplete(
            "half-closed within the body",
            vec![write(WITH_LENGTH), Step::ShutdownWrite, Step::AwaitPeerClose],
        ),
        incomplete(
            "one byte every 100 ms",
            vec![Step::Drip(dripped_response, ms(100)), Step::AwaitPeerClose],
        ),
        incomplete_batch("batch, no response", vec![Step::AwaitPeerClose]),
        incomplete_batch(
            "batch, stalled success",
            vec![write("HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\n"), Step::AwaitPeerClose],
        ),
        incomplete_batch(
            "batch, truncated success",
            vec![write("HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\n")],
        ),
        incomplete_batch("batch, stalled error", vec![write(WITH_LENGTH), Step::AwaitPeerClose]),
    ]
}

/// Returns cases with a complete response: nothing runs any more, and the next message need not wait.
fn complete_responses() -> Vec<Case> {
    let complete = |name: &str, text: &str| {
        let first_response = ServerAction::Respond(text.into(), Duration::ZERO);
        Case { name: name.into(), first_response, needs_hold_off: false, is_batch: false }
    };
    vec![
        complete("error", "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops"),
        complete(
            "chunked error",
            "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n",
        ),
        complete(
            "error with Connection: close",
            "HTTP/1.1 500 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        ),
        complete("success", "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"),
    ]
}

/// Result of a case: the time from the end of the first call to the next message of the key.
struct CaseResult {
    case: Case,
    gap: Option<Duration>,
}

/// Number of stalls of the process in 1,000 reads of a clock.
const STALL_RATE: u64 = 20;
/// Length of a stall.
const STALL_DURATION: Duration = Duration::from_millis(150);

/// Runs cases concurrently, each with its own destination: a message of the class, then another one of its key. Stalls the
/// relay process from time to time if `has_stalls`.
fn run_cases(cases: Vec<Case>, class: &str, has_stalls: bool) -> Vec<CaseResult> {
    let servers: Vec<Server> = cases.iter().map(|case| server(case.first_response.clone())).collect();
    let kind = |case: &Case| if case.is_batch { "bulk" } else { "single" };
    let members: Vec<Value> = (cases.iter().zip(&servers).enumerate())
        .map(|(n, (case, server))| member(&format!("e{n}"), server.address, n as u32 + 1, kind(case)))
        .collect();
    let mut fixture = fixture(0, members);
    fixture.config["settings"]["obligations"]["orderPause"] = json!(HOLD_OFF.as_micros() as u64);
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    let mut client = relay.client();
    if has_stalls {
        faults.set_clock_read_delay(STALL_DURATION, STALL_RATE).expect("set the stalls");
    }
    for (n, case) in cases.iter().enumerate() {
        let parameters = |class: &str| format!("c={class},d={SHORT_DEADLINE_MS},dest={}", n + 1);
        let key = n as u64 + 1;
        let ids = [format!("first{n}"), format!("other{n}"), format!("next{n}")];
        let mut requests = submit_request(&ids[0], key, &parameters(class), b"x");
        if case.is_batch {
            requests.extend(submit_request(&ids[1], 0, &parameters("any"), b"x"));
        }
        // A later deadline, so that the message outlasts the hold-off.
        let next_parameters = format!("c={class},d=15000,dest={}", n + 1);
        requests.extend(submit_request(&ids[2], key, &next_parameters, b"x"));
        client.send(&requests);
        let replies = if case.is_batch { 3 } else { 2 };
        for _ in 0..replies {
            assert_eq!(client.read_reply(), "+OK");
        }
    }
    let received_at = |server: &Server, id: &str| {
        server
            .requests()
            .iter()
            .find(|request| request.ids().iter().any(|received| received == id))
            .map(|request| request.at)
    };
    let all_received = || (0..cases.len()).all(|n| received_at(&servers[n], &format!("next{n}")).is_some());
    let deadline = Instant::now() + Duration::from_secs(14);
    while !all_received() && Instant::now() < deadline {
        std::thread::sleep(ms(20));
    }
    let gap = |n: usize| {
        let ended_at = servers[n].first_call_end(&format!("first{n}"))?;
        let next_at = received_at(&servers[n], &format!("next{n}"))?;
        Some(next_at.saturating_duration_since(ended_at))
    };
    let gaps: Vec<Option<Duration>> = (0..cases.len()).map(gap).collect();
    // By the relay's own clock each hold-off must have its full length: its guard logs each one that is shorter.
    let violations: Vec<String> =
        fixture.log().lines().filter(|line| line.contains(" violation ")).map(String::from).collect();
    assert!(violations.is_empty(), "{violations:#?}");
    cases.into_iter().zip(gaps).map(|(case, gap)| CaseResult { case, gap }).collect()
}

/// Starts an endpoint that handles its first call like this and responds to all others with 200.
fn server(first: ServerAction) -> Server {
    let first = std::sync::Mutex::new(Some(first));
    Server::start(move |_| first.lock().expect("lock the action").take().unwrap_or_else(ok))
}

/// Returns the cases with a hold-off that was too short or unnecessary.
fn cases_with_wrong_gap(cases: Vec<Case>, class: &str, has_stalls: bool) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut cases = cases.into_iter().peekable();
    while cases.peek().is_some() {
        let batch: Vec<Case> = cases.by_ref().take(CONCURRENT_CASES).collect();
        for CaseResult { case, gap } in run_cases(batch, class, has_stalls) {
            let is_expected = gap.is_some_and(|gap| {
                if case.needs_hold_off {
                    gap >= HOLD_OFF - SOCKET_TOLERANCE
                } else {
                    gap < MAX_GAP_WITHOUT_HOLD_OFF
                }
            });
            if !is_expected {
                wrong.push(format!("{class}: {}: {gap:?}", case.name));
            }
        }
    }
    wrong
}

// Guards against a message that is sent while the previous message of its key may still run. An endpoint began its
// response and kept working; the relay closed the call after half a second, as the response was unreadable, and sent the
// next message of the key 6 to 10 ms later. One value told both the result for the circuit breaker and whether the attempt
// may still run, so an unreadable response counted as a complete error response. By the protocol the relay cancelled such a
// call, and a truncated response is a reset: both require a hold-off of the key.
#[test]
fn incomplete_response_starts_a_hold_off_of_its_key() {
    let wrong = [
        cases_with_wrong_gap(incomplete_responses(), "pay", false),
        cases_with_wrong_gap(incomplete_responses(), "line", false),
    ]
    .concat();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

// The hold-off starts after the end of the call, even if the process stalls in between.
#[test]
fn process_stalls_do_not_shorten_the_hold_off() {
    let wrong = cases_with_wrong_gap(incomplete_responses(), "pay", true);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

// An unnecessary hold-off would delay the messages of the key.
#[test]
fn complete_response_starts_no_hold_off_of_its_key() {
    let wrong = cases_with_wrong_gap(complete_responses(), "pay", false);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

// A client that got no reply submits its message again under a new id over another connection, while the first request is
// still unread. Whichever connection the relay reads first, the next message of the key must be sent last, and the
// abandoned copy must not be sent in between.
#[test]
fn message_resubmitted_under_a_new_id_keeps_its_position() {
    const ROUNDS: usize = 12;
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    let request = |id: &str| submit_request(id, 5, "c=pay,d=12000,dest=7", b"x");
    for round in 0..ROUNDS {
        // Both are opened first, so that the relay does not always read them in the order of their requests.
        let mut connections = [relay.client(), relay.client()];
        if round % 2 == 1 {
            connections.reverse();
        }
        let [mut abandoned, mut resubmitting] = connections;
        relay.signal("STOP");
        wait_until("the relay to be suspended", || relay.is_suspended());
        abandoned.send(&request(&format!("abandoned{round}")));
        drop(abandoned);
        resubmitting.send(&request(&format!("resubmitted{round}")));
        relay.signal("CONT");
        assert_eq!(resubmitting.read_reply(), "+OK");
        assert_eq!(resubmitting.request(&request(&format!("next{round}"))), "+OK");
        wait_until("the next message", || endpoint.ids().contains(&format!("next{round}")));
    }
    let ids = endpoint.ids();
    for round in 0..ROUNDS {
        let position = |name: &str| ids.iter().position(|id| *id == format!("{name}{round}"));
        assert!(
            position("resubmitted").expect("delivered") < position("next").expect("delivered"),
            "{ids:?}"
        );
        assert!(
            position("abandoned")
                .is_none_or(|abandoned| abandoned < position("resubmitted").expect("delivered")),
            "{ids:?}"
        );
    }
}
