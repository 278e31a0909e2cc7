//! Starts, signals and ends of the process, and what outlives it.

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Instant;
use test_case::test_case;

#[test_case("", "not JSON"; "an empty file")]
#[test_case("{}", "seed"; "an empty object")]
#[test_case("listen", "no address"; "a bad address")]
#[test_case("settings", "classes.count"; "no settings")]
#[test_case("seed", "hexadecimal"; "a bad seed")]
#[test_case("limits", "disk_mb"; "a bad limit")]
#[test_case("names", "two names are read as any"; "two classes of one name")]
#[test_case("slots", "familyInfo.callsOut=0"; "no calls at all")]
fn a_bad_configuration_is_one_line_and_exit_code_2(what: &str, named: &str) {
    let fixture = fixture(0, vec![]);
    let mut config = fixture.config.clone();
    match what {
        "listen" | "seed" => config[what] = json!("nowhere"),
        "settings" => config[what] = json!({}),
        "names" => config["settings"]["classes"][1]["name"] = json!("any"),
        "slots" => config["settings"]["familyInfo"]["callsOut"] = json!(0),
        "limits" => config[what]["disk_mb"] = json!("three"),
        _ => {}
    }
    let text = if what.len() < 3 { what.to_string() } else { config.to_string() };
    let file = fixture.dir.path().join("config.json");
    std::fs::write(&file, text).expect("a config");
    let log = fixture.dir.path().join("said");
    let mut command = command(&file, fixture.dir.path());
    let mut child = command.stderr(std::fs::File::create(&log).expect("a log")).spawn().expect("a relay");
    // A process that starts after all must not be waited for without end.
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
    let endpoint =
        Server::start(move |_| if hangs.load(Ordering::SeqCst) { ServerAction::Hang } else { ok() });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single"), unreachable_endpoint()]);
    let relay = fixture.relay();
    assert_eq!(relay.submit("once", 0, "c=once,d=15000,dest=7", b"1"), "+OK");
    assert_eq!(relay.submit("any", 0, "c=any,d=15000,dest=7", b"2"), "+OK");
    assert_eq!(relay.submit("pay1", 5, "c=pay,d=15000,dest=7", b"3"), "+OK");
    assert_eq!(relay.submit("pay2", 5, "c=pay,d=15000,dest=7", b"4"), "+OK");
    assert_eq!(relay.submit("late", 0, "c=any,d=600,dest=8", b"5"), "+OK");
    until("the first calls", || endpoint.ids().len() == 3);
    relay.signal("KILL");
    drop(relay);
    dead.store(false, Ordering::SeqCst);
    sleep(ms(700));
    let start = Instant::now();
    let relay = fixture.relay();
    until("what is left", || endpoint.ids().len() == 5 && fixture.platform.notifications().len() == 3);
    sleep(ms(500));
    let later = endpoint.requests().split_off(3);
    let body = |id: &str| later.iter().find(|r| r.ids() == [id]).map(|r| (r.body.clone(), r.at));
    assert_eq!(body("any").expect("any goes again").0, b"2");
    let (bytes, at) = body("pay2").expect("pay2 goes");
    assert_eq!((bytes, later.len()), (b"4".to_vec(), 2));
    assert!(at.duration_since(start) >= ms(300), "the earlier one may still have been running");
    let mut notifications = fixture.platform.notifications();
    notifications.sort();
    assert_eq!(
        notifications,
        ["late", "once", "pay1"].map(|id| format!(r#"{{"id":"{id}","state":"failed"}}"#))
    );
    drop(relay);
    // All of it has ended: the next one starts with nothing.
    fixture.relay();
    sleep(ms(200));
    assert_eq!((endpoint.ids().len(), fixture.platform.notifications().len()), (5, 3));
    assert!(fixture.log().trim_end().contains("starts with 0 messages"));
}

#[test]
fn a_message_rejected_before_a_kill_is_sent_again() {
    let first = AtomicBool::new(true);
    let full = move |_: &Request| first.swap(false, Ordering::SeqCst);
    let endpoint = Server::start(move |r| if full(r) { answer(429, "Retry-After: 5\r\n", "") } else { ok() });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.relay();
    relay.submit("m1", 0, "c=once,d=8000,dest=7", b"x");
    until("the call", || endpoint.ids().len() == 1);
    sleep(ms(200));
    relay.signal("KILL");
    drop(relay);
    let restarted = Instant::now();
    let _relay = fixture.relay();
    until("the call", || endpoint.ids() == ["m1", "m1"]);
    // A restart ends the wait (PROTOCOL): the one told before is not carried over, unlike at a handover.
    assert!(restarted.elapsed() < ms(3_000), "{:?}", restarted.elapsed());
    assert!(fixture.platform.notifications().is_empty());
}

#[test]
fn a_restart_polls_discovery_before_it_sends() {
    let (old, new) = (Server::start(|_| answer(429, "Retry-After: 9\r\n", "")), Server::start(|_| ok()));
    let e1 = member("e1", old.address, 7, "single");
    let fixture = fixture(0, vec![e1.clone()]);
    let relay = fixture.relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=15000,dest=7", b""), "+OK");
    until("the call", || old.ids() == ["m1"]);
    relay.signal("KILL");
    drop(relay);
    // What discovery tells while no process runs counts as told; nothing of it stands in the folder. The restart
    // ends the wait, so that m1 could go at once.
    let mut leaving = e1;
    leaving["phase"] = json!("Terminating");
    fixture.platform.set(vec![leaving, member("e2", new.address, 7, "single")]);
    let _relay = fixture.relay();
    until("the call", || new.ids() == ["m1"]);
    assert_eq!(old.ids(), ["m1"]);
}

#[test]
fn a_pending_notification_outlives_the_process() {
    let endpoint = Server::start(|_| answer(500, "", ""));
    let fixture = fixture(usize::MAX, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.relay();
    relay.submit("m1", 0, "c=once,d=8000,dest=7", b"x");
    until("the notification", || !fixture.platform.notifications().is_empty());
    relay.signal("KILL");
    drop(relay);
    let other = Platform::start(0);
    let mut config = fixture.config.clone();
    config["discovery"] = json!(other.server.address.to_string());
    let _relay = Relay::start(&config, fixture.dir.path());
    until("the notification", || other.notifications() == [r#"{"id":"m1","state":"failed"}"#]);
    sleep(ms(200));
    assert_eq!((endpoint.ids().len(), other.notifications().len()), (1, 1));
}

#[test]
fn sigterm_finishes_calls_in_flight_and_keeps_queued_messages() {
    let slow = Server::start(|_| {
        ServerAction::Say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into(), ms(2_650))
    });
    let fixture = fixture(0, vec![member("e1", slow.address, 7, "single"), unreachable_endpoint()]);
    let mut relay = fixture.relay();
    let (mut kept, mut idle) = (relay.client(), relay.client());
    assert_eq!(kept.ask(&submit_request("out", 0, "c=once,d=15000,dest=7", b"1")), "+OK");
    assert_eq!(idle.ask(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    let start = Instant::now();
    relay.signal("TERM");
    sleep(ms(300));
    // Both on a connection that was open and on a new one.
    assert_eq!(kept.ask(&submit_request("parked", 0, "c=any,d=15000,dest=8", b"2")), "+OK");
    assert_eq!(relay.submit("late", 0, "c=any,d=15000,dest=7", b"3"), "+OK");
    assert_eq!(idle.hear(), "");
    assert_eq!(relay.code(), Some(0));
    assert!(start.elapsed() > ms(2_600) && start.elapsed() < ms(3_700), "{:?}", start.elapsed());
    assert_eq!(slow.ids(), ["out", "late"]);
    let other = Server::start(|_| ok());
    fixture.platform.set(vec![member("e2", other.address, 8, "single")]);
    let _relay = fixture.relay();
    until("what was kept", || other.ids() == ["parked"]);
    sleep(ms(200));
    assert_eq!((slow.ids().len(), fixture.platform.notifications().len()), (2, 0));
}

#[test]
fn a_drain_told_after_sigterm_is_kept() {
    // The first call is told to wait until after the drain; the relay still sends two seconds after SIGTERM.
    let wait = std::sync::atomic::AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        if wait.swap(false, Ordering::SeqCst) { answer(429, "Retry-After: 1.8\r\n", "") } else { ok() }
    });
    let e1 = member("e1", endpoint.address, 7, "single");
    let fixture = fixture(0, vec![e1.clone()]);
    let mut relay = fixture.relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=15000,dest=7", b"1"), "+OK");
    until("the first call", || endpoint.ids().len() == 1);
    relay.signal("TERM");
    // Clients are sent away half a second later; the list must be followed beyond that.
    sleep(ms(600));
    let mut leaving = e1;
    leaving["phase"] = json!("Terminating");
    fixture.platform.set(vec![leaving]);
    assert_eq!(relay.code(), Some(0));
    assert_eq!(endpoint.ids(), ["m1"]);
    assert!(fixture.log().contains("list 3: 1 entries"));
}

#[test]
fn sigterm_does_not_wait_for_silent_peers() {
    let hung = Server::start(|_| ServerAction::Hang);
    let fixture = fixture(0, vec![member("e1", hung.address, 7, "single")]);
    let mut relay = fixture.relay();
    let mut client = relay.client();
    client.ask(&submit_request("out", 0, "c=any,d=15000,dest=7", b"1"));
    client.say(b"*5\r\n$7\r\nOUT.");
    let start = Instant::now();
    relay.signal("TERM");
    assert_eq!(relay.code(), Some(0));
    assert!(start.elapsed() < ms(3_700), "{:?}", start.elapsed());
    assert!(fixture.log().contains("stopped with 1 calls out, 1 messages kept"));
}

#[test]
fn a_full_spool_rejects_and_stays_within_its_size_limit() {
    let open = Arc::new(AtomicBool::new(false));
    let ready = open.clone();
    let endpoint =
        Server::start(move |_| if ready.load(Ordering::SeqCst) { ok() } else { answer(503, "", "") });
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["limits"]["disk_mb"] = json!(0.2);
    let relay = fixture.relay();
    let (mut client, mut said) = (relay.client(), Vec::new());
    for i in 0..40 {
        said.push(client.ask(&submit_request(&format!("m{i}"), 0, "c=any,d=20000,dest=7", &[b'x'; 9_000])));
        assert!(fixture.disk() <= 200_000, "{}", fixture.disk());
    }
    assert!(said.contains(&"+OK".to_string()) && said.contains(&"-BUSY".to_string()), "{said:?}");
    open.store(true, Ordering::SeqCst);
    until("room", || client.ask(&submit_request("more", 0, "c=any,d=20000,dest=7", b"x")) == "+OK");
}
