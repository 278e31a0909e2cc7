//! The relay as a process, against stand-ins on loopback.

#[allow(dead_code)]
mod standins;

use serde_json::{Value, json};
use standins::*;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn a_message_goes_out_as_the_bytes_that_came() {
    let endpoint = Server::start(|_| ok());
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    let body: Vec<u8> = (0..=255).chain(*b"\r\n$5\r\n\0").collect();
    assert_eq!(relay.add("m1", 0, "c=any,d=8000,x=new,k=abc-1,dest=7", &body), "+OK");
    until("the call", || endpoint.requests().len() == 1);
    let got = &endpoint.requests()[0];
    let header = |name: &str| got.headers.get(name).map(String::as_str);
    assert_eq!((got.path.as_str(), &got.body), ("/receive", &body));
    assert_eq!((header("x-request-id"), header("idempotency-key")), (Some("m1"), Some("abc-1")));
    let limit: u64 = header("x-timeout-ms").and_then(|l| l.parse().ok()).expect("a limit");
    assert!(limit > 0 && limit <= 8_000, "{limit}");
    // The connection is kept, and nothing is told of a message that was delivered.
    relay.add("m2", 0, "c=once,d=8000,dest=7", b"");
    until("the call", || endpoint.requests().len() == 2);
    assert!(endpoint.requests().iter().all(|r| r.connection == 0));
    assert!(scene.platform.notices().is_empty());
}

#[test]
fn sends_of_a_round_share_a_call_and_end_one_by_one() {
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
    let scene = scene(0, vec![member("e1", again.address, 7, "bulk")]);
    let relay = scene.relay();
    let list = "c=any,d=8000,k=key1,dest=7";
    let five = ["a", "b", "c", "d"].map(|id| out_add(id, 0, list, b"x\r\ny")).concat();
    let mut client = relay.client();
    client.say(&[five, out_add("e", 0, "c=any,d=8000,dest=7", b"")].concat());
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
fn a_wait_told_with_deliveries_binds() {
    let told = |r: &Request| r.ids().iter().map(|id| format!("{id} delivered\r\n")).collect::<String>();
    let endpoint = Server::start(move |r| {
        if r.path == "/receive-many" { answer(200, "Retry-After: 0.8\r\n", &told(r)) } else { ok() }
    });
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "bulk")]);
    let relay = scene.relay();
    relay.client().ask(&["a", "b"].map(|id| out_add(id, 0, "c=any,d=8000,dest=7", b"")).concat());
    until("the first call", || endpoint.ids().len() == 2);
    sleep(ms(50));
    relay.add("c", 0, "c=any,d=8000,dest=7", b"");
    until("the second call", || endpoint.ids().len() == 3);
    let got = endpoint.requests();
    assert!(got[1].at.duration_since(got[0].at) >= ms(800));
}

// Where no rate is listed, answers tell the limit (`X-Server-Load`): what is handed in at once goes out at that pace.
// Reports that can't be read change nothing.
#[test_case("X-Server-Load: x0=0.4, x1=4\r\n" => true; "told")]
#[test_case("X-Server-Load: x1=,x1=NaN,x0=4,{\r\n" => false; "not to be read")]
fn a_limit_told_in_answers_paces_calls(header: &'static str) -> bool {
    let endpoint = Server::start(move |_| answer(200, header, ""));
    let mut scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    scene.config["settings"]["weights"] = json!("none");
    scene.config["settings"]["loadInfo"] = json!({"source": "answers", "fields": ["x0", "x1"]});
    scene.config["settings"]["familyInfo"]["reportX1"] =
        json!("calls a second that the limit allows; 0 where none");
    let relay = scene.relay();
    assert_eq!(relay.add("m", 0, "c=any,d=15000,dest=7", b"x"), "+OK");
    until("the first call", || endpoint.ids().len() == 1);
    sleep(ms(100));
    let all: Vec<u8> =
        (0..8).flat_map(|n| out_add(&format!("m{n}"), 0, "c=any,d=15000,dest=7", b"x")).collect();
    let mut client = relay.client();
    client.say(&all);
    until("the calls", || endpoint.ids().len() == 9);
    let got = endpoint.requests();
    got[8].at.duration_since(got[1].at) > ms(800)
}

#[test]
fn a_connection_that_comes_up_late_crosses_no_wait() {
    let (listener, fillers) = full();
    let address = listener.local_addr().expect("an address");
    let first = AtomicBool::new(true);
    let full = move |_: &Request| first.swap(false, Ordering::SeqCst);
    let waits = Server::start(move |r| if full(r) { answer(429, "Retry-After: 2\r\n", "") } else { ok() });
    let scene = scene(0, vec![member("e1", address, 7, "single"), member("e2", waits.address, 7, "single")]);
    let relay = scene.relay();
    relay.client().ask(&["a", "b"].map(|id| out_add(id, 0, "c=any,d=8000,dest=7", b"")).concat());
    until("the refused call", || waits.ids().len() == 1);
    drop(fillers);
    let late = Server::on(listener, |_| ok());
    until("both", || waits.ids().len() + late.ids().len() == 3);
    assert!(scene.log().contains("call to endpoint e1 not made: no longer allowed"));
    let all = [waits.requests(), late.requests()].concat();
    let gap = |r: &Request| r.at.duration_since(all[0].at);
    assert!(all[1..].iter().all(|r| gap(r) >= ms(2_000)), "{:?}", all.iter().map(gap).collect::<Vec<_>>());
}

