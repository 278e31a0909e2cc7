//! What one process tells another ends with the process that told it.

use crate::support::*;
use crate::upgrade::*;
use mountshift_faults::{FaultControl, SystemCall, SystemCallFault};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Longer than a start waits for what it can do without.
const LONGER_THAN_A_START_WAITS: Duration = Duration::from_millis(6_500);

// What users saw: in an upgrade two messages of one key were taken by two processes of a relay, and the later one was sent first.
// What happened: a process ended in the middle of a handover and left the file that says "the active process sends nothing new". The
// next one could not remove it for the 6 s that it tried (EIO of unlink) and went on, sending. At the next upgrade its successor
// found the file and took messages in order, which lay in its spool while the active process sent the next ones of their keys.
// The cause: the file says nothing of the process that wrote it, and whoever could not remove it let it stand.
// The evidence: the successor's answer to a message in order, beside an active process that sends.
#[test]
fn a_marker_left_by_an_earlier_process_lets_no_successor_take_messages_in_order() {
    let fixture = upgrade();
    fixture.gate.open();
    let faults = FaultControl::create(&fixture.dir.path().join("faults")).expect("a control file");
    std::fs::write(fixture.dir.path().join("state/handing-over"), "").expect("a marker");
    faults
        .set_system_call_fault(SystemCall::FileUnlink, SystemCallFault::always(libc::EIO))
        .expect("a fault");
    let active = fixture.start_with_faults(0, &faults);
    until_within(LONGER_THAN_A_START_WAITS * 2, "the active process to serve", || {
        fixture.log().contains("messages in its spool")
    });
    faults.set_system_call_fault(SystemCall::FileUnlink, SystemCallFault::default()).expect("no fault");
    fixture.submit("m1", 5, "pay");
    until("the active process to send", || fixture.endpoint.ids() == ["m1"]);
    let _successor = fixture.start(1);
    active.signal("STOP");
    assert_eq!(fixture.answer_to("m2", 5, "pay"), "-BUSY");
}

// What users saw: messages of one key taken by a relay one after another, the later one sent first.
// What happened: in an upgrade the successor took a message in order, as it may once the active process sends nothing new. The upgrade
// was given up: the successor was told to stop, and ended 3.5 s later, as a client was in the middle of a request. A third process
// started meanwhile, found the active process's lock free, took the next message of the key and sent it. The first one lay
// in the successor's spool and was taken over half a second after the successor's end.
// The cause: messages of one key with two owners side by side, of which one sends.
// The evidence: the order at the endpoint.
#[test]
fn a_process_that_starts_beside_an_ending_successor_sends_nothing_before_what_that_has_taken() {
    let fixture = upgrade();
    let mut active = fixture.start(0);
    fixture.submit("out", 0, "once");
    fixture.gate.wait_for_arrivals(1);
    let mut successor = fixture.start(1);
    active.term();
    until("the successor to take messages in order", || fixture.answer_to("m1", 6, "pay") == "+OK");
    // In the middle of a request: the successor waits for the rest up to its end.
    let mut begun = TcpStream::connect(fixture.at).expect("a connection");
    begun.write_all(b"*5\r\n$7\r\nOUT.ADD\r\n").expect("a part");
    until("the part to be read", || fixture.answer_to("probe", 0, "once") == "+OK");
    successor.term();
    until("the successor to stop", || fixture.log().matches("told to").count() >= 2);
    fixture.gate.open();
    assert!(active.ended_within(ms(3_600)));
    // So that connections are the third process's.
    successor.signal("STOP");
    let _third = fixture.start(2);
    until("the third process to be active", || fixture.log().matches("messages in its spool").count() == 2);
    let answer = fixture.answer_to("m2", 6, "pay");
    if answer == "+OK" {
        until("its call", || fixture.endpoint.ids().contains(&"m2".into()));
    }
    successor.signal("CONT");
    assert!(successor.ended_within(ms(4_600)));
    until("what the successor had taken", || fixture.endpoint.ids().contains(&"m1".into()));
    if answer != "+OK" {
        fixture.submit("m2", 6, "pay");
    }
    let in_order = |ids: &[String]| ids.iter().filter(|id| id.starts_with('m')).cloned().collect::<Vec<_>>();
    until("both", || in_order(&fixture.endpoint.ids()).len() == 2);
    assert_eq!(in_order(&fixture.endpoint.ids()), ["m1", "m2"], "{}", fixture.log());
}

// What users saw: after an upgrade messages were given up at once though they had time left.
// What happened: the successor could not read the folder's time line and wrote a new one, by its wall clock, which had been stepped by
// an hour meanwhile. All that the active process had stored was dated anew by it, and messages of both processes were
// merged by times of two time lines, which is no order.
// The cause: two processes wrote one fact, the later one without knowing it.
// The evidence: the messages that are delivered after the take-over.
#[test]
fn a_successor_that_cannot_read_the_time_line_dates_nothing_anew() {
    const HOUR_MS: i64 = 3_600_000;
    let fixture = upgrade();
    let mut active = fixture.start(0);
    fixture.submit("out", 0, "once");
    fixture.gate.wait_for_arrivals(1);
    fixture.submit("held", 5, "pay");
    fixture.submit("behind", 5, "pay");
    let faults = FaultControl::create(&fixture.dir.path().join("faults")).expect("a control file");
    faults.set_wall_clock_offset_ms(HOUR_MS).expect("a step");
    // A folder in its place can't be read, whoever asks.
    let [time_line, away] = ["state/clock", "state/clock.away"].map(|name| fixture.dir.path().join(name));
    std::fs::rename(&time_line, &away).and_then(|()| std::fs::create_dir(&time_line)).expect("a folder");
    let _successor = fixture.start_with_faults(1, &faults);
    std::fs::remove_dir(&time_line).and_then(|()| std::fs::rename(&away, &time_line)).expect("a file");
    active.signal("STOP");
    fixture.submit("beside", 0, "once");
    active.signal("CONT");
    active.term();
    until("the handover", || fixture.log().contains("hands over to the process beside it"));
    assert_eq!(fixture.answer_to("in-order", 5, "pay"), "-BUSY", "its place can't be told");
    fixture.gate.open();
    assert!(active.ended_within(ms(3_600)));
    let delivered = || fixture.endpoint.ids();
    until("all messages", || delivered().len() == 4);
    let of_key: Vec<String> = delivered().into_iter().filter(|id| id == "held" || id == "behind").collect();
    assert_eq!(of_key, ["held", "behind"]);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}
