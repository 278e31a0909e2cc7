//! Endpoints in maintenance: taken out of service and put back by an operator.

use crate::support::{discovery::*, process::*, server::*, *};
use crate::{AdminFixture, admin_fixture, call};
use test_case::test_case;

#[test]
fn endpoint_in_maintenance_gets_no_calls_across_a_restart() {
    let (in_maintenance, other) =
        (Server::start(|_| respond(200, "", "")), Server::start(|_| respond(200, "", "")));
    let fixture = admin_fixture(vec![
        member("e1", in_maintenance.address, 7, "single"),
        member("e2", other.address, 7, "single"),
    ]);
    let mut relay = Relay::start(&fixture.config, fixture.dir.path());
    assert_eq!(call(fixture.admin_address, "POST", "/maintenance/enter?target=e1"), 200);
    assert_eq!(call(fixture.admin_address, "POST", "/maintenance/enter?target=e1"), 200);
    // Longer than the drain grace.
    std::thread::sleep(ms(1_200));
    let before = in_maintenance.requests().len();
    for n in 0..12 {
        assert_eq!(relay.submit(&format!("a{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    wait_until("the calls", || other.requests().len() >= 12);
    assert_eq!(in_maintenance.requests().len(), before);
    // Maintenance survives a restart.
    relay.signal("TERM");
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    let relay = Relay::start(&fixture.config, fixture.dir.path());
    for n in 0..12 {
        assert_eq!(relay.submit(&format!("b{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    wait_until("the calls", || other.requests().len() >= 24);
    assert_eq!(in_maintenance.requests().len(), before);
    assert_eq!(call(fixture.admin_address, "POST", "/maintenance/exit?target=e1"), 200);
    for n in 0..40 {
        relay.submit(&format!("c{n}"), 0, "c=any,d=8000,dest=7", b"");
    }
    wait_until("a call to the endpoint after its maintenance", || in_maintenance.requests().len() > before);
}

#[test]
fn endpoint_serves_again_after_maintenance_beyond_the_drain_grace() {
    let endpoint = Server::start(|_| respond(200, "", ""));
    let fixture = admin_fixture(vec![member("e1", endpoint.address, 7, "single")]);
    let relay = Relay::start(&fixture.config, fixture.dir.path());
    assert_eq!(call(fixture.admin_address, "POST", "/maintenance/enter?target=e1"), 200);
    // After the drain grace the policy forgets the endpoint: it has no calls in flight, and no rule needs its state.
    wait_until("the endpoint to be forgotten", || {
        std::fs::read_to_string(fixture.dir.path().join("log")).unwrap_or_default().contains("forgotten")
    });
    assert_eq!(call(fixture.admin_address, "POST", "/maintenance/exit?target=e1"), 200);
    for n in 0..5 {
        assert_eq!(relay.submit(&format!("a{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    wait_until("calls to the endpoint after its maintenance", || endpoint.requests().len() >= 5);
}

#[test]
fn endpoint_serves_again_after_maintenance_across_a_restart() {
    let endpoint = Server::start(|_| respond(200, "", ""));
    let fixture = admin_fixture(vec![member("e1", endpoint.address, 7, "single")]);
    let mut relay = Relay::start(&fixture.config, fixture.dir.path());
    assert_eq!(call(fixture.admin_address, "POST", "/maintenance/enter?target=e1"), 200);
    relay.signal("TERM");
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    let relay = Relay::start(&fixture.config, fixture.dir.path());
    let log = || std::fs::read_to_string(fixture.dir.path().join("log")).unwrap_or_default();
    wait_until("the endpoint to be forgotten", || {
        log().contains("endpoint e1 is forgotten while in maintenance")
    });
    for n in 0..5 {
        assert_eq!(relay.submit(&format!("a{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    std::thread::sleep(ms(300));
    assert_eq!(endpoint.requests().len(), 0);
    assert_eq!(call(fixture.admin_address, "POST", "/maintenance/exit?target=e1"), 200);
    wait_until("calls to the endpoint after its maintenance", || endpoint.requests().len() >= 5);
}

/// The order in which endpoint e1 is taken out and put back, and leaves the list.
#[derive(Clone, Copy, PartialEq)]
enum Departure {
    /// It leaves the list once the policy has forgotten it, and is put back.
    AfterForgotten,
    /// It leaves the list while the policy still knows it, and is put back at once.
    BeforeForgotten,
    /// It leaves the list and is taken out and put back while the policy still knows it.
    BeforeTakenOut,
    /// As `AfterForgotten`, but it is taken out and put back once more.
    PutBackTwice,
    /// It is put back in the next process, whose configuration still lists it.
    BeforeRestart,
}

/// Relay with an admin address, whose endpoint e1 of destination 7 leaves the list and can be listed anew.
struct DepartureFixture {
    admin: AdminFixture,
    relay: Relay,
    /// Server at the address of e1.
    server: Server,
}

impl DepartureFixture {
    fn start() -> DepartureFixture {
        let server = Server::start(|_| ok());
        let admin = admin_fixture(vec![member("e1", server.address, 7, "single")]);
        let relay = Relay::start(&admin.config, admin.dir.path());
        DepartureFixture { admin, relay, server }
    }

    fn command(&self, command: &str) {
        let path = format!("/maintenance/{command}?target=e1");
        assert_eq!(call(self.admin.admin_address, "POST", &path), 200);
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.admin.dir.path().join("log")).unwrap_or_default()
    }

    fn wait_until_forgotten(&self) {
        wait_until("e1 to be forgotten", || self.log().contains("e1 is forgotten while in maintenance"));
    }

    /// Replaces the whole list, and waits until the relay has it.
    fn replace_list(&self, members: Vec<serde_json::Value>) {
        let line = format!("endpoint list {}:", self.admin.platform.set_members(members));
        wait_until("the list", || self.log().contains(&line));
    }

    /// Replaces the list by one without e1, whose address belongs to an endpoint of destination 8.
    fn remove_from_list(&self) {
        self.replace_list(vec![member("e2", self.server.address, 8, "single")]);
    }

    fn restart(&mut self) {
        self.relay.signal("TERM");
        assert_eq!(self.relay.wait_for_exit_code(), Some(0));
        self.relay = Relay::start(&self.admin.config, self.admin.dir.path());
    }

    fn depart(&mut self, departure: Departure) {
        if departure == Departure::BeforeTakenOut {
            self.remove_from_list();
        }
        self.command("enter");
        if matches!(departure, Departure::AfterForgotten | Departure::PutBackTwice) {
            self.wait_until_forgotten();
        }
        if departure != Departure::BeforeTakenOut {
            self.remove_from_list();
        }
        if departure == Departure::BeforeRestart {
            self.restart();
        }
        self.command("exit");
        if departure == Departure::PutBackTwice {
            self.command("enter");
            self.command("exit");
        }
    }
}

// Guards against messages to the former address of an endpoint that a whole list left out while it was in maintenance: the
// operator's command that put it back made the relay send there again, to whichever endpoint had that address by then.
#[test_case(Departure::AfterForgotten; "after the policy forgot it")]
#[test_case(Departure::BeforeForgotten; "before the policy forgets it")]
#[test_case(Departure::BeforeTakenOut; "before it is taken out")]
#[test_case(Departure::PutBackTwice; "and is put back twice")]
#[test_case(Departure::BeforeRestart; "before a restart")]
fn endpoint_that_left_the_list_gets_no_calls_once_it_is_put_back(departure: Departure) {
    let mut fixture = DepartureFixture::start();
    fixture.depart(departure);
    let reply = fixture.relay.submit("m1", 0, "c=any,d=1500,dest=7", b"");
    let is_sent = || fixture.server.ids().contains(&"m1".to_string());
    let has_failed = || fixture.admin.platform.notifications() == [r#"{"id":"m1","state":"failed"}"#];
    wait_until("the end of the message", || reply.starts_with("-ERR") || is_sent() || has_failed());
    assert!(!is_sent(), "sent to an endpoint of another destination\n{}", fixture.log());
    // The endpoint that has the address now is served.
    assert_eq!(fixture.relay.submit("m2", 0, "c=any,d=8000,dest=8", b""), "+OK");
    wait_until("the call", || fixture.server.ids() == ["m2"]);
}

/// When e1 is listed again.
#[derive(Clone, Copy, PartialEq)]
enum Return {
    InMaintenance,
    AfterMaintenance,
}

// Guards against an endpoint that stays unused because it once left the list: listed again, it serves what it is listed for.
#[test_case(Return::InMaintenance, true, 7; "as before in maintenance")]
#[test_case(Return::InMaintenance, false, 7; "at a new address in maintenance")]
#[test_case(Return::InMaintenance, false, 9; "for another destination in maintenance")]
#[test_case(Return::AfterMaintenance, true, 7; "as before once put back")]
#[test_case(Return::AfterMaintenance, false, 9; "for another destination once put back")]
fn endpoint_that_is_listed_again_serves_once_it_is_put_back(
    listed_again: Return,
    keeps_address: bool,
    destination: u32,
) {
    let fixture = DepartureFixture::start();
    fixture.command("enter");
    fixture.wait_until_forgotten();
    fixture.remove_from_list();
    let current = if keeps_address { fixture.server.clone() } else { Server::start(|_| ok()) };
    let list = vec![member("e1", current.address, destination, "single")];
    if listed_again == Return::InMaintenance {
        fixture.replace_list(list);
        fixture.command("exit");
    } else {
        fixture.command("exit");
        fixture.replace_list(list);
    }
    let parameters = format!("c=any,d=8000,dest={destination}");
    assert_eq!(fixture.relay.submit("m1", 0, &parameters, b""), "+OK");
    wait_until("the call", || current.ids() == ["m1"]);
}

// Guards against an acknowledged command that a SIGKILL right behind its answer makes the next process forget.
#[test]
fn acknowledged_command_is_stored() {
    let fixture = admin_fixture(vec![member("e1", free_address(), 7, "single")]);
    let _relay = Relay::start(&fixture.config, fixture.dir.path());
    let file = fixture.dir.path().join("state/maintenance");
    let is_stored = || std::fs::read_to_string(&file).is_ok_and(|text| text == "e1\n");
    for round in 0..20 {
        assert_eq!(call(fixture.admin_address, "POST", "/maintenance/enter?target=e1"), 200);
        assert!(is_stored(), "round {round}: taken out");
        assert_eq!(call(fixture.admin_address, "POST", "/maintenance/exit?target=e1"), 200);
        assert!(!is_stored(), "round {round}: put back");
    }
}
