//! What a successor accepts, and what becomes of it if the successor ends.

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

// A successor is killed with messages that it accepted: the active process goes on, and whoever owns next has them,
// a later successor or a process that starts alone.
#[test_case(true; "a later successor")]
#[test_case(false; "a process alone")]
fn messages_of_a_killed_successor_go_to_the_next_active_process(with_active: bool) {
    let fixture = upgrade();
    fixture.gate.open();
    let mut active = fixture.start(0);
    let mut successor = fixture.start(1);
    active.signal("STOP");
    fixture.submit("m1", 0, "once");
    successor.signal("KILL");
    assert!(successor.ended_within(ms(3_600)));
    active.signal("CONT");
    if with_active {
        fixture.submit("m2", 0, "once");
        until("the active process's call", || fixture.endpoint.ids().contains(&"m2".into()));
        let _later = fixture.start(2);
        active.term();
        assert!(active.ended_within(ms(3_600)));
        fixture.owns(1);
        // Sent by the active process if it looked before it was told to stop, else by the next one; once in either case.
        until("the successor's message", || fixture.endpoint.ids().contains(&"m1".into()));
        sleep(ms(300));
        assert_eq!(fixture.endpoint.ids().len(), 2);
    } else {
        active.signal("KILL");
        assert!(active.ended_within(ms(3_600)));
        let _alone = fixture.start(2);
        until("the successor's message", || fixture.endpoint.ids() == ["m1"]);
    }
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// The upgrade is given up: the successor ends before it has taken over, and the active process goes on. What the successor
// has accepted is owed all the same, and no other process may start for hours. Found by the soak (seed 32).
#[test_case("KILL"; "killed")]
#[test_case("TERM"; "told to stop")]
fn messages_of_a_successor_that_ends_go_to_the_running_process(signal: &str) {
    let fixture = upgrade();
    fixture.gate.open();
    let active = fixture.start(0);
    let mut successor = fixture.start(1);
    active.signal("STOP");
    fixture.submit("m1", 0, "once");
    successor.signal(signal);
    assert!(successor.ended_within(ms(4_600)));
    active.signal("CONT");
    until_within(ms(2_500), "the successor's message", || fixture.endpoint.ids() == ["m1"]);
    fixture.submit("m2", 0, "once");
    until("a message of its own", || fixture.endpoint.ids() == ["m1", "m2"]);
    // Killed before, the process leaves a call that may have run.
    until("its end to be recorded", || active.holds_nothing());
    // Another upgrade finds nothing of it left.
    let _again = fixture.start(2);
    drop(active);
    fixture.owns(1);
    sleep(ms(300));
    assert_eq!(fixture.endpoint.ids(), ["m1", "m2"]);
    let notifications = fixture.platform.notifications();
    assert!(notifications.is_empty(), "{notifications:?}\n{}", fixture.log());
}

/// A client with many requests unanswered at any time, so that its connection never rests. Gives back the ids of the
/// messages that it heard to be accepted, once the connection has ended. Before `may_be_accepted` its messages have so
/// little time left that a successor rejects them.
fn restless_client(
    at: SocketAddr,
    name: char,
    may_be_accepted: Arc<AtomicBool>,
    answers: Arc<AtomicUsize>,
) -> thread::JoinHandle<BTreeSet<String>> {
    /// Requests in one write.
    const BATCH: usize = 64;
    /// Batches unanswered at most: so many that the connection does not rest where the machine holds the client up for
    /// some tens of milliseconds.
    const MAX_BATCHES: usize = 128;
    let stream = TcpStream::connect(at).expect("a connection");
    let mut sending = stream.try_clone().expect("a stream");
    let (sent, in_order) = std::sync::mpsc::sync_channel(MAX_BATCHES);
    let sender = thread::spawn(move || {
        for batch in 0.. {
            let ids: Vec<String> = (0..BATCH).map(|n| format!("{name}{batch}-{n}")).collect();
            let left = if may_be_accepted.load(Ordering::SeqCst) { TIME_TO_DEADLINE } else { ms(1_000) };
            let list = format!("c=once,d={},dest=7", left.as_millis());
            let bytes: Vec<u8> = ids.iter().flat_map(|id| submit_request(id, 0, &list, b"x")).collect();
            if sent.send(ids).is_err() || sending.write_all(&bytes).is_err() {
                return;
            }
        }
    });
    thread::spawn(move || {
        let mut client = Client(std::io::BufReader::new(stream));
        let mut accepted = BTreeSet::new();
        'connection: for ids in &in_order {
            for id in ids {
                match client.hear().as_str() {
                    "" => break 'connection,
                    "+OK" => drop(accepted.insert(id)),
                    _ => {}
                }
                answers.fetch_add(1, Ordering::SeqCst);
            }
        }
        drop((client, in_order));
        sender.join().expect("a sender");
        accepted
    })
}

