//! Messages that two clients submit under one id.

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use mountshift_faults::{SystemCall, SystemCallFault};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Decision interval in microseconds; all requests received within it are decided together.
const LONG_DECISION_INTERVAL_US: u64 = 400_000;
/// Pause in which the relay reads a request, well before its next decision.
const READ_TIME: Duration = Duration::from_millis(100);

// Guards against the loss of an accepted message whose id another client's message already has. The relay identified held
// messages by id alone and replied +OK without storing the second message. Its content was lost, and later messages of
// its key were sent at once, since the relay did not know the key was in use.
#[test]
fn message_sharing_an_id_with_a_held_one_is_not_lost() {
    let endpoint = Server::start(|_| ok());
    let members = vec![member("e1", endpoint.address, 7, "single"), unreachable_endpoint()];
    let fixture = fixture(0, members);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=12000,dest=8", b"of another client"), "+OK");
    let own = |id: &str| relay.submit(id, 5, "c=pay,d=12000,dest=7", b"own");
    // If rejected, it is submitted again under a new id before the next message of its key.
    let accepted = if own("m1") == "+OK" { "m1" } else { "m1-again" };
    if accepted != "m1" {
        assert_eq!(own(accepted), "+OK");
    }
    assert_eq!(own("m2"), "+OK");
    wait_until("the second message", || endpoint.ids().contains(&"m2".to_string()));
    assert_eq!(endpoint.ids(), [accepted, "m2"], "accepted messages of one key must be sent in order");
}

// Two clients submit the same request, which counts as one message. Guards against its loss when one of them disconnects
// before its reply: the relay withdrew the message though it had sent `+OK` to the other client.
#[test]
fn disconnect_of_one_client_keeps_a_message_submitted_by_two() {
    let first = std::sync::atomic::AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        let is_first = first.swap(false, std::sync::atomic::Ordering::SeqCst);
        if is_first { respond(429, "Retry-After: 0.5\r\n", "") } else { ok() }
    });
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["quantum"] = LONG_DECISION_INTERVAL_US.into();
    let relay = fixture.start_relay();
    let request = submit_request("m1", 5, "c=pay,d=12000,dest=7", b"own");
    let mut disconnected = TcpStream::connect(relay.listen).expect("connect");
    disconnected.write_all(&request).expect("send the request");
    std::thread::sleep(READ_TIME);
    socket2::SockRef::from(&disconnected).set_linger(Some(Duration::ZERO)).expect("set the linger time");
    drop(disconnected);
    assert_eq!(relay.client().request(&request), "+OK");
    wait_until("the delivery", || endpoint.ids().len() == 2);
    assert_eq!(endpoint.ids(), ["m1", "m1"], "rejected by the endpoint once, then delivered");
}

// A message that could not be written to the spool must be accepted from no client.
#[test]
fn failed_write_rejects_a_message_for_both_clients_that_submitted_it() {
    let endpoint = Server::start(|_| ok());
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["quantum"] = LONG_DECISION_INTERVAL_US.into();
    let faults = fixture.fault_control();
    let relay = fixture.start_relay_with_faults(&faults);
    faults
        .set_system_call_fault(SystemCall::FileWrite, SystemCallFault::always(libc::ENOSPC))
        .expect("set the fault");
    let request = submit_request("m1", 5, "c=pay,d=12000,dest=7", b"own");
    let mut clients = [relay.client(), relay.client()];
    for client in &mut clients {
        client.send(&request);
    }
    assert_eq!(clients.map(|mut client| client.read_reply()), ["-BUSY", "-BUSY"]);
}
