//! The relay with failing system calls and a stepped wall clock. A preloaded library injects both into calls that go through
//! the C library.

#[allow(dead_code)]
mod support;

use mountshift_faults::{FULL_RATE, FaultControl, SystemCall, SystemCallFault};
use std::collections::BTreeSet;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use support::{client::*, discovery::*, process::*, server::*, *};
use test_case::test_case;

const HOUR_MS: i64 = 3_600_000;

/// Starts an endpoint that rejects every call until the flag is set.
fn endpoint_rejecting_until_set() -> (Arc<AtomicBool>, Server) {
    let is_available = Arc::new(AtomicBool::new(false));
    let available = is_available.clone();
    let endpoint =
        Server::start(move |_| if available.load(Ordering::SeqCst) { ok() } else { respond(503, "", "") });
    (is_available, endpoint)
}

/// Submits messages with these ids and returns the ids of the accepted ones.
fn submit_all(relay: &Relay, ids: impl IntoIterator<Item = String>, parameters: &str) -> BTreeSet<String> {
    let mut client = relay.client();
    let mut accepted = BTreeSet::new();
    for id in ids {
        let reply = client.request(&submit_request(&id, 0, parameters, b"x"));
        if reply == "+OK" {
            accepted.insert(id);
        } else {
            assert!(reply.starts_with("-BUSY"), "{reply}");
        }
    }
    accepted
}

/// Returns the ids of all messages that the endpoint received.
fn received_ids(endpoint: &Server) -> BTreeSet<String> {
    endpoint.ids().into_iter().collect()
}

