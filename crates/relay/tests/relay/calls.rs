//! Calls to endpoints: contents of requests, when calls are allowed, and the effect of each response.

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn request_carries_the_submitted_body_and_headers() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    let body: Vec<u8> = (0..=255).chain(*b"\r\n$5\r\n\0").collect();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,x=new,k=abc-1,dest=7", &body), "+OK");
    wait_until("the call", || endpoint.requests().len() == 1);
    let request = &endpoint.requests()[0];
    let header = |name: &str| request.headers.get(name).map(String::as_str);
    assert_eq!((request.path.as_str(), &request.body), ("/receive", &body));
    assert_eq!((header("x-request-id"), header("idempotency-key")), (Some("m1"), Some("abc-1")));
    let timeout_ms: u64 = header("x-timeout-ms").and_then(|text| text.parse().ok()).expect("a timeout");
    assert!(timeout_ms > 0 && timeout_ms <= 8_000, "{timeout_ms}");
    // The first response shows that the endpoint announces the end of a connection. Each later connection carries a second
    // call, which asks for the end. A delivered message causes no notification.
    for (calls, id) in [(2, "m2"), (3, "m3"), (4, "m4")] {
        sleep(ms(50));
        relay.submit(id, 0, "c=once,d=8000,dest=7", b"");
        wait_until("the call", || endpoint.requests().len() == calls);
    }
    let requests = endpoint.requests();
    let calls: Vec<_> = requests.iter().map(|r| (r.connection, r.asks_to_close())).collect();
    assert_eq!(calls, [(0, true), (1, false), (1, true), (2, false)]);
    assert!(fixture.platform.notifications().is_empty());
}

#[test]
fn messages_of_one_batch_are_resolved_individually() {
    let endpoint = Server::start(|r| {
        let batch_response = |ends: &[&str]| {
            let lines: Vec<String> =
                r.ids().iter().zip(ends).map(|(id, end)| format!("{id} {end}\r\n")).collect();
            respond(200, "Retry-After: 0.7\r\n", &lines.concat())
        };
        if r.path == "/receive-many" {
            batch_response(&["delivered", "failed", "refused", "over", "spent"])
        } else {
            ok()
        }
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "bulk")]);
    let relay = fixture.start_relay();
    let parameters = "c=any,d=8000,k=key1,dest=7";
    let four = ["a", "b", "c", "d"].map(|id| submit_request(id, 0, parameters, b"x\r\ny")).concat();
    let mut client = relay.client();
    client.send(&[four, submit_request("e", 0, "c=any,d=8000,dest=7", b"")].concat());
    assert_eq!([(); 5].map(|()| client.read_reply()), ["+OK"; 5]);
    wait_until("the rejected messages", || endpoint.ids().len() == 8);
    sleep(ms(300));
    let requests = endpoint.requests();
    let line = "key1 4\r\nx\r\ny\r\n";
    let body = format!("a {line}b {line}c {line}d {line}e - 0\r\n\r\n");
    assert_eq!(String::from_utf8_lossy(&requests[0].body), body);
    // Delivered messages and those answered `over` are not sent again; the others only after the Retry-After.
    let mut later: Vec<String> = endpoint.ids().split_off(5);
    later.sort();
    assert_eq!(later, ["b", "c", "e"]);
    assert!(requests[1].at.duration_since(requests[0].at) >= ms(700));
}

#[test]
fn retry_after_in_a_successful_batch_response_is_obeyed() {
    let all_delivered =
        |r: &Request| r.ids().iter().map(|id| format!("{id} delivered\r\n")).collect::<String>();
    let endpoint = Server::start(move |r| {
        if r.path == "/receive-many" { respond(200, "Retry-After: 0.8\r\n", &all_delivered(r)) } else { ok() }
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "bulk")]);
    let relay = fixture.start_relay();
    relay.client().request(&["a", "b"].map(|id| submit_request(id, 0, "c=any,d=8000,dest=7", b"")).concat());
    wait_until("the first call", || endpoint.ids().len() == 2);
    sleep(ms(50));
    relay.submit("c", 0, "c=any,d=8000,dest=7", b"");
    wait_until("the second call", || endpoint.ids().len() == 3);
    let requests = endpoint.requests();
    assert!(requests[1].at.duration_since(requests[0].at) >= ms(800));
}

