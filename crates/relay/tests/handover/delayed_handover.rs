//! Upgrades whose handover begins seconds after the start of the successor, or takes as long as it may: every accepted
//! message ends in time, and few are rejected.

use crate::process::*;
use crate::support::{client::*, discovery::*, process::config, server::*, *};
use crate::under_load::response_text;
use crate::upgrade::*;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};
use test_case::test_case;

const CLIENT_COUNT: u64 = 4;
/// Pause of a client between two submissions; all clients together submit 70 messages per second.
const SUBMISSION_PAUSE: Duration = Duration::from_millis(57);
/// Range of the time to the deadline of a message, in milliseconds.
const TIME_TO_DEADLINE_MS: (u64, u64) = (1_500, 10_000);
/// Time to the deadline from which on few messages may be rejected during an upgrade.
const LONG_TIME_TO_DEADLINE: Duration = Duration::from_millis(4_500);
/// Maximum share of the messages with a long time to their deadline that an upgrade may reject.
const MAX_REJECTED_SHARE: f64 = 0.15;
/// Number of messages per 10 that have a place in the order of a key.
const ORDERED_OF_TEN: u64 = 3;
/// Time for which a client waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after its deadline within which a message must have ended.
const END_SLACK: Duration = Duration::from_millis(300);
/// Time after SIGTERM within which no notification is overdue.
const HANDOVER_GRACE: Duration = Duration::from_millis(1_500);
/// Time from SIGTERM to SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(3_700);

/// Time for which clients go on after the exit of the active process.
const TIME_AFTER_EXIT: Duration = Duration::from_millis(1_000);
/// Minimum time over which rejections are counted. A single message would be a large share of a shorter upgrade.
const MIN_COUNTED_TIME: Duration = TIME_AFTER_EXIT;

/// Behaviour of an endpoint of another destination, with a call in flight as the active process is requested to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherEndpoint {
    Healthy,
    /// Does not respond, so that the active process exits as late as it may.
    Hanging,
}

/// A submission and its result.
struct Submission {
    id: String,
    sent_at: Instant,
    time_to_deadline: Duration,
    /// The relay's reply; empty if there was none.
    reply: String,
}

impl Submission {
    fn is_accepted(&self) -> bool {
        self.reply == "+OK"
    }
}

/// Submits a message on the client's connection. A request whose connection was closed without a reply is sent once more,
/// on a new connection.
fn submit(address: SocketAddr, connection: &mut Option<Client>, request: &[u8]) -> String {
    for _ in 0..2 {
        let mut client = connection.take().unwrap_or_else(|| {
            let stream = TcpStream::connect(address).expect("connect");
            stream.set_read_timeout(Some(REPLY_TIMEOUT)).expect("set the time-out");
            Client(BufReader::new(stream))
        });
        let sent_at = Instant::now();
        let _ = std::io::Write::write_all(client.0.get_mut(), request);
        let reply = client.read_reply();
        if !reply.is_empty() {
            *connection = Some(client);
            return reply;
        }
        if sent_at.elapsed() >= REPLY_TIMEOUT {
            break;
        }
    }
    String::new()
}

