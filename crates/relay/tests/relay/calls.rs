//! Calls to endpoints: what goes out, what is kept back, and what each answer means.

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn a_message_goes_out_as_the_bytes_that_came() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.relay();
    let body: Vec<u8> = (0..=255).chain(*b"\r\n$5\r\n\0").collect();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,x=new,k=abc-1,dest=7", &body), "+OK");
    until("the call", || endpoint.requests().len() == 1);
    let got = &endpoint.requests()[0];
    let header = |name: &str| got.headers.get(name).map(String::as_str);
    assert_eq!((got.path.as_str(), &got.body), ("/receive", &body));
    assert_eq!((header("x-request-id"), header("idempotency-key")), (Some("m1"), Some("abc-1")));
    let limit: u64 = header("x-timeout-ms").and_then(|l| l.parse().ok()).expect("a limit");
    assert!(limit > 0 && limit <= 8_000, "{limit}");
    // The connection is kept, and nothing is told of a message that was delivered.
    relay.submit("m2", 0, "c=once,d=8000,dest=7", b"");
    until("the call", || endpoint.requests().len() == 2);
    assert!(endpoint.requests().iter().all(|r| r.connection == 0));
    assert!(fixture.platform.notifications().is_empty());
}

#[test]
fn messages_of_one_step_share_a_call_and_end_separately() {
    let again = Server::start(|r| {
        let many = |ends: &[&str]| {
            let lines: Vec<String> =
                r.ids().iter().zip(ends).map(|(id, end)| format!("{id} {end}\r\n")).collect();
            answer(200, "Retry-After: 0.7\r\n", &lines.concat())
        };
        if r.path == "/receive-many" {
            many(&["delivered", "failed", "refused", "over", "spent"])
        } else {
            ok()
        }
    });
    let fixture = fixture(0, vec![member("e1", again.address, 7, "bulk")]);
    let relay = fixture.relay();
    let list = "c=any,d=8000,k=key1,dest=7";
    let five = ["a", "b", "c", "d"].map(|id| submit_request(id, 0, list, b"x\r\ny")).concat();
    let mut client = relay.client();
    client.say(&[five, submit_request("e", 0, "c=any,d=8000,dest=7", b"")].concat());
    assert_eq!([(); 5].map(|()| client.hear()), ["+OK"; 5]);
    until("the refused ones", || again.ids().len() == 8);
    sleep(ms(300));
    let got = again.requests();
    let line = "key1 4\r\nx\r\ny\r\n";
    let body = format!("a {line}b {line}c {line}d {line}e - 0\r\n\r\n");
    assert_eq!(String::from_utf8_lossy(&got[0].body), body);
    // Neither what was delivered nor what is over goes again, nothing before the wait is over.
    let mut later: Vec<String> = again.ids().split_off(5);
    later.sort();
    assert_eq!(later, ["b", "c", "e"]);
    assert!(got[1].at.duration_since(got[0].at) >= ms(700));
}

#[test]
fn a_retry_after_beside_deliveries_is_obeyed() {
    let told = |r: &Request| r.ids().iter().map(|id| format!("{id} delivered\r\n")).collect::<String>();
    let endpoint = Server::start(move |r| {
        if r.path == "/receive-many" { answer(200, "Retry-After: 0.8\r\n", &told(r)) } else { ok() }
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "bulk")]);
    let relay = fixture.relay();
    relay.client().ask(&["a", "b"].map(|id| submit_request(id, 0, "c=any,d=8000,dest=7", b"")).concat());
    until("the first call", || endpoint.ids().len() == 2);
    sleep(ms(50));
    relay.submit("c", 0, "c=any,d=8000,dest=7", b"");
    until("the second call", || endpoint.ids().len() == 3);
    let got = endpoint.requests();
    assert!(got[1].at.duration_since(got[0].at) >= ms(800));
}

