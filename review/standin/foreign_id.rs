//! An upgrade, while a bad client submits the id of another client's open request.

use crate::Verdict;
use crate::client::{self, Message};
use crate::endpoint::{Answer, Endpoint};
use crate::platform::{Member, Platform, list_json};
use crate::record::Record;
use crate::relay::{Site, wait_for_pong};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Number of payments of one account, which are delivered one after another.
const PAYMENTS: usize = 6;
/// Time that the endpoint takes for a payment.
const PACE: Duration = Duration::from_millis(800);
const ACCOUNT: u64 = 0x7f3a_9c21_e0b4_d655;
const DEADLINE_MS: u64 = 12_000;

fn payment(number: usize, id: &str) -> Message {
    Message {
        key: ACCOUNT,
        id: id.to_string(),
        class: "order-payment",
        deadline_ms: DEADLINE_MS,
        destination: 7,
        body: format!("payment {number} of 100 crowns"),
    }
}

fn id_of(number: usize) -> String {
    format!("9b1f03aa5c7e2d{number:02}")
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let endpoint = Endpoint::start(record, "s-1", |_, _| Answer::Run(PACE));
    let member = Member { id: "s-1".into(), address: endpoint.address, cell: 7, phase: "Ready", size: 20.0 };
    let platform = Platform::start(record, 41, std::slice::from_ref(&member));
    let site = Site::new(record, platform.address, &list_json(41, true, &[member]));
    let mut old = site.start("old");
    if !old.wait_until_ready() || !wait_for_pong(site.clients) {
        return Verdict::NotRun(format!("the relay did not get ready: {}", site.log("old")));
    }
    for number in 1..=PAYMENTS {
        let answer = client::hand_in(record, "client", site.clients, &payment(number, &id_of(number)));
        if answer.as_deref() != Some("+OK") {
            return Verdict::NotRun(format!("payment {number} was not taken on"));
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let bad_client = has_trouble.then(|| {
        let (record, address, is_over) = (record.clone(), site.clients, is_over.clone());
        thread::spawn(move || run_bad_client(&record, address, &is_over))
    });
    // The upgrade begins as a payment goes out, so that the old process has a call in flight as it is told to stop.
    let begun = endpoint.calls().len();
    while endpoint.calls().len() == begun {
        thread::sleep(Duration::from_millis(5));
    }
    let new = site.start("new");
    if !new.wait_until_ready() {
        return Verdict::NotRun(format!("the new process did not get ready: {}", site.log("new")));
    }
    old.terminate();
    let resubmissions = run_client(record, &platform, site.clients);
    is_over.store(true, Ordering::Relaxed);
    if let Some(bad_client) = bad_client {
        let _ = bad_client.join();
    }
    judge(record, &endpoint, &platform, &resubmissions)
}

/// Submits, on one new connection after another, a message under the id of the client's last payment, until it is
/// taken on or the day is over.
fn run_bad_client(record: &Record, address: std::net::SocketAddr, is_over: &AtomicBool) {
    let foreign = Message {
        key: 0x1111_1111_1111_1111,
        id: id_of(PAYMENTS),
        class: "order-payment",
        deadline_ms: DEADLINE_MS,
        destination: 7,
        body: "not a payment".into(),
    };
    for _ in 0..200 {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        if client::hand_in(record, "bad client", address, &foreign).as_deref() == Some("+OK") {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// The usual client: hands a payment in again, under a new id, once a notice says that it is returned. Returns the ids
/// of these, with the numbers of their payments.
fn run_client(record: &Record, platform: &Platform, address: std::net::SocketAddr) -> BTreeMap<String, usize> {
    let mut again = BTreeMap::new();
    let mut seen = 0;
    for _ in 0..900 {
        let notices = platform.notices();
        for notice in &notices[seen..] {
            let number = (1..=PAYMENTS).find(|number| id_of(*number) == notice.id);
            if let Some(number) = number.filter(|_| notice.state == "returned") {
                let id = format!("a{:015}", number);
                client::hand_in(record, "client", address, &payment(number, &id));
                again.insert(id, number);
            }
        }
        seen = notices.len();
        thread::sleep(Duration::from_millis(10));
    }
    again
}

fn judge(
    record: &Record,
    endpoint: &Endpoint,
    platform: &Platform,
    resubmissions: &BTreeMap<String, usize>,
) -> Verdict {
    let mut broken = Vec::new();
    for number in 1..=PAYMENTS {
        let body = payment(number, "").body;
        let runs: Vec<String> = endpoint
            .calls()
            .into_iter()
            .filter(|call| call.ran && call.body == body)
            .map(|call| call.id)
            .collect();
        let notice = platform.notice_of(&id_of(number)).map_or("none".to_string(), |notice| notice.state);
        record.line(format!("payment {number}: ran as {runs:?}; notice of {}: {notice}", id_of(number)));
        if runs.len() > 1 {
            broken.push(format!("payment {number} ran {} times ({})", runs.len(), runs.join(", ")));
        }
    }
    record.line(format!("handed in again: {resubmissions:?}"));
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken.join("; ")) }
}

/// Probe: as the case, but the old process delivers the message whose id is used before it ends.
pub fn probe_ended(record: &Record, has_trouble: bool) -> Verdict {
    let endpoint = Endpoint::start(record, "s-1", |_, _| Answer::Run(Duration::from_millis(1_500)));
    let member = Member { id: "s-1".into(), address: endpoint.address, cell: 7, phase: "Ready", size: 20.0 };
    let platform = Platform::start(record, 41, std::slice::from_ref(&member));
    let site = Site::new(record, platform.address, &list_json(41, true, &[member]));
    let mut old = site.start("old");
    if !old.wait_until_ready() || !wait_for_pong(site.clients) {
        return Verdict::NotRun(format!("the relay did not get ready: {}", site.log("old")));
    }
    client::hand_in(record, "client", site.clients, &payment(PAYMENTS, &id_of(PAYMENTS)));
    let is_over = Arc::new(AtomicBool::new(!has_trouble));
    let bad_client = {
        let (record, address, is_over) = (record.clone(), site.clients, is_over.clone());
        thread::spawn(move || run_bad_client(&record, address, &is_over))
    };
    let new = site.start("new");
    if !new.wait_until_ready() {
        return Verdict::NotRun(format!("the new process did not get ready: {}", site.log("new")));
    }
    old.terminate();
    thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::Relaxed);
    let _ = bad_client.join();
    let runs = endpoint.calls().iter().filter(|call| call.ran && call.id == id_of(PAYMENTS)).count();
    if runs > 1 { Verdict::Broken(format!("duplicate: {} ran {runs} times", id_of(PAYMENTS))) } else { Verdict::Held }
}
