//! The endpoint list: polls, updates, and drains that stay binding.

use crate::support::{discovery::*, process::*, server::*, *};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Returns a server `e1` that the configuration lists as ready, its replacement `e2`, the fixture, and a list in which
/// `e1` is draining.
fn drained_endpoint_and_replacement() -> (Server, Server, Fixture, Vec<Value>) {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let fixture = fixture(0, vec![member("e1", old.address, 7, "single")]);
    let mut draining = member("e1", old.address, 7, "single");
    draining["phase"] = json!("Terminating");
    let list = vec![draining, member("e2", new.address, 7, "single")];
    (old, new, fixture, list)
}

#[test_case("TERM")]
#[test_case("KILL")]
fn drain_recorded_by_an_earlier_process_is_kept(signal: &str) {
    let (old, new, fixture, list) = drained_endpoint_and_replacement();
    let relay = fixture.start_relay();
    fixture.platform.set_members(list);
    let drain_record = fixture.dir.path().join("state/leaving");
    wait_until("the drain record", || {
        std::fs::read_to_string(&drain_record).is_ok_and(|text| text.contains("e1 "))
    });
    relay.signal(signal);
    drop(relay);
    // Discovery does not respond to the next process, whose configuration lists only e1, as ready.
    let silent = Server::start(|_| ServerAction::Hang);
    let relay = Relay::start_with_discovery(&fixture.config, fixture.dir.path(), Some(silent.address));
    assert_eq!(relay.submit("m1", 0, "c=any,d=1500,dest=7", b""), "+OK");
    sleep(ms(1_000));
    assert!(fixture.log().contains(
        "1 endpoints are listed as ready but recorded as draining or removed; the record takes precedence"
    ));
    drop(relay);
    let _relay = fixture.start_relay();
    wait_until("the call", || new.ids() == ["m1"]);
    assert_eq!(old.ids().len(), 0);
}

#[test]
fn start_with_a_current_list_sends_at_once() {
    let endpoint = Server::start(|_| ok());
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["known"]["revision"] = json!(2);
    let relay = fixture.start_relay();
    let start = Instant::now();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    wait_until("the call", || endpoint.ids() == ["m1"]);
    // Discovery confirms the revision at once instead of waiting for a change.
    assert!(start.elapsed() < ms(400), "{:?}", start.elapsed());
}

