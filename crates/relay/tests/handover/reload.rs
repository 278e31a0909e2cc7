//! New configurations during an upgrade: both processes are one relay, so a SIGHUP to either one is for both.

use crate::support::{discovery::*, *};
use crate::upgrade::*;
use serde_json::json;
use test_case::test_case;

/// Time of the SIGHUP to the active process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReloadTime {
    /// Right before the start of the successor, whose configuration the platform had written before.
    SuccessorStarting,
    /// While the successor waits for the handover.
    SuccessorReady,
    /// While the active process hands over.
    HandingOver,
}

impl UpgradeFixture {
    /// Replaces the configuration file of process `n` by one with another address of discovery.
    fn write_discovery(&self, n: usize, platform: &Platform) {
        let mut config = self.config.clone();
        config["discovery"] = json!(platform.server.address.to_string());
        let file = self.dir.path().join(format!("config{n}.json"));
        std::fs::write(file, config.to_string()).expect("write the configuration");
    }

    /// Submits a message that fails, and waits until its notification arrives at this platform.
    fn assert_notifications_go_to(&self, platform: &Platform, id: &str) {
        self.submit(id, 0, "once");
        let notification = format!(r#"{{"id":"{id}","state":"failed"}}"#);
        wait_until("the notification", || platform.notifications().contains(&notification));
    }
}

/// Returns a fixture whose endpoint fails all calls at once, and the platform at the new address of discovery.
fn failing_fixture() -> (UpgradeFixture, Platform) {
    let fixture = upgrade_fixture_with(0, 500);
    let moved_to = Platform::start(0);
    moved_to.set_members(vec![member("e1", fixture.endpoint.address, 7, "single")]);
    (fixture, moved_to)
}

// Guards against a successor that keeps the old address of discovery: every notification and every drain would be lost.
#[test_case(ReloadTime::SuccessorStarting; "while the successor starts")]
#[test_case(ReloadTime::SuccessorReady; "while the successor waits")]
#[test_case(ReloadTime::HandingOver; "while the active process hands over")]
fn new_configuration_of_the_active_process_reaches_its_successor(time: ReloadTime) {
    let (fixture, moved_to) = failing_fixture();
    let mut active = fixture.start(0);
    fixture.write_discovery(0, &moved_to);
    let reload = || {
        active.signal("HUP");
        wait_until("the reload", || fixture.log().contains("told to reload the configuration"));
    };
    if time == ReloadTime::SuccessorStarting {
        reload();
    }
    let _successor = fixture.start(1);
    if time == ReloadTime::HandingOver {
        fixture.submit("m1", 0, "once");
        fixture.gate.wait_for_arrivals(1);
        active.terminate();
        wait_until("the handover", || fixture.log().contains("hands over to its successor process"));
    }
    if time != ReloadTime::SuccessorStarting {
        reload();
    }
    fixture.gate.open();
    active.terminate();
    assert!(active.exits_within(ms(3_700)));
    fixture.wait_for_ownership(1);
    fixture.assert_notifications_go_to(&moved_to, "m2");
}

// Guards against an active process that sends its last notifications to an address that no longer exists.
#[test]
fn new_configuration_of_a_successor_reaches_the_active_process() {
    let (fixture, moved_to) = failing_fixture();
    fixture.gate.open();
    let _active = fixture.start(0);
    let successor = fixture.start(1);
    fixture.write_discovery(1, &moved_to);
    successor.signal("HUP");
    wait_until("both processes to follow", || fixture.log().matches("discovery moves from").count() == 2);
    fixture.assert_notifications_go_to(&moved_to, "m1");
}

// Guards against a configuration whose SIGHUP reaches a process that exits before it can read it.
#[test]
fn successor_reads_a_configuration_that_was_replaced_during_the_upgrade() {
    let (fixture, moved_to) = failing_fixture();
    fixture.gate.open();
    let mut active = fixture.start(0);
    let _successor = fixture.start(1);
    fixture.write_discovery(1, &moved_to);
    active.signal("KILL");
    assert!(active.exits_within(ms(3_700)));
    fixture.wait_for_ownership(1);
    fixture.assert_notifications_go_to(&moved_to, "m1");
}

// Guards against a process that follows a configuration from before its own start: the platform starts each process with
// the current one.
#[test]
fn restarted_process_keeps_the_address_that_it_was_started_with() {
    let (fixture, moved_to) = failing_fixture();
    fixture.gate.open();
    let mut first = fixture.start(0);
    fixture.write_discovery(0, &moved_to);
    first.signal("HUP");
    fixture.assert_notifications_go_to(&moved_to, "m1");
    first.terminate();
    assert!(first.exits_within(ms(4_000)));
    let _restarted = fixture.start(1);
    fixture.assert_notifications_go_to(&fixture.platform, "m2");
}
