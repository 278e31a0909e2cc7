//! State that a process publishes for other processes must not outlive it.

use crate::support::*;
use crate::upgrade::*;
use mountshift_faults::{FaultControl, SystemCall, SystemCallFault};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Longer than a start waits for a step that it can skip.
const OPTIONAL_STEP_TIMEOUT: Duration = Duration::from_millis(6_500);

// Guards against two processes that accept messages of one key during an upgrade, so that the later one is sent first. A
// process exited during a handover and left the marker file by which an active process states that it sends no new
// messages. The next process failed to remove it for 6 s (EIO of unlink), then kept it and sent messages. At the next
// upgrade its successor found the marker and accepted ordered messages, which waited in its spool while the active process
// sent the next ones of their keys. The marker did not identify its writer.
#[test]
fn stale_handover_marker_lets_no_successor_accept_ordered_messages() {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let faults = FaultControl::create(&fixture.dir.path().join("faults")).expect("create the control file");
    std::fs::write(fixture.dir.path().join("state/handing-over"), "").expect("write the marker");
    faults
        .set_system_call_fault(SystemCall::FileUnlink, SystemCallFault::always(libc::EIO))
        .expect("set the fault");
    let active = fixture.start_with_faults(0, &faults);
    wait_until_within(OPTIONAL_STEP_TIMEOUT * 2, "the active process to serve", || {
        fixture.log().contains("messages in its spool")
    });
    faults
        .set_system_call_fault(SystemCall::FileUnlink, SystemCallFault::default())
        .expect("clear the fault");
    fixture.submit("m1", 5, "pay");
    wait_until("the active process to send", || fixture.endpoint.ids() == ["m1"]);
    let _successor = fixture.start(1);
    active.signal("STOP");
    assert_eq!(fixture.submit_reply("m2", 5, "pay"), "-BUSY");
}

// Guards against messages of one key sent out of order after an abandoned upgrade. The successor accepted an ordered
// message and was requested to stop, but ran 3.5 s longer as a client was in the middle of a request. Meanwhile a third
// process found the active lock free, accepted the next message of the key and sent it. The first message stayed in the
// successor's spool and was taken over half a second after the successor's exit.
#[test]
fn process_started_while_a_successor_stops_sends_after_the_successors_messages() {
    let fixture = upgrade_fixture();
    let mut active = fixture.start(0);
    fixture.submit("out", 0, "once");
    fixture.gate.wait_for_arrivals(1);
    let mut successor = fixture.start(1);
    active.terminate();
    // Before the handover the active process itself accepts and sends the message.
    wait_until("the handover", || fixture.log().contains("hands over to its successor process"));
    wait_until("the successor to accept ordered messages", || fixture.submit_reply("m1", 6, "pay") == "+OK");
    // An incomplete request: the stopping successor waits for the rest until its time is over.
    let mut incomplete = TcpStream::connect(fixture.listen).expect("connect");
    incomplete.write_all(b"*5\r\n$7\r\nOUT.ADD\r\n").expect("send the first part");
    wait_until("the part to be received", || fixture.submit_reply("probe", 0, "once") == "+OK");
    successor.terminate();
    wait_until("the successor to stop", || fixture.log().matches("told to").count() >= 2);
    fixture.gate.open();
    assert!(active.exits_within(ms(3_600)));
    // Suspended, so that the third process accepts new connections.
    successor.signal("STOP");
    let _third = fixture.start(2);
    wait_until("the third process to be active", || {
        fixture.log().matches("messages in its spool").count() == 2
    });
    let reply = fixture.submit_reply("m2", 6, "pay");
    if reply == "+OK" {
        wait_until("its call", || fixture.endpoint.ids().contains(&"m2".into()));
    }
    successor.signal("CONT");
    assert!(successor.exits_within(ms(4_600)));
    wait_until("the successor's message", || fixture.endpoint.ids().contains(&"m1".into()));
    if reply != "+OK" {
        fixture.submit("m2", 6, "pay");
    }
    let ordered = |ids: &[String]| ids.iter().filter(|id| id.starts_with('m')).cloned().collect::<Vec<_>>();
    wait_until("both messages", || ordered(&fixture.endpoint.ids()).len() == 2);
    assert_eq!(ordered(&fixture.endpoint.ids()), ["m1", "m2"], "{}", fixture.log());
}

// Guards against messages that end early after an upgrade. The successor could not read the clock file of the state folder
// and wrote a new one by its wall clock, which had been stepped by an hour. That changed the times of all messages stored
// by the active process, and messages of both processes were merged by incomparable times.
#[test]
fn successor_that_cannot_read_the_clock_file_keeps_stored_times() {
    const HOUR_MS: i64 = 3_600_000;
    let fixture = upgrade_fixture();
    let mut active = fixture.start(0);
    fixture.submit("out", 0, "once");
    fixture.gate.wait_for_arrivals(1);
    fixture.submit("held", 5, "pay");
    fixture.submit("behind", 5, "pay");
    let faults = FaultControl::create(&fixture.dir.path().join("faults")).expect("create the control file");
    faults.set_wall_clock_offset_ms(HOUR_MS).expect("step the clock");
    // A folder in place of the file makes every read of it fail.
    let [clock_file, moved_file] =
        ["state/clock", "state/clock.away"].map(|name| fixture.dir.path().join(name));
    std::fs::rename(&clock_file, &moved_file)
        .and_then(|()| std::fs::create_dir(&clock_file))
        .expect("replace the clock file by a folder");
    let _successor = fixture.start_with_faults(1, &faults);
    std::fs::remove_dir(&clock_file)
        .and_then(|()| std::fs::rename(&moved_file, &clock_file))
        .expect("restore the clock file");
    active.signal("STOP");
    fixture.submit("beside", 0, "once");
    active.signal("CONT");
    active.terminate();
    wait_until("the handover", || fixture.log().contains("hands over to its successor process"));
    assert_eq!(fixture.submit_reply("in-order", 5, "pay"), "-BUSY", "its position within the key is unknown");
    fixture.gate.open();
    assert!(active.exits_within(ms(3_600)));
    let delivered = || fixture.endpoint.ids();
    wait_until("all messages", || delivered().len() == 4);
    let of_key: Vec<String> = delivered().into_iter().filter(|id| id == "held" || id == "behind").collect();
    assert_eq!(of_key, ["held", "behind"]);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}
