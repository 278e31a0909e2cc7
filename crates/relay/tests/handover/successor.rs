//! Messages accepted by a successor, including one that exits before it takes over.

use crate::support::{client::*, *};
use crate::under_load::TIME_TO_DEADLINE;
use crate::upgrade::*;
use mountshift_faults::{FaultControl, SystemCall, SystemCallFault};
use mountshift_spool::Spool;
use serde_json::json;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;
use test_case::test_case;

// A successor is killed after it accepted messages: the next owner of the state folder sends them, be it a later successor
// or a process that starts alone.
#[test_case(true; "later successor")]
#[test_case(false; "process started alone")]
fn messages_of_a_killed_successor_go_to_the_next_active_process(with_active: bool) {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let mut active = fixture.start(0);
    let mut successor = fixture.start(1);
    active.signal("STOP");
    fixture.submit("m1", 0, "once");
    successor.signal("KILL");
    assert!(successor.exits_within(ms(3_600)));
    active.signal("CONT");
    if with_active {
        fixture.submit("m2", 0, "once");
        wait_until("the active process's call", || fixture.endpoint.ids().contains(&"m2".into()));
        let _later = fixture.start(2);
        active.terminate();
        assert!(active.exits_within(ms(3_600)));
        fixture.wait_for_ownership(1);
        // Sent once: by the active process if it checked the spool before the stop request, otherwise by the next process.
        wait_until("the successor's message", || fixture.endpoint.ids().contains(&"m1".into()));
        sleep(ms(300));
        assert_eq!(fixture.endpoint.ids().len(), 2);
    } else {
        active.signal("KILL");
        assert!(active.exits_within(ms(3_600)));
        let _alone = fixture.start(2);
        wait_until("the successor's message", || fixture.endpoint.ids() == ["m1"]);
    }
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// An abandoned upgrade: the successor exits before it takes over, and the active process keeps running. Guards against
// messages that stay in the successor's spool until another process starts, which may take hours.
#[test_case("KILL"; "killed")]
#[test_case("TERM"; "terminated")]
fn messages_of_a_stopped_successor_are_sent_by_the_active_process(signal: &str) {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let active = fixture.start(0);
    let mut successor = fixture.start(1);
    active.signal("STOP");
    fixture.submit("m1", 0, "once");
    successor.signal(signal);
    assert!(successor.exits_within(ms(4_600)));
    active.signal("CONT");
    wait_until_within(ms(2_500), "the successor's message", || fixture.endpoint.ids() == ["m1"]);
    fixture.submit("m2", 0, "once");
    wait_until("a message of its own", || fixture.endpoint.ids() == ["m1", "m2"]);
    // A kill before that would leave a call that may have run.
    wait_until("its end to be recorded", || active.has_no_held_messages());
    // Another upgrade finds none of these messages in the spools.
    let _again = fixture.start(2);
    drop(active);
    fixture.wait_for_ownership(1);
    sleep(ms(300));
    assert_eq!(fixture.endpoint.ids(), ["m1", "m2"]);
    let notifications = fixture.platform.notifications();
    assert!(notifications.is_empty(), "{notifications:?}\n{}", fixture.log());
}

/// Starts a client with many pipelined requests. Each write ends in the middle of a request, so that its connection is
/// never idle, however the machine delays the client. Returns the ids of the messages acknowledged by `+OK`, once the
/// connection is closed. Until `may_be_accepted` is set its messages have so short a
/// deadline that a successor rejects them.
fn start_pipelining_client(
    address: SocketAddr,
    name: char,
    may_be_accepted: Arc<AtomicBool>,
    reply_count: Arc<AtomicUsize>,
) -> thread::JoinHandle<BTreeSet<String>> {
    /// Number of requests in one write.
    const BATCH: usize = 64;
    /// Number of bytes of the last request that are sent with the next batch.
    const UNSENT_BYTES: usize = 4;
    /// Maximum number of unanswered batches.
    const MAX_BATCHES: usize = 16;
    let stream = TcpStream::connect(address).expect("connect");
    let mut sending = stream.try_clone().expect("a stream");
    let (sent, batches) = std::sync::mpsc::sync_channel(MAX_BATCHES);
    let sender = thread::spawn(move || {
        let mut unsent = Vec::new();
        for batch in 0.. {
            let ids: Vec<String> = (0..BATCH).map(|n| format!("{name}{batch}-{n}")).collect();
            let time_to_deadline =
                if may_be_accepted.load(Ordering::SeqCst) { TIME_TO_DEADLINE } else { ms(1_000) };
            let parameters = format!("c=once,d={},dest=7", time_to_deadline.as_millis());
            unsent.extend(ids.iter().flat_map(|id| submit_request(id, 0, &parameters, b"x")));
            let rest_of_last_request = unsent.split_off(unsent.len() - UNSENT_BYTES);
            if sent.send(ids).is_err() || sending.write_all(&unsent).is_err() {
                return;
            }
            unsent = rest_of_last_request;
        }
    });
    thread::spawn(move || {
        let mut client = Client(std::io::BufReader::new(stream));
        let mut accepted = BTreeSet::new();
        'connection: for ids in &batches {
            for id in ids {
                match client.read_reply().as_str() {
                    "" => break 'connection,
                    "+OK" => drop(accepted.insert(id)),
                    _ => {}
                }
                reply_count.fetch_add(1, Ordering::SeqCst);
            }
        }
        drop((client, batches));
        sender.join().expect("sender thread");
        accepted
    })
}

