//! Discovery during an upgrade, where the settings require polling and a large fleet spreads its polls.

use crate::support::{discovery::*, server::*, *};
use crate::upgrade::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of relays that spread their polls.
const LARGE_FLEET: u32 = 40;
/// Time after the report that a successor serves at which changes of the list count as known to it.
const KNOWN_AFTER_REPORT: Duration = Duration::from_secs(2);
/// Time within which a successor has to report that it serves.
const REPORT_TIMEOUT: Duration = Duration::from_secs(6);
/// Seeds of processes that poll early and late.
const SEEDS: [&str; 3] = ["8c1f30d27a5be962", "8c1f30d27a5be964", "8c1f30d27a5be969"];

/// Returns a fixture whose relay is one of a large fleet that polls for the endpoint list.
fn polling_fixture() -> UpgradeFixture {
    let mut fixture = upgrade_fixture();
    fixture.config["settings"]["discovery"] = json!("subscribe");
    fixture.config["settings"]["balancers"] = json!(LARGE_FLEET);
    fixture.config["settings"]["obligations"]["askWithin"] = json!(10_000_000);
    fixture.gate.open();
    fixture
}

// Guards against a successor that polls only after it has taken over, as late as a fleet that starts together: it would send
// to removed endpoints.
#[test]
fn successor_of_a_large_fleet_follows_the_list_when_it_reports_that_it_serves() {
    for seed in SEEDS {
        let mut fixture = polling_fixture();
        let mut active = fixture.start(0);
        fixture.config["seed"] = json!(seed);
        let started = Instant::now();
        let _successor = fixture.start(1);
        assert!(started.elapsed() < REPORT_TIMEOUT, "{seed}: {:?}", started.elapsed());
        let reported = Instant::now();
        active.terminate();
        assert!(active.exits_within(ms(3_600)));
        fixture.wait_for_ownership(1);
        let replacement = Server::start(|_| ok());
        fixture.platform.set_members(vec![member("e2", replacement.address, 7, "single")]);
        wait_until("the list", || fixture.log().contains("endpoint list 3:"));
        assert!(reported.elapsed() < KNOWN_AFTER_REPORT, "{seed}: {:?}", reported.elapsed());
        fixture.submit("m1", 0, "any");
        wait_until("the call", || replacement.ids() == ["m1"]);
    }
}

// A successor must not wait for a list longer than the platform waits for its report.
#[test]
fn successor_reports_in_time_that_it_serves_while_discovery_is_silent() {
    let mut fixture = polling_fixture();
    let silent = Server::start(|_| ServerAction::Hang);
    fixture.config["discovery"] = json!(silent.address.to_string());
    let _active = fixture.start(0);
    let started = Instant::now();
    let _successor = fixture.start(1);
    assert!(started.elapsed() < REPORT_TIMEOUT, "{:?}", started.elapsed());
}

// Guards against a successor that forgets the Retry-After of an endpoint which the list of its configuration lacks.
#[test]
fn retry_after_of_an_endpoint_listed_by_discovery_alone_holds_after_the_upgrade() {
    let is_first = AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        if is_first.swap(false, Ordering::SeqCst) { respond(429, "Retry-After: 3\r\n", "") } else { ok() }
    });
    let mut fixture = upgrade_fixture();
    fixture.config["known"]["members"] = json!([]);
    fixture.platform.set_members(vec![member("e1", endpoint.address, 7, "single")]);
    let mut active = fixture.start(0);
    wait_until("the list", || fixture.submit_reply("m1", 0, "any") == "+OK");
    wait_until("the rejection", || endpoint.requests().len() == 1);
    let _successor = fixture.start(1);
    active.terminate();
    assert!(active.exits_within(ms(3_700)));
    wait_until("the call", || endpoint.requests().len() == 2);
    let calls = endpoint.requests();
    let pause = calls[1].at - calls[0].at;
    assert!(pause >= ms(2_950), "{pause:?}\n{}", fixture.log());
}