// Without a listed rate, responses report the limit (`X-Server-Load`): a burst of messages is sent at that rate.
// Unreadable reports have no effect.
#[test_case("X-Server-Load: x0=0.4, x1=4\r\n" => true; "readable report")]
#[test_case("X-Server-Load: x1=,x1=NaN,x0=4,{\r\n" => false; "unreadable report")]
fn rate_limit_reported_in_responses_paces_calls(header: &'static str) -> bool {
    let endpoint = Server::start(move |_| respond(200, header, ""));
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["weights"] = json!("none");
    fixture.config["settings"]["loadInfo"] = json!({"source": "answers", "fields": ["x0", "x1"]});
    fixture.config["settings"]["familyInfo"]["reportX1"] =
        json!("calls a second that the limit allows; 0 where none");
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m", 0, "c=any,d=15000,dest=7", b"x"), "+OK");
    wait_until("the first call", || endpoint.ids().len() == 1);
    sleep(ms(100));
    let all: Vec<u8> =
        (0..8).flat_map(|n| submit_request(&format!("m{n}"), 0, "c=any,d=15000,dest=7", b"x")).collect();
    let mut client = relay.client();
    client.send(&all);
    wait_until("the calls", || endpoint.ids().len() == 9);
    let requests = endpoint.requests();
    requests[8].at.duration_since(requests[1].at) > ms(800)
}

#[test]
fn call_with_slow_connect_obeys_a_retry_after_received_meanwhile() {
    let (listener, fillers) = full_listener();
    let address = listener.local_addr().expect("local address");
    let first = AtomicBool::new(true);
    let is_first = move |_: &Request| first.swap(false, Ordering::SeqCst);
    let rejecting =
        Server::start(move |r| if is_first(r) { respond(429, "Retry-After: 2\r\n", "") } else { ok() });
    let fixture =
        fixture(0, vec![member("e1", address, 7, "single"), member("e2", rejecting.address, 7, "single")]);
    let relay = fixture.start_relay();
    relay.client().request(&["a", "b"].map(|id| submit_request(id, 0, "c=any,d=8000,dest=7", b"")).concat());
    wait_until("the rejected call", || rejecting.ids().len() == 1);
    drop(fillers);
    let late = Server::on(listener, |_| ok());
    wait_until("both messages", || rejecting.ids().len() + late.ids().len() == 3);
    assert!(fixture.log().contains("call to endpoint e1 not made: no longer allowed"));
    let all = [rejecting.requests(), late.requests()].concat();
    let gap = |r: &Request| r.at.duration_since(all[0].at);
    assert!(all[1..].iter().all(|r| gap(r) >= ms(2_000)), "{:?}", all.iter().map(gap).collect::<Vec<_>>());
}

#[test]
fn call_with_slow_connect_obeys_a_drain_reported_meanwhile() {
    // The relay can't know when discovery published the drain, so the relay obeys it as soon as it is read, even within the grace.
    let (listener, fillers) = full_listener();
    let e1 = member("e1", listener.local_addr().expect("local address"), 7, "single");
    let other = Server::start(|_| ok());
    let fixture = fixture(0, vec![e1.clone()]);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    sleep(ms(200));
    let mut draining = e1;
    draining["phase"] = json!("Terminating");
    fixture.platform.set_members(vec![draining, member("e2", other.address, 7, "single")]);
    wait_until("the list", || fixture.log().contains("list 3:"));
    drop(fillers);
    let late = Server::on(listener, |_| ok());
    wait_until("the call to the other endpoint", || other.ids() == ["m1"]);
    assert_eq!(late.ids().len(), 0);
    assert!(fixture.log().contains("call to endpoint e1 not made: no longer allowed"));
}

#[test]
fn resumed_relay_polls_discovery_before_sending() {
    let rejects = AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        if rejects.swap(false, Ordering::SeqCst) { respond(429, "Retry-After: 0.6\r\n", "") } else { ok() }
    });
    let e1 = member("e1", endpoint.address, 7, "single");
    let fixture = fixture(0, vec![e1.clone()]);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=15000,dest=7", b"1"), "+OK");
    wait_until("the first call", || endpoint.ids().len() == 1);
    sleep(ms(100));
    relay.signal("STOP");
    wait_until("the relay to be suspended", || relay.is_suspended());
    let mut draining = e1;
    draining["phase"] = json!("Terminating");
    fixture.platform.set_members(vec![draining]);
    sleep(ms(1_500));
    relay.signal("CONT");
    sleep(ms(700));
    assert_eq!(endpoint.ids(), ["m1"]);
}

