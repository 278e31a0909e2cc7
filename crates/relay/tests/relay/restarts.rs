//! Start, signals and exit of the process, and the state that survives a restart.

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Instant;
use test_case::test_case;

#[test_case("", "not JSON"; "empty file")]
#[test_case("{}", "seed"; "empty object")]
#[test_case("listen", "no address"; "invalid address")]
#[test_case("settings", "classes.count"; "missing settings")]
#[test_case("seed", "hexadecimal"; "invalid seed")]
#[test_case("limits", "disk_mb"; "invalid limit")]
#[test_case("names", "two names are both read as any"; "duplicate class name")]
#[test_case("slots", "familyInfo.callsOut=0"; "zero calls in flight")]
fn invalid_configuration_logs_one_line_and_exits_with_code_2(defect: &str, expected: &str) {
    let fixture = fixture(0, vec![]);
    let mut config = fixture.config.clone();
    match defect {
        "listen" | "seed" => config[defect] = json!("nowhere"),
        "settings" => config[defect] = json!({}),
        "names" => config["settings"]["classes"][1]["name"] = json!("any"),
        "slots" => config["settings"]["familyInfo"]["callsOut"] = json!(0),
        "limits" => config[defect]["disk_mb"] = json!("three"),
        _ => {}
    }
    let text = if defect.len() < 3 { defect.to_string() } else { config.to_string() };
    let file = fixture.dir.path().join("config.json");
    std::fs::write(&file, text).expect("write the configuration");
    let log = fixture.dir.path().join("stderr");
    let mut command = relay_command(&file, fixture.dir.path());
    let mut child = command
        .stderr(std::fs::File::create(&log).expect("create the log"))
        .spawn()
        .expect("start the relay");
    // Bounds the wait for a process that starts in spite of the invalid configuration.
    let mut code = None;
    for _ in 0..1_000 {
        code = child.try_wait().expect("process status").and_then(|status| status.code());
        if code.is_some() {
            break;
        }
        sleep(ms(10));
    }
    let _ = child.kill();
    let text = std::fs::read_to_string(&log).expect("read the log");
    assert!(code == Some(2) && text.lines().count() == 1, "{text}");
    assert!(text.contains("not started") && (text.contains(expected) || expected == "not JSON"), "{text}");
}

