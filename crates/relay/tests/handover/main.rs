//! Upgrades: processes of one relay run concurrently on one inherited listening socket. No message may be lost, sent twice
//! or out of the order of its key, whichever process exits and however it does.

#[allow(dead_code)]
#[path = "../support/mod.rs"]
mod support;

mod delayed_handover;
mod discovery;
mod failing_folder;
mod maintenance;
mod message_ids;
mod process;
mod reload;
mod stale_marker;
mod successor;
mod under_load;
mod upgrade;

use crate::support::{discovery::*, process::*, server::*, *};
use crate::upgrade::*;
use serde_json::json;
use test_case::test_case;

#[test]
fn invalid_listen_descriptor_logs_one_line_and_exits_with_code_2() {
    let platform = Platform::start(0);
    let config = config(free_address(), platform.server.address, &[]);
    let dir = tempfile::tempdir().expect("create the folder");
    let file = dir.path().join("config.json");
    std::fs::write(&file, config.to_string()).expect("write the configuration");
    for (fd, expected) in [("seven", "no descriptor"), ("9", "not named to the program")] {
        let out =
            relay_command(&file, dir.path()).env("NODE_ACCEPT_FD", fd).output().expect("start the relay");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{text}");
        assert!(text.lines().count() == 1 && text.contains(expected), "{text}");
    }
}

// A handover with a call in flight: the active process receives the response, and the successor sends later messages of
// the key only after that.
#[test]
fn call_in_flight_at_a_handover_ends_before_the_successor_sends() {
    let fixture = upgrade_fixture();
    let mut active = fixture.start(0);
    fixture.submit("m1", 5, "pay");
    fixture.gate.wait_for_arrivals(1);
    let _successor = fixture.start(1);
    active.terminate();
    // The log records the stop signal before the dispatcher handles it. The successor accepts ordered messages only once
    // the dispatcher hands over.
    wait_until("the handover", || fixture.log().contains("hands over to its successor process"));
    fixture.submit("m2", 5, "pay");
    assert_eq!(fixture.endpoint.ids(), ["m1"]);
    fixture.gate.open();
    assert!(active.exits_within(ms(3_600)));
    wait_until("the call of the successor", || fixture.endpoint.ids() == ["m1", "m2"]);
    fixture.wait_for_ownership(1);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// The active process is killed with a call in flight, which may have run: the successor repeats it only if it is
// idempotent, and sends the next message of its key after it ended.
#[test_case("pay", &["m1", "m2"], &[r#"{"id":"m1","state":"failed"}"#]; "not idempotent")]
#[test_case("line", &["m1", "m1", "m2"], &[]; "idempotent")]
fn call_in_flight_of_a_killed_active_process_is_repeated_only_if_idempotent(
    class: &str,
    ids: &[&str],
    notifications: &[&str],
) {
    let fixture = upgrade_fixture();
    let mut active = fixture.start(0);
    fixture.submit("m1", 5, class);
    fixture.gate.wait_for_arrivals(1);
    // Submitted before the successor starts, which accepts no ordered messages while the active process sends.
    fixture.submit("m2", 5, class);
    let _successor = fixture.start(1);
    active.signal("STOP");
    assert_eq!(fixture.submit_reply("m3", 5, class), "-BUSY");
    fixture.gate.open();
    active.signal("KILL");
    assert!(active.exits_within(ms(3_600)));
    fixture.wait_for_ownership(1);
    wait_until("the calls", || fixture.endpoint.ids() == ids);
    wait_until("the notifications", || fixture.platform.notifications() == notifications);
}

// The active process's call is still connecting at the handover: it never ran, so the successor sends the message though
// it is not idempotent.
#[test]
fn connecting_call_at_a_handover_counts_as_not_sent() {
    let (listener, _fillers) = full_listener();
    let full_address = listener.local_addr().expect("local address");
    let mut fixture = upgrade_fixture();
    fixture.config["known"]["members"] = json!([member("e1", full_address, 7, "single")]);
    fixture.config["settings"]["limits"]["dialTimeout"] = json!(20_000_000);
    fixture.platform.set_members(vec![member("e1", full_address, 7, "single")]);
    let mut active = fixture.start(0);
    fixture.submit("m1", 0, "once");
    wait_until("the connect to start", || is_connecting(full_address));
    let _successor = fixture.start(1);
    // The successor gets an address of the endpoint that accepts connections.
    fixture.gate.open();
    fixture.platform.set_members(vec![member("e1", fixture.endpoint.address, 7, "single")]);
    active.terminate();
    assert!(active.exits_within(ms(3_600)));
    fixture.wait_for_ownership(1);
    wait_until("the call", || fixture.endpoint.ids() == ["m1"]);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// A notification that the platform has not acknowledged before the handover is sent again by the successor.
#[test]
fn pending_notification_at_a_handover_is_sent_by_the_successor() {
    let fixture = upgrade_fixture_with(usize::MAX, 500);
    fixture.gate.open();
    let mut active = fixture.start(0);
    fixture.submit("m1", 0, "once");
    wait_until("the notification", || !fixture.platform.notifications().is_empty());
    let _successor = fixture.start(1);
    active.terminate();
    assert!(active.exits_within(ms(3_600)));
    let before = fixture.platform.notifications().len();
    fixture.wait_for_ownership(1);
    wait_until("the repeated notification", || fixture.platform.notifications().len() > before);
    assert!(fixture.platform.notifications().iter().all(|n| n == r#"{"id":"m1","state":"failed"}"#));
    assert_eq!(fixture.endpoint.ids(), ["m1"]);
}

// The active process has exited when the successor reads the snapshot: if the successor exited because of an unreadable
// one, the relay would be without a process.
#[test]
fn unreadable_snapshot_does_not_stop_the_successor() {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let mut active = fixture.start(0);
    let _successor = fixture.start(1);
    std::fs::write(fixture.dir.path().join("state/handover.json"), b"\xff{\"format\": 99}")
        .expect("write the snapshot");
    active.terminate();
    assert!(active.exits_within(ms(3_600)));
    let log_text = "waits and breakers of the previous process are not restored";
    wait_until("the successor to own the state folder", || fixture.log().contains(log_text));
    fixture.submit("m1", 0, "any");
    wait_until("the call", || fixture.endpoint.ids() == ["m1"]);
}