// Where no rate is listed, answers tell the limit (`X-Server-Load`): what is submitted at once goes out at that pace.
// Reports that can't be read change nothing.
#[test_case("X-Server-Load: x0=0.4, x1=4\r\n" => true; "told")]
#[test_case("X-Server-Load: x1=,x1=NaN,x0=4,{\r\n" => false; "not to be read")]
fn a_rate_limit_reported_in_responses_paces_calls(header: &'static str) -> bool {
    let endpoint = Server::start(move |_| answer(200, header, ""));
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["weights"] = json!("none");
    fixture.config["settings"]["loadInfo"] = json!({"source": "answers", "fields": ["x0", "x1"]});
    fixture.config["settings"]["familyInfo"]["reportX1"] =
        json!("calls a second that the limit allows; 0 where none");
    let relay = fixture.relay();
    assert_eq!(relay.submit("m", 0, "c=any,d=15000,dest=7", b"x"), "+OK");
    until("the first call", || endpoint.ids().len() == 1);
    sleep(ms(100));
    let all: Vec<u8> =
        (0..8).flat_map(|n| submit_request(&format!("m{n}"), 0, "c=any,d=15000,dest=7", b"x")).collect();
    let mut client = relay.client();
    client.say(&all);
    until("the calls", || endpoint.ids().len() == 9);
    let got = endpoint.requests();
    got[8].at.duration_since(got[1].at) > ms(800)
}

#[test]
fn a_call_with_a_late_connection_obeys_a_retry_after_told_meanwhile() {
    let (listener, fillers) = full_listener();
    let address = listener.local_addr().expect("an address");
    let first = AtomicBool::new(true);
    let full = move |_: &Request| first.swap(false, Ordering::SeqCst);
    let waits = Server::start(move |r| if full(r) { answer(429, "Retry-After: 2\r\n", "") } else { ok() });
    let fixture =
        fixture(0, vec![member("e1", address, 7, "single"), member("e2", waits.address, 7, "single")]);
    let relay = fixture.relay();
    relay.client().ask(&["a", "b"].map(|id| submit_request(id, 0, "c=any,d=8000,dest=7", b"")).concat());
    until("the refused call", || waits.ids().len() == 1);
    drop(fillers);
    let late = Server::on(listener, |_| ok());
    until("both", || waits.ids().len() + late.ids().len() == 3);
    assert!(fixture.log().contains("call to endpoint e1 not made: no longer allowed"));
    let all = [waits.requests(), late.requests()].concat();
    let gap = |r: &Request| r.at.duration_since(all[0].at);
    assert!(all[1..].iter().all(|r| gap(r) >= ms(2_000)), "{:?}", all.iter().map(gap).collect::<Vec<_>>());
}

#[test]
fn a_call_with_a_late_connection_obeys_a_drain_told_meanwhile() {
    // When discovery told it can't be known here: within the grace of when it was heard it may be long ago.
    let (listener, fillers) = full_listener();
    let e1 = member("e1", listener.local_addr().expect("an address"), 7, "single");
    let other = Server::start(|_| ok());
    let fixture = fixture(0, vec![e1.clone()]);
    let relay = fixture.relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    sleep(ms(200));
    let mut leaving = e1;
    leaving["phase"] = json!("Terminating");
    fixture.platform.set(vec![leaving, member("e2", other.address, 7, "single")]);
    until("the list", || fixture.log().contains("list 3:"));
    drop(fillers);
    let late = Server::on(listener, |_| ok());
    until("the call elsewhere", || other.ids() == ["m1"]);
    assert_eq!(late.ids().len(), 0);
    assert!(fixture.log().contains("call to endpoint e1 not made: no longer allowed"));
}

#[test]
fn a_relay_that_was_suspended_polls_for_drains_before_it_sends() {
    let wait = AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        if wait.swap(false, Ordering::SeqCst) { answer(429, "Retry-After: 0.6\r\n", "") } else { ok() }
    });
    let e1 = member("e1", endpoint.address, 7, "single");
    let fixture = fixture(0, vec![e1.clone()]);
    let relay = fixture.relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=15000,dest=7", b"1"), "+OK");
    until("the first call", || endpoint.ids().len() == 1);
    sleep(ms(100));
    relay.signal("STOP");
    until("the relay to stand still", || relay.is_suspended());
    let mut leaving = e1;
    leaving["phase"] = json!("Terminating");
    fixture.platform.set(vec![leaving]);
    sleep(ms(1_500));
    relay.signal("CONT");
    sleep(ms(700));
    assert_eq!(endpoint.ids(), ["m1"]);
}

