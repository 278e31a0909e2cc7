//! The endpoint list: how it is followed, and what of it binds.

use crate::support::{discovery::*, process::*, server::*, *};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

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
