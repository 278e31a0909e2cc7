//! One endpoint's answer never ends: interim answers (1xx) follow each other at full speed.

use crate::Verdict;
use crate::client::{self, Message};
use crate::endpoint::{Answer, Endpoint};
use crate::platform::{Member, Platform, list_json};
use crate::record::Record;
use crate::relay::{Site, wait_for_pong};
use std::thread;
use std::time::Duration;

/// The page's own figure for an answer that keeps coming.
const ANSWER_BYTES: u64 = 3_000_000_000;
/// Time that an endpoint takes for a message.
const PACE: Duration = Duration::from_millis(250);
/// Messages of one account for the sound destination, which are delivered one after another.
const PAYMENTS: usize = 8;
const DEADLINE_MS: u64 = 5_000;
/// Time after its deadline within which a message must have its end.
const SLACK: Duration = Duration::from_millis(300);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let sound = Endpoint::start(record, "s-1", |_, _| Answer::Run(PACE));
    let spoilt = Endpoint::start(record, "s-2", move |_, calls| {
        if has_trouble && calls == 0 { Answer::EndlessInterim(ANSWER_BYTES) } else { Answer::Run(PACE) }
    });
    let member = |endpoint: &Endpoint, cell| Member {
        id: endpoint.name.clone(),
        address: endpoint.address,
        cell,
        phase: "Ready",
        size: 20.0,
    };
    let members = [member(&sound, 7), member(&spoilt, 8)];
    let platform = Platform::start(record, 41, &members);
    let site = Site::new(record, platform.address, &list_json(41, true, &members));
    let relay = site.start("relay");
    if !relay.wait_until_ready() || !wait_for_pong(site.clients) {
        return Verdict::NotRun(format!("the relay did not get ready: {}", site.log("relay")));
    }
    let mut accepted = Vec::new();
    for number in 1..=PAYMENTS {
        let message = Message {
            key: 0x7f3a_9c21_e0b4_d655,
            id: format!("9b1f03aa5c7e2d{number:02}"),
            class: "order-payment",
            deadline_ms: DEADLINE_MS,
            destination: 7,
            body: format!("payment {number}"),
        };
        let sent_at = record.elapsed();
        if client::hand_in(record, "client", site.clients, &message).as_deref() == Some("+OK") {
            accepted.push((message.id, sent_at));
        }
    }
    let status = Message {
        key: 0,
        id: "5ca1ab1e00000001".into(),
        class: "stock-status",
        deadline_ms: DEADLINE_MS,
        destination: 8,
        body: "stock 12".into(),
    };
    // Not judged: a message that is dropped on a spoilt answer has failed.
    let sent_at = record.elapsed();
    let answer = client::hand_in(record, "client", site.clients, &status);
    if accepted.len() < PAYMENTS || answer.as_deref() != Some("+OK") {
        return Verdict::NotRun("a message was not taken on".into());
    }
    let last_due = sent_at + Duration::from_millis(DEADLINE_MS) + SLACK;
    while record.elapsed() < last_due + Duration::from_millis(200) {
        let answer = client::ping(site.clients);
        let shown = answer.as_deref().unwrap_or("no answer within 400 ms");
        record.line(format!("front: PING: {shown}"));
        thread::sleep(Duration::from_millis(500));
    }
    judge(record, &sound, &platform, &accepted)
}

/// A message that was taken on must be delivered or ended by a notice, at most 300 ms after its time.
fn judge(
    record: &Record,
    endpoint: &Endpoint,
    platform: &Platform,
    accepted: &[(String, Duration)],
) -> Verdict {
    let calls = endpoint.calls();
    let mut lost = Vec::new();
    for (id, sent_at) in accepted {
        let due = *sent_at + Duration::from_millis(DEADLINE_MS) + SLACK;
        let of_message = calls.iter().filter(|call| call.id == *id && call.ran);
        let delivered = of_message.filter_map(|call| call.answered_at).min();
        let notice = platform.notice_of(id).map(|notice| notice.at);
        let end = delivered.into_iter().chain(notice).min();
        record.line(format!("message {id}: due by {due:.3?}; delivered at {delivered:.3?}, notice at {notice:.3?}"));
        if end.is_none_or(|end| end > due) {
            lost.push(id.clone());
        }
    }
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken(format!("lost: {}", lost.join(", "))) }
}
