//! The endpoint list: how it is followed, and what of it binds.

use crate::support::{discovery::*, process::*, server::*, *};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// `e1` of destination 7, as the configuration still lists it, and as discovery told the first process.
fn told_before() -> (Server, Server, Fixture, Vec<Value>) {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let fixture = fixture(0, vec![member("e1", old.address, 7, "single")]);
    let mut leaving = member("e1", old.address, 7, "single");
    leaving["phase"] = json!("Terminating");
    let list = vec![leaving, member("e2", new.address, 7, "single")];
    (old, new, fixture, list)
}

#[test_case("TERM")]
#[test_case("KILL")]
fn a_drain_recorded_by_an_earlier_process_is_kept(signal: &str) {
    let (old, new, fixture, list) = told_before();
    let relay = fixture.relay();
    fixture.platform.set(list);
    let drain_record = fixture.dir.path().join("state/leaving");
    until("the drain record", || {
        std::fs::read_to_string(&drain_record).is_ok_and(|text| text.contains("e1 "))
    });
    relay.signal(signal);
    drop(relay);
    // Discovery says nothing to the next process, whose configuration lists e1 as ready and knows of no other.
    let silent = Server::start(|_| ServerAction::Hang);
    let relay = Relay::start_with(&fixture.config, fixture.dir.path(), Some(silent.address));
    assert_eq!(relay.submit("m1", 0, "c=any,d=1500,dest=7", b""), "+OK");
    sleep(ms(1_000));
    assert!(fixture.log().contains("1 entries say ready of endpoints told as leaving; they stay so"));
    drop(relay);
    let _relay = fixture.relay();
    until("the call", || new.ids() == ["m1"]);
    assert_eq!(old.ids().len(), 0);
}

#[test]
fn a_start_on_a_current_list_sends_at_once() {
    let endpoint = Server::start(|_| ok());
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["known"]["revision"] = json!(2);
    let relay = fixture.relay();
    let start = Instant::now();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    until("the call", || endpoint.ids() == ["m1"]);
    // Nothing changed since: discovery says so at once, and does not wait for a change.
    assert!(start.elapsed() < ms(400), "{:?}", start.elapsed());
}