// A successor that is told to stop ends while a client still sends: what it has accepted by then its client has to hear.
#[test]
fn a_successor_that_is_told_to_stop_answers_what_it_has_accepted() {
    /// Some time before the end of a stop for a restart: requests wait behind others for a while.
    const NEAR_THE_END: Duration = Duration::from_millis(3_100);
    let mut fixture = upgrade();
    // Room for all that the client sends near the end.
    fixture.config["limits"]["disk_mb"] = json!(1_000);
    fixture.gate.open();
    let active = fixture.start(0);
    let mut successor = fixture.start(1);
    active.signal("STOP");
    let may_be_accepted = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(AtomicUsize::new(0));
    // One that the machine holds up for a moment may rest, and is sent away then.
    let clients = ['a', 'b', 'c']
        .map(|name| restless_client(fixture.at, name, may_be_accepted.clone(), answers.clone()));
    until("many answers", || answers.load(Ordering::SeqCst) > 10_000);
    successor.term();
    sleep(NEAR_THE_END);
    may_be_accepted.store(true, Ordering::SeqCst);
    assert!(successor.ended_within(ms(600)));
    let heard: BTreeSet<String> =
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    let spool = Spool::open(&fixture.dir.path().join("state/next"), u64::MAX / 4, 8, 8).expect("a spool");
    let accepted: BTreeSet<String> = spool
        .messages()
        .values()
        .map(|stored| String::from_utf8_lossy(&stored.accepted.id).into_owned())
        .collect();
    assert!(heard.len() > 10, "{heard:?}, {}", fixture.log());
    let unheard: Vec<_> = accepted.difference(&heard).collect();
    assert!(unheard.is_empty(), "{} accepted, not heard: {unheard:?}", accepted.len());
    assert_eq!(heard, accepted);
}

// A message that could not be written is rejected, and may come again.
#[test]
fn a_successor_accepts_what_it_could_not_write_when_it_comes_again() {
    let fixture = upgrade();
    fixture.gate.open();
    let active = fixture.start(0);
    let faults = FaultControl::create(&fixture.dir.path().join("faults")).expect("a control file");
    let _successor = fixture.start_with_faults(1, &faults);
    active.signal("STOP");
    faults
        .set_system_call_fault(SystemCall::FileWrite, SystemCallFault::always(libc::ENOSPC))
        .expect("a fault");
    assert_eq!(fixture.answer_to("m1", 0, "once"), "-BUSY");
    faults.set_system_call_fault(SystemCall::FileWrite, SystemCallFault::default()).expect("no fault");
    fixture.submit("m1", 0, "once");
    active.signal("KILL");
    fixture.owns(1);
    until("the call", || fixture.endpoint.ids() == ["m1"]);
}

// Both processes accept for a moment. A message of a key that the successor accepted would wait for the handover, while the
// active process sends the next one of the key. Found by the soak (seed 3, 60 s).
#[test]
fn a_successor_accepts_messages_in_order_only_once_the_active_process_sends_nothing_new() {
    let fixture = upgrade();
    let mut active = fixture.start(0);
    fixture.submit("out", 0, "once");
    fixture.gate.wait_for_arrivals(1);
    let _successor = fixture.start(1);
    active.signal("STOP");
    assert_eq!(fixture.answer_to("early", 6, "pay"), "-BUSY");
    fixture.submit("free", 6, "once");
    active.signal("CONT");
    // The call at the gate keeps the active process for a while.
    active.term();
    until("the handover to be seen", || fixture.answer_to("pay", 6, "pay") == "+OK");
    fixture.gate.open();
    assert!(active.ended_within(ms(3_600)));
    until("all messages", || fixture.endpoint.ids().len() == 3);
    let mut ids = fixture.endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["free", "out", "pay"]);
}

// Two processes hold different messages of one id: one client's at the active process, another one's at the successor. Only one can be
// sent under the id; the other one was accepted too, and its client hears of its end.
#[test_case(true; "the successor takes over")]
#[test_case(false; "the successor ends")]
fn a_successors_message_whose_id_the_active_process_holds_for_another_one_is_returned(takes_over: bool) {
    let fixture = upgrade();
    let mut active = fixture.start(0);
    fixture.submit("m1", 5, "pay");
    fixture.gate.wait_for_arrivals(1);
    let mut successor = fixture.start(1);
    active.signal("STOP");
    fixture.submit("m1", 0, "once");
    if takes_over {
        active.signal("CONT");
        active.term();
        until("the handover", || fixture.log().contains("hands over to the process beside it"));
        active.signal("KILL");
        assert!(active.ended_within(ms(3_600)));
        fixture.owns(1);
    } else {
        successor.signal("KILL");
        assert!(successor.ended_within(ms(3_600)));
        active.signal("CONT");
    }
    let returned = r#"{"id":"m1","state":"returned"}"#.to_string();
    until("its end", || fixture.platform.notifications().contains(&returned));
    fixture.gate.open();
    sleep(ms(300));
    assert_eq!(fixture.endpoint.ids(), ["m1"], "sent once under the id");
}
