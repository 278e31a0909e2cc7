//! Probe: upgrades, restarts and kills in a row, under traffic of the usual clients. `SEED` draws them; with `HANGS=1`
//! some calls take 6 s, longer than a shutdown, and messages have less time.

use crate::Verdict;
use crate::client::{self, Message};
use crate::endpoint::{Answer, Endpoint};
use crate::os;
use crate::platform::{Member, Platform, list_json};
use crate::record::Record;
use crate::relay::{Relay, Site, wait_for_pong};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const DAY: Duration = Duration::from_secs(85);
const SLACK: Duration = Duration::from_millis(300);
const RESTART_GRACE: Duration = Duration::from_millis(1_500);

#[derive(Clone)]
struct Accepted {
    id: String,
    key: u64,
    number: u64,
    sent_at: Duration,
    deadline: Duration,
}

struct Chance(u64);

impl Chance {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let hangs = std::env::var("HANGS").is_ok_and(|text| text == "1");
    let count = Arc::new(AtomicU64::new(seed));
    let endpoints: Vec<Endpoint> = ["s-1", "s-2", "s-3"]
        .iter()
        .map(|name| {
            let count = count.clone();
            Endpoint::start(record, name, move |_, _| {
                let draw = count.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
                match draw % 40 {
                    0 => Answer::Refuse(429, "Retry-After: 0.3\r\n".into()),
                    1 => Answer::Refuse(503, String::new()),
                    2 if !hangs => Answer::Run(Duration::from_millis(900)),
                    2..=4 if hangs => Answer::Run(Duration::from_secs(6)),
                    _ => Answer::Run(Duration::from_millis(20)),
                }
            })
        })
        .collect();
    let members: Vec<Member> = endpoints
        .iter()
        .enumerate()
        .map(|(index, endpoint)| Member {
            id: endpoint.name.clone(),
            address: endpoint.address,
            cell: 7 + (index as u32) / 2,
            phase: "Ready",
            size: 60.0,
        })
        .collect();
    let platform = Platform::start(record, 41, &members);
    let site = Site::new(record, platform.address, &list_json(41, true, &members));
    let mut active = site.start("p0");
    if !active.wait_until_ready() || !wait_for_pong(site.clients) {
        return Verdict::NotRun("not ready".into());
    }
    let over = Arc::new(AtomicBool::new(false));
    let accepted: Arc<Mutex<Vec<Accepted>>> = Arc::default();
    let mut threads = Vec::new();
    for key in 1..=6u64 {
        let (record, address, over, accepted) = (record.clone(), site.clients, over.clone(), accepted.clone());
        let times = if hangs { [7_000, 4_650] } else { [8_000, 5_000] };
        threads.push(thread::spawn(move || run_key(&record, address, key, times, &over, &accepted)));
    }
    let mut excuses: Vec<(Duration, Duration)> = Vec::new();
    let mut chance = Chance(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut number = 0;
    while has_trouble && record.elapsed() < DAY {
        thread::sleep(Duration::from_millis(500 + chance.below(2_500)));
        let kind = chance.below(7);
        record.line(format!("platform: event {kind}"));
        let from = record.elapsed();
        number += 1;
        let name = format!("p{number}");
        match kind {
            0 | 1 => {
                let new = site.start(&name);
                if !new.wait_until_ready() {
                    return Verdict::Broken(format!("{name} not ready: {}", site.log(&name)));
                }
                active.terminate();
                active = new;
            }
            2 | 3 => {
                // The new process is killed, before or behind the SIGTERM to the old one, and started again.
                let mut new = site.start(&name);
                new.wait_until_ready();
                if kind == 2 {
                    thread::sleep(Duration::from_millis(chance.below(800)));
                    new.kill();
                } else {
                    active.signal(os::SIGTERM, "SIGTERM");
                    thread::sleep(Duration::from_millis(chance.below(300)));
                    new.kill();
                }
                record.line(format!("platform: SIGKILL to process {name}"));
                thread::sleep(Duration::from_millis(600));
                number += 1;
                let name = format!("p{number}");
                let new = site.start(&name);
                if !new.wait_until_ready() {
                    return Verdict::Broken(format!("{name} not ready: {}", site.log(&name)));
                }
                excuses.push((from, record.elapsed() + RESTART_GRACE));
                active.terminate();
                active = new;
            }
            4 => {
                record.line("platform: SIGKILL to the active process");
                active.kill();
                thread::sleep(Duration::from_millis(600));
                active = site.start(&name);
                if !active.wait_until_ready() {
                    return Verdict::Broken(format!("{name} not ready: {}", site.log(&name)));
                }
                excuses.push((from, record.elapsed() + RESTART_GRACE));
            }
            5 => {
                active.terminate();
                thread::sleep(Duration::from_millis(600));
                active = site.start(&name);
                if !active.wait_until_ready() {
                    return Verdict::Broken(format!("{name} not ready: {}", site.log(&name)));
                }
                excuses.push((from, record.elapsed() + RESTART_GRACE));
            }
            _ => {
                // The old process is killed beside the new one.
                let new = site.start(&name);
                new.wait_until_ready();
                thread::sleep(Duration::from_millis(chance.below(300)));
                record.line("platform: SIGKILL to the old process");
                active.kill();
                excuses.push((from, record.elapsed() + RESTART_GRACE));
                active = new;
            }
        }
    }
    if !has_trouble {
        thread::sleep(Duration::from_secs(20));
    }
    over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(Duration::from_millis(8_500));
    drop::<Relay>(active);
    judge(record, &endpoints, &platform, &accepted.lock().unwrap(), &excuses)
}

/// Hands in the messages of one key, one after another; every third has the second of the times, in milliseconds. Keys
/// above 4 stand for messages without a key that may be repeated.
fn run_key(
    record: &Record,
    address: SocketAddr,
    key: u64,
    times: [u64; 2],
    over: &AtomicBool,
    accepted: &Mutex<Vec<Accepted>>,
) {
    let mut number = 0;
    while !over.load(Ordering::Relaxed) {
        number += 1;
        let ordered = key <= 4;
        let id = format!("{key:04x}{number:012x}");
        let deadline_ms = times[usize::from(number % 3 == 0)];
        let message = Message {
            key: if ordered { key } else { 0 },
            id: id.clone(),
            class: if ordered { "order-payment" } else { "stock-status" },
            deadline_ms,
            destination: if key % 3 == 0 { 8 } else { 7 },
            body: id.clone(),
        };
        let sent_at = record.elapsed();
        if client::hand_in(record, "client", address, &message).as_deref() == Some("+OK") {
            let deadline = Duration::from_millis(deadline_ms);
            let key = if ordered { key } else { 0 };
            accepted.lock().unwrap().push(Accepted { id, key, number, sent_at, deadline });
        }
        thread::sleep(Duration::from_millis(if ordered { 60 } else { 40 }));
    }
}

fn judge(
    record: &Record,
    endpoints: &[Endpoint],
    platform: &Platform,
    accepted: &[Accepted],
    excuses: &[(Duration, Duration)],
) -> Verdict {
    let mut calls: Vec<_> = endpoints.iter().flat_map(Endpoint::calls).collect();
    calls.sort_by_key(|call| call.at);
    let mut notices: BTreeMap<String, Duration> = BTreeMap::new();
    for notice in platform.notices() {
        notices.entry(notice.id).or_insert(notice.at);
    }
    let mut broken = Vec::new();
    let mut highest: BTreeMap<u64, (u64, String)> = BTreeMap::new();
    let by_id: BTreeMap<&str, &Accepted> = accepted.iter().map(|message| (message.id.as_str(), message)).collect();
    for call in &calls {
        let Some(message) = by_id.get(call.id.as_str()).filter(|message| message.key != 0) else { continue };
        let entry = highest.entry(message.key).or_insert((0, String::new()));
        if message.number < entry.0 {
            broken.push(format!("order: {} called behind {} at {:.3?}", call.id, entry.1, call.at));
        } else {
            *entry = (message.number, call.id.clone());
        }
    }
    for message in accepted {
        let of_message: Vec<_> = calls.iter().filter(|call| call.id == message.id).collect();
        let runs = of_message.iter().filter(|call| call.ran).count();
        if message.key != 0 && runs > 1 {
            broken.push(format!("duplicate: {} ran {runs} times", message.id));
        }
        let mut due = message.sent_at + message.deadline + SLACK;
        for (from, to) in excuses {
            if due >= *from && due < *to {
                due = *to;
            }
        }
        let delivered = of_message.iter().filter(|call| call.ran).filter_map(|call| call.answered_at).min();
        let notice = notices.get(&message.id).copied();
        let end = delivered.into_iter().chain(notice).min();
        if end.is_none_or(|end| end > due) {
            broken.push(format!(
                "lost: {} sent {:.3?} due {due:.3?} delivered {delivered:.3?} notice {notice:.3?}",
                message.id, message.sent_at
            ));
        }
    }
    record.line(format!("{} taken on, {} calls, {} notices", accepted.len(), calls.len(), notices.len()));
    for line in &broken {
        record.line(line);
    }
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken(format!("{} breaches", broken.len())) }
}
