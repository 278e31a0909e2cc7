//! Ids that a message of one process has and a client submits to the other process: the platform and the endpoints know
//! a message by its id alone.

use crate::support::*;
use crate::upgrade::*;
use mountshift_spool::{AcceptedMessage, Spool};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use test_case::test_case;

const SPOOL_BYTES: u64 = 1 << 20;

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970")
}

/// Returns the message that [`UpgradeFixture::submit`] submits with this body.
fn accepted(id: &str, key: u64, class: &str, body: &[u8]) -> AcceptedMessage {
    let time_to_deadline = crate::under_load::TIME_TO_DEADLINE;
    AcceptedMessage {
        id: id.into(),
        key,
        metadata: format!("c={class},d={},dest=7", time_to_deadline.as_millis()),
        deadline: (unix_time() + time_to_deadline).as_millis() as u64,
        body: body.into(),
        accepted_at_us: unix_time().as_micros() as u64,
    }
}

/// Writes a spool with these messages.
fn write_spool(dir: &Path, messages: &[AcceptedMessage], change: impl FnOnce(&mut Spool)) {
    std::fs::create_dir_all(dir).expect("create the folder");
    let mut spool = Spool::open(dir, SPOOL_BYTES, 8, 8).expect("a spool");
    for message in messages {
        spool.accept(message.clone()).expect("room");
    }
    change(&mut spool);
    spool.commit().expect("written");
}

