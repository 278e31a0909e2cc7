//! Upgrades under load, with stop signals at times drawn from a seed.

use crate::process::*;
use crate::support::{client::*, discovery::*, process::config, server::*, *};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Replies that clients received, by message id.
#[derive(Default)]
struct ClientReplies {
    accepted: Vec<String>,
    /// Time of the `+OK`.
    accepted_at: BTreeMap<String, Instant>,
    rejected: Vec<String>,
    /// Accepted ids of each key in the order of their acceptance.
    accepted_by_key: BTreeMap<u64, Vec<String>>,
    /// Number of requests sent again after their connection was closed without a reply.
    resent: usize,
}

/// Time from the submission of each message to its deadline.
pub(crate) const TIME_TO_DEADLINE: Duration = Duration::from_secs(15);
/// Time that the notification of an end may take beyond the deadline.
const NOTIFICATION_SLACK: Duration = Duration::from_secs(1);

/// Starts a client that submits messages of one key over a persistent connection, each after the reply to the previous
/// one. A request whose connection is closed without a reply is sent again on a new connection.
fn run_client(
    address: SocketAddr,
    key: u64,
    stop: Arc<AtomicBool>,
    replies: Arc<Mutex<ClientReplies>>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let (mut n, mut connection): (u64, Option<Client>) = (0, None);
        while !stop.load(Ordering::SeqCst) {
            n += 1;
            let (id, class) = (format!("k{key}m{n}"), if key.is_multiple_of(2) { "pay" } else { "once" });
            let request = submit_request(
                &id,
                key,
                &format!("c={class},d={},dest=7", TIME_TO_DEADLINE.as_millis()),
                b"x",
            );
            let reply = loop {
                let mut c = match connection.take() {
                    Some(c) => c,
                    None => {
                        if let Ok(stream) = TcpStream::connect(address) {
                            stream.set_read_timeout(Some(ms(3_000))).expect("set the time-out");
                            Client(std::io::BufReader::new(stream))
                        } else {
                            sleep(ms(5));
                            continue;
                        }
                    }
                };
                let _ = c.0.get_mut().write_all(&request);
                let line = c.read_reply();
                if line.is_empty() {
                    replies.lock().expect("lock the replies").resent += 1;
                    continue;
                }
                connection = Some(c);
                break line;
            };
            let mut replies = replies.lock().expect("lock the replies");
            if reply == "+OK" {
                replies.accepted.push(id.clone());
                replies.accepted_at.insert(id.clone(), Instant::now());
                replies.accepted_by_key.entry(key).or_default().push(id);
            } else {
                replies.rejected.push(id);
                drop(replies);
                sleep(ms(20));
            }
        }
    })
}

/// Numbers of sends and of notifications of ends, by message id.
struct MessageCounts {
    sent: BTreeMap<String, usize>,
    notified: BTreeMap<String, usize>,
}

impl MessageCounts {
    /// Counts all messages in one pass; a separate pass for each of thousands of messages takes too long on a busy machine.
    fn count(endpoint: &Server, platform: &Platform) -> MessageCounts {
        let mut counts = MessageCounts { sent: BTreeMap::new(), notified: BTreeMap::new() };
        for id in endpoint.ids() {
            *counts.sent.entry(id).or_default() += 1;
        }
        for notification in platform.notifications() {
            let notification: Value = serde_json::from_str(&notification).expect("a notification in JSON");
            let id = notification["id"].as_str().expect("a notification with a message id").to_string();
            *counts.notified.entry(id).or_default() += 1;
        }
        counts
    }

    /// Returns the number of sends and the number of notifications of a message.
    fn of(&self, id: &str) -> (usize, usize) {
        let count = |counts: &BTreeMap<String, usize>| counts.get(id).copied().unwrap_or(0);
        (count(&self.sent), count(&self.notified))
    }
}

/// Runs upgrades under load with stop signals at times drawn from `seed`. Checks the requests at the endpoint and the
/// notifications at the platform against the replies that clients received.
fn run_upgrades_under_load(seed: u64) {
    let endpoint = Server::start(|_| ServerAction::Respond(response_text(200), ms(15)));
    let platform = Platform::start(0);
    let (socket, listen) = platform_socket();
    let members = vec![member("e1", endpoint.address, 7, "single")];
    let config = config(listen, platform.server.address, &members);
    platform.set_members(members);
    let dir = tempfile::tempdir().expect("create the folder");
    std::fs::create_dir_all(dir.path().join("state")).expect("create the folder");
    let fd = socket.as_raw_fd();
    let mut running = Process::start(&config, dir.path(), fd, 0);
    wait_until("the first process", || running.is_ready());
    let (stop, replies) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(ClientReplies::default())));
    let clients: Vec<_> = (1..=4).map(|key| run_client(listen, key, stop.clone(), replies.clone())).collect();
    let mut random = Random(seed);
    for n in 1..=3 {
        sleep(ms(300 + random.below(400)));
        let next = Process::start(&config, dir.path(), fd, n);
        wait_until("the successor", || next.is_ready());
        sleep(ms(random.below(150)));
        running.terminate();
        assert!(running.exits_within(ms(3_600)), "the old process must exit before its SIGKILL");
        running = next;
    }
    sleep(ms(400));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("client thread");
    }
    let seen = replies.lock().expect("lock the replies");
    // Each message ends by its deadline; the number of queued messages depends on the speed of the machine.
    wait_until_within(TIME_TO_DEADLINE + NOTIFICATION_SLACK, "the end of every accepted message", || {
        let counts = MessageCounts::count(&endpoint, &platform);
        seen.accepted.iter().all(|id| counts.of(id) != (0, 0))
    });
    let counts = MessageCounts::count(&endpoint, &platform);
    let log = std::fs::read_to_string(dir.path().join("log")).unwrap_or_default();
    assert!(seen.accepted.len() > 100, "{} accepted, {} rejected", seen.accepted.len(), seen.rejected.len());
    assert_eq!(log.matches("told to stop, for a handover to its successor").count(), 3, "{log}");
    let sent = endpoint.ids();
    for id in &seen.accepted {
        // Each accepted message is sent at most once and ends exactly once.
        assert!(matches!(counts.of(id), (1, 0) | (0, 1)), "{id}: {:?}", counts.of(id));
    }
    // No message is sent after its deadline, which is counted from before the client received `+OK`.
    for request in endpoint.requests() {
        for id in request.ids() {
            let Some(accepted_at) = seen.accepted_at.get(&id) else { continue };
            assert!(request.at <= *accepted_at + TIME_TO_DEADLINE, "{id} was sent after its deadline");
        }
    }
    for id in &seen.rejected {
        assert!(!sent.contains(id), "{id} was rejected but sent");
    }
    // The messages of each key are sent in the order of their acceptance (even keys use an ordered class).
    for (key, ids) in seen.accepted_by_key.iter().filter(|(key, _)| key.is_multiple_of(2)) {
        let sent_ids: Vec<&String> = sent.iter().filter(|id| ids.contains(id)).collect();
        let expected: Vec<&String> = ids.iter().filter(|id| sent_ids.contains(id)).collect();
        assert_eq!(sent_ids, expected, "key {key}");
    }
}

pub(crate) fn response_text(status: u16) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")
}

#[test]
fn upgrades_under_load_lose_and_duplicate_no_message() {
    for seed in [3, 11] {
        run_upgrades_under_load(seed);
    }
}
