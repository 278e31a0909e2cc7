//! Tells the platform of ends that are no delivery, again until each is taken.

use crate::http::{Connection, ask, request};
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

pub struct Notification {
    pub message: MessageId,
    pub id: Vec<u8>,
    pub outcome: FinalOutcome,
}

impl Notification {
    fn line(&self) -> String {
        let id = String::from_utf8_lossy(&self.id);
        let line = match self.outcome {
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
    queue: Receiver<Notification>,
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
        let part: Vec<Notification> = waiting.drain(..waiting.len().min(together)).collect();
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
            taken(part.iter().map(|n| n.message).collect());
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
    part: &[Notification],
    connection: &mut Option<Connection>,
) -> Result<u16, String> {
    let body: String = part.iter().map(Notification::line).collect();
    let bytes = request("POST", "/status", &at.to_string(), &[], body.as_bytes());
    Ok(ask(connection, at, "notices", &bytes, ANSWER_MOST, LATE).await?.status)
}