#[test]
fn no_call_outlasts_the_time_limit_of_any_of_its_messages() {
    // Every call with several messages is answered well, but later than the first of them may still be delivered.
    let late = |r: &Request| r.ids().iter().map(|id| format!("{id} delivered\r\n")).collect::<String>();
    let endpoint = Server::start(move |r| {
        let text = late(r);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if r.path == "/receive-many" { ServerAction::Say(head + &text, ms(1_600)) } else { ok() }
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "bulk")]);
    let relay = fixture.relay();
    let start = Instant::now();
    let both = [
        submit_request("m1", 9, "c=line,d=900,dest=7", b""),
        submit_request("long", 0, "c=any,d=8000,dest=7", b""),
    ];
    assert_eq!(relay.client().ask(&both.concat()), "+OK");
    relay.submit("m2", 9, "c=line,d=8000,dest=7", b"");
    until("the notification", || fixture.platform.notifications() == [r#"{"id":"m1","state":"failed"}"#]);
    assert!(start.elapsed() < ms(900 + 300), "{:?}", start.elapsed());
    // What was told as its limit was kept: the other message goes again long before the late answer comes.
    until("the other one again", || endpoint.ids().iter().filter(|id| *id == "long").count() == 2);
    let (first, again) = (&endpoint.requests()[0], start.elapsed());
    let told: u64 = first.headers["x-timeout-ms"].parse().expect("a limit");
    assert!(told <= 900 && again < ms(1_600), "told {told} ms, again after {again:?}");
    until("the next of the key", || endpoint.ids().contains(&"m2".to_string()));
    let at = endpoint.requests().iter().find(|r| r.ids().contains(&"m2".into())).expect("m2").at;
    assert!(at.duration_since(start) >= ms(720 + 300), "{:?}", at.duration_since(start));
    assert_eq!(fixture.platform.notifications().len(), 1);
}

#[test]
fn after_a_timeout_the_next_message_of_its_key_is_held_off() {
    let endpoint = Server::start(|r| if r.ids()[0] == "m1" { ServerAction::Hang } else { ok() });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.relay();
    relay.submit("m1", 9, "c=pay,d=1000,dest=7", b"x");
    relay.submit("m2", 9, "c=pay,d=8000,dest=7", b"x");
    until("the second of the key", || endpoint.ids().len() == 2);
    let told =
        fixture.platform.server.requests().iter().rfind(|r| r.path == "/status").expect("a notification").at;
    assert!(endpoint.requests()[1].at.duration_since(told) >= ms(250), "it may still be running");
}

#[test_case(503, "", "once" => 2; "rejected may go again")]
#[test_case(429, "Retry-After: 0.3\r\n", "once" => 2; "so may what is told to wait")]
#[test_case(503, "Slots-Taken: 1\r\n", "once" => 2; "and what was not sent")]
#[test_case(500, "", "once" => 1; "an error may have run")]
#[test_case(500, "", "any" => 2; "an error of an idempotent one goes again")]
#[test_case(410, "", "any" => 1; "over is over")]
#[test_case(0, "", "once" => 1; "a reset may have run")]
#[test_case(0, "", "any" => 2; "a reset of an idempotent one goes again")]
#[test_case(1, "", "once" => 1; "what is no answer may have run")]
fn each_response_status_ends_an_attempt_as_documented(
    status: u16,
    headers: &'static str,
    class: &str,
) -> usize {
    let first = AtomicBool::new(true);
    let endpoint = Server::start(move |_| match (first.swap(false, Ordering::SeqCst), status) {
        (false, _) => ok(),
        (true, 0) => ServerAction::Close,
        (true, 1) => ServerAction::Say("SMTP ready\r\n\r\n".into(), Duration::ZERO),
        (true, _) => answer(status, headers, ""),
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.relay();
    relay.submit("m1", 0, &format!("c={class},d=8000,dest=7"), b"x");
    let failed = class == "once" && matches!(status, 500 | 0 | 1);
    if failed {
        until("the notification", || fixture.platform.notifications() == [r#"{"id":"m1","state":"failed"}"#]);
    }
    sleep(ms(900));
    assert_eq!(fixture.platform.notifications().len(), usize::from(failed));
    endpoint.ids().len()
}

// A delivery must not be taken for a failure, an incomplete rejection must not be believed, and the connection of
// either must not be used again.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc" => (false, false); "a body that stalls")]
#[test_case("HTTP/1.1 200 OK\r\nX-" => (false, false); "a head that stalls")]
#[test_case("HTTP/1.1 200 OK\r\n \x01 : :\r\n\r\n" => (false, false); "a head that can't be read")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n" => (false, false); "a length that can't be read")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc" => (false, false); "an endless body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 500 X\r\n" => (false, false); "more than an answer")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" => (false, true); "1xx in front")]
#[test_case("HTTP/1.1 2000 OK\r\nX-" => (true, false); "no status")]
#[test_case("HTTP/1.1 503 X\r\nContent-Length: 10\r\n\r\nabc" => (true, false); "a refusal that stalls")]
#[test_case("HTTP/1.1 429 X\r\nRetry-After: 0.1\r\n" => (true, false); "a wait that stalls")]
#[test_case("HTTP/1.1 504 X\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n" => (true, false); "two lengths")]
#[test_case("HTTP/1.1 410 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde" => (true, false); "chunks that don't fit")]
#[test_case("HTTP/1.1 410 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nSum: 5f3a\r\nX-Done: 1\r\n\r\n"
    => (false, true); "chunks with trailers")]
fn a_malformed_response_is_believed_only_as_far_as_is_safe(said: &'static str) -> (bool, bool) {
    let endpoint =
        Server::start(|r| if r.ids()[0] == "m1" { ServerAction::Say(said.into(), ms(0)) } else { ok() });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.relay();
    relay.submit("m1", 0, "c=once,d=800,dest=7", b"x");
    until("the call", || endpoint.ids().len() == 1);
    sleep(ms(1_000));
    let failed = !fixture.platform.notifications().is_empty();
    relay.submit("m2", 0, "c=any,d=8000,dest=7", b"x");
    until("the next call", || endpoint.ids().contains(&"m2".into()));
    let got = endpoint.requests();
    assert_eq!(got.len(), 2, "it may have run: not again");
    // A whole answer leaves its connection of use; after any other a new one is made.
    let reused = got[1].connection == 0;
    (failed, reused)
}

#[test]
fn a_notification_is_repeated_until_taken_and_blocks_its_key() {
    let endpoint = Server::start(|r| if r.ids()[0] == "m1" { answer(500, "", "") } else { ok() });
    let fixture = fixture(3, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.relay();
    relay.submit("m1", 9, "c=pay,d=8000,dest=7", b"x");
    relay.submit("m2", 9, "c=pay,d=8000,dest=7", b"x");
    until("the second of the key", || endpoint.ids() == ["m1", "m2"]);
    assert_eq!(fixture.platform.notifications(), [r#"{"id":"m1","state":"failed"}"#; 4]);
    let told =
        fixture.platform.server.requests().iter().rfind(|r| r.path == "/status").expect("a notification").at;
    assert!(endpoint.requests()[1].at > told, "sent before the notification was taken");
}

#[test]
fn a_message_past_its_deadline_ends_by_a_notification() {
    let endpoint = Server::start(|_| ServerAction::Hang);
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single"), unreachable_endpoint()]);
    let relay = fixture.relay();
    let start = Instant::now();
    relay.submit("out", 0, "c=once,d=900,dest=7", b"x");
    relay.submit("parked", 0, "c=any,d=700,dest=8", b"x");
    until("both", || fixture.platform.notifications().len() == 2);
    assert!(start.elapsed() < ms(900 + 300), "{:?}", start.elapsed());
}

#[test]
fn a_connection_closed_while_idle_is_not_used_again() {
    let closing =
        Server::start(|_| ServerAction::SayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into()));
    let fixture = fixture(0, vec![member("e1", closing.address, 7, "single")]);
    let relay = fixture.relay();
    for (n, id) in ["m1", "m2", "m3"].iter().enumerate() {
        relay.submit(id, 0, "c=once,d=8000,dest=7", b"x");
        until("the call", || closing.ids().len() == n + 1);
        sleep(ms(100));
    }
    assert_eq!(closing.requests().iter().map(|r| r.connection).collect::<Vec<_>>(), [0, 1, 2]);
    assert!(fixture.platform.notifications().is_empty());
    until("log lines", || fixture.log().matches("ended: closed-while-idle after 1 requests").count() == 3);
}

#[test]
fn in_a_large_fleet_a_connection_ends_with_its_call() {
    // The endpoint holds two connections; a third is rejected at the door, as the protocol tells it.
    let endpoint = Server::start(|r| {
        if r.connection == 2 {
            return answer(503, "Connection: close\r\n", "");
        }
        ok()
    });
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["balancers"] = json!(300);
    let relay = fixture.relay();
    for n in 0..4 {
        assert_eq!(relay.submit(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
        until("the call", || endpoint.requests().iter().any(|r| r.ids() == [format!("m{n}")]));
    }
    // Each call came on a connection of its own, closed after it; the one rejected went again.
    until("the message rejected", || endpoint.requests().len() == 5);
    let connections: Vec<usize> = endpoint.requests().iter().map(|r| r.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3, 4]);
    assert!(fixture.platform.notifications().is_empty());
}

#[test]
fn a_failed_connect_proves_that_the_message_never_ran() {
    let fixture = fixture(0, vec![member("e1", free_address(), 7, "single")]);
    let relay = fixture.relay();
    assert_eq!(relay.submit("m1", 0, "c=once,d=8000,dest=7", b"x"), "+OK");
    until("a refused connection", || fixture.log().contains("connection to endpoint e1 not made"));
    let late = Server::start(|_| ok());
    fixture.platform.set(vec![member("e1", late.address, 7, "single")]);
    until("the call", || late.ids() == ["m1"]);
    assert!(fixture.platform.notifications().is_empty());
}

/// Bytes that a body holds at most, by the protocol.
const MAX_BODY_BYTES: usize = 64 * 1024;

// Each message may be as large as a body: those that wait together may be too much for one call.
#[test]
fn a_call_of_several_messages_is_no_larger_than_a_body_may_be() {
    let endpoint = Server::start(|r| {
        if r.path != "/receive-many" {
            return ok();
        }
        if r.body.len() > MAX_BODY_BYTES {
            return answer(413, "", "");
        }
        let lines: String = r.ids().iter().map(|id| format!("{id} delivered\r\n")).collect();
        answer(200, "", &lines)
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "bulk")]);
    let relay = fixture.relay();
    let ids: Vec<String> = (0..8).map(|n| format!("m{n}")).collect();
    let body = [b'x'; 20_000];
    let mut client = relay.client();
    let requests = ids.iter().map(|id| submit_request(id, 0, "c=once,d=8000,dest=7", &body));
    client.say(&requests.collect::<Vec<_>>().concat());
    for _ in &ids {
        assert_eq!(client.hear(), "+OK");
    }
    until("all messages", || endpoint.ids().len() >= ids.len());
    sleep(ms(300));
    let requests = endpoint.requests();
    let too_large = requests.iter().filter(|request| request.body.len() > MAX_BODY_BYTES).count();
    assert_eq!(too_large, 0, "of {} calls", requests.len());
    let mut sent = endpoint.ids();
    sent.sort();
    assert_eq!(sent, ids);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// Many messages end at once, with ids as long as they may be: the platform does not take a call that is too large.
#[test]
fn a_call_with_notifications_is_no_larger_than_a_body_may_be() {
    const MESSAGES: usize = 600;
    let endpoint = Server::start(|_| answer(500, "", ""));
    // They gather while the platform takes none.
    let mut fixture = fixture(120, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["limits"]["openCap"] = json!(2 * MESSAGES);
    fixture.config["settings"]["familyInfo"]["callsOut"] = json!(200);
    fixture.config["limits"]["disk_mb"] = json!(50);
    let relay = fixture.relay();
    let mut client = relay.client();
    for n in 0..MESSAGES {
        assert_eq!(client.ask(&submit_request(&format!("{n:0128}"), 0, "c=once,d=1500,dest=7", b"x")), "+OK");
    }
    until("all notifications", || {
        let calls = fixture.platform.server.requests();
        let largest = calls.iter().map(|call| call.body.len()).max().unwrap_or(0);
        assert!(largest <= MAX_BODY_BYTES, "{largest} bytes");
        fixture.platform.notifications().into_iter().collect::<BTreeSet<_>>().len() >= MESSAGES
    });
}
