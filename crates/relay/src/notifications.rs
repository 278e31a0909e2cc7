//! Notifications of final outcomes other than deliveries, sent to the platform until each one is acknowledged.

use crate::discovery::next_address;
use crate::upstream::{encode_request, exchange};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::warn;
use mountshift::interface::{MAX_CALL_BYTES, MessageId};
use mountshift_spool::FinalOutcome;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of a response in bytes; the platform normally responds without a body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of notifications in a call.
const MAX_BATCH: usize = 500;
/// Status code of a call whose notifications are all acknowledged.
const STATUS_ACKNOWLEDGED: u16 = 204;
/// Status code of a call with an invalid notification.
const STATUS_INVALID: u16 = 400;

/// Notification of the final outcome of a message.
pub(crate) struct Notification {
    pub(crate) message: MessageId,
    /// Id assigned by the client.
    pub(crate) id: Vec<u8>,
    pub(crate) outcome: FinalOutcome,
}

impl Notification {
    /// Encodes the notification as a line.
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

/// Status code of the response, or the error of the call.
type CallResult = Result<u16, String>;

/// Result of a call.
enum CallEnd {
    Answered(CallResult),
    /// The address of the platform has changed; the call was abandoned.
    Moved(SocketAddr),
}

/// Client that sends notifications to the platform.
pub(crate) struct Notifier {
    address: SocketAddr,
    /// Channel of new addresses of the platform.
    moves: Receiver<SocketAddr>,
    queue: Receiver<Notification>,
    /// Notifications removed from the queue but not acknowledged by the platform yet.
    waiting: Vec<Notification>,
    consecutive_failures: u32,
    /// Maximum number of notifications in the next call. Set to 1 after a response with status 400, so that an invalid
    /// notification does not block the others.
    batch_limit: usize,
}

impl Notifier {
    pub(crate) fn new(
        address: SocketAddr,
        moves: Receiver<SocketAddr>,
        queue: Receiver<Notification>,
    ) -> Notifier {
        Notifier {
            address,
            moves,
            queue,
            waiting: Vec::new(),
            consecutive_failures: 0,
            batch_limit: MAX_BATCH,
        }
    }

    /// Runs until the queue is closed; calls `on_acknowledged` with the messages of the acknowledged notifications.
    pub(crate) async fn run(mut self, on_acknowledged: impl Fn(Vec<MessageId>)) {
        while let Some(batch) = self.next_batch().await {
            match self.call_or_move(&batch).await {
                CallEnd::Moved(address) => {
                    // Notifications without a response go to the new address first.
                    self.address = address;
                    self.waiting.splice(0..0, batch);
                }
                CallEnd::Answered(Ok(STATUS_ACKNOWLEDGED)) => {
                    on_acknowledged(batch.iter().map(|notification| notification.message).collect());
                    self.batch_limit = MAX_BATCH.min(self.batch_limit * 2);
                    self.consecutive_failures = 0;
                }
                CallEnd::Answered(result) => self.on_not_acknowledged(batch, result).await,
            }
        }
    }

    /// Returns the notifications of the next call, or `None` once the queue is closed.
    async fn next_batch(&mut self) -> Option<Vec<Notification>> {
        if self.waiting.is_empty() {
            self.waiting.push(self.queue.recv().await.ok()?);
        }
        while let Ok(notification) = self.queue.try_recv() {
            self.waiting.push(notification);
        }
        if let Ok(address) = self.moves.try_recv() {
            self.address = address;
        }
        let size = self.next_batch_size();
        Some(self.waiting.drain(..size).collect())
    }

    /// Returns the number of waiting notifications that fit into the next call, at least one.
    fn next_batch_size(&self) -> usize {
        let mut bytes = 0;
        let fitting = self.waiting.iter().take(self.batch_limit).take_while(|notification| {
            bytes += notification.line().len();
            bytes <= MAX_CALL_BYTES
        });
        fitting.count().max(1)
    }

    async fn call_or_move(&mut self, batch: &[Notification]) -> CallEnd {
        let moves = self.moves.clone();
        let moved = async { CallEnd::Moved(next_address(&moves).await) };
        async { CallEnd::Answered(self.call(batch).await) }.or(moved).await
    }

    /// Sends the notifications on a connection of their own: the response names none of them, so a late copy of an earlier
    /// response on the connection could acknowledge them.
    async fn call(&mut self, batch: &[Notification]) -> CallResult {
        let body: String = batch.iter().map(Notification::line).collect();
        let bytes = encode_request("POST", "/status", &self.address.to_string(), &[], body.as_bytes());
        let response =
            exchange(&mut None, self.address, "notices", &bytes, MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
        response.map(|response| response.status).map_err(|e| e.to_string())
    }

    async fn on_not_acknowledged(&mut self, batch: Vec<Notification>, result: CallResult) {
        // Logged once per series of failures, to bound the log during an outage.
        if self.consecutive_failures == 0 {
            warn!("notices: {} notifications not acknowledged by the platform: {result:?}", batch.len());
        }
        self.consecutive_failures += 1;
        if result == Ok(STATUS_INVALID) {
            self.batch_limit = 1;
        }
        self.waiting.extend(batch);
        Timer::after(RETRY_PAUSE).await;
    }
}