#[test]
fn restart_after_a_kill_loses_and_repeats_no_message() {
    let is_hanging = Arc::new(AtomicBool::new(true));
    let hangs = is_hanging.clone();
    let endpoint =
        Server::start(move |_| if hangs.load(Ordering::SeqCst) { ServerAction::Hang } else { ok() });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single"), unreachable_endpoint()]);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("once", 0, "c=once,d=15000,dest=7", b"1"), "+OK");
    assert_eq!(relay.submit("any", 0, "c=any,d=15000,dest=7", b"2"), "+OK");
    assert_eq!(relay.submit("pay1", 5, "c=pay,d=15000,dest=7", b"3"), "+OK");
    assert_eq!(relay.submit("pay2", 5, "c=pay,d=15000,dest=7", b"4"), "+OK");
    assert_eq!(relay.submit("late", 0, "c=any,d=600,dest=8", b"5"), "+OK");
    wait_until("the first calls", || endpoint.ids().len() == 3);
    relay.signal("KILL");
    drop(relay);
    is_hanging.store(false, Ordering::SeqCst);
    sleep(ms(700));
    let start = Instant::now();
    let relay = fixture.start_relay();
    wait_until("the remaining calls and notifications", || {
        endpoint.ids().len() == 5 && fixture.platform.notifications().len() == 3
    });
    sleep(ms(500));
    let later = endpoint.requests().split_off(3);
    let body = |id: &str| later.iter().find(|r| r.ids() == [id]).map(|r| (r.body.clone(), r.at));
    assert_eq!(body("any").expect("`any` is sent again").0, b"2");
    let (bytes, at) = body("pay2").expect("`pay2` is sent");
    assert_eq!((bytes, later.len()), (b"4".to_vec(), 2));
    assert!(
        at.duration_since(start) >= ms(300),
        "the earlier message of its key may still have been running"
    );
    let mut notifications = fixture.platform.notifications();
    notifications.sort();
    assert_eq!(
        notifications,
        ["late", "once", "pay1"].map(|id| format!(r#"{{"id":"{id}","state":"failed"}}"#))
    );
    drop(relay);
    // Every message has ended: the next process starts with an empty spool.
    fixture.start_relay();
    sleep(ms(200));
    assert_eq!((endpoint.ids().len(), fixture.platform.notifications().len()), (5, 3));
    assert!(fixture.log().trim_end().contains("starts with 0 messages"));
}

#[test]
fn message_rejected_before_a_kill_is_sent_again_after_the_restart() {
    let first = AtomicBool::new(true);
    let is_first = move |_: &Request| first.swap(false, Ordering::SeqCst);
    let endpoint =
        Server::start(move |r| if is_first(r) { respond(429, "Retry-After: 5\r\n", "") } else { ok() });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    relay.submit("m1", 0, "c=once,d=8000,dest=7", b"x");
    wait_until("the first call", || endpoint.ids().len() == 1);
    sleep(ms(200));
    relay.signal("KILL");
    drop(relay);
    let restarted = Instant::now();
    let _relay = fixture.start_relay();
    wait_until("the second call", || endpoint.ids() == ["m1", "m1"]);
    // By the protocol a restart clears the Retry-After; only a handover passes it on.
    assert!(restarted.elapsed() < ms(3_000), "{:?}", restarted.elapsed());
    assert!(fixture.platform.notifications().is_empty());
}

#[test]
fn restart_polls_discovery_before_sending() {
    let (old, new) = (Server::start(|_| respond(429, "Retry-After: 9\r\n", "")), Server::start(|_| ok()));
    let e1 = member("e1", old.address, 7, "single");
    let fixture = fixture(0, vec![e1.clone()]);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=15000,dest=7", b""), "+OK");
    wait_until("the call", || old.ids() == ["m1"]);
    relay.signal("KILL");
    drop(relay);
    // A drain published while no process runs is binding, though the state folder has no record of it. The restart clears
    // the Retry-After, so m1 could be sent at once.
    let mut draining = e1;
    draining["phase"] = json!("Terminating");
    fixture.platform.set_members(vec![draining, member("e2", new.address, 7, "single")]);
    let _relay = fixture.start_relay();
    wait_until("the call", || new.ids() == ["m1"]);
    assert_eq!(old.ids(), ["m1"]);
}

#[test]
fn pending_notification_is_sent_after_a_restart() {
    let endpoint = Server::start(|_| respond(500, "", ""));
    let fixture = fixture(usize::MAX, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    relay.submit("m1", 0, "c=once,d=8000,dest=7", b"x");
    wait_until("the notification", || !fixture.platform.notifications().is_empty());
    relay.signal("KILL");
    drop(relay);
    let other = Platform::start(0);
    let mut config = fixture.config.clone();
    config["discovery"] = json!(other.server.address.to_string());
    let _relay = Relay::start(&config, fixture.dir.path());
    wait_until("the notification", || other.notifications() == [r#"{"id":"m1","state":"failed"}"#]);
    sleep(ms(200));
    assert_eq!((endpoint.ids().len(), other.notifications().len()), (1, 1));
}

#[test]
fn sigterm_finishes_calls_in_flight_and_keeps_queued_messages() {
    let slow = Server::start(|_| {
        ServerAction::Respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into(), ms(2_650))
    });
    let fixture = fixture(0, vec![member("e1", slow.address, 7, "single"), unreachable_endpoint()]);
    let mut relay = fixture.start_relay();
    let (mut kept, mut idle) = (relay.client(), relay.client());
    assert_eq!(kept.request(&submit_request("out", 0, "c=once,d=15000,dest=7", b"1")), "+OK");
    assert_eq!(idle.request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    let start = Instant::now();
    relay.signal("TERM");
    sleep(ms(300));
    // The relay still accepts messages, both on an open connection and on a new one.
    assert_eq!(kept.request(&submit_request("parked", 0, "c=any,d=15000,dest=8", b"2")), "+OK");
    assert_eq!(relay.submit("late", 0, "c=any,d=15000,dest=7", b"3"), "+OK");
    assert_eq!(idle.read_reply(), "");
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    assert!(start.elapsed() > ms(2_600) && start.elapsed() < ms(3_700), "{:?}", start.elapsed());
    assert_eq!(slow.ids(), ["out", "late"]);
    let other = Server::start(|_| ok());
    fixture.platform.set_members(vec![member("e2", other.address, 8, "single")]);
    let _relay = fixture.start_relay();
    wait_until("the kept message", || other.ids() == ["parked"]);
    sleep(ms(200));
    assert_eq!((slow.ids().len(), fixture.platform.notifications().len()), (2, 0));
}

#[test]
fn drain_reported_after_sigterm_is_obeyed() {
    // The Retry-After of the first response ends after the drain is reported; the relay still sends two seconds after SIGTERM.
    let rejects = std::sync::atomic::AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        if rejects.swap(false, Ordering::SeqCst) { respond(429, "Retry-After: 1.8\r\n", "") } else { ok() }
    });
    let e1 = member("e1", endpoint.address, 7, "single");
    let fixture = fixture(0, vec![e1.clone()]);
    let mut relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=15000,dest=7", b"1"), "+OK");
    wait_until("the first call", || endpoint.ids().len() == 1);
    relay.signal("TERM");
    // Clients are disconnected half a second after SIGTERM; the relay must apply list updates beyond that.
    sleep(ms(600));
    let mut draining = e1;
    draining["phase"] = json!("Terminating");
    fixture.platform.set_members(vec![draining]);
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    assert_eq!(endpoint.ids(), ["m1"]);
    assert!(fixture.log().contains("list 3: 1 entries"));
}

#[test]
fn sigterm_does_not_wait_for_silent_peers() {
    let hung = Server::start(|_| ServerAction::Hang);
    let fixture = fixture(0, vec![member("e1", hung.address, 7, "single")]);
    let mut relay = fixture.start_relay();
    let mut client = relay.client();
    client.request(&submit_request("out", 0, "c=any,d=15000,dest=7", b"1"));
    client.send(b"*5\r\n$7\r\nOUT.");
    let start = Instant::now();
    relay.signal("TERM");
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    assert!(start.elapsed() < ms(3_700), "{:?}", start.elapsed());
    assert!(fixture.log().contains("stopped with 1 calls in flight, 1 messages kept"));
}

#[test]
fn full_spool_rejects_messages_and_stays_within_its_size_limit() {
    let is_ready = Arc::new(AtomicBool::new(false));
    let ready = is_ready.clone();
    let endpoint =
        Server::start(move |_| if ready.load(Ordering::SeqCst) { ok() } else { respond(503, "", "") });
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["limits"]["disk_mb"] = json!(0.2);
    let relay = fixture.start_relay();
    let (mut client, mut replies) = (relay.client(), Vec::new());
    for i in 0..40 {
        replies.push(client.request(&submit_request(
            &format!("m{i}"),
            0,
            "c=any,d=20000,dest=7",
            &[b'x'; 9_000],
        )));
        assert!(fixture.disk_usage() <= 200_000, "{}", fixture.disk_usage());
    }
    assert!(replies.contains(&"+OK".to_string()) && replies.contains(&"-BUSY".to_string()), "{replies:?}");
    is_ready.store(true, Ordering::SeqCst);
    wait_until("free space in the spool", || {
        client.request(&submit_request("more", 0, "c=any,d=20000,dest=7", b"x")) == "+OK"
    });
}