#[test]
fn batch_call_ends_at_the_shortest_timeout_of_its_messages() {
    // Every batch call gets a successful response, but after the deadline of its first message.
    let all_delivered =
        |r: &Request| r.ids().iter().map(|id| format!("{id} delivered\r\n")).collect::<String>();
    let endpoint = Server::start(move |r| {
        let text = all_delivered(r);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if r.path == "/receive-many" { ServerAction::Respond(head + &text, ms(1_600)) } else { ok() }
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "bulk")]);
    let relay = fixture.start_relay();
    let start = Instant::now();
    let both = [
        submit_request("m1", 9, "c=line,d=900,dest=7", b""),
        submit_request("long", 0, "c=any,d=8000,dest=7", b""),
    ];
    assert_eq!(relay.client().request(&both.concat()), "+OK");
    relay.submit("m2", 9, "c=line,d=8000,dest=7", b"");
    wait_until("the notification", || {
        fixture.platform.notifications() == [r#"{"id":"m1","state":"failed"}"#]
    });
    assert!(start.elapsed() < ms(900 + 300), "{:?}", start.elapsed());
    // The relay ended the call at the timeout in X-Timeout-Ms: the other message is sent again before the late response.
    wait_until("the retry of the other message", || {
        endpoint.ids().iter().filter(|id| *id == "long").count() == 2
    });
    let (first, retried_after) = (&endpoint.requests()[0], start.elapsed());
    let timeout_ms: u64 = first.headers["x-timeout-ms"].parse().expect("a timeout");
    assert!(
        timeout_ms <= 900 && retried_after < ms(1_600),
        "timeout {timeout_ms} ms, retry after {retried_after:?}"
    );
    wait_until("the next message of the key", || endpoint.ids().contains(&"m2".to_string()));
    let at = endpoint.requests().iter().find(|r| r.ids().contains(&"m2".into())).expect("m2").at;
    assert!(at.duration_since(start) >= ms(720 + 300), "{:?}", at.duration_since(start));
    assert_eq!(fixture.platform.notifications().len(), 1);
}

#[test]
fn timeout_starts_a_hold_off_of_its_key() {
    let endpoint = Server::start(|r| if r.ids()[0] == "m1" { ServerAction::Hang } else { ok() });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    relay.submit("m1", 9, "c=pay,d=1000,dest=7", b"x");
    relay.submit("m2", 9, "c=pay,d=8000,dest=7", b"x");
    wait_until("the second message of the key", || endpoint.ids().len() == 2);
    let notified_at =
        fixture.platform.server.requests().iter().rfind(|r| r.path == "/status").expect("a notification").at;
    assert!(
        endpoint.requests()[1].at.duration_since(notified_at) >= ms(250),
        "the first attempt may still be running"
    );
}