#[test]
fn a_connection_that_comes_up_late_crosses_no_drain() {
    // When discovery told it can't be known here: within the grace of when it was heard it may be long ago.
    let (listener, fillers) = full();
    let e1 = member("e1", listener.local_addr().expect("an address"), 7, "single");
    let other = Server::start(|_| ok());
    let scene = scene(0, vec![e1.clone()]);
    let relay = scene.relay();
    assert_eq!(relay.add("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    sleep(ms(200));
    let mut leaving = e1;
    leaving["phase"] = json!("Terminating");
    scene.platform.set(vec![leaving, member("e2", other.address, 7, "single")]);
    until("the list", || scene.log().contains("list 3:"));
    drop(fillers);
    let late = Server::on(listener, |_| ok());
    until("the call elsewhere", || other.ids() == ["m1"]);
    assert_eq!(late.ids().len(), 0);
    assert!(scene.log().contains("call to endpoint e1 not made: no longer allowed"));
}

#[test]
fn a_relay_that_stood_still_hears_of_drains_first() {
    let wait = AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        if wait.swap(false, Ordering::SeqCst) { answer(429, "Retry-After: 0.6\r\n", "") } else { ok() }
    });
    let e1 = member("e1", endpoint.address, 7, "single");
    let scene = scene(0, vec![e1.clone()]);
    let relay = scene.relay();
    assert_eq!(relay.add("m1", 0, "c=any,d=15000,dest=7", b"1"), "+OK");
    until("the first call", || endpoint.ids().len() == 1);
    sleep(ms(100));
    relay.signal("STOP");
    until("the relay to stand still", || relay.stands_still());
    let mut leaving = e1;
    leaving["phase"] = json!("Terminating");
    scene.platform.set(vec![leaving]);
    sleep(ms(1_500));
    relay.signal("CONT");
    sleep(ms(700));
    assert_eq!(endpoint.ids(), ["m1"]);
}

