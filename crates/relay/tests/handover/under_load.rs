//! Upgrades under load, each process told to stop at a point drawn from a seed.

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

/// What clients heard, by id: `+OK` or not, and for each key the ids in the order they were accepted.
#[derive(Default)]
struct Heard {
    taken: Vec<String>,
    /// When the client heard so, by id.
    taken_at: BTreeMap<String, Instant>,
    refused: Vec<String>,
    keys: BTreeMap<u64, Vec<String>>,
    /// Connections that ended with a request unanswered; it went again on a new one.
    again: usize,
}

/// How long each message of `client` may take from its submission to its final answer ...
pub(crate) const TIME_TO_DEADLINE: Duration = Duration::from_secs(15);
/// ... and what the notification of an end may take beyond that.
const NOTIFICATION_SLACK: Duration = Duration::from_secs(1);

/// A client that submits messages of one key, each once the one before is accepted, over connections it
/// keeps; a request whose connection ends unanswered is sent once more on a new connection.
fn client(
    at: SocketAddr,
    key: u64,
    stop: Arc<AtomicBool>,
    heard: Arc<Mutex<Heard>>,
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
            let answer = loop {
                let mut c = match connection.take() {
                    Some(c) => c,
                    None => {
                        if let Ok(stream) = TcpStream::connect(at) {
                            stream.set_read_timeout(Some(ms(3_000))).expect("a time-out");
                            Client(std::io::BufReader::new(stream))
                        } else {
                            sleep(ms(5));
                            continue;
                        }
                    }
                };
                let _ = c.0.get_mut().write_all(&request);
                let line = c.hear();
                if line.is_empty() {
                    heard.lock().expect("heard").again += 1;
                    continue;
                }
                connection = Some(c);
                break line;
            };
            let mut heard = heard.lock().expect("heard");
            if answer == "+OK" {
                heard.taken.push(id.clone());
                heard.taken_at.insert(id.clone(), Instant::now());
                heard.keys.entry(key).or_default().push(id);
            } else {
                heard.refused.push(id);
                drop(heard);
                sleep(ms(20));
            }
        }
    })
}

/// How often each message was sent, and how often the platform was notified of its end, by id.
struct Ends {
    sent: BTreeMap<String, usize>,
    notified: BTreeMap<String, usize>,
}

impl Ends {
    /// Counts all of them in one pass: a pass for each of thousands of messages takes longer than a busy machine has.
    fn count(endpoint: &Server, platform: &Platform) -> Ends {
        let mut ends = Ends { sent: BTreeMap::new(), notified: BTreeMap::new() };
        for id in endpoint.ids() {
            *ends.sent.entry(id).or_default() += 1;
        }
        for notification in platform.notifications() {
            let notification: Value = serde_json::from_str(&notification).expect("a notification in JSON");
            let id = notification["id"].as_str().expect("a notification names its message").to_string();
            *ends.notified.entry(id).or_default() += 1;
        }
        ends
    }

    /// How often the message was sent, and how often notified.
    fn of(&self, id: &str) -> (usize, usize) {
        let count = |counts: &BTreeMap<String, usize>| counts.get(id).copied().unwrap_or(0);
        (count(&self.sent), count(&self.notified))
    }
}

/// Plays upgrades under load with stops at points drawn from `seed`; checks what the endpoint and the
/// platform got against what clients heard.
fn upgrades_under_load(seed: u64) {
    let endpoint = Server::start(|_| ServerAction::Say(answer_text(200), ms(15)));
    let platform = Platform::start(0);
    let (socket, at) = platform_socket();
    let members = vec![member("e1", endpoint.address, 7, "single")];
    let config = config(at, platform.server.address, &members);
    platform.set(members);
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::create_dir_all(dir.path().join("state")).expect("a folder");
    let fd = socket.as_raw_fd();
    let mut running = Process::start(&config, dir.path(), fd, 0);
    until("the first process", || running.says_yes());
    let (stop, heard) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Heard::default())));
    let clients: Vec<_> = (1..=4).map(|key| client(at, key, stop.clone(), heard.clone())).collect();
    let mut chance = seed;
    let mut draw = |most: u64| {
        chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (chance >> 33) % most
    };
    for n in 1..=3 {
        sleep(ms(300 + draw(400)));
        let next = Process::start(&config, dir.path(), fd, n);
        until("the process beside it", || next.says_yes());
        sleep(ms(draw(150)));
        running.term();
        assert!(running.ended_within(ms(3_600)), "the old process ends before its SIGKILL");
        running = next;
    }
    sleep(ms(400));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client");
    }
    let heard = heard.lock().expect("heard");
    // Rule 1 gives each message its time and no more; how many are queued here depends on how fast the machine is.
    until_within(TIME_TO_DEADLINE + NOTIFICATION_SLACK, "every message accepted to end", || {
        let ends = Ends::count(&endpoint, &platform);
        heard.taken.iter().all(|id| ends.of(id) != (0, 0))
    });
    let ends = Ends::count(&endpoint, &platform);
    let log = std::fs::read_to_string(dir.path().join("log")).unwrap_or_default();
    assert!(heard.taken.len() > 100, "{} taken, {} refused", heard.taken.len(), heard.refused.len());
    assert_eq!(log.matches("told to stop, with a process beside it").count(), 3, "{log}");
    let sent = endpoint.ids();
    for id in &heard.taken {
        // Rule 2: never twice, and one end each (rule 1).
        assert!(matches!(ends.of(id), (1, 0) | (0, 1)), "{id}: {:?}", ends.of(id));
    }
    // Rule 1: nothing is sent behind the deadline, which counts from before the client heard `+OK`.
    for request in endpoint.requests() {
        for id in request.ids() {
            let Some(taken_at) = heard.taken_at.get(&id) else { continue };
            assert!(request.at <= *taken_at + TIME_TO_DEADLINE, "{id} was sent behind its deadline");
        }
    }
    for id in &heard.refused {
        assert!(!sent.contains(id), "{id} was rejected, yet sent");
    }
    // Rule 5: each key's messages went out in the order they were accepted (even keys are of a class in order).
    for (key, ids) in heard.keys.iter().filter(|(key, _)| key.is_multiple_of(2)) {
        let order: Vec<&String> = sent.iter().filter(|id| ids.contains(id)).collect();
        let wanted: Vec<&String> = ids.iter().filter(|id| order.contains(id)).collect();
        assert_eq!(order, wanted, "key {key}");
    }
}

fn answer_text(status: u16) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")
}

#[test]
fn upgrades_under_load_lose_nothing_and_send_nothing_twice() {
    for seed in [3, 11] {
        upgrades_under_load(seed);
    }
}