// A successor is requested to stop and exits while clients still send: each message that it accepted must get its `+OK`.
#[test]
fn terminated_successor_acknowledges_every_message_it_accepted() {
    /// Time after the stop signal at which messages become acceptable: shortly before the process exits, as requests wait
    /// in a queue for a while.
    const NEAR_THE_END: Duration = Duration::from_millis(3_100);
    let mut fixture = upgrade_fixture();
    // Disk space for all messages that the clients send near the end.
    fixture.config["limits"]["disk_mb"] = json!(1_000);
    fixture.gate.open();
    let active = fixture.start(0);
    let mut successor = fixture.start(1);
    active.signal("STOP");
    let may_be_accepted = Arc::new(AtomicBool::new(false));
    let reply_count = Arc::new(AtomicUsize::new(0));
    let clients = ['a', 'b', 'c'].map(|name| {
        start_pipelining_client(fixture.listen, name, may_be_accepted.clone(), reply_count.clone())
    });
    wait_until("many replies", || reply_count.load(Ordering::SeqCst) > 10_000);
    successor.terminate();
    sleep(NEAR_THE_END);
    may_be_accepted.store(true, Ordering::SeqCst);
    assert!(successor.exits_within(ms(600)));
    let acknowledged: BTreeSet<String> =
        clients.into_iter().flat_map(|client| client.join().expect("client thread")).collect();
    let spool = Spool::open(&fixture.dir.path().join("state/next"), u64::MAX / 4, 8, 8).expect("a spool");
    let accepted: BTreeSet<String> = spool
        .messages()
        .values()
        .map(|stored| String::from_utf8_lossy(&stored.accepted.id).into_owned())
        .collect();
    assert!(acknowledged.len() > 10, "{acknowledged:?}, {}", fixture.log());
    let unacknowledged: Vec<_> = accepted.difference(&acknowledged).collect();
    assert!(unacknowledged.is_empty(), "{} accepted, not acknowledged: {unacknowledged:?}", accepted.len());
    assert_eq!(acknowledged, accepted);
}

// A message that could not be written to the spool is rejected and may be submitted again.
#[test]
fn successor_accepts_a_resubmitted_message_after_a_failed_write() {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let active = fixture.start(0);
    let faults = FaultControl::create(&fixture.dir.path().join("faults")).expect("create the control file");
    let _successor = fixture.start_with_faults(1, &faults);
    active.signal("STOP");
    faults
        .set_system_call_fault(SystemCall::FileWrite, SystemCallFault::always(libc::ENOSPC))
        .expect("set the fault");
    assert_eq!(fixture.submit_reply("m1", 0, "once"), "-BUSY");
    faults.set_system_call_fault(SystemCall::FileWrite, SystemCallFault::default()).expect("clear the fault");
    fixture.submit("m1", 0, "once");
    active.signal("KILL");
    fixture.wait_for_ownership(1);
    wait_until("the call", || fixture.endpoint.ids() == ["m1"]);
}

// Both processes accept connections for a moment. An ordered message that the successor accepted would wait for the
// handover while the active process sends the next message of its key.
#[test]
fn successor_accepts_ordered_messages_only_after_the_active_process_stops_sending() {
    let fixture = upgrade_fixture();
    let mut active = fixture.start(0);
    fixture.submit("out", 0, "once");
    fixture.gate.wait_for_arrivals(1);
    let _successor = fixture.start(1);
    active.signal("STOP");
    assert_eq!(fixture.submit_reply("early", 6, "pay"), "-BUSY");
    fixture.submit("free", 6, "once");
    active.signal("CONT");
    // The call at the gate keeps the active process running for a while.
    active.terminate();
    wait_until("the successor to accept ordered messages", || fixture.submit_reply("pay", 6, "pay") == "+OK");
    fixture.gate.open();
    assert!(active.exits_within(ms(3_600)));
    wait_until("all messages", || fixture.endpoint.ids().len() == 3);
    let mut ids = fixture.endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["free", "out", "pay"]);
}
