//! Tells the platform of ends that are no delivery, again until each is taken.

use crate::upstream::{HttpConnection, encode_request, exchange};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::warn;
use mountshift::interface::MessageId;
use mountshift_spool::FinalOutcome;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const ANSWER_MOST: usize = 64 * 1024;
/// An answer that has not come by then will not come.
const LATE: Duration = Duration::from_millis(1_000);
/// Between a call that failed and the next one.
const PAUSE: Duration = Duration::from_millis(50);
/// Notices in one call at most.
const MANY: usize = 500;

pub struct Notice {
    pub msg: MessageId,
    pub id: Vec<u8>,
    pub end: FinalOutcome,
}

impl Notice {
    fn line(&self) -> String {
        let id = String::from_utf8_lossy(&self.id);
        let line = match self.end {
            FinalOutcome::Failed => json!({"id": id, "state": "failed"}),
            FinalOutcome::Rejected(0) => json!({"id": id, "state": "returned"}),
            FinalOutcome::Rejected(ms) => json!({"id": id, "state": "returned", "after_ms": ms}),
        };
        format!("{line}\n")
    }
}

/// Runs for good; `taken` hears of every notice that the platform took, `moved` tells of another address.
pub async fn deliver(
    mut at: SocketAddr,
    moved: Receiver<SocketAddr>,
    queue: Receiver<Notice>,
    taken: impl Fn(Vec<MessageId>),
) {
    let (mut waiting, mut connection, mut failures) = (Vec::new(), None, 0);
    // After a 400 notices go one by one: one that can't be read must not hold the others back.
    let mut together = MANY;
    loop {
        if waiting.is_empty() {
            let Ok(first) = queue.recv().await else { return };
            waiting.push(first);
        }
        waiting.extend(std::iter::from_fn(|| queue.try_recv().ok()));
        if let Ok(to) = moved.try_recv() {
            (at, connection) = (to, None);
        }
        let part: Vec<Notice> = waiting.drain(..waiting.len().min(together)).collect();
        let left = async {
            let Ok(to) = moved.recv().await else { return std::future::pending().await };
            Err(to)
        };
        let status = match async { Ok(call(at, &part, &mut connection).await) }.or(left).await {
            Ok(status) => status,
            // Guards against notices lost with an address: what has no answer yet goes to the new one.
            Err(to) => {
                (at, connection) = (to, None);
                waiting.splice(0..0, part);
                continue;
            }
        };
        if status == Ok(204) {
            taken(part.iter().map(|n| n.msg).collect());
            (together, failures) = (MANY.min(together * 2), 0);
            continue;
        }
        // Told once, or an outage would fill the log.
        if failures == 0 {
            warn!("notices: {} of them not taken: {status:?}", part.len());
        }
        failures += 1;
        together = if status == Ok(400) { 1 } else { together };
        connection = connection.filter(|_| status.is_ok());
        waiting.extend(part);
        Timer::after(PAUSE).await;
    }
}

async fn call(
    at: SocketAddr,
    part: &[Notice],
    connection: &mut Option<HttpConnection>,
) -> Result<u16, String> {
    let body: String = part.iter().map(Notice::line).collect();
    let bytes = encode_request("POST", "/status", &at.to_string(), &[], body.as_bytes());
    let asked = exchange(connection, at, "notices", &bytes, ANSWER_MOST, LATE).await;
    Ok(asked.map_err(|e| e.to_string())?.status)
}