#[test]
fn a_stale_list_from_another_discovery_revives_no_drained_endpoint() {
    let (old, new, fixture, list) = told_before();
    let relay = fixture.relay();
    fixture.platform.set(list.clone());
    until("the list", || fixture.log().contains("list 3:"));
    let stale = Platform::start(0);
    stale.set(vec![member("e1", old.address, 7, "single"), member("e2", new.address, 7, "single")]);
    fixture.write_discovery(stale.server.address);
    // After the grace, when the decisions have forgotten e1 too, a drain is as binding as before.
    sleep(ms(1_200));
    relay.signal("HUP");
    until("the list", || fixture.log().contains("list 2:"));
    for n in 0..6 {
        assert_eq!(relay.submit(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    until("the calls", || new.ids().len() == 6);
    assert_eq!(old.ids().len(), 0);
}

#[test]
fn an_unreadable_drain_record_is_one_log_line() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let state = fixture.dir.path().join("state");
    std::fs::create_dir_all(&state).expect("a folder");
    std::fs::write(state.join("leaving"), b"\xff\0what\nno row\n").expect("a drain record");
    let relay = fixture.relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    until("the call", || endpoint.ids() == ["m1"]);
    assert_eq!(fixture.log().matches("leaving: 2 lines can't be read and are left out").count(), 1);
}

#[test]
fn a_new_configuration_moves_polling_and_notifications_at_once() {
    let endpoint = Server::start(|_| answer(500, "", ""));
    let fixture = fixture(usize::MAX, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = Relay::start_with(&fixture.config, fixture.dir.path(), Some(fixture.platform.server.address));
    relay.submit("m1", 0, "c=once,d=8000,dest=7", b"x");
    until("a notification that is not taken", || !fixture.platform.notifications().is_empty());
    let file = fixture.dir.path().join("config.json");
    // What can't be read changes nothing.
    std::fs::write(&file, "{").expect("a config");
    relay.signal("HUP");
    until("a line", || fixture.log().matches("the new configuration is not used").count() == 1);
    let (other, new) = (Platform::start(0), Server::start(|_| ok()));
    other.set(vec![member("e2", new.address, 8, "single")]);
    let mut config = fixture.config.clone();
    config["discovery"] = json!(other.server.address.to_string());
    std::fs::write(&file, config.to_string()).expect("a config");
    let start = Instant::now();
    relay.signal("HUP");
    until("the notification", || other.notifications() == [r#"{"id":"m1","state":"failed"}"#]);
    until("the list", || fixture.log().contains("list 2: 1 entries"));
    assert!(start.elapsed() < ms(1_000), "{:?}", start.elapsed());
    assert_eq!(relay.submit("m2", 0, "c=any,d=8000,dest=8", b"x"), "+OK");
    until("the call", || new.ids() == ["m2"]);
    // Nothing more is asked at the old address.
    let asked = fixture.platform.server.requests().len();
    sleep(ms(300));
    assert_eq!(fixture.platform.server.requests().len(), asked);
}

/// Discovery answers the first call for the list with this, then as it should.
fn recovers(said: &'static str) -> (Server, impl Fn(&Request) -> ServerAction) {
    let endpoint = Server::start(|_| ok());
    let list =
        json!({"revision": 5, "complete": true, "members": [member("e1", endpoint.address, 7, "single")]});
    let left = AtomicBool::new(true);
    let act = move |_: &Request| match (left.swap(false, Ordering::SeqCst), said) {
        (true, "") => ServerAction::Hang,
        (true, said) => ServerAction::Say(said.to_string(), Duration::ZERO),
        _ => ServerAction::Say(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.to_string().len()),
            ms(20),
        ),
    };
    (endpoint, act)
}

// A discovery that was once short of room, silent or wrong is polled again, and the relay goes on.
#[test_case("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"; "full")]
#[test_case("HTTP/1.1 503 X\r\nRetry-After: 1e300\r\nContent-Length: 0\r\n\r\n"; "full for ages")]
#[test_case("HTTP/1.1 503 X\r\nRetry-After: -5\r\nContent-Length: 0\r\n\r\n"; "full since long ago")]
#[test_case("HTTP/1.1 503 X\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n"; "a wait that can't be read")]
#[test_case(""; "silent")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{\"revision\": 9"; "an answer that never ends")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"revision\": 9,"; "a list cut short")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "an empty answer")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull"; "no list")]
fn a_discovery_that_fails_once_is_polled_again(said: &'static str) {
    for asked in ["automatic", "subscribe"] {
        let (endpoint, act) = recovers(said);
        let discovery = Server::start(act);
        let mut config = config(free_address(), discovery.address, &[]);
        config["settings"]["discovery"] = json!(asked);
        // A span to ask within that nobody can mean.
        config["settings"]["obligations"]["askWithin"] = json!(u64::MAX);
        let dir = tempfile::tempdir().expect("a folder");
        let relay = Relay::start(&config, dir.path());
        let log = || std::fs::read_to_string(dir.path().join("log")).expect("a log");
        until("the list", || log().contains("list 5:"));
        assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
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
fn a_discovery_that_starts_late_is_found() {
    let (_endpoint, act) = recovers("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    let at = free_address();
    let dir = tempfile::tempdir().expect("a folder");
    let _relay = Relay::start(&config(free_address(), at, &[]), dir.path());
    sleep(ms(300));
    let _discovery = Server::on(std::net::TcpListener::bind(at).expect("the port"), act);
    until("the list", || std::fs::read_to_string(dir.path().join("log")).expect("a log").contains("list 5:"));
}

#[test]
fn list_updates_are_followed() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let fixture = fixture(0, vec![member("e1", old.address, 7, "single")]);
    let relay = fixture.relay();
    relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x");
    until("the call", || old.ids() == ["m1"]);
    let mut leaving = member("e1", old.address, 7, "single");
    leaving["phase"] = json!("Terminating");
    fixture.platform.set(vec![leaving, json!({"id": 5}), member("e2", new.address, 7, "single")]);
    until("the change", || fixture.log().contains("list 3:"));
    for id in ["m2", "m3", "m4"] {
        relay.submit(id, 0, "c=any,d=8000,dest=7", b"x");
    }
    until("the calls", || new.ids().len() == 3);
    // An endpoint that moves keeps its id; nothing goes to the old place.
    fixture.platform.set(vec![member("e2", old.address, 7, "single")]);
    until("the change", || fixture.log().contains("list 4:"));
    relay.submit("m5", 0, "c=any,d=8000,dest=7", b"x");
    until("the call", || old.ids() == ["m1", "m5"]);
    assert_eq!(new.ids().len(), 3);
}

// Tables must not grow for good, and a connection to one endpoint must not be used for another.
#[test]
fn removed_endpoints_are_forgotten_with_their_connections() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e0", endpoint.address, 7, "single")]);
    let relay = fixture.relay();
    for n in 1..4 {
        relay.submit(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b"x");
        until("the call", || endpoint.ids().len() == n);
        // Another one takes the address.
        fixture.platform.set(vec![member(&format!("e{n}"), endpoint.address, 7, "single")]);
        let gone = format!("endpoint e{} is forgotten", n - 1);
        until("the end of the last one", || fixture.log().contains(&gone));
    }
    assert_eq!(endpoint.requests().iter().map(|r| r.connection).collect::<Vec<_>>(), [0, 1, 2]);
    fixture.platform.set(vec![]);
    until("the last one", || fixture.log().contains("endpoint e3 is forgotten"));
    assert_eq!(relay.submit("m9", 0, "c=any,d=8000,dest=7", b"x"), "-ERR dest is not on the list");
}

#[test]
fn a_silent_discovery_holds_nothing_up() {
    let silent = Server::start(|_| ServerAction::Hang);
    let endpoint = Server::start(|_| ok());
    let members = [member("e1", endpoint.address, 7, "single")];
    let dir = tempfile::tempdir().expect("a folder");
    let relay = Relay::start(&config(free_address(), silent.address, &members), dir.path());
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
    until("the call", || endpoint.ids() == ["m1"]);
}

#[test]
fn a_failing_discovery_is_polled_with_growing_backoff() {
    let agent = Server::start(|r| if r.path.starts_with("/catalog") { answer(503, "", "") } else { ok() });
    let endpoint = Server::start(|_| ok());
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["discovery"] = json!(agent.address.to_string());
    let _relay = fixture.relay();
    sleep(ms(3_000));
    let calls = agent.requests().iter().filter(|r| r.path.starts_with("/catalog")).count();
    // A pause of 100 ms each time would make some 30 calls; doubling pauses up to 1.6 s make about 7.
    assert!((3..=12).contains(&calls), "{calls} calls in 3 s");
}

// The largest list that the platform tells, indented, within the smallest memory that it grants.
#[test]
fn an_indented_list_of_the_largest_fleet_is_taken_in() {
    const ENDPOINTS: usize = 3_200;
    let endpoint = Server::start(|_| ok());
    let members: Vec<Value> = (0..ENDPOINTS)
        .map(|number| {
            let mut entry = member(&format!("endpoint-{number:08}"), endpoint.address, 7, "single");
            entry["up_since_ms"] = json!(1_796_000_000_000_u64 + number as u64);
            entry
        })
        .collect();
    let list = json!({"revision": 5, "complete": true, "members": members});
    // Four spaces for each level.
    let text = serde_json::to_string_pretty(&list).expect("a text").replace("  ", "    ");
    let discovery = Server::start(move |request| {
        let is_watch = request.path.contains("index=5");
        if is_watch { ServerAction::Hang } else { answer(200, "", &text) }
    });
    let mut fixture = fixture(0, vec![]);
    fixture.config["discovery"] = json!(discovery.address.to_string());
    fixture.config["limits"]["memory_mb"] = json!(32);
    let relay = fixture.relay();
    until("the list", || fixture.log().contains(&format!("list 5: {ENDPOINTS} entries")));
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    until("the call", || endpoint.ids() == ["m1"]);
}
