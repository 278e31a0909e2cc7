//! Failing file system calls on the state folder during an upgrade: at any time at most one process accepts ordered messages.

use crate::process::Process;
use crate::support::{client::*, *};
use crate::upgrade::*;
use mountshift_faults::{FaultControl, SystemCall, SystemCallFault};
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use test_case::test_case;

/// System calls on the small files of the state folder.
const CALLS: [SystemCall; 6] = [
    SystemCall::FileOpen,
    SystemCall::FileRead,
    SystemCall::FileWrite,
    SystemCall::FileRename,
    SystemCall::FileUnlink,
    SystemCall::FileLock,
];

/// The processes whose calls fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultTarget {
    Active,
    Successor,
    Both,
}

/// Runs an upgrade in which a system call fails from the start of the successor until shortly before the active process
/// exits.
fn upgrade_with_failing(call: SystemCall, target: FaultTarget) {
    let fixture = upgrade_fixture();
    let control =
        |name| FaultControl::create(&fixture.dir.path().join(name)).expect("create the control file");
    let (active_faults, successor_faults) = (control("faults-0"), control("faults-1"));
    let set = |fault| {
        if target != FaultTarget::Successor {
            active_faults.set_system_call_fault(call, fault).expect("set the fault");
        }
        if target != FaultTarget::Active {
            successor_faults.set_system_call_fault(call, fault).expect("set the fault");
        }
    };
    let mut active = fixture.start_with_faults(0, &active_faults);
    fixture.submit("out", 0, "once");
    fixture.gate.wait_for_arrivals(1);
    let request = submit_request("late", 6, "c=pay,d=15000,dest=7", b"x");
    let (first_half, second_half) = request.split_at(request.len() / 2);
    let mut active_connection = TcpStream::connect(fixture.listen).expect("connect");
    active_connection.write_all(first_half).expect("send the first half");
    // Its acceptance shows that the active process has accepted the connection above before its successor shares the socket.
    fixture.submit("behind", 0, "once");
    let _successor = fixture.start_with_faults(1, &successor_faults);
    set(SystemCallFault::always(libc::EIO));
    active.signal("STOP");
    assert_eq!(
        fixture.submit_reply("early", 6, "pay"),
        "-BUSY",
        "{call}, {target:?}: the active process still sends"
    );
    active.signal("CONT");
    active.terminate();
    // If the active process can't check the successor's lock, it stops as for a restart: it keeps accepting messages, and
    // the successor waits until it exits.
    wait_until("the stop", || fixture.log().contains("told to stop"));
    active_connection.write_all(second_half).expect("send the second half");
    let reply = Client(BufReader::new(active_connection)).read_reply();
    let hands_over = fixture.log().contains("hands over to its successor process");
    assert!(!hands_over || reply == "-BUSY", "{call}, {target:?}: the successor may accept ordered messages");
    let accepted: &[&str] = if reply == "+OK" { &["late", "first", "second"] } else { &["first", "second"] };
    set(SystemCallFault::default());
    wait_until("the successor to accept", || fixture.submit_reply("first", 6, "pay") == "+OK");
    fixture.gate.open();
    assert!(active.exits_within(ms(3_600)), "{call}, {target:?}");
    fixture.wait_for_ownership(1);
    fixture.submit("second", 6, "pay");
    wait_until("all messages", || fixture.endpoint.ids().contains(&"second".to_string()));
    let of_key =
        fixture.endpoint.ids().into_iter().filter(|id| ["late", "first", "second"].contains(&id.as_str()));
    assert_eq!(of_key.collect::<Vec<_>>(), accepted, "{call}, {target:?}");
}

#[test_case(FaultTarget::Active; "active process")]
#[test_case(FaultTarget::Successor; "successor")]
#[test_case(FaultTarget::Both; "both")]
fn failing_file_calls_let_at_most_one_process_accept_ordered_messages(target: FaultTarget) {
    for call in CALLS {
        upgrade_with_failing(call, target);
    }
}

// Guards against a relay without a process after two upgrades in quick succession. A successor that takes over holds
// both locks while it merges the two spools, which took 0.7 s with failing unlinks. The next process waited only 0.5 s,
// assumed two running processes and exited with code 1, after the previous process had been requested to stop for it.
#[test]
fn start_waits_while_a_takeover_holds_both_locks() {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let state = fixture.dir.path().join("state");
    std::fs::create_dir_all(state.join("next")).expect("create the folder");
    let locks = ["lock", "next/lock"].map(|name| {
        let lock = File::create(state.join(name)).expect("create the lock file");
        lock.try_lock().expect("no other holder of the lock");
        lock
    });
    let mut process = Process::start(&fixture.config, fixture.dir.path(), fixture.socket.as_raw_fd(), 0);
    assert!(!process.exits_within(ms(1_500)), "{}", fixture.log());
    drop(locks);
    wait_until("the process to be ready", || process.is_ready());
    fixture.submit("m1", 5, "pay");
    wait_until("the call", || fixture.endpoint.ids() == ["m1"]);
}