/// Starts a client that submits one message after another until `is_over`. Clients with an even key open a connection
/// for each message, the others keep theirs.
fn start_client(
    address: SocketAddr,
    key: u64,
    is_over: Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<Submission>> {
    let keeps_connection = !key.is_multiple_of(2);
    thread::spawn(move || {
        let (mut random, mut connection, mut submissions) = (Random(key), None, Vec::new());
        while !is_over.load(Ordering::SeqCst) {
            let (shortest, longest) = TIME_TO_DEADLINE_MS;
            let time_to_deadline = ms(shortest + random.below(longest - shortest));
            let (class, key) = if random.below(10) < ORDERED_OF_TEN { ("pay", key) } else { ("once", 0) };
            let id = format!("c{}m{}", random.0, submissions.len());
            let parameters = format!("c={class},d={},dest=7", time_to_deadline.as_millis());
            let sent_at = Instant::now();
            let reply = submit(address, &mut connection, &submit_request(&id, key, &parameters, b"x"));
            submissions.push(Submission { id, sent_at, time_to_deadline, reply });
            connection = connection.filter(|_| keeps_connection);
            sleep((sent_at + SUBMISSION_PAUSE).saturating_duration_since(Instant::now()));
        }
        submissions
    })
}

/// Returns when each message ended: by a response of the endpoint, or by a notification.
fn ends(endpoint: &Server, platform: &Platform) -> BTreeMap<String, Instant> {
    let mut ends = BTreeMap::new();
    let mut record = |id: String, at: Instant| {
        let earliest = ends.entry(id).or_insert(at);
        *earliest = at.min(*earliest);
    };
    for end in endpoint.call_ends.lock().expect("lock the ends").iter() {
        end.ids.iter().for_each(|id| record(id.clone(), end.at));
    }
    for request in platform.server.requests().iter().filter(|request| request.path == "/status") {
        for line in String::from_utf8_lossy(&request.body).lines() {
            let notification: Value = serde_json::from_str(line).expect("a notification in JSON");
            record(notification["id"].as_str().expect("a message id").to_string(), request.at);
        }
    }
    ends
}

/// Moments of an upgrade.
struct UpgradeTimes {
    /// Start of the successor.
    started_at: Instant,
    /// SIGTERM to the active process.
    stopped_at: Instant,
    /// Exit of the active process.
    exited_at: Instant,
}

/// Results of an upgrade, as clients see them. What is not asserted is printed.
#[derive(Debug)]
#[allow(dead_code)]
struct UpgradeReport {
    accepted: usize,
    /// Number of accepted messages that ended too late.
    late: usize,
    /// Number of messages without a reply.
    without_reply: usize,
    /// Numbers of messages with a long time to their deadline that were submitted, and not accepted, while both
    /// processes ran.
    long: (usize, usize),
    /// The same for all others.
    short: (usize, usize),
}

impl UpgradeReport {
    fn new(
        submissions: &[Submission],
        ends: &BTreeMap<String, Instant>,
        times: &UpgradeTimes,
    ) -> UpgradeReport {
        let accepted = submissions.iter().filter(|submission| submission.is_accepted());
        let is_late = |submission: &&Submission| {
            let mut due = submission.sent_at + submission.time_to_deadline + END_SLACK;
            if due >= times.stopped_at {
                due = due.max(times.stopped_at + HANDOVER_GRACE);
            }
            ends[&submission.id] > due
        };
        let counted_until = times.exited_at.max(times.started_at + MIN_COUNTED_TIME);
        let during_upgrade =
            submissions.iter().filter(|s| s.sent_at >= times.started_at && s.sent_at <= counted_until);
        let (long, short): (Vec<&Submission>, Vec<&Submission>) =
            during_upgrade.partition(|submission| submission.time_to_deadline >= LONG_TIME_TO_DEADLINE);
        let count = |group: &[&Submission]| (group.len(), group.iter().filter(|s| !s.is_accepted()).count());
        UpgradeReport {
            accepted: accepted.clone().count(),
            late: accepted.filter(is_late).count(),
            without_reply: submissions.iter().filter(|submission| submission.reply.is_empty()).count(),
            long: count(&long),
            short: count(&short),
        }
    }
}

/// Upgrades a relay under load: SIGTERM comes once the successor has reported that it serves, `delay` after its start at
/// the earliest.
fn upgrade_under_load(delay: Duration, other: OtherEndpoint) -> UpgradeReport {
    let endpoint = Server::start(|_| ServerAction::Respond(response_text(200), ms(15)));
    let other_endpoint = Server::start(move |_| match other {
        OtherEndpoint::Healthy => ServerAction::Respond(response_text(200), ms(15)),
        OtherEndpoint::Hanging => ServerAction::Hang,
    });
    let platform = Platform::start(0);
    let (socket, listen) = platform_socket();
    let members =
        vec![member("e1", endpoint.address, 7, "single"), member("e2", other_endpoint.address, 8, "single")];
    let config = config(listen, platform.server.address, &members);
    platform.set_members(members);
    let dir = tempfile::tempdir().expect("create the folder");
    std::fs::create_dir_all(dir.path().join("state")).expect("create the folder");
    let mut active = Process::start(&config, dir.path(), socket.as_raw_fd(), 0);
    wait_until("the active process", || active.is_ready());
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..=CLIENT_COUNT).map(|key| start_client(listen, key, is_over.clone())).collect();
    // Its call is in flight during the handover if the endpoint hangs.
    let elsewhere = submit_request("elsewhere", 0, "c=once,d=15000,dest=8", b"x");
    assert_eq!(submit(listen, &mut None, &elsewhere), "+OK");
    wait_until("the call elsewhere", || !other_endpoint.ids().is_empty());
    let started_at = Instant::now();
    let successor = Process::start(&config, dir.path(), socket.as_raw_fd(), 1);
    sleep(delay);
    wait_until("the successor", || successor.is_ready());
    let stopped_at = Instant::now();
    active.terminate();
    assert!(active.exits_within(KILL_DELAY), "the active process must exit before its SIGKILL");
    let times = UpgradeTimes { started_at, stopped_at, exited_at: Instant::now() };
    sleep(TIME_AFTER_EXIT);
    is_over.store(true, Ordering::SeqCst);
    let submissions: Vec<Submission> =
        clients.into_iter().flat_map(|client| client.join().expect("client thread")).collect();
    wait_until_within(ms(TIME_TO_DEADLINE_MS.1 + 2_000), "the end of every accepted message", || {
        let ends = ends(&endpoint, &platform);
        submissions.iter().filter(|s| s.is_accepted()).all(|submission| ends.contains_key(&submission.id))
    });
    UpgradeReport::new(&submissions, &ends(&endpoint, &platform), &times)
}