#[test]
fn no_call_outlasts_the_limit_of_any_of_its_messages() {
    // Every call with several messages is answered well, but later than the first of them may still be delivered.
    let late = |r: &Request| r.ids().iter().map(|id| format!("{id} delivered\r\n")).collect::<String>();
    let endpoint = Server::start(move |r| {
        let text = late(r);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if r.path == "/receive-many" { Act::Say(head + &text, ms(1_600)) } else { ok() }
    });
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "bulk")]);
    let relay = scene.relay();
    let start = Instant::now();
    let both = [out_add("m1", 9, "c=line,d=900,dest=7", b""), out_add("long", 0, "c=any,d=8000,dest=7", b"")];
    assert_eq!(relay.client().ask(&both.concat()), "+OK");
    relay.add("m2", 9, "c=line,d=8000,dest=7", b"");
    until("the notice", || scene.platform.notices() == [r#"{"id":"m1","state":"failed"}"#]);
    assert!(start.elapsed() < ms(900 + 300), "{:?}", start.elapsed());
    // What was told as its limit was kept: the other message goes again long before the late answer comes.
    until("the other one again", || endpoint.ids().iter().filter(|id| *id == "long").count() == 2);
    let (first, again) = (&endpoint.requests()[0], start.elapsed());
    let told: u64 = first.headers["x-timeout-ms"].parse().expect("a limit");
    assert!(told <= 900 && again < ms(1_600), "told {told} ms, again after {again:?}");
    until("the next of the key", || endpoint.ids().contains(&"m2".to_string()));
    let at = endpoint.requests().iter().find(|r| r.ids().contains(&"m2".into())).expect("m2").at;
    assert!(at.duration_since(start) >= ms(720 + 300), "{:?}", at.duration_since(start));
    assert_eq!(scene.platform.notices().len(), 1);
}

#[test]
fn after_silence_the_rest_of_a_key_rests() {
    let endpoint = Server::start(|r| if r.ids()[0] == "m1" { Act::Hang } else { ok() });
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    relay.add("m1", 9, "c=pay,d=1000,dest=7", b"x");
    relay.add("m2", 9, "c=pay,d=8000,dest=7", b"x");
    until("the second of the key", || endpoint.ids().len() == 2);
    let told = scene.platform.server.requests().iter().rfind(|r| r.path == "/status").expect("a notice").at;
    assert!(endpoint.requests()[1].at.duration_since(told) >= ms(250), "it may still be running");
}

#[test_case(503, "", "once" => 2; "turned away may go again")]
#[test_case(429, "Retry-After: 0.3\r\n", "once" => 2; "so may what is told to wait")]
#[test_case(503, "Slots-Taken: 1\r\n", "once" => 2; "and what was not sent")]
#[test_case(500, "", "once" => 1; "an error may have run")]
#[test_case(500, "", "any" => 2; "an error of a retriable one goes again")]
#[test_case(410, "", "any" => 1; "over is over")]
#[test_case(0, "", "once" => 1; "a reset may have run")]
#[test_case(0, "", "any" => 2; "a reset of a retriable one goes again")]
#[test_case(1, "", "once" => 1; "what is no answer may have run")]
fn ends_are_told_as_they_were(status: u16, headers: &'static str, lane: &str) -> usize {
    let first = AtomicBool::new(true);
    let endpoint = Server::start(move |_| match (first.swap(false, Ordering::SeqCst), status) {
        (false, _) => ok(),
        (true, 0) => Act::Close,
        (true, 1) => Act::Say("SMTP ready\r\n\r\n".into(), Duration::ZERO),
        (true, _) => answer(status, headers, ""),
    });
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    relay.add("m1", 0, &format!("c={lane},d=8000,dest=7"), b"x");
    let failed = lane == "once" && matches!(status, 500 | 0 | 1);
    if failed {
        until("the notice", || scene.platform.notices() == [r#"{"id":"m1","state":"failed"}"#]);
    }
    sleep(ms(900));
    assert_eq!(scene.platform.notices().len(), usize::from(failed));
    endpoint.ids().len()
}

// Guards against a delivery taken for a failure, a refusal believed that is not whole, and the connection
// of either being used again.
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
fn a_spoilt_answer_is_true_as_far_as_it_may_be(said: &'static str) -> (bool, bool) {
    let endpoint = Server::start(|r| if r.ids()[0] == "m1" { Act::Say(said.into(), ms(0)) } else { ok() });
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    relay.add("m1", 0, "c=once,d=800,dest=7", b"x");
    until("the call", || endpoint.ids().len() == 1);
    sleep(ms(1_000));
    let failed = !scene.platform.notices().is_empty();
    relay.add("m2", 0, "c=any,d=8000,dest=7", b"x");
    until("the next call", || endpoint.ids().contains(&"m2".into()));
    let got = endpoint.requests();
    assert_eq!(got.len(), 2, "it may have run: not again");
    // A whole answer leaves its connection of use; after any other a new one is made.
    let reused = got[1].connection == 0;
    (failed, reused)
}

#[test]
fn a_notice_goes_again_until_taken_and_holds_back_its_key() {
    let endpoint = Server::start(|r| if r.ids()[0] == "m1" { answer(500, "", "") } else { ok() });
    let scene = scene(3, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    relay.add("m1", 9, "c=pay,d=8000,dest=7", b"x");
    relay.add("m2", 9, "c=pay,d=8000,dest=7", b"x");
    until("the second of the key", || endpoint.ids() == ["m1", "m2"]);
    assert_eq!(scene.platform.notices(), [r#"{"id":"m1","state":"failed"}"#; 4]);
    let told = scene.platform.server.requests().iter().rfind(|r| r.path == "/status").expect("a notice").at;
    assert!(endpoint.requests()[1].at > told, "sent before the notice was taken");
}

#[test]
fn a_message_out_of_time_ends_by_a_notice() {
    let endpoint = Server::start(|_| Act::Hang);
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single"), nowhere()]);
    let relay = scene.relay();
    let start = Instant::now();
    relay.add("out", 0, "c=once,d=900,dest=7", b"x");
    relay.add("parked", 0, "c=any,d=700,dest=8", b"x");
    until("both", || scene.platform.notices().len() == 2);
    assert!(start.elapsed() < ms(900 + 300), "{:?}", start.elapsed());
}

#[test_case(b"PING\r\n", "-ERR Protocol error"; "no array")]
#[test_case(b"*0\r\n", "-ERR Protocol error"; "empty array")]
#[test_case(b"*-1\r\n", "-ERR Protocol error"; "null array")]
#[test_case(b"*99999999999999999999999999\r\n", "-ERR Protocol error"; "too many to count")]
#[test_case(b"*17\r\n", "-ERR Protocol error"; "too many words")]
#[test_case(b"*1\r\n:5\r\n", "-ERR Protocol error"; "no bulk string")]
#[test_case(b"*1\r\n$-1\r\n", "-ERR Protocol error"; "null bulk string")]
#[test_case(b"*1\r\n$999999999\r\n", "-ERR Protocol error"; "oversized bulk string")]
#[test_case(b"*1\r\n$4\r\nPINGPING\r\n", "-ERR Protocol error"; "wrong length")]
#[test_case(b"*111111111111111111111111111111111111111111111111111", "-ERR Protocol error"; "endless count")]
#[test_case(b"*1\r\n$4\r\nNOPE\r\n", "-ERR unknown command"; "unknown command")]
#[test_case(b"*2\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n", "-ERR wrong number"; "missing words")]
#[test_case(&out_add("m", 0, "d=8000,dest=7", b""), "-ERR c is missing"; "no class")]
#[test_case(&out_add("m", 0, "c=none,d=8000,dest=7", b""), "-ERR c names no class"; "unknown class")]
#[test_case(&out_add("m", 0, "c=any,d=soon,dest=7", b""), "-ERR d is missing"; "no time")]
#[test_case(&out_add("m", 0, "c=any,d=1,dest=99999999999", b""), "-ERR dest is missing"; "no destination")]
#[test_case(&out_add("m", 0, "c=any,d=8000,dest=7", b""), "-ERR dest is not on the list"; "no such destination")]
#[test_case(&out_add("", 0, "c=any,d=8000,dest=7", b""), "-ERR the id"; "no id")]
#[test_case(&out_add("a\r\nHost: b", 0, "c=any,d=8000,dest=7", b""), "-ERR the id"; "a header in the id")]
fn bad_requests_get_plain_errors(bytes: &[u8], expected: &str) {
    let scene = scene(0, vec![]);
    let relay = scene.relay();
    let said = relay.client().ask(bytes);
    assert!(said.starts_with(expected), "{said}");
    assert_eq!(relay.client().ask(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
}

#[test]
fn what_is_silent_or_never_ends_is_cut_off() {
    let scene = scene(0, vec![]);
    let relay = scene.relay();
    let start = Instant::now();
    let (mut silent, mut slow, mut kept) = (relay.client(), relay.client(), relay.client());
    slow.say(b"*5\r\n$7\r\nOUT.");
    assert_eq!(kept.ask(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    assert_eq!((silent.hear().as_str(), slow.hear().starts_with("-ERR")), ("", true));
    assert!(start.elapsed() < ms(3_000), "{:?}", start.elapsed());
    until("the log lines", || {
        ["silent", "slow"].iter().all(|c| scene.log().contains(&format!("ended: {c} after")))
    });
    assert_eq!(kept.ask(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
}

// Guards against a reset that takes the error away, and against garbage that waits behind a request.
#[test]
fn an_error_arrives_whatever_is_still_being_sent() {
    let endpoint = Server::start(|_| ok());
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    let (mut huge, mut mixed) = (relay.client(), relay.client());
    let start = Instant::now();
    huge.say(b"*2\r\n$60000000\r\n");
    huge.say(&vec![b'x'; 60_000_000]);
    assert!(huge.hear().starts_with("-ERR Protocol error: invalid bulk length"));
    assert!(start.elapsed() < ms(6_000), "{:?}", start.elapsed());
    mixed.say(
        &[&out_add("m1", 0, "c=any,d=8000,dest=7", b"x")[..], b"\x00\xffnoise\r\n", &[b'y'; 500_000]]
            .concat(),
    );
    assert_eq!(mixed.hear(), "+OK");
    assert!(mixed.hear().starts_with("-ERR Protocol error"));
    assert_eq!(mixed.0.read(&mut [0]).expect("an end, no reset"), 0);
}

#[test]
fn the_greedy_do_not_keep_out_the_others() {
    let endpoint = Server::start(|_| ok());
    let mut scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    (scene.config["limits"]["sockets"], scene.config["limits"]["memory_mb"]) = (json!(40), json!(2));
    let relay = scene.relay();
    let silent: Vec<Client> = (0..60).map(|_| relay.client()).collect();
    let half = |_| {
        let mut client = relay.client();
        client.say(&[b"*5\r\n$60000\r\n", &[b'x'; 50_000][..]].concat());
        client
    };
    let held: Vec<Client> = (0..20).map(half).collect();
    let mut many = relay.client();
    let bad = out_add("m", 0, "c=none,d=8000,dest=7", b"");
    many.say(&bad.repeat(400));
    let start = Instant::now();
    let mut said: Vec<String> =
        (0..30).map(|n| relay.add(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b"")).collect();
    said.dedup();
    assert_eq!(said, ["+OK"]);
    assert!((0..400).all(|_| many.hear() == "-ERR c names no class"));
    assert!(start.elapsed() < ms(2_000), "{:?}", start.elapsed());
    // The same again at once, turned away each time, is read more and more seldom.
    let (start, mut again) = (Instant::now(), 0);
    while start.elapsed() < ms(1_000) {
        again += usize::from(many.ask(&bad).starts_with("-ERR"));
    }
    assert!(again < 30, "{again}");
    drop((silent, held));
}

#[test_case("", "not JSON"; "an empty file")]
#[test_case("{}", "seed"; "an empty object")]
#[test_case("listen", "no address"; "a bad address")]
#[test_case("settings", "classes.count"; "no settings")]
#[test_case("seed", "hexadecimal"; "a bad seed")]
#[test_case("limits", "disk_mb"; "a bad limit")]
#[test_case("names", "two names are read as any"; "two classes of one name")]
#[test_case("slots", "familyInfo.callsOut=0"; "no calls at all")]
fn a_bad_config_is_one_line(what: &str, named: &str) {
    let scene = scene(0, vec![]);
    let mut config = scene.config.clone();
    match what {
        "listen" | "seed" => config[what] = json!("nowhere"),
        "settings" => config[what] = json!({}),
        "names" => config["settings"]["classes"][1]["name"] = json!("any"),
        "slots" => config["settings"]["familyInfo"]["callsOut"] = json!(0),
        "limits" => config[what]["disk_mb"] = json!("three"),
        _ => {}
    }
    let text = if what.len() < 3 { what.to_string() } else { config.to_string() };
    let file = scene.dir.path().join("config.json");
    std::fs::write(&file, text).expect("a config");
    let log = scene.dir.path().join("said");
    let mut command = command(&file, scene.dir.path());
    let mut child = command.stderr(std::fs::File::create(&log).expect("a log")).spawn().expect("a relay");
    // Guards against waiting for good on one that starts after all.
    let mut code = None;
    for _ in 0..1_000 {
        code = child.try_wait().expect("a state").and_then(|status| status.code());
        if code.is_some() {
            break;
        }
        sleep(ms(10));
    }
    let _ = child.kill();
    let said = std::fs::read_to_string(&log).expect("a log");
    assert!(code == Some(2) && said.lines().count() == 1, "{said}");
    assert!(said.contains("not started") && (said.contains(named) || named == "not JSON"), "{said}");
}

#[test]
fn a_kill_loses_nothing_and_repeats_nothing() {
    let dead = Arc::new(AtomicBool::new(true));
    let hangs = dead.clone();
    let endpoint = Server::start(move |_| if hangs.load(Ordering::SeqCst) { Act::Hang } else { ok() });
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single"), nowhere()]);
    let relay = scene.relay();
    assert_eq!(relay.add("once", 0, "c=once,d=15000,dest=7", b"1"), "+OK");
    assert_eq!(relay.add("any", 0, "c=any,d=15000,dest=7", b"2"), "+OK");
    assert_eq!(relay.add("pay1", 5, "c=pay,d=15000,dest=7", b"3"), "+OK");
    assert_eq!(relay.add("pay2", 5, "c=pay,d=15000,dest=7", b"4"), "+OK");
    assert_eq!(relay.add("late", 0, "c=any,d=600,dest=8", b"5"), "+OK");
    until("the first calls", || endpoint.ids().len() == 3);
    relay.signal("KILL");
    drop(relay);
    dead.store(false, Ordering::SeqCst);
    sleep(ms(700));
    let start = Instant::now();
    let relay = scene.relay();
    until("what is left", || endpoint.ids().len() == 5 && scene.platform.notices().len() == 3);
    sleep(ms(500));
    let later = endpoint.requests().split_off(3);
    let body = |id: &str| later.iter().find(|r| r.ids() == [id]).map(|r| (r.body.clone(), r.at));
    assert_eq!(body("any").expect("any goes again").0, b"2");
    let (bytes, at) = body("pay2").expect("pay2 goes");
    assert_eq!((bytes, later.len()), (b"4".to_vec(), 2));
    assert!(at.duration_since(start) >= ms(300), "the earlier one may still have been running");
    let mut notices = scene.platform.notices();
    notices.sort();
    assert_eq!(notices, ["late", "once", "pay1"].map(|id| format!(r#"{{"id":"{id}","state":"failed"}}"#)));
    drop(relay);
    // All of it has ended: the next one starts with nothing.
    scene.relay();
    sleep(ms(200));
    assert_eq!((endpoint.ids().len(), scene.platform.notices().len()), (5, 3));
    assert!(scene.log().trim_end().contains("starts with 0 messages"));
}

#[test]
fn what_was_turned_away_before_a_kill_goes_again() {
    let first = AtomicBool::new(true);
    let full = move |_: &Request| first.swap(false, Ordering::SeqCst);
    let endpoint = Server::start(move |r| if full(r) { answer(429, "Retry-After: 5\r\n", "") } else { ok() });
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    relay.add("m1", 0, "c=once,d=8000,dest=7", b"x");
    until("the call", || endpoint.ids().len() == 1);
    sleep(ms(200));
    relay.signal("KILL");
    drop(relay);
    let restarted = Instant::now();
    let _relay = scene.relay();
    until("the call", || endpoint.ids() == ["m1", "m1"]);
    // A restart ends the wait (PROTOCOL): the one told before is not carried over, unlike at a handover.
    assert!(restarted.elapsed() < ms(3_000), "{:?}", restarted.elapsed());
    assert!(scene.platform.notices().is_empty());
}

/// `e1` of destination 7, as the configuration still lists it, and as discovery told the first process.
fn told_before() -> (Server, Server, Scene, Vec<Value>) {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let scene = scene(0, vec![member("e1", old.address, 7, "single")]);
    let mut leaving = member("e1", old.address, 7, "single");
    leaving["phase"] = json!("Terminating");
    let list = vec![leaving, member("e2", new.address, 7, "single")];
    (old, new, scene, list)
}

#[test_case("TERM")]
#[test_case("KILL")]
fn a_drain_told_to_an_earlier_process_is_kept(signal: &str) {
    let (old, new, scene, list) = told_before();
    let relay = scene.relay();
    scene.platform.set(list);
    let book = scene.dir.path().join("state/leaving");
    until("the book", || std::fs::read_to_string(&book).is_ok_and(|text| text.contains("e1 ")));
    relay.signal(signal);
    drop(relay);
    // Discovery says nothing to the next process, whose configuration lists e1 as ready and knows of no other.
    let silent = Server::start(|_| Act::Hang);
    let relay = Relay::start_with(&scene.config, scene.dir.path(), Some(silent.address));
    assert_eq!(relay.add("m1", 0, "c=any,d=1500,dest=7", b""), "+OK");
    sleep(ms(1_000));
    assert!(scene.log().contains("1 entries say ready of endpoints told as leaving; they stay so"));
    drop(relay);
    let _relay = scene.relay();
    until("the call", || new.ids() == ["m1"]);
    assert_eq!(old.ids().len(), 0);
}

#[test]
fn a_restart_asks_discovery_before_it_sends() {
    let (old, new) = (Server::start(|_| answer(429, "Retry-After: 9\r\n", "")), Server::start(|_| ok()));
    let e1 = member("e1", old.address, 7, "single");
    let scene = scene(0, vec![e1.clone()]);
    let relay = scene.relay();
    assert_eq!(relay.add("m1", 0, "c=any,d=15000,dest=7", b""), "+OK");
    until("the call", || old.ids() == ["m1"]);
    relay.signal("KILL");
    drop(relay);
    // What discovery tells while no process runs counts as told; nothing of it stands in the folder. The restart
    // ends the wait, so that m1 could go at once.
    let mut leaving = e1;
    leaving["phase"] = json!("Terminating");
    scene.platform.set(vec![leaving, member("e2", new.address, 7, "single")]);
    let _relay = scene.relay();
    until("the call", || new.ids() == ["m1"]);
    assert_eq!(old.ids(), ["m1"]);
}

#[test]
fn a_start_on_a_list_that_is_up_to_date_holds_nothing_up() {
    let endpoint = Server::start(|_| ok());
    let mut scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    scene.config["known"]["revision"] = json!(2);
    let relay = scene.relay();
    let start = Instant::now();
    assert_eq!(relay.add("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    until("the call", || endpoint.ids() == ["m1"]);
    // Nothing changed since: discovery says so at once, and does not wait for a change.
    assert!(start.elapsed() < ms(400), "{:?}", start.elapsed());
}

#[test]
fn a_stale_list_from_another_discovery_revives_nothing() {
    let (old, new, scene, list) = told_before();
    let relay = scene.relay();
    scene.platform.set(list.clone());
    until("the list", || scene.log().contains("list 3:"));
    let stale = Platform::start(0);
    stale.set(vec![member("e1", old.address, 7, "single"), member("e2", new.address, 7, "single")]);
    scene.write_discovery(stale.server.address);
    // After the grace, when the decisions have forgotten e1 too, a drain is as binding as before.
    sleep(ms(1_200));
    relay.signal("HUP");
    until("the list", || scene.log().contains("list 2:"));
    for n in 0..6 {
        assert_eq!(relay.add(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    until("the calls", || new.ids().len() == 6);
    assert_eq!(old.ids().len(), 0);
}

#[test]
fn a_book_that_cannot_be_read_is_one_line() {
    let endpoint = Server::start(|_| ok());
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let state = scene.dir.path().join("state");
    std::fs::create_dir_all(&state).expect("a folder");
    std::fs::write(state.join("leaving"), b"\xff\0what\nno row\n").expect("a book");
    let relay = scene.relay();
    assert_eq!(relay.add("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    until("the call", || endpoint.ids() == ["m1"]);
    assert_eq!(scene.log().matches("leaving: 2 lines can't be read and are left out").count(), 1);
}

#[test]
fn an_owed_notice_outlives_the_process() {
    let endpoint = Server::start(|_| answer(500, "", ""));
    let scene = scene(usize::MAX, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    relay.add("m1", 0, "c=once,d=8000,dest=7", b"x");
    until("the notice", || !scene.platform.notices().is_empty());
    relay.signal("KILL");
    drop(relay);
    let other = Platform::start(0);
    let mut config = scene.config.clone();
    config["discovery"] = json!(other.server.address.to_string());
    let _relay = Relay::start(&config, scene.dir.path());
    until("the notice", || other.notices() == [r#"{"id":"m1","state":"failed"}"#]);
    sleep(ms(200));
    assert_eq!((endpoint.ids().len(), other.notices().len()), (1, 1));
}

#[test]
fn a_new_configuration_moves_watch_and_notices_at_once() {
    let endpoint = Server::start(|_| answer(500, "", ""));
    let scene = scene(usize::MAX, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = Relay::start_with(&scene.config, scene.dir.path(), Some(scene.platform.server.address));
    relay.add("m1", 0, "c=once,d=8000,dest=7", b"x");
    until("a notice that is not taken", || !scene.platform.notices().is_empty());
    let file = scene.dir.path().join("config.json");
    // What can't be read changes nothing.
    std::fs::write(&file, "{").expect("a config");
    relay.signal("HUP");
    until("a line", || scene.log().matches("the new configuration is not used").count() == 1);
    let (other, new) = (Platform::start(0), Server::start(|_| ok()));
    other.set(vec![member("e2", new.address, 8, "single")]);
    let mut config = scene.config.clone();
    config["discovery"] = json!(other.server.address.to_string());
    std::fs::write(&file, config.to_string()).expect("a config");
    let start = Instant::now();
    relay.signal("HUP");
    until("the notice", || other.notices() == [r#"{"id":"m1","state":"failed"}"#]);
    until("the list", || scene.log().contains("list 2: 1 entries"));
    assert!(start.elapsed() < ms(1_000), "{:?}", start.elapsed());
    assert_eq!(relay.add("m2", 0, "c=any,d=8000,dest=8", b"x"), "+OK");
    until("the call", || new.ids() == ["m2"]);
    // Nothing more is asked at the old address.
    let asked = scene.platform.server.requests().len();
    sleep(ms(300));
    assert_eq!(scene.platform.server.requests().len(), asked);
}

#[test]
fn sigterm_finishes_what_is_out_and_keeps_the_rest() {
    let slow = Server::start(|_| Act::Say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into(), ms(2_650)));
    let scene = scene(0, vec![member("e1", slow.address, 7, "single"), nowhere()]);
    let mut relay = scene.relay();
    let (mut kept, mut idle) = (relay.client(), relay.client());
    assert_eq!(kept.ask(&out_add("out", 0, "c=once,d=15000,dest=7", b"1")), "+OK");
    assert_eq!(idle.ask(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    let start = Instant::now();
    relay.signal("TERM");
    sleep(ms(300));
    // Both on a connection that was open and on a new one.
    assert_eq!(kept.ask(&out_add("parked", 0, "c=any,d=15000,dest=8", b"2")), "+OK");
    assert_eq!(relay.add("late", 0, "c=any,d=15000,dest=7", b"3"), "+OK");
    assert_eq!(idle.hear(), "");
    assert_eq!(relay.code(), Some(0));
    assert!(start.elapsed() > ms(2_600) && start.elapsed() < ms(3_700), "{:?}", start.elapsed());
    assert_eq!(slow.ids(), ["out", "late"]);
    let other = Server::start(|_| ok());
    scene.platform.set(vec![member("e2", other.address, 8, "single")]);
    let _relay = scene.relay();
    until("what was kept", || other.ids() == ["parked"]);
    sleep(ms(200));
    assert_eq!((slow.ids().len(), scene.platform.notices().len()), (2, 0));
}

#[test]
fn a_drain_told_after_sigterm_is_kept() {
    // The first call is told to wait until after the drain; the relay still sends two seconds after SIGTERM.
    let wait = std::sync::atomic::AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        if wait.swap(false, Ordering::SeqCst) { answer(429, "Retry-After: 1.8\r\n", "") } else { ok() }
    });
    let e1 = member("e1", endpoint.address, 7, "single");
    let scene = scene(0, vec![e1.clone()]);
    let mut relay = scene.relay();
    assert_eq!(relay.add("m1", 0, "c=any,d=15000,dest=7", b"1"), "+OK");
    until("the first call", || endpoint.ids().len() == 1);
    relay.signal("TERM");
    // Clients are sent away half a second later; the list must be followed beyond that.
    sleep(ms(600));
    let mut leaving = e1;
    leaving["phase"] = json!("Terminating");
    scene.platform.set(vec![leaving]);
    assert_eq!(relay.code(), Some(0));
    assert_eq!(endpoint.ids(), ["m1"]);
    assert!(scene.log().contains("list 3: 1 entries"));
}

#[test]
fn sigterm_does_not_wait_for_the_silent() {
    let hung = Server::start(|_| Act::Hang);
    let scene = scene(0, vec![member("e1", hung.address, 7, "single")]);
    let mut relay = scene.relay();
    let mut client = relay.client();
    client.ask(&out_add("out", 0, "c=any,d=15000,dest=7", b"1"));
    client.say(b"*5\r\n$7\r\nOUT.");
    let start = Instant::now();
    relay.signal("TERM");
    assert_eq!(relay.code(), Some(0));
    assert!(start.elapsed() < ms(3_700), "{:?}", start.elapsed());
    assert!(scene.log().contains("stopped with 1 calls out, 1 messages kept"));
}

#[test]
fn a_client_that_is_gone_hands_nothing_in() {
    let endpoint = Server::start(|_| ok());
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    let mut client = relay.client();
    assert_eq!(client.ask(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    relay.signal("STOP");
    // Guards this test against a busy machine: the signal is sent at once, the process stops a little later.
    until("the relay to stand still", || relay.stands_still());
    client.say(&out_add("gone", 0, "c=any,d=8000,dest=7", b"1"));
    drop(client);
    relay.signal("CONT");
    assert_eq!(relay.add("here", 0, "c=any,d=8000,dest=7", b"2"), "+OK");
    until("the other one", || endpoint.ids() == ["here"]);
    sleep(ms(300));
    assert_eq!(endpoint.ids(), ["here"]);
}

#[test]
fn a_full_spool_pushes_back_and_stays_within_its_limit() {
    let open = Arc::new(AtomicBool::new(false));
    let ready = open.clone();
    let endpoint =
        Server::start(move |_| if ready.load(Ordering::SeqCst) { ok() } else { answer(503, "", "") });
    let mut scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    scene.config["limits"]["disk_mb"] = json!(0.2);
    let relay = scene.relay();
    let (mut client, mut said) = (relay.client(), Vec::new());
    for i in 0..40 {
        said.push(client.ask(&out_add(&format!("m{i}"), 0, "c=any,d=20000,dest=7", &[b'x'; 9_000])));
        assert!(scene.disk() <= 200_000, "{}", scene.disk());
    }
    assert!(said.contains(&"+OK".to_string()) && said.contains(&"-BUSY".to_string()), "{said:?}");
    open.store(true, Ordering::SeqCst);
    until("room", || client.ask(&out_add("more", 0, "c=any,d=20000,dest=7", b"x")) == "+OK");
}

#[test]
fn a_connection_closed_while_idle_is_not_used_again() {
    let closing = Server::start(|_| Act::SayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into()));
    let scene = scene(0, vec![member("e1", closing.address, 7, "single")]);
    let relay = scene.relay();
    for (n, id) in ["m1", "m2", "m3"].iter().enumerate() {
        relay.add(id, 0, "c=once,d=8000,dest=7", b"x");
        until("the call", || closing.ids().len() == n + 1);
        sleep(ms(100));
    }
    assert_eq!(closing.requests().iter().map(|r| r.connection).collect::<Vec<_>>(), [0, 1, 2]);
    assert!(scene.platform.notices().is_empty());
    until("log lines", || scene.log().matches("ended: closed-while-idle after 1 requests").count() == 3);
}

#[test]
fn in_a_crowd_a_connection_ends_with_its_call() {
    // The endpoint holds two connections; a third is turned away at the door, as the protocol tells it.
    let endpoint = Server::start(|r| {
        if r.connection == 2 {
            return answer(503, "Connection: close\r\n", "");
        }
        ok()
    });
    let mut scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    scene.config["settings"]["balancers"] = json!(300);
    let relay = scene.relay();
    for n in 0..4 {
        assert_eq!(relay.add(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
        until("the call", || endpoint.requests().iter().any(|r| r.ids() == [format!("m{n}")]));
    }
    // Each call came on a connection of its own, closed after it; the one turned away went again.
    until("the message turned away", || endpoint.requests().len() == 5);
    let connections: Vec<usize> = endpoint.requests().iter().map(|r| r.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3, 4]);
    assert!(scene.platform.notices().is_empty());
}

/// Discovery answers the first call for the list with this, then as it should.
fn recovers(said: &'static str) -> (Server, impl Fn(&Request) -> Act) {
    let endpoint = Server::start(|_| ok());
    let list =
        json!({"revision": 5, "complete": true, "members": [member("e1", endpoint.address, 7, "single")]});
    let left = AtomicBool::new(true);
    let act = move |_: &Request| match (left.swap(false, Ordering::SeqCst), said) {
        (true, "") => Act::Hang,
        (true, said) => Act::Say(said.to_string(), Duration::ZERO),
        _ => Act::Say(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.to_string().len()),
            ms(20),
        ),
    };
    (endpoint, act)
}

// Guards against a discovery that, once it was short of room, silent or wrong, is not asked again or ends the relay.
#[test_case("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"; "full")]
#[test_case("HTTP/1.1 503 X\r\nRetry-After: 1e300\r\nContent-Length: 0\r\n\r\n"; "full for ages")]
#[test_case("HTTP/1.1 503 X\r\nRetry-After: -5\r\nContent-Length: 0\r\n\r\n"; "full since long ago")]
#[test_case("HTTP/1.1 503 X\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n"; "a wait that can't be read")]
#[test_case(""; "silent")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{\"revision\": 9"; "an answer that never ends")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"revision\": 9,"; "a list cut short")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "an empty answer")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull"; "no list")]
fn discovery_that_fails_once_is_asked_again(said: &'static str) {
    for asked in ["automatic", "subscribe"] {
        let (endpoint, act) = recovers(said);
        let discovery = Server::start(act);
        let mut config = config(free(), discovery.address, &[]);
        config["settings"]["discovery"] = json!(asked);
        // A span to ask within that nobody can mean.
        config["settings"]["obligations"]["askWithin"] = json!(u64::MAX);
        let dir = tempfile::tempdir().expect("a folder");
        let relay = Relay::start(&config, dir.path());
        let log = || std::fs::read_to_string(dir.path().join("log")).expect("a log");
        until("the list", || log().contains("list 5:"));
        assert_eq!(relay.add("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
        until("the call", || endpoint.ids().iter().filter(|id| *id == "m1").count() > 0);
        assert!(
            log().lines().filter(|l| l.contains("WARN") && l.contains("discovery:")).count() <= 1,
            "{}",
            log()
        );
    }
}

// The same with nobody at the address at first.
#[test]
fn discovery_that_starts_late_is_found() {
    let (_endpoint, act) = recovers("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    let at = free();
    let dir = tempfile::tempdir().expect("a folder");
    let _relay = Relay::start(&config(free(), at, &[]), dir.path());
    sleep(ms(300));
    let _discovery = Server::on(std::net::TcpListener::bind(at).expect("the port"), act);
    until("the list", || std::fs::read_to_string(dir.path().join("log")).expect("a log").contains("list 5:"));
}

#[test]
fn the_list_is_followed() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let scene = scene(0, vec![member("e1", old.address, 7, "single")]);
    let relay = scene.relay();
    relay.add("m1", 0, "c=any,d=8000,dest=7", b"x");
    until("the call", || old.ids() == ["m1"]);
    let mut leaving = member("e1", old.address, 7, "single");
    leaving["phase"] = json!("Terminating");
    scene.platform.set(vec![leaving, json!({"id": 5}), member("e2", new.address, 7, "single")]);
    until("the change", || scene.log().contains("list 3:"));
    for id in ["m2", "m3", "m4"] {
        relay.add(id, 0, "c=any,d=8000,dest=7", b"x");
    }
    until("the calls", || new.ids().len() == 3);
    // An endpoint that moves keeps its id; nothing goes to the old place.
    scene.platform.set(vec![member("e2", old.address, 7, "single")]);
    until("the change", || scene.log().contains("list 4:"));
    relay.add("m5", 0, "c=any,d=8000,dest=7", b"x");
    until("the call", || old.ids() == ["m1", "m5"]);
    assert_eq!(new.ids().len(), 3);
}

// Guards against a second copy under an id that has had its end.
#[test]
fn an_id_is_used_once() {
    let endpoint = Server::start(|_| ok());
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    assert_eq!(relay.add("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
    until("the call", || endpoint.ids() == ["m1"]);
    sleep(ms(100));
    assert_eq!(relay.add("m1", 0, "c=any,d=8000,dest=7", b"y"), "-ERR the id was used before");
    assert_eq!(endpoint.ids(), ["m1"]);
}

// Guards against tables that grow for good, and against one endpoint's connection used for another.
#[test]
fn endpoints_that_are_gone_are_forgotten_with_their_connections() {
    let endpoint = Server::start(|_| ok());
    let scene = scene(0, vec![member("e0", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    for n in 1..4 {
        relay.add(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b"x");
        until("the call", || endpoint.ids().len() == n);
        // Another one takes the address.
        scene.platform.set(vec![member(&format!("e{n}"), endpoint.address, 7, "single")]);
        let gone = format!("endpoint e{} is forgotten", n - 1);
        until("the end of the last one", || scene.log().contains(&gone));
    }
    assert_eq!(endpoint.requests().iter().map(|r| r.connection).collect::<Vec<_>>(), [0, 1, 2]);
    scene.platform.set(vec![]);
    until("the last one", || scene.log().contains("endpoint e3 is forgotten"));
    assert_eq!(relay.add("m9", 0, "c=any,d=8000,dest=7", b"x"), "-ERR dest is not on the list");
}

#[test]
fn a_silent_discovery_holds_nothing_up() {
    let silent = Server::start(|_| Act::Hang);
    let endpoint = Server::start(|_| ok());
    let members = [member("e1", endpoint.address, 7, "single")];
    let dir = tempfile::tempdir().expect("a folder");
    let relay = Relay::start(&config(free(), silent.address, &members), dir.path());
    assert_eq!(relay.add("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
    until("the call", || endpoint.ids() == ["m1"]);
}

#[test]
fn no_connection_means_that_it_never_ran() {
    let scene = scene(0, vec![member("e1", free(), 7, "single")]);
    let relay = scene.relay();
    assert_eq!(relay.add("m1", 0, "c=once,d=8000,dest=7", b"x"), "+OK");
    until("a refused connection", || scene.log().contains("connection to endpoint e1 not made"));
    let late = Server::start(|_| ok());
    scene.platform.set(vec![member("e1", late.address, 7, "single")]);
    until("the call", || late.ids() == ["m1"]);
    assert!(scene.platform.notices().is_empty());
}

#[test]
fn every_answer_comes_in_order_on_its_connection() {
    let endpoint = Server::start(|_| ok());
    let scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = scene.relay();
    let mut client = relay.client();
    let ping = b"*1\r\n$4\r\nping\r\n".to_vec();
    let add = |id: &str| out_add(id, 0, "c=any,d=8000,dest=7", b"x");
    client.say(&[add("m1"), ping.clone(), add("m1"), add("m2"), b"*1\r\n$4\r\nQUIT\r\n".to_vec()].concat());
    assert_eq!([(); 5].map(|()| client.hear()), ["+OK", "+PONG", "+OK", "+OK", "+OK"]);
    assert_eq!(client.0.read(&mut [0]).expect("an end"), 0);
    until("both", || endpoint.ids().len() == 2);
    sleep(ms(100));
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["m1", "m2"], "handed in twice, sent once");
}

#[test]
fn a_discovery_that_refuses_is_asked_again_less_and_less_often() {
    let agent = Server::start(|r| if r.path.starts_with("/catalog") { answer(503, "", "") } else { ok() });
    let endpoint = Server::start(|_| ok());
    let mut scene = scene(0, vec![member("e1", endpoint.address, 7, "single")]);
    scene.config["discovery"] = json!(agent.address.to_string());
    let _relay = scene.relay();
    sleep(ms(3_000));
    let calls = agent.requests().iter().filter(|r| r.path.starts_with("/catalog")).count();
    // A pause of 100 ms each time would make some 30 calls; doubling pauses up to 1.6 s make about 7.
    assert!((3..=12).contains(&calls), "{calls} calls in 3 s");
}
