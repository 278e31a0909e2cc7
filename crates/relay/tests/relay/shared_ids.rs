//! Two clients that hand in messages under one id.

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use mountshift_faults::{SystemCall, SystemCallFault};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Microseconds between two steps, so that all that comes meanwhile is decided on in one.
const LONG_STEP_US: u64 = 400_000;
/// Requests that come within this are read before the next step.
const READ_WITHIN: Duration = Duration::from_millis(100);

// What users saw: messages of one key overtook a message that had been accepted before them and was not over.
// What happened: 17 ms after a client had handed in its message, and before the relay had read that, another client handed in a
// message of its own under the same id, in no order. It was accepted. The first client's request was read 80 ms later and answered
// +OK, as its id was held. The relay held nothing of that message: not its key, so that the next ones of the key were sent at once,
// and not its content. What was held in its place ended undelivered at its deadline, 12 s later.
// The cause: a message was taken to be the one that is held by its id alone.
// The evidence: a replay of the run. The log says "came again while it is held" 97 ms after the message was handed in, on a connection
// that stays open, and 80 ms after another client's only request; the final answer came 30 ms before the deadline counted from that
// other request; no endpoint has seen the message.
#[test]
fn a_message_is_not_accepted_for_another_one_of_its_id() {
    let endpoint = Server::start(|_| ok());
    let members = vec![member("e1", endpoint.address, 7, "single"), unreachable_endpoint()];
    let fixture = fixture(0, members);
    let relay = fixture.relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=12000,dest=8", b"of another client"), "+OK");
    let own = |id: &str| relay.submit(id, 5, "c=pay,d=12000,dest=7", b"own");
    // Refused, it comes again under a new id, before the next one of its key is handed in.
    let accepted = if own("m1") == "+OK" { "m1" } else { "m1-again" };
    if accepted != "m1" {
        assert_eq!(own(accepted), "+OK");
    }
    assert_eq!(own("m2"), "+OK");
    until("the second message", || endpoint.ids().contains(&"m2".to_string()));
    assert_eq!(endpoint.ids(), [accepted, "m2"], "accepted messages of one key, in order");
}

// The same request twice is one message, and both clients have heard that it is accepted. One of them was gone before it heard, so
// its message was withdrawn: the other one's was lost.
#[test]
fn a_message_that_two_clients_have_handed_in_is_withdrawn_by_neither_alone() {
    let first = std::sync::atomic::AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        let is_first = first.swap(false, std::sync::atomic::Ordering::SeqCst);
        if is_first { answer(429, "Retry-After: 0.5\r\n", "") } else { ok() }
    });
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["quantum"] = LONG_STEP_US.into();
    let relay = fixture.relay();
    let request = submit_request("m1", 5, "c=pay,d=12000,dest=7", b"own");
    let mut gone = TcpStream::connect(relay.listen).expect("a connection");
    gone.write_all(&request).expect("a request");
    std::thread::sleep(READ_WITHIN);
    socket2::SockRef::from(&gone).set_linger(Some(Duration::ZERO)).expect("a reset");
    drop(gone);
    assert_eq!(relay.client().ask(&request), "+OK");
    until("the delivery", || endpoint.ids().len() == 2);
    assert_eq!(endpoint.ids(), ["m1", "m1"], "rejected once, then delivered");
}

// Only what is written is accepted, whoever hands it in.
#[test]
fn a_message_that_could_not_be_written_is_accepted_from_neither_of_two_clients() {
    let endpoint = Server::start(|_| ok());
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["quantum"] = LONG_STEP_US.into();
    let faults = fixture.faults();
    let relay = fixture.relay_with_faults(&faults);
    faults
        .set_system_call_fault(SystemCall::FileWrite, SystemCallFault::always(libc::ENOSPC))
        .expect("a fault");
    let request = submit_request("m1", 5, "c=pay,d=12000,dest=7", b"own");
    let mut clients = [relay.client(), relay.client()];
    for client in &mut clients {
        client.say(&request);
    }
    assert_eq!(clients.map(|mut client| client.hear()), ["-BUSY", "-BUSY"]);
}