#[test_case(503, "", "once" => 2; "503 is retried")]
#[test_case(429, "Retry-After: 0.3\r\n", "once" => 2; "429 with Retry-After is retried")]
#[test_case(503, "Slots-Taken: 1\r\n", "once" => 2; "503 with Slots-Taken is retried")]
#[test_case(500, "", "once" => 1; "500 fails a non-idempotent message")]
#[test_case(500, "", "any" => 2; "500 is retried for an idempotent message")]
#[test_case(410, "", "any" => 1; "410 is not retried")]
#[test_case(0, "", "once" => 1; "closed connection fails a non-idempotent message")]
#[test_case(0, "", "any" => 2; "closed connection is retried for an idempotent message")]
#[test_case(1, "", "once" => 1; "non-HTTP response fails a non-idempotent message")]
fn response_status_decides_whether_a_message_is_retried(
    status: u16,
    headers: &'static str,
    class: &str,
) -> usize {
    let first = AtomicBool::new(true);
    let endpoint = Server::start(move |_| match (first.swap(false, Ordering::SeqCst), status) {
        (false, _) => ok(),
        (true, 0) => ServerAction::Close,
        (true, 1) => ServerAction::Respond("SMTP ready\r\n\r\n".into(), Duration::ZERO),
        (true, _) => respond(status, headers, ""),
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    relay.submit("m1", 0, &format!("c={class},d=8000,dest=7"), b"x");
    let failed = class == "once" && matches!(status, 500 | 0 | 1);
    if failed {
        wait_until("the notification", || {
            fixture.platform.notifications() == [r#"{"id":"m1","state":"failed"}"#]
        });
    }
    sleep(ms(900));
    assert_eq!(fixture.platform.notifications().len(), usize::from(failed));
    endpoint.ids().len()
}

// Returns whether the message failed and whether its connection was reused. A malformed 200 still counts as a delivery;
// a malformed rejection counts as an attempt that may have run. The connection of either must not be reused.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc" => (false, false); "stalled body")]
#[test_case("HTTP/1.1 200 OK\r\nX-" => (false, false); "stalled head")]
#[test_case("HTTP/1.1 200 OK\r\n \x01 : :\r\n\r\n" => (false, false); "unreadable head")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n" => (false, false); "unreadable length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc" => (false, false); "oversized body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 500 X\r\n" => (false, false); "bytes after the response")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" => (false, true); "1xx before the final response")]
#[test_case("HTTP/1.1 2000 OK\r\nX-" => (true, false); "invalid status")]
#[test_case("HTTP/1.1 503 X\r\nContent-Length: 10\r\n\r\nabc" => (true, false); "stalled rejection")]
#[test_case("HTTP/1.1 429 X\r\nRetry-After: 0.1\r\n" => (true, false); "stalled Retry-After")]
#[test_case("HTTP/1.1 504 X\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n" => (true, false); "two Content-Length headers")]
#[test_case("HTTP/1.1 410 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde" => (true, false); "chunk longer than its size")]
#[test_case("HTTP/1.1 410 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nSum: 5f3a\r\nX-Done: 1\r\n\r\n"
    => (false, true); "chunked body with trailers")]
fn malformed_response_is_trusted_only_where_safe(response: &'static str) -> (bool, bool) {
    let endpoint =
        Server::start(
            |r| if r.ids()[0] == "m1" { ServerAction::Respond(response.into(), ms(0)) } else { ok() },
        );
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    // Its response shows that the endpoint announces the end of a connection, so that the next connection may be reused.
    relay.submit("m0", 0, "c=once,d=800,dest=7", b"x");
    wait_until("the first call", || endpoint.ids().len() == 1);
    sleep(ms(50));
    relay.submit("m1", 0, "c=once,d=800,dest=7", b"x");
    wait_until("the call", || endpoint.ids().len() == 2);
    sleep(ms(1_000));
    let failed = !fixture.platform.notifications().is_empty();
    relay.submit("m2", 0, "c=any,d=8000,dest=7", b"x");
    wait_until("the next call", || endpoint.ids().contains(&"m2".into()));
    let requests = endpoint.requests();
    assert_eq!(requests.len(), 3, "a message that may have run must not be sent again");
    // Only a complete response leaves its connection reusable.
    let is_reused = requests[2].connection == requests[1].connection;
    (failed, is_reused)
}

#[test]
fn notification_is_retried_until_acknowledged_and_blocks_its_key() {
    let endpoint = Server::start(|r| if r.ids()[0] == "m1" { respond(500, "", "") } else { ok() });
    let fixture = fixture(3, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    relay.submit("m1", 9, "c=pay,d=8000,dest=7", b"x");
    relay.submit("m2", 9, "c=pay,d=8000,dest=7", b"x");
    wait_until("the second message of the key", || endpoint.ids() == ["m1", "m2"]);
    assert_eq!(fixture.platform.notifications(), [r#"{"id":"m1","state":"failed"}"#; 4]);
    let notified_at =
        fixture.platform.server.requests().iter().rfind(|r| r.path == "/status").expect("a notification").at;
    assert!(endpoint.requests()[1].at > notified_at, "sent before the notification was acknowledged");
}

#[test]
fn message_past_its_deadline_ends_with_a_notification() {
    let endpoint = Server::start(|_| ServerAction::Hang);
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single"), unreachable_endpoint()]);
    let relay = fixture.start_relay();
    let start = Instant::now();
    relay.submit("out", 0, "c=once,d=900,dest=7", b"x");
    relay.submit("parked", 0, "c=any,d=700,dest=8", b"x");
    wait_until("both notifications", || fixture.platform.notifications().len() == 2);
    assert!(start.elapsed() < ms(900 + 300), "{:?}", start.elapsed());
}

#[test]
fn connection_closed_while_idle_is_not_reused() {
    let closing = Server::start(|request| {
        let body = format!("{} delivered\r\n", request.ids()[0]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        ServerAction::RespondAndClose(head + &body)
    });
    let fixture = fixture(0, vec![member("e1", closing.address, 7, "bulk")]);
    let relay = fixture.start_relay();
    for (n, id) in ["m1", "m2", "m3"].iter().enumerate() {
        relay.submit(id, 0, "c=once,d=8000,dest=7", b"x");
        wait_until("the call", || closing.ids().len() == n + 1);
        sleep(ms(100));
    }
    assert_eq!(closing.requests().iter().map(|r| r.connection).collect::<Vec<_>>(), [0, 1, 2]);
    assert!(fixture.platform.notifications().is_empty());
    wait_until("the log lines", || {
        fixture.log().matches("ended: closed-while-idle after 1 requests").count() == 3
    });
}

#[test]
fn large_fleet_closes_each_connection_after_its_call() {
    // The endpoint allows two connections and rejects the third on accept, as the protocol specifies.
    let endpoint = Server::start(|r| {
        if r.connection == 2 {
            return respond(503, "Connection: close\r\n", "");
        }
        ok()
    });
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["balancers"] = json!(300);
    let relay = fixture.start_relay();
    for n in 0..4 {
        assert_eq!(relay.submit(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
        wait_until("the call", || endpoint.requests().iter().any(|r| r.ids() == [format!("m{n}")]));
    }
    // Each call uses its own connection, closed after the call; the rejected message is sent again.
    wait_until("the retry of the rejected message", || endpoint.requests().len() == 5);
    let connections: Vec<usize> = endpoint.requests().iter().map(|r| r.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3, 4]);
    assert!(fixture.platform.notifications().is_empty());
}

#[test]
fn non_idempotent_message_is_retried_after_a_failed_connect() {
    let fixture = fixture(0, vec![member("e1", free_address(), 7, "single")]);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=once,d=8000,dest=7", b"x"), "+OK");
    wait_until("a refused connection", || fixture.log().contains("connection to endpoint e1 not made"));
    let late = Server::start(|_| ok());
    fixture.platform.set_members(vec![member("e1", late.address, 7, "single")]);
    wait_until("the call", || late.ids() == ["m1"]);
    assert!(fixture.platform.notifications().is_empty());
}

/// Maximum body size by the protocol.
const MAX_BODY_BYTES: usize = 64 * 1024;

// A single message may fill a whole body, so the messages queued together may exceed the limit of one call.
#[test]
fn batch_call_stays_within_the_body_size_limit() {
    let endpoint = Server::start(|r| {
        if r.path != "/receive-many" {
            return ok();
        }
        if r.body.len() > MAX_BODY_BYTES {
            return respond(413, "", "");
        }
        let lines: String = r.ids().iter().map(|id| format!("{id} delivered\r\n")).collect();
        respond(200, "", &lines)
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "bulk")]);
    let relay = fixture.start_relay();
    let ids: Vec<String> = (0..8).map(|n| format!("m{n}")).collect();
    let body = [b'x'; 20_000];
    let mut client = relay.client();
    let requests = ids.iter().map(|id| submit_request(id, 0, "c=once,d=8000,dest=7", &body));
    client.send(&requests.collect::<Vec<_>>().concat());
    for _ in &ids {
        assert_eq!(client.read_reply(), "+OK");
    }
    wait_until("all messages", || endpoint.ids().len() >= ids.len());
    sleep(ms(300));
    let requests = endpoint.requests();
    let too_large = requests.iter().filter(|request| request.body.len() > MAX_BODY_BYTES).count();
    assert_eq!(too_large, 0, "of {} calls", requests.len());
    let mut sent = endpoint.ids();
    sent.sort();
    assert_eq!(sent, ids);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// Many messages with ids of maximum length end at once; the platform rejects a notification call over the size limit.
#[test]
fn notification_call_stays_within_the_body_size_limit() {
    const MESSAGES: usize = 600;
    let endpoint = Server::start(|_| respond(500, "", ""));
    // Notifications accumulate while the platform rejects them.
    let mut fixture = fixture(120, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["limits"]["openCap"] = json!(2 * MESSAGES);
    fixture.config["settings"]["familyInfo"]["callsOut"] = json!(200);
    fixture.config["limits"]["disk_mb"] = json!(50);
    let relay = fixture.start_relay();
    let mut client = relay.client();
    for n in 0..MESSAGES {
        assert_eq!(
            client.request(&submit_request(&format!("{n:0128}"), 0, "c=once,d=1500,dest=7", b"x")),
            "+OK"
        );
    }
    wait_until("all notifications", || {
        let calls = fixture.platform.server.requests();
        let largest = calls.iter().map(|call| call.body.len()).max().unwrap_or(0);
        assert!(largest <= MAX_BODY_BYTES, "{largest} bytes");
        fixture.platform.notifications().into_iter().collect::<BTreeSet<_>>().len() >= MESSAGES
    });
}
