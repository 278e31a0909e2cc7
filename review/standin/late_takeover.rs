//! An upgrade in which the platform gets the new process's yes some seconds after its start, within the time that the
//! page allows.

use crate::Verdict;
use crate::client::{self, Message};
use crate::endpoint::{Answer, Endpoint};
use crate::platform::{Member, Platform, list_json};
use crate::record::Record;
use crate::relay::{Site, wait_for_pong};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// When the platform asks the new process whether it can serve. Its yes is due within 6 s.
const ASKED_AFTER: Duration = Duration::from_millis(5_700);
/// Time of a message: more than a new process asks for, less than it may have to wait.
const DEADLINE_MS: u64 = 4_800;
/// Time after its deadline within which a message must have its end.
const SLACK: Duration = Duration::from_millis(300);
/// Time after SIGTERM within which no notice is overdue. The relay is ready at SIGTERM.
const RESTART_GRACE: Duration = Duration::from_millis(1_500);
const PACE: Duration = Duration::from_millis(50);
const HAND_IN_INTERVAL: Duration = Duration::from_millis(50);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    play_upgrade(record, if has_trouble { ASKED_AFTER } else { Duration::ZERO }, false)
}

/// Probe: the platform asks 2 s after the start, and another destination's endpoint hangs through the shutdown of the
/// old process. Without the disruption that endpoint answers.
pub fn probe_hang(record: &Record, has_trouble: bool) -> Verdict {
    play_upgrade(record, Duration::from_secs(2), has_trouble)
}

fn play_upgrade(record: &Record, asked_after: Duration, hangs: bool) -> Verdict {
    let endpoint = Endpoint::start(record, "s-1", |_, _| Answer::Run(PACE));
    let other = Endpoint::start(record, "s-2", move |_, _| {
        Answer::Run(if hangs { Duration::from_secs(20) } else { PACE })
    });
    let member = |endpoint: &Endpoint, cell| {
        let (id, address) = (endpoint.name.clone(), endpoint.address);
        Member { id, address, cell, phase: "Ready", size: 40.0 }
    };
    let members = [member(&endpoint, 7), member(&other, 8)];
    let platform = Platform::start(record, 41, &members);
    let site = Site::new(record, platform.address, &list_json(41, true, &members));
    let mut old = site.start("old");
    if !old.wait_until_ready() || !wait_for_pong(site.clients) {
        return Verdict::NotRun(format!("the relay did not get ready: {}", site.log("old")));
    }
    if hangs {
        let message = Message {
            key: 0,
            id: "5ca1ab1e00000001".into(),
            class: "stock-status",
            deadline_ms: 8_000,
            destination: 8,
            body: "stock elsewhere".into(),
        };
        client::hand_in(record, "client", site.clients, &message);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let client = {
        let (record, address, is_over) = (record.clone(), site.clients, is_over.clone());
        thread::spawn(move || run_client(&record, address, &is_over))
    };
    let new = site.start("new");
    thread::sleep(asked_after);
    if !new.wait_until_ready() {
        return Verdict::NotRun(format!("the new process did not get ready: {}", site.log("new")));
    }
    let stopped_at = record.elapsed();
    old.terminate();
    thread::sleep(Duration::from_millis(1_000));
    is_over.store(true, Ordering::Relaxed);
    let accepted = client.join().expect("the client");
    thread::sleep(Duration::from_millis(DEADLINE_MS) + SLACK);
    judge(record, &endpoint, &platform, &accepted, stopped_at)
}

/// Hands in one message after another; returns when each of those taken on was sent.
fn run_client(record: &Record, address: SocketAddr, is_over: &AtomicBool) -> BTreeMap<String, Duration> {
    let mut accepted = BTreeMap::new();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("9b1f03aa5c7e{number:04}");
        let body = format!("stock {number}");
        let deadline_ms = DEADLINE_MS;
        let message =
            Message { key: 0, id: id.clone(), class: "stock-status", deadline_ms, destination: 7, body };
        let sent_at = record.elapsed();
        if client::hand_in(record, "client", address, &message).as_deref() == Some("+OK") {
            accepted.insert(id, sent_at);
        }
        thread::sleep(HAND_IN_INTERVAL);
    }
    accepted
}

/// A message that was taken on must be delivered or ended by a notice, at most 300 ms after its time.
fn judge(
    record: &Record,
    endpoint: &Endpoint,
    platform: &Platform,
    accepted: &BTreeMap<String, Duration>,
    stopped_at: Duration,
) -> Verdict {
    let calls = endpoint.calls();
    let mut lost = Vec::new();
    for (id, sent_at) in accepted {
        let mut due = *sent_at + Duration::from_millis(DEADLINE_MS) + SLACK;
        if due >= stopped_at {
            due = due.max(stopped_at + RESTART_GRACE);
        }
        let of_message = calls.iter().filter(|call| call.id == *id && call.ran);
        let delivered = of_message.filter_map(|call| call.answered_at).min();
        let notice = platform.notice_of(id).map(|notice| notice.at);
        let end = delivered.into_iter().chain(notice).min();
        if end.is_none_or(|end| end > due) {
            record.line(format!(
                "message {id} is lost: sent at {sent_at:.3?}, due by {due:.3?}; delivered at {delivered:.3?}, notice at {notice:.3?}"
            ));
            lost.push(id.clone());
        }
    }
    record.line(format!("{} messages were taken on, {} of them are lost", accepted.len(), lost.len()));
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken(format!("lost: {}", lost.join(", "))) }
}
