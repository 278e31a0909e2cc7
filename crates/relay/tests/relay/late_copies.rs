//! Endpoints that send a second copy of a response, also while the connection carries a later call.

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use std::collections::{BTreeMap, BTreeSet};
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Number of messages, submitted in intervals of `SUBMIT_INTERVAL`.
const MESSAGES: usize = 200;
const SUBMIT_INTERVAL: Duration = Duration::from_millis(14);
/// Time to the deadline of each message.
const TIME_TO_DEADLINE: Duration = Duration::from_millis(4_000);
/// Time after its deadline by which a message has its end, by the protocol.
const END_GRACE: Duration = Duration::from_millis(300);

/// Number of times that each message ran.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Kind of an endpoint, by which the relay tells its responses from late copies.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EndpointKind {
    /// Takes one message in a call; announces the end of a connection if the request asks for it.
    Single,
    /// The same, but ignores requests for the end of a connection.
    IgnoringClose,
    /// Takes several messages in a call and names them in its responses.
    Batch,
}

/// Starts an endpoint that rejects three of ten calls and sends a second copy of one response in five, of any status,
/// after `copy_delay`.
fn endpoint_with_late_copies(kind: EndpointKind, copy_delay: Duration, runs: &Runs) -> Server {
    let (calls, runs) = (AtomicUsize::new(0), runs.clone());
    let handler = move |request: &Request| {
        let number = calls.fetch_add(1, Ordering::SeqCst);
        let text = match number % 10 {
            0 | 5 => "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_string(),
            7 => "HTTP/1.1 429 X\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n".to_string(),
            _ => {
                let mut body = String::new();
                for id in request.ids() {
                    *runs.lock().expect("lock the runs").entry(id.clone()).or_default() += 1;
                    body += &format!("{id} delivered\r\n");
                }
                format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
        };
        let service_time = ms(20 + (number * 13 % 60) as u64);
        if number / 2 % 5 == 0 {
            ServerAction::RespondTwice(text, service_time, copy_delay)
        } else {
            ServerAction::Respond(text, service_time)
        }
    };
    if kind == EndpointKind::IgnoringClose { Server::ignoring_close(handler) } else { Server::start(handler) }
}

// Guards against a late copy that is taken for the response to the next call on its connection: a copy of a 200 ended a
// message that the endpoint then rejected, so that it was lost; a copy of a 503 let a payment be sent again that the
// endpoint then ran.
#[test_case(EndpointKind::Single, 0; "single calls, at once")]
#[test_case(EndpointKind::Single, 5; "single calls, after 5 ms")]
#[test_case(EndpointKind::Single, 30; "single calls, after 30 ms")]
#[test_case(EndpointKind::Single, 60; "single calls, after 60 ms")]
#[test_case(EndpointKind::Single, 700; "single calls, after 700 ms")]
#[test_case(EndpointKind::IgnoringClose, 0; "single calls, close ignored, at once")]
#[test_case(EndpointKind::IgnoringClose, 5; "single calls, close ignored, after 5 ms")]
#[test_case(EndpointKind::IgnoringClose, 30; "single calls, close ignored, after 30 ms")]
#[test_case(EndpointKind::IgnoringClose, 60; "single calls, close ignored, after 60 ms")]
#[test_case(EndpointKind::IgnoringClose, 700; "single calls, close ignored, after 700 ms")]
#[test_case(EndpointKind::Batch, 0; "batch calls, at once")]
#[test_case(EndpointKind::Batch, 5; "batch calls, after 5 ms")]
#[test_case(EndpointKind::Batch, 30; "batch calls, after 30 ms")]
#[test_case(EndpointKind::Batch, 60; "batch calls, after 60 ms")]
#[test_case(EndpointKind::Batch, 700; "batch calls, after 700 ms")]
fn late_copy_of_a_response_ends_no_other_message(kind: EndpointKind, copy_delay_ms: u64) {
    let runs = Runs::default();
    let endpoint = endpoint_with_late_copies(kind, ms(copy_delay_ms), &runs);
    let listed_kind = if kind == EndpointKind::Batch { "bulk" } else { "single" };
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, listed_kind)]);
    let relay = fixture.start_relay();
    let mut client = Client(BufReader::new(TcpStream::connect(relay.listen).expect("connect")));
    let (start, mut accepted) = (Instant::now(), BTreeMap::new());
    for number in 0..MESSAGES {
        let class = ["once", "any", "pay", "once"][number % 4];
        let key = if class == "pay" { 1 + number as u64 } else { 0 };
        let parameters = format!("c={class},d={},dest=7", TIME_TO_DEADLINE.as_millis());
        let id = format!("m{number}");
        if client.request(&submit_request(&id, key, &parameters, b"x")) == "+OK" {
            accepted.insert(id, class);
        }
        let next = start + SUBMIT_INTERVAL * (number as u32 + 1);
        sleep(next.saturating_duration_since(Instant::now()));
    }
    sleep(TIME_TO_DEADLINE + END_GRACE);
    let runs = runs.lock().expect("lock the runs").clone();
    let notifications = fixture.platform.notifications().concat();
    let ran_twice: Vec<_> =
        runs.iter().filter(|(id, runs)| **runs > 1 && accepted.get(*id) != Some(&"any")).collect();
    assert!(ran_twice.is_empty(), "ran more than once: {ran_twice:?}");
    let has_end = |id: &String| runs.contains_key(id) || notifications.contains(&format!("\"{id}\""));
    let lost: BTreeSet<_> = accepted.keys().filter(|id| !has_end(id)).collect();
    assert!(lost.is_empty(), "neither delivered nor notified: {lost:?}");
    assert!(runs.len() > MESSAGES / 4, "{} of {MESSAGES} messages delivered", runs.len());
}

// Guards against a notification that the platform rejected and the relay took to be acknowledged, by a late copy of an
// earlier response.
#[test]
fn late_copy_of_a_response_acknowledges_no_other_notification() {
    const COPY_DELAY: Duration = Duration::from_millis(15);
    const FAILED_MESSAGES: usize = 60;
    let endpoint = Server::start(|_| respond(500, "", ""));
    let acknowledged: Arc<Mutex<String>> = Arc::default();
    let (calls, acknowledging) = (AtomicUsize::new(0), acknowledged.clone());
    let platform = Server::start(move |request| {
        if request.path != "/status" {
            return ServerAction::Hang;
        }
        let text = if calls.fetch_add(1, Ordering::SeqCst) % 3 == 1 {
            "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
        } else {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            acknowledging.lock().expect("lock the notifications").push_str(&body);
            "HTTP/1.1 204 X\r\n\r\n"
        };
        ServerAction::RespondTwice(text.into(), ms(10), COPY_DELAY)
    });
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["discovery"] = platform.address.to_string().into();
    let relay = fixture.start_relay();
    let mut accepted = Vec::new();
    for number in 0..FAILED_MESSAGES {
        let id = format!("m{number}");
        if relay.submit(&id, 0, "c=once,d=2000,dest=7", b"x") == "+OK" {
            accepted.push(id);
        }
        sleep(SUBMIT_INTERVAL);
    }
    sleep(ms(2_000) + END_GRACE);
    let acknowledged = acknowledged.lock().expect("lock the notifications").clone();
    let lost: Vec<_> = accepted.iter().filter(|id| !acknowledged.contains(&format!("\"{id}\""))).collect();
    assert!(lost.is_empty(), "not acknowledged: {lost:?} of {}", accepted.len());
    assert!(accepted.len() > FAILED_MESSAGES / 4, "{} messages accepted", accepted.len());
}
