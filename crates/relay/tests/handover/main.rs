//! Upgrades: processes of one relay started beside each other on one inherited listening socket. Nothing may be lost, sent
//! twice or out of its key's order, whichever of them ends, and how.

#[allow(dead_code)]
#[path = "../support/mod.rs"]
mod support;

mod failing_folder;
mod process;
mod stale_marker;
mod successor;
mod under_load;
mod upgrade;

use crate::support::{discovery::*, process::*, server::*, *};
use crate::upgrade::*;
use serde_json::json;
use test_case::test_case;

#[test]
fn an_invalid_descriptor_is_one_line_and_exit_code_2() {
    let platform = Platform::start(0);
    let config = config(free_address(), platform.server.address, &[]);
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("config.json");
    std::fs::write(&file, config.to_string()).expect("a config");
    for (fd, named) in [("seven", "no descriptor"), ("9", "not named to the program")] {
        let out = command(&file, dir.path()).env("NODE_ACCEPT_FD", fd).output().expect("a relay");
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{said}");
        assert!(said.lines().count() == 1 && said.contains(named), "{said}");
    }
}

// A handover while a call is out: its answer is the active process's, and what comes meanwhile goes out only after
// it.
#[test]
fn a_call_in_flight_at_a_handover_ends_before_the_successor_sends() {
    let fixture = upgrade();
    let mut active = fixture.start(0);
    fixture.submit("m1", 5, "pay");
    fixture.gate.wait_for_arrivals(1);
    let _successor = fixture.start(1);
    active.term();
    // A signal is noted before the dispatcher hears of it; the successor accepts messages in order from then on.
    until("the handover", || fixture.log().contains("hands over to the process beside it"));
    fixture.submit("m2", 5, "pay");
    assert_eq!(fixture.endpoint.ids(), ["m1"]);
    fixture.gate.open();
    assert!(active.ended_within(ms(3_600)));
    until("the call of the successor", || fixture.endpoint.ids() == ["m1", "m2"]);
    fixture.owns(1);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// The active process is killed with a call out that may have run: the successor repeats only what does no harm, and
// what its key holds back comes after that end.
#[test_case("pay", &["m1", "m2"], &[r#"{"id":"m1","state":"failed"}"#]; "must not run twice")]
#[test_case("line", &["m1", "m1", "m2"], &[]; "does no harm twice")]
fn a_call_in_flight_when_the_active_process_is_killed_is_repeated_only_if_idempotent(
    class: &str,
    ids: &[&str],
    notifications: &[&str],
) {
    let fixture = upgrade();
    let mut active = fixture.start(0);
    fixture.submit("m1", 5, class);
    fixture.gate.wait_for_arrivals(1);
    // Before the successor starts: beside an active process that sends it accepts no message in order.
    fixture.submit("m2", 5, class);
    let _successor = fixture.start(1);
    active.signal("STOP");
    assert_eq!(fixture.answer_to("m3", 5, class), "-BUSY");
    fixture.gate.open();
    active.signal("KILL");
    assert!(active.ended_within(ms(3_600)));
    fixture.owns(1);
    until("the calls", || fixture.endpoint.ids() == ids);
    until("the notifications", || fixture.platform.notifications() == notifications);
}

// The active process's call is still connecting at the handover: it never ran, so the successor sends it though it
// may run only once.
#[test]
fn a_connecting_call_at_a_handover_counts_as_not_sent() {
    let (listener, _fillers) = full_listener();
    let full_at = listener.local_addr().expect("an address");
    let mut fixture = upgrade();
    fixture.config["known"]["members"] = json!([member("e1", full_at, 7, "single")]);
    fixture.config["settings"]["limits"]["dialTimeout"] = json!(20_000_000);
    fixture.platform.set(vec![member("e1", full_at, 7, "single")]);
    let mut active = fixture.start(0);
    fixture.submit("m1", 0, "once");
    until("a connection on its way", || is_connecting(full_at));
    let _successor = fixture.start(1);
    // Where the successor finds it, and no connection waits.
    fixture.gate.open();
    fixture.platform.set(vec![member("e1", fixture.endpoint.address, 7, "single")]);
    active.term();
    assert!(active.ended_within(ms(3_600)));
    fixture.owns(1);
    until("the call", || fixture.endpoint.ids() == ["m1"]);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// A notification that the platform has not taken at the handover is owed: the successor tells it again.
#[test]
fn a_pending_notification_at_a_handover_is_sent_by_the_successor() {
    let fixture = upgrade_with(usize::MAX, 500);
    fixture.gate.open();
    let mut active = fixture.start(0);
    fixture.submit("m1", 0, "once");
    until("the notification", || !fixture.platform.notifications().is_empty());
    let _successor = fixture.start(1);
    active.term();
    assert!(active.ended_within(ms(3_600)));
    let before = fixture.platform.notifications().len();
    fixture.owns(1);
    until("the notification again", || fixture.platform.notifications().len() > before);
    assert!(fixture.platform.notifications().iter().all(|n| n == r#"{"id":"m1","state":"failed"}"#));
    assert_eq!(fixture.endpoint.ids(), ["m1"]);
}

// A successor that ended over a snapshot that it cannot read, once the active process has ended, would leave nobody
// to serve.
#[test]
fn an_unreadable_snapshot_does_not_end_the_successor() {
    let fixture = upgrade();
    fixture.gate.open();
    let mut active = fixture.start(0);
    let _successor = fixture.start(1);
    std::fs::write(fixture.dir.path().join("state/handover.json"), b"\xff{\"format\": 99}")
        .expect("a snapshot");
    active.term();
    assert!(active.ended_within(ms(3_600)));
    let said = "waits and breakers of the process before are not known";
    until("the successor to own", || fixture.log().contains(said));
    fixture.submit("m1", 0, "any");
    until("the call", || fixture.endpoint.ids() == ["m1"]);
}
