//! Operators' commands during an upgrade: both processes are one relay, whichever of them takes a command.

use crate::process::*;
use crate::support::{client::*, discovery::*, server::*, *};
use crate::upgrade::*;
use std::io::BufReader;
use std::net::TcpStream;
use test_case::test_case;

/// Number of messages after the commands: enough for every endpoint in service to get some.
const MESSAGES: usize = 12;

/// An upgrade of a relay with the endpoints e1, e2 and e3 of one destination.
struct MaintenanceFixture {
    upgrade: UpgradeFixture,
    endpoints: [Server; 3],
}

impl MaintenanceFixture {
    fn start() -> MaintenanceFixture {
        let mut upgrade = upgrade_fixture();
        let endpoints = [(); 3].map(|()| Server::start(|_| ok()));
        let entries = endpoints
            .iter()
            .enumerate()
            .map(|(n, endpoint)| member(&format!("e{}", n + 1), endpoint.address, 7, "single"));
        let members: Vec<_> = entries.collect();
        upgrade.config["known"]["members"] = members.clone().into();
        upgrade.platform.set_members(members);
        MaintenanceFixture { upgrade, endpoints }
    }

    fn received(&self) -> usize {
        self.endpoints.iter().map(|endpoint| endpoint.ids().len()).sum()
    }

    /// Submits messages, waits for their calls and checks that endpoints out of service get none.
    fn assert_out_of_service(&self, endpoints_out: &[usize]) {
        let received_before = self.received();
        let of = |number: &usize| self.endpoints[number - 1].ids().len();
        let calls_before: Vec<usize> = endpoints_out.iter().map(of).collect();
        for n in 0..MESSAGES {
            self.upgrade.submit(&format!("m{}", received_before + n), 0, "any");
        }
        wait_until("the calls", || self.received() == received_before + MESSAGES);
        let calls: Vec<usize> = endpoints_out.iter().map(of).collect();
        assert_eq!(calls, calls_before, "{endpoints_out:?} are out of service\n{}", self.upgrade.log());
    }
}

/// The process that takes a command.
#[derive(Clone, Copy)]
enum Taker {
    Active,
    Successor,
}

use Taker::{Active, Successor};

// Guards against commands that one process forgets as the other one writes what it knows over them.
#[test_case(&[], &[(Active, "enter", "e1"), (Successor, "enter", "e2")], &[1, 2]; "the active process first")]
#[test_case(&[], &[(Successor, "enter", "e1"), (Active, "enter", "e2")], &[1, 2]; "the successor first")]
#[test_case(&["e1"], &[(Successor, "exit", "e1"), (Active, "enter", "e2")], &[2]; "put back by the successor")]
#[test_case(&["e1", "e2"], &[(Active, "exit", "e1"), (Successor, "enter", "e3")], &[2, 3]; "put back by the active process")]
fn commands_taken_by_both_processes_hold_after_the_upgrade(
    out_before: &[&str],
    commands: &[(Taker, &str, &str)],
    out_after: &[usize],
) {
    let fixture = MaintenanceFixture::start();
    let mut active = fixture.upgrade.start(0);
    for endpoint in out_before {
        active.command("enter", endpoint);
    }
    let successor = fixture.upgrade.start(1);
    for (taker, command, endpoint) in commands {
        let process: &Process = if matches!(taker, Active) { &active } else { &successor };
        process.command(command, endpoint);
    }
    active.terminate();
    assert!(active.exits_within(ms(3_700)));
    fixture.upgrade.wait_for_ownership(1);
    fixture.assert_out_of_service(out_after);
}

// Guards against an active process that sends to an endpoint taken out at its successor, also if the upgrade is given up.
#[test]
fn command_taken_by_a_successor_holds_in_the_active_process() {
    let fixture = MaintenanceFixture::start();
    let _active = fixture.upgrade.start(0);
    let mut successor = fixture.upgrade.start(1);
    successor.command("enter", "e1");
    wait_until("the command in the active process", || {
        fixture.upgrade.log().contains("endpoint e1 is taken out: listed as ready, treated as draining")
    });
    fixture.assert_out_of_service(&[1]);
    successor.signal("KILL");
    assert!(successor.exits_within(ms(3_700)));
    fixture.assert_out_of_service(&[1]);
}

/// Returns the reply to a `PING` on a new connection.
fn ping(fixture: &UpgradeFixture) -> String {
    let stream = TcpStream::connect(fixture.listen).expect("connect");
    stream.set_read_timeout(Some(ms(1_000))).expect("set the time-out");
    Client(BufReader::new(stream)).request(b"*1\r\n$4\r\nPING\r\n")
}

/// When standby begins.
#[derive(Clone, Copy, PartialEq)]
enum StandbyTime {
    BeforeSuccessor,
    AtActive,
    AtSuccessor,
}

// Guards against an upgrade that ends standby: clients would be sent to a relay that its operators drain.
#[test_case(StandbyTime::BeforeSuccessor; "before the successor starts")]
#[test_case(StandbyTime::AtActive; "at the active process")]
#[test_case(StandbyTime::AtSuccessor; "at the successor")]
fn standby_holds_in_both_processes_and_after_the_upgrade(time: StandbyTime) {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let mut active = fixture.start(0);
    if time == StandbyTime::BeforeSuccessor {
        active.post("/standby");
    }
    let successor = fixture.start(1);
    match time {
        StandbyTime::BeforeSuccessor => {}
        StandbyTime::AtActive => active.post("/standby"),
        StandbyTime::AtSuccessor => successor.post("/standby"),
    }
    wait_until_within(ms(2_000), "standby in the active process", || ping(&fixture) == "-ERR standby");
    active.terminate();
    assert!(active.exits_within(ms(3_700)));
    fixture.wait_for_ownership(1);
    wait_until_within(ms(1_000), "standby in the successor", || ping(&fixture) == "-ERR standby");
    successor.post("/active");
    assert_eq!(ping(&fixture), "+PONG");
    // The next upgrade doesn't bring an ended standby back.
    let mut active = successor;
    let _successor = fixture.start(2);
    active.terminate();
    assert!(active.exits_within(ms(3_700)));
    fixture.wait_for_ownership(2);
    assert_eq!(ping(&fixture), "+PONG");
}