// Guards against a payment that runs twice. A bad client submitted another message under the id of a payment that the
// active process held, and the successor accepted it. At the takeover the successor told the platform that this id was
// returned; the client handed its payment in again, though the payment was held and sent too.
#[test]
fn successor_rejects_another_message_under_an_id_that_the_active_process_holds() {
    let fixture = upgrade_fixture();
    let mut active = fixture.start(0);
    fixture.submit("m0", 5, "pay");
    fixture.gate.wait_for_arrivals(1);
    fixture.submit("m1", 5, "pay");
    let _successor = fixture.start(1);
    active.signal("STOP");
    assert_eq!(fixture.submit_reply("m1", 0, "once"), "-BUSY", "another message has the id");
    fixture.submit("m2", 0, "once");
    active.signal("CONT");
    active.terminate();
    wait_until("the handover", || fixture.log().contains("hands over to its successor process"));
    fixture.gate.open();
    assert!(active.exits_within(ms(3_600)));
    fixture.wait_for_ownership(1);
    wait_until("all messages", || fixture.endpoint.ids().len() >= 3);
    sleep(ms(300));
    assert_eq!(fixture.endpoint.ids().iter().filter(|id| *id == "m1").count(), 1);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// Guards against a payment whose id runs twice: the ids of ended messages were in the memory of the active process only,
// so that its successor sent another message under the id of a payment that the active process had delivered.
#[test]
fn successor_rejects_another_message_under_an_id_that_ended_in_the_active_process() {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let mut active = fixture.start(0);
    fixture.submit("m1", 5, "pay");
    wait_until("its end to be recorded", || {
        active.has_no_held_messages() && fixture.endpoint.ids() == ["m1"]
    });
    let _successor = fixture.start(1);
    active.signal("STOP");
    assert_eq!(fixture.submit_reply("m1", 0, "once"), "-BUSY", "another message had the id");
    active.signal("KILL");
    assert!(active.exits_within(ms(3_600)));
    fixture.wait_for_ownership(1);
    assert_eq!(
        fixture.submit_reply("m1", 0, "once"),
        "-BUSY",
        "and the successor knows it once it is active"
    );
    fixture.submit("m2", 0, "once");
    wait_until("a later message", || fixture.endpoint.ids().contains(&"m2".into()));
    assert_eq!(fixture.endpoint.ids(), ["m1", "m2"]);
}

// The same in the other direction: the active process sent another message under the id of one that only its successor
// held, and the successor's message was then dropped as one that had ended.
#[test]
fn active_process_rejects_another_message_under_an_id_that_its_successor_holds() {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let mut active = fixture.start(0);
    let successor = fixture.start(1);
    active.signal("STOP");
    fixture.submit("m1", 0, "once");
    successor.signal("STOP");
    active.signal("CONT");
    assert_eq!(fixture.submit_reply("m1", 5, "pay"), "-BUSY", "another message has the id");
    successor.signal("CONT");
    active.terminate();
    assert!(active.exits_within(ms(3_600)));
    fixture.wait_for_ownership(1);
    wait_until("the successor's message", || fixture.endpoint.ids() == ["m1"]);
}

// A process started after a kill must know the ids of the messages that the killed one delivered.
#[test]
fn restarted_process_rejects_another_message_under_an_id_that_ended() {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let mut active = fixture.start(0);
    fixture.submit("m1", 5, "pay");
    wait_until("its end to be recorded", || {
        active.has_no_held_messages() && fixture.endpoint.ids() == ["m1"]
    });
    active.signal("KILL");
    assert!(active.exits_within(ms(3_600)));
    let _restarted = fixture.start(1);
    assert_eq!(fixture.submit_reply("m1", 0, "once"), "-BUSY", "another message had the id");
    // A client that withdrew its message before it was sent may submit it again.
    fixture.submit("m2", 0, "once");
    wait_until("a later message", || fixture.endpoint.ids() == ["m1", "m2"]);
}

/// State of the message in the active process's spool whose id a successor's message has too.
#[derive(Clone, Copy, PartialEq)]
enum EarlierMessage {
    Held,
    Ended,
}

// Two processes may accept different messages under one id in the same moment, or a successor of an earlier version may:
// the later one is dropped without a notification, which would name the id of the earlier one.
#[test_case(EarlierMessage::Held, true; "held, merged at a start")]
#[test_case(EarlierMessage::Ended, true; "ended, merged at a start")]
#[test_case(EarlierMessage::Held, false; "held, adopted by a running process")]
#[test_case(EarlierMessage::Ended, false; "ended, adopted by a running process")]
fn successors_message_under_an_id_of_another_message_is_dropped(earlier: EarlierMessage, at_start: bool) {
    let fixture = upgrade_fixture();
    let state = fixture.dir.path().join("state");
    write_spool(&state, &[accepted("m1", 5, "pay", b"x")], |spool| {
        if earlier == EarlierMessage::Ended {
            spool.record_attempt(1, "north", unix_time().as_millis() as u64);
            spool.remove(1);
        }
    });
    let left_by_successor = [accepted("m1", 0, "once", b"another"), accepted("m2", 0, "once", b"x")];
    let write_successor_spool = || write_spool(&state.join("next"), &left_by_successor, |_| {});
    if at_start {
        write_successor_spool();
    }
    let _active = fixture.start(0);
    if !at_start {
        fixture.submit("m0", 0, "once");
        write_successor_spool();
    }
    wait_until("the successor's messages to be taken over", || !state.join("next/spool.log").exists());
    fixture.gate.open();
    wait_until("the other message of the successor", || fixture.endpoint.ids().contains(&"m2".into()));
    sleep(ms(300));
    let bodies: Vec<_> = fixture.endpoint.requests().into_iter().filter(|r| r.ids() == ["m1"]).collect();
    let expected: &[&[u8]] = if earlier == EarlierMessage::Held { &[b"x"] } else { &[] };
    assert_eq!(bodies.iter().map(|request| &request.body[..]).collect::<Vec<_>>(), expected);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// The same at a takeover by a running successor, which holds another message under an id of the active process's message.
#[test]
fn successors_message_under_a_held_id_is_dropped_at_the_takeover() {
    let fixture = upgrade_fixture();
    let mut active = fixture.start(0);
    fixture.submit("m0", 0, "once");
    fixture.gate.wait_for_arrivals(1);
    fixture.submit("m1", 5, "pay");
    // Suspended, so that it adopts no messages before the successor holds its lock.
    active.signal("STOP");
    let left_by_successor = [accepted("m1", 0, "once", b"another"), accepted("m2", 0, "once", b"x")];
    write_spool(&fixture.dir.path().join("state/next"), &left_by_successor, |_| {});
    let _successor = fixture.start(1);
    active.signal("CONT");
    active.terminate();
    wait_until("the handover", || fixture.log().contains("hands over to its successor process"));
    fixture.gate.open();
    assert!(active.exits_within(ms(3_600)));
    fixture.wait_for_ownership(1);
    wait_until("the other message of the successor", || fixture.endpoint.ids().contains(&"m2".into()));
    sleep(ms(300));
    let of_id: Vec<_> = fixture.endpoint.requests().into_iter().filter(|r| r.ids() == ["m1"]).collect();
    assert_eq!(of_id.iter().map(|request| &request.body[..]).collect::<Vec<_>>(), [b"x"]);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// Guards against an error for a message that never ran: its successor had withdrawn it, and the active process took its id
// for that of an ended message once the successor's spool was gone.
#[test]
fn message_that_a_successor_withdrew_may_be_submitted_again() {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let _active = fixture.start(0);
    let successor_dir = fixture.dir.path().join("state/next");
    // The lock of a running successor, whose messages the active process does not adopt.
    let lock = std::fs::File::create(successor_dir.join("lock")).expect("create the lock file");
    wait_until("the successor's lock", || lock.try_lock().is_ok());
    write_spool(&successor_dir, &[accepted("m1", 0, "once", b"x")], |_| {});
    assert_eq!(
        fixture.submit_reply("m1", 5, "pay"),
        "-BUSY",
        "the active process has read the successor's spool"
    );
    std::fs::remove_file(successor_dir.join("spool.log")).expect("remove the spool");
    fixture.submit("m1", 0, "once");
    wait_until("the call", || fixture.endpoint.ids() == ["m1"]);
}
