//! Endpoints in maintenance: taken out of service and put back by an operator.

use crate::support::{discovery::*, process::*, server::*, *};
use crate::{admin_fixture, call};

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