// Guards against messages whose notification is late after an upgrade, because their deadline passed in a successor that
// could not send them yet: it accepted messages from its start on, seconds before the active process was requested to
// stop, and each waited for the exit of that process.
#[test_case(0, OtherEndpoint::Healthy; "at once")]
#[test_case(0, OtherEndpoint::Hanging; "at once beside a hanging endpoint")]
#[test_case(2_000, OtherEndpoint::Hanging; "after 2 s beside a hanging endpoint")]
#[test_case(5_700, OtherEndpoint::Healthy; "after 5700 ms")]
#[test_case(5_700, OtherEndpoint::Hanging; "after 5700 ms beside a hanging endpoint")]
fn accepted_messages_end_in_time_whenever_the_handover_begins(delay_ms: u64, other: OtherEndpoint) {
    let report = upgrade_under_load(ms(delay_ms), other);
    println!("{delay_ms} ms, {other:?}: {report:?}");
    assert_eq!(report.late, 0, "{report:?}");
    let (long, rejected) = report.long;
    assert!(rejected as f64 <= MAX_REJECTED_SHARE * long as f64, "{report:?}");
}

// Guards against messages that wait in a successor although the active process could send them: both accepted
// connections from the shared socket, and the successor's share was sent only after the handover.
#[test]
fn active_process_serves_all_clients_until_it_hands_over() {
    /// Messages submitted while a successor waits, each on a connection of its own.
    const MESSAGE_COUNT: usize = 40;
    /// Less than the longest wait for the handover, more than a reply to a delayed request takes.
    const TIME_TO_DEADLINE: Duration = Duration::from_secs(8);
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let _active = fixture.start(0);
    let _successor = fixture.start(1);
    let mut accepted = BTreeSet::new();
    for number in 0..MESSAGE_COUNT {
        let id = format!("m{number}");
        let parameters = format!("c=once,d={},dest=7", TIME_TO_DEADLINE.as_millis());
        let reply = submit(fixture.listen, &mut None, &submit_request(&id, 0, &parameters, b"x"));
        if reply == "+OK" {
            accepted.insert(id);
        }
    }
    assert!(accepted.len() as f64 > MESSAGE_COUNT as f64 * (1.0 - MAX_REJECTED_SHARE), "{accepted:?}");
    wait_until_within(TIME_TO_DEADLINE, "all accepted messages, without a handover", || {
        let delivered = BTreeSet::from_iter(fixture.endpoint.ids());
        accepted.is_subset(&delivered)
    });
}

// Guards against clients without a reply while the active process is suspended, and against clients that stay with the
// successor afterwards, which has to reject most of their messages.
#[test]
fn successor_serves_clients_of_a_suspended_active_process_only() {
    let fixture = upgrade_fixture();
    fixture.gate.open();
    let active = fixture.start(0);
    let _successor = fixture.start(1);
    active.signal("STOP");
    let stream = TcpStream::connect(fixture.listen).expect("connect");
    let mut client = Client(BufReader::new(stream));
    assert_eq!(client.request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    assert_eq!(client.read_reply(), "", "the connection is closed once it is idle");
    active.signal("CONT");
    fixture.submit("m1", 5, "pay");
    wait_until("the active process's call", || fixture.endpoint.ids() == ["m1"]);
}