#[test]
fn stale_list_from_another_discovery_keeps_an_endpoint_drained() {
    let (old, new, fixture, list) = drained_endpoint_and_replacement();
    let relay = fixture.start_relay();
    fixture.platform.set_members(list.clone());
    wait_until("the list", || fixture.log().contains("list 3:"));
    let stale = Platform::start(0);
    stale.set_members(vec![member("e1", old.address, 7, "single"), member("e2", new.address, 7, "single")]);
    fixture.write_discovery_address(stale.server.address);
    // The drain stays binding after the grace, when the policy has forgotten e1.
    sleep(ms(1_200));
    relay.signal("HUP");
    wait_until("the list", || fixture.log().contains("list 2:"));
    for n in 0..6 {
        assert_eq!(relay.submit(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    wait_until("the calls", || new.ids().len() == 6);
    assert_eq!(old.ids().len(), 0);
}

#[test]
fn unreadable_drain_record_logs_one_line() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let state = fixture.dir.path().join("state");
    std::fs::create_dir_all(&state).expect("create the folder");
    std::fs::write(state.join("leaving"), b"\xff\0what\nno row\n").expect("write the drain record");
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    wait_until("the call", || endpoint.ids() == ["m1"]);
    assert_eq!(fixture.log().matches("leaving: 2 lines can't be read and are left out").count(), 1);
}

#[test]
fn reloaded_discovery_address_applies_to_polls_and_notifications_at_once() {
    let endpoint = Server::start(|_| respond(500, "", ""));
    let fixture = fixture(usize::MAX, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = Relay::start_with_discovery(
        &fixture.config,
        fixture.dir.path(),
        Some(fixture.platform.server.address),
    );
    relay.submit("m1", 0, "c=once,d=8000,dest=7", b"x");
    wait_until("a rejected notification", || !fixture.platform.notifications().is_empty());
    let file = fixture.dir.path().join("config.json");
    // An unreadable configuration has no effect.
    std::fs::write(&file, "{").expect("write the configuration");
    relay.signal("HUP");
    wait_until("the log line", || fixture.log().matches("the new configuration is not used").count() == 1);
    let (other, new) = (Platform::start(0), Server::start(|_| ok()));
    other.set_members(vec![member("e2", new.address, 8, "single")]);
    let mut config = fixture.config.clone();
    config["discovery"] = json!(other.server.address.to_string());
    std::fs::write(&file, config.to_string()).expect("write the configuration");
    let start = Instant::now();
    relay.signal("HUP");
    wait_until("the notification", || other.notifications() == [r#"{"id":"m1","state":"failed"}"#]);
    wait_until("the list", || fixture.log().contains("list 2: 1 entries"));
    assert!(start.elapsed() < ms(1_000), "{:?}", start.elapsed());
    assert_eq!(relay.submit("m2", 0, "c=any,d=8000,dest=8", b"x"), "+OK");
    wait_until("the call", || new.ids() == ["m2"]);
    // No more requests go to the old address.
    let before = fixture.platform.server.requests().len();
    sleep(ms(300));
    assert_eq!(fixture.platform.server.requests().len(), before);
}

/// Returns an endpoint and the handler of a discovery server whose first response is `first_response` (none if empty) and
/// whose later ones list the endpoint.
fn recovering_discovery(first_response: &'static str) -> (Server, impl Fn(&Request) -> ServerAction) {
    let endpoint = Server::start(|_| ok());
    let list =
        json!({"revision": 5, "complete": true, "members": [member("e1", endpoint.address, 7, "single")]});
    let is_first = AtomicBool::new(true);
    let handler = move |_: &Request| match (is_first.swap(false, Ordering::SeqCst), first_response) {
        (true, "") => ServerAction::Hang,
        (true, first_response) => ServerAction::Respond(first_response.to_string(), Duration::ZERO),
        _ => ServerAction::Respond(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.to_string().len()),
            ms(20),
        ),
    };
    (endpoint, handler)
}

// One overloaded, missing or invalid response of discovery must not stop the relay from polling it.
#[test_case("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"; "503")]
#[test_case("HTTP/1.1 503 X\r\nRetry-After: 1e300\r\nContent-Length: 0\r\n\r\n"; "503 with a huge Retry-After")]
#[test_case("HTTP/1.1 503 X\r\nRetry-After: -5\r\nContent-Length: 0\r\n\r\n"; "503 with a negative Retry-After")]
#[test_case("HTTP/1.1 503 X\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n"; "503 with an unreadable Retry-After")]
#[test_case(""; "no response")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{\"revision\": 9"; "unfinished body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"revision\": 9,"; "truncated list")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "empty body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull"; "null in place of a list")]
fn discovery_is_polled_again_after_a_failed_response(first_response: &'static str) {
    for mode in ["automatic", "subscribe"] {
        let (endpoint, handler) = recovering_discovery(first_response);
        let discovery = Server::start(handler);
        let mut config = config(free_address(), discovery.address, &[]);
        config["settings"]["discovery"] = json!(mode);
        // An absurdly long span must not break the polling.
        config["settings"]["obligations"]["askWithin"] = json!(u64::MAX);
        let dir = tempfile::tempdir().expect("create the folder");
        let relay = Relay::start(&config, dir.path());
        let log = || std::fs::read_to_string(dir.path().join("log")).expect("read the log");
        wait_until("the list", || log().contains("list 5:"));
        assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
        wait_until("the call", || endpoint.ids().iter().filter(|id| *id == "m1").count() > 0);
        assert!(
            log().lines().filter(|l| l.contains("WARN") && l.contains("discovery:")).count() <= 1,
            "{}",
            log()
        );
    }
}

// Discovery that does not listen at first must be polled until it does.
#[test]
fn discovery_that_starts_late_is_found() {
    let (_endpoint, handler) = recovering_discovery("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    let address = free_address();
    let dir = tempfile::tempdir().expect("create the folder");
    let _relay = Relay::start(&config(free_address(), address, &[]), dir.path());
    sleep(ms(300));
    let _discovery = Server::on(std::net::TcpListener::bind(address).expect("the port"), handler);
    wait_until("the list", || {
        std::fs::read_to_string(dir.path().join("log")).expect("read the log").contains("list 5:")
    });
}

#[test]
fn list_updates_are_applied() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let fixture = fixture(0, vec![member("e1", old.address, 7, "single")]);
    let relay = fixture.start_relay();
    relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x");
    wait_until("the call", || old.ids() == ["m1"]);
    let mut draining = member("e1", old.address, 7, "single");
    draining["phase"] = json!("Terminating");
    fixture.platform.set_members(vec![draining, json!({"id": 5}), member("e2", new.address, 7, "single")]);
    wait_until("the change", || fixture.log().contains("list 3:"));
    for id in ["m2", "m3", "m4"] {
        relay.submit(id, 0, "c=any,d=8000,dest=7", b"x");
    }
    wait_until("the calls", || new.ids().len() == 3);
    // An endpoint that moves keeps its id; nothing is sent to its old address.
    fixture.platform.set_members(vec![member("e2", old.address, 7, "single")]);
    wait_until("the change", || fixture.log().contains("list 4:"));
    relay.submit("m5", 0, "c=any,d=8000,dest=7", b"x");
    wait_until("the call", || old.ids() == ["m1", "m5"]);
    assert_eq!(new.ids().len(), 3);
}

// Tables must not grow without bound, and a connection to one endpoint must not be used for another.
#[test]
fn removed_endpoints_are_forgotten_with_their_connections() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e0", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    for n in 1..4 {
        relay.submit(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b"x");
        wait_until("the call", || endpoint.ids().len() == n);
        // Another endpoint gets the address.
        fixture.platform.set_members(vec![member(&format!("e{n}"), endpoint.address, 7, "single")]);
        let forgotten = format!("endpoint e{} is forgotten", n - 1);
        wait_until("the previous endpoint to be forgotten", || fixture.log().contains(&forgotten));
    }
    assert_eq!(endpoint.requests().iter().map(|r| r.connection).collect::<Vec<_>>(), [0, 1, 2]);
    fixture.platform.set_members(vec![]);
    wait_until("the last endpoint to be forgotten", || fixture.log().contains("endpoint e3 is forgotten"));
    assert_eq!(relay.submit("m9", 0, "c=any,d=8000,dest=7", b"x"), "-ERR dest is not on the list");
}

#[test]
fn silent_discovery_delays_no_call() {
    let silent = Server::start(|_| ServerAction::Hang);
    let endpoint = Server::start(|_| ok());
    let members = [member("e1", endpoint.address, 7, "single")];
    let dir = tempfile::tempdir().expect("create the folder");
    let relay = Relay::start(&config(free_address(), silent.address, &members), dir.path());
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
    wait_until("the call", || endpoint.ids() == ["m1"]);
}

#[test]
fn failing_discovery_is_polled_with_growing_backoff() {
    let discovery =
        Server::start(|r| if r.path.starts_with("/catalog") { respond(503, "", "") } else { ok() });
    let endpoint = Server::start(|_| ok());
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["discovery"] = json!(discovery.address.to_string());
    let _relay = fixture.start_relay();
    sleep(ms(3_000));
    let calls = discovery.requests().iter().filter(|r| r.path.starts_with("/catalog")).count();
    // A constant pause of 100 ms would make about 30 calls; pauses that double up to 1.6 s make about 7.
    assert!((3..=12).contains(&calls), "{calls} calls in 3 s");
}

// The largest list that the platform serves, indented, must fit into the smallest memory limit that it grants.
#[test]
fn indented_list_of_the_largest_fleet_is_applied() {
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
    // Four spaces of indentation for each level.
    let text = serde_json::to_string_pretty(&list).expect("JSON text").replace("  ", "    ");
    let discovery = Server::start(move |request| {
        let is_watch = request.path.contains("index=5");
        if is_watch { ServerAction::Hang } else { respond(200, "", &text) }
    });
    let mut fixture = fixture(0, vec![]);
    fixture.config["discovery"] = json!(discovery.address.to_string());
    fixture.config["limits"]["memory_mb"] = json!(32);
    let relay = fixture.start_relay();
    wait_until("the list", || fixture.log().contains(&format!("list 5: {ENDPOINTS} entries")));
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    wait_until("the call", || endpoint.ids() == ["m1"]);
}

/// Returns the wait of a request for the list, if it is a watch.
fn watch_wait(request: &Request) -> Option<Duration> {
    let wait = request.path.split("wait=").nth(1)?.parse().ok()?;
    (wait > 1).then(|| ms(wait))
}

// Guards against a large fleet's relay that spreads the poll behind a silent watch beyond the time at which what the watch
// missed counts as known: it would send to a removed endpoint, or to another endpoint at the same address.
#[test]
fn silent_watch_of_a_large_fleet_is_replaced_before_missed_changes_count_as_known() {
    let known_after_wait = ms(2_000);
    let endpoint = Server::start(|_| ok());
    let list =
        json!({"revision": 5, "complete": true, "members": [member("e1", endpoint.address, 7, "single")]});
    let discovery = Server::start(move |request| {
        if watch_wait(request).is_some() { ServerAction::Hang } else { respond(200, "", &list.to_string()) }
    });
    let mut config = config(free_address(), discovery.address, &[]);
    config["settings"]["discovery"] = json!("subscribe");
    config["settings"]["balancers"] = json!(40);
    config["settings"]["obligations"]["askWithin"] = json!(6_000_000);
    let dir = tempfile::tempdir().expect("create the folder");
    let _relay = Relay::start(&config, dir.path());
    let polls = || -> Vec<Request> {
        discovery.requests().into_iter().filter(|request| request.path.starts_with("/catalog")).collect()
    };
    let is_watch = |request: &Request| watch_wait(request).is_some();
    wait_until_within(ms(30_000), "two polls after silent watches", || {
        let polls = polls();
        let second_watch = polls.iter().enumerate().filter(|(_, poll)| is_watch(poll)).nth(1);
        second_watch.is_some_and(|(index, _)| polls.len() > index + 1)
    });
    for pair in polls().windows(2).filter(|pair| is_watch(&pair[0])) {
        let wait = watch_wait(&pair[0]).expect("a watch");
        let gap = pair[1].at - pair[0].at;
        assert!(gap < wait + known_after_wait, "{gap:?} after a watch of {wait:?}");
    }
}