#[test_case(HOUR_MS; "an hour ahead")]
#[test_case(-HOUR_MS; "an hour behind")]
fn wall_clock_step_across_a_restart_ends_no_message_early(step_ms: i64) {
    let (is_available, endpoint) = endpoint_rejecting_until_set();
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    let ids = (0..30).map(|n| format!("m{n}"));
    let accepted = submit_all(&relay, ids, "c=any,d=15000,dest=7");
    relay.signal("KILL");
    drop(relay);
    faults.set_wall_clock_offset_ms(step_ms).expect("step the clock");
    is_available.store(true, Ordering::SeqCst);
    let calls_before = endpoint.ids().len();
    let _relay = fixture.start_relay_with_faults(&faults);
    wait_until("all messages", || {
        let later: BTreeSet<String> = endpoint.ids().split_off(calls_before).into_iter().collect();
        later == accepted
    });
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

#[test]
fn backward_wall_clock_step_across_a_restart_delays_no_final_answer() {
    let (_, endpoint) = endpoint_rejecting_until_set();
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    let accepted = submit_all(&relay, (0..30).map(|n| format!("m{n}")), "c=any,d=3000,dest=7");
    relay.signal("KILL");
    drop(relay);
    faults.set_wall_clock_offset_ms(-HOUR_MS).expect("step the clock");
    let _relay = fixture.start_relay_with_faults(&faults);
    wait_until("all notifications", || fixture.platform.notifications().len() >= accepted.len());
}

// The clock file relates Unix time to the monotonic clock and is valid for one boot. If the boot id can't be read for a
// moment, the relay must not treat the file as that of another boot.
#[test]
fn wall_clock_step_before_a_start_with_failing_reads_ends_no_message_early() {
    let (is_available, endpoint) = endpoint_rejecting_until_set();
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    let accepted = submit_all(&relay, (0..30).map(|n| format!("m{n}")), "c=any,d=15000,dest=7");
    relay.signal("KILL");
    drop(relay);
    faults.set_wall_clock_offset_ms(HOUR_MS).expect("step the clock");
    // Nine of ten reads fail, including the first one of each file; the shim's random draws are the same in each run.
    let most_reads_fail =
        SystemCallFault { errno: libc::EIO, fail_rate: FULL_RATE * 9 / 10, ..SystemCallFault::default() };
    faults.set_system_call_fault(SystemCall::FileRead, most_reads_fail).expect("set the fault");
    is_available.store(true, Ordering::SeqCst);
    let calls_before = endpoint.ids().len();
    let _relay = fixture.start_relay_with_faults(&faults);
    faults.set_system_call_fault(SystemCall::FileRead, SystemCallFault::default()).expect("clear the fault");
    wait_until("all messages", || {
        let later: BTreeSet<String> = endpoint.ids().split_off(calls_before).into_iter().collect();
        later == accepted
    });
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

/// Makes half of the writes short and the others fail; truncation, which would remove partial records, fails too.
fn break_writes(faults: &FaultControl) {
    let write = SystemCallFault {
        errno: libc::ENOSPC,
        fail_rate: FULL_RATE,
        partial_write_rate: 500,
        partial_write_kill_rate: 0,
    };
    faults
        .set_system_call_fault(SystemCall::FileTruncate, SystemCallFault::always(libc::EIO))
        .expect("set the fault");
    faults
        .set_system_call_fault(SystemCall::FileRename, SystemCallFault::always(libc::EIO))
        .expect("set the fault");
    faults.set_system_call_fault(SystemCall::FileWrite, write).expect("set the fault");
}

/// Ends the faults set by [`break_writes`].
fn repair_writes(faults: &FaultControl) {
    for call in [SystemCall::FileWrite, SystemCall::FileTruncate, SystemCall::FileRename] {
        faults.set_system_call_fault(call, SystemCallFault::default()).expect("clear the fault");
    }
}

#[test]
fn exactly_the_accepted_messages_survive_short_writes() {
    let (is_available, endpoint) = endpoint_rejecting_until_set();
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    let parameters = "c=any,d=20000,dest=7";
    let mut accepted = submit_all(&relay, (0..10).map(|n| format!("before{n}")), parameters);
    break_writes(&faults);
    accepted.extend(submit_all(&relay, (0..10).map(|n| format!("during{n}")), parameters));
    repair_writes(&faults);
    accepted.extend(submit_all(&relay, (0..30).map(|n| format!("after{n}")), parameters));
    assert!(faults.injected_count(SystemCall::FileWrite).expect("read the count") > 0);
    assert!(accepted.len() >= 40, "{accepted:?}");
    relay.signal("KILL");
    drop(relay);
    is_available.store(true, Ordering::SeqCst);
    let calls_before = endpoint.ids().len();
    let _relay = fixture.start_relay_with_faults(&faults);
    let later = || -> BTreeSet<String> { endpoint.ids().split_off(calls_before).into_iter().collect() };
    wait_until("the accepted messages", || later().is_superset(&accepted));
    assert_eq!(later(), accepted, "only accepted messages are sent");
    assert!(received_ids(&endpoint).is_superset(&accepted));
}

#[test]
fn client_that_half_closes_at_any_time_gets_its_reply() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    let mut unanswered = Vec::new();
    for n in 0..60 {
        let mut client = relay.client();
        client.send(&submit_request(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b"x"));
        // The delays cover all stages of a request: read, submitted, decided, answered.
        std::thread::sleep(std::time::Duration::from_micros(150 * n));
        client.0.get_ref().shutdown(Shutdown::Write).expect("half-closed");
        let reply = client.read_reply();
        if reply != "+OK" && !reply.starts_with("-BUSY") {
            unanswered.push((n, reply));
        }
    }
    assert!(unanswered.is_empty(), "{unanswered:?}");
}

#[test]
fn local_descriptor_shortage_opens_no_breaker() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    let mut client = relay.client();
    assert_eq!(client.request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    // The connections of the start must be closed: a descriptor that they free below the limit would serve a call.
    wait_until("the end of the start's connections", || {
        fixture.log().matches("connection from").count() == 2
    });
    let limit_before = relay.set_descriptor_limit(Some(relay.first_free_descriptor()));
    // More failures than the eight attempts allowed per message; even the non-idempotent message must outlast them.
    assert_eq!(client.request(&submit_request("once", 0, "c=once,d=15000,dest=7", b"x")), "+OK");
    assert_eq!(client.request(&submit_request("any", 0, "c=any,d=15000,dest=7", b"x")), "+OK");
    wait_until("failed connects", || {
        fixture.log().matches("connection to endpoint e1 not made").count() >= 20
    });
    assert!(endpoint.ids().is_empty());
    relay.set_descriptor_limit(limit_before);
    wait_until_within(ms(1_000), "both calls, as the failures are local", || endpoint.ids().len() == 2);
    assert!(fixture.platform.notifications().is_empty());
}

#[test]
fn attempts_that_cannot_be_recorded_do_not_end_a_message() {
    let endpoint = Server::start(|_| ok());
    let (gate, slow) = gate::gated_server(ok);
    let fixture = fixture(
        0,
        vec![member("e1", endpoint.address, 7, "single"), member("e2", slow.address, 8, "single")],
    );
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    // The second message of the key waits for the response to the first one; by then no attempt can be recorded.
    assert_eq!(relay.submit("pay1", 5, "c=pay,d=15000,dest=8", b"x"), "+OK");
    gate.wait_for_arrivals(1);
    assert_eq!(relay.submit("pay2", 5, "c=pay,d=15000,dest=7", b"x"), "+OK");
    break_writes(&faults);
    gate.open();
    wait_until("failed truncations", || {
        faults.injected_count(SystemCall::FileTruncate).expect("read the count") >= 40
    });
    assert!(endpoint.ids().is_empty(), "a non-idempotent message must not be sent unrecorded");
    repair_writes(&faults);
    wait_until_within(ms(2_000), "the second message", || endpoint.ids() == ["pay2"]);
    assert!(fixture.platform.notifications().is_empty());
}

#[test_case(libc::EINTR; "interrupted")]
#[test_case(libc::ENOBUFS; "no buffers")]
#[test_case(libc::ENOMEM; "no memory")]
fn transient_send_and_receive_errors_cost_no_reply_and_no_attempt(errno: i32) {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    let transient = SystemCallFault { errno, fail_rate: FULL_RATE / 3, ..SystemCallFault::default() };
    faults.set_system_call_fault(SystemCall::Send, transient).expect("set the fault");
    faults.set_system_call_fault(SystemCall::Receive, transient).expect("set the fault");
    let ids: BTreeSet<String> = (0..40).map(|n| format!("m{n}")).collect();
    for id in &ids {
        assert_eq!(relay.submit(id, 0, "c=once,d=15000,dest=7", b"x"), "+OK", "{id}");
    }
    wait_until("all messages", || received_ids(&endpoint) == ids);
    assert_eq!(endpoint.ids().len(), ids.len(), "each message is sent once");
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
    assert!(!fixture.log().contains("Closed -> Open"), "no breaker may open");
    assert!(faults.injected_count(SystemCall::Send).expect("read the count") > 10);
}

// A configuration that can't be read for a moment after SIGHUP: no second SIGHUP follows, so without a retry the relay would
// never poll discovery at its new address.
#[test]
fn reload_survives_transient_read_errors() {
    let endpoint = Server::start(|_| ok());
    let members = vec![member("e1", endpoint.address, 7, "single")];
    let fixture = fixture(0, members.clone());
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    let next = Platform::start(0);
    next.set_members(members);
    fixture.write_discovery_address(next.server.address);
    faults
        .set_system_call_fault(SystemCall::FileRead, SystemCallFault::always(libc::EIO))
        .expect("set the fault");
    let failed_before = faults.injected_count(SystemCall::FileRead).expect("read the count");
    relay.signal("HUP");
    wait_until("a read that fails", || {
        faults.injected_count(SystemCall::FileRead).expect("read the count") > failed_before
    });
    faults.set_system_call_fault(SystemCall::FileRead, SystemCallFault::default()).expect("clear the fault");
    wait_until_within(ms(3_000), "discovery to be polled at its new address", || {
        !next.server.requests().is_empty()
    });
}

// The relay accepts no message while it can't write the clock file. Guards against a rejected message that is already in the
// spool log: its removal is due one decision interval later, and a kill before that would restore it.
#[test]
fn message_rejected_for_an_unwritable_clock_file_is_not_restored() {
    let endpoint = Server::start(|_| ok());
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    // Decision interval in microseconds, long enough for the kill.
    fixture.config["settings"]["quantum"] = 500_000.into();
    let blocking_folder = fixture.dir.path().join("state/clock.new");
    std::fs::create_dir_all(&blocking_folder).expect("create the folder");
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=15000,dest=7", b"x"), "-BUSY");
    relay.signal("KILL");
    drop(relay);
    std::fs::remove_dir(&blocking_folder).expect("remove the folder");
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m2", 0, "c=any,d=15000,dest=7", b"x"), "+OK");
    wait_until("the second message", || received_ids(&endpoint).contains("m2"));
    assert_eq!(endpoint.ids(), ["m2"]);
}

/// Makes every open of a file fail.
fn break_opens(faults: &FaultControl) {
    faults
        .set_system_call_fault(SystemCall::FileOpen, SystemCallFault::always(libc::EIO))
        .expect("set the fault");
}

// A process that exits because its state folder fails for a while would not be started again.
#[test]
fn start_waits_for_a_state_folder_that_fails_for_some_seconds() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let faults = fixture.fault_control();
    break_opens(&faults);
    let mut relay = Relay::spawn_with_faults(&fixture.config, fixture.dir.path(), &faults);
    assert_eq!(relay.exit_code_within(ms(7_500)), None, "{}", fixture.log());
    faults.set_system_call_fault(SystemCall::FileOpen, SystemCallFault::default()).expect("clear the fault");
    assert_eq!(relay.client().request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
    wait_until("the call", || endpoint.ids() == ["m1"]);
}

#[test]
fn start_that_waits_for_its_state_folder_obeys_sigterm() {
    let fixture = fixture(0, vec![unreachable_endpoint()]);
    let faults = fixture.fault_control();
    break_opens(&faults);
    let mut relay = Relay::spawn_with_faults(&fixture.config, fixture.dir.path(), &faults);
    wait_until("the start to wait", || {
        faults.injected_count(SystemCall::FileOpen).expect("read the count") > 3
    });
    relay.signal("TERM");
    assert_eq!(relay.exit_code_within(ms(3_600)), Some(0), "{}", fixture.log());
}

// A slow disk delays the process between its decision and the first byte of the call: a drain reported meanwhile is binding.
// The first write records the message, the second one its attempt.
#[test_case(1; "recording the message")]
#[test_case(2; "recording the attempt")]
fn drain_reported_during_a_delayed_write_is_obeyed(delayed_write: u64) {
    let [draining, other] = [(); 2].map(|()| Server::start(|_| ok()));
    let fixture = fixture(0, vec![member("e1", draining.address, 7, "single")]);
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    wait_until("the list", || fixture.log().contains("list 2:"));
    faults.set_file_write_delay(ms(700)).expect("set the delay");
    let mut client = relay.client();
    client.send(&submit_request("m1", 0, "c=once,d=15000,dest=7", b"x"));
    wait_until("the write", || faults.delayed_file_writes().expect("read the count") >= delayed_write);
    let mut draining_entry = member("e1", draining.address, 7, "single");
    draining_entry["phase"] = "Terminating".into();
    fixture.platform.set_members(vec![draining_entry, member("e2", other.address, 7, "single")]);
    faults.set_file_write_delay(ms(0)).expect("end the delay");
    assert_eq!(client.read_reply(), "+OK");
    wait_until("the call to the other endpoint", || other.ids() == ["m1"]);
    assert!(draining.ids().is_empty(), "sent though its endpoint was reported as draining");
}

// Guards against an operator's command that is forgotten as the folder could not be written when it was taken.
#[test]
fn command_taken_while_the_folder_fails_is_stored_later() {
    let mut fixture = fixture(0, vec![member("e1", free_address(), 7, "single")]);
    let admin_address = free_address();
    fixture.config["mgmt"] = serde_json::json!(admin_address.to_string());
    let faults = fixture.fault_control();
    let mut relay = fixture.start_relay_with_faults(&faults);
    faults
        .set_system_call_fault(SystemCall::FileRename, SystemCallFault::always(libc::EIO))
        .expect("set the fault");
    let request = b"POST /maintenance/enter?target=e1 HTTP/1.1\r\nHost: relay\r\n\r\n";
    let mut response = String::new();
    let mut stream = std::net::TcpStream::connect(admin_address).expect("connect");
    std::io::Write::write_all(&mut stream, request).expect("send the request");
    std::io::Read::read_to_string(&mut stream, &mut response).expect("read the response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let file = fixture.dir.path().join("state/maintenance");
    assert!(!file.exists(), "the fault has no effect");
    repair_writes(&faults);
    wait_until("the command in the file", || std::fs::read_to_string(&file).is_ok_and(|text| text == "e1\n"));
    relay.signal("TERM");
    assert_eq!(relay.wait_for_exit_code(), Some(0));
}
