//! Notifications of final outcomes that are no delivery: sent to the platform, again until each is taken.

use crate::discovery::next_address;
use crate::upstream::{HttpConnection, encode_request, exchange};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::warn;
use mountshift::interface::{MAX_CALL_BYTES, MessageId};
use mountshift_spool::FinalOutcome;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of an answer at most; the platform's are empty.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// An answer that has not come by then will not come.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Between a call that failed and the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Notifications in one call at most.
const MAX_BATCH: usize = 500;
/// The platform took the whole call.
const STATUS_TAKEN: u16 = 204;
/// The platform can't read a notification of the call.
const STATUS_UNREADABLE: u16 = 400;

/// The final outcome of a message, for the platform.
pub(crate) struct Notification {
    pub(crate) message: MessageId,
    /// The id that the client gave the message.
    pub(crate) id: Vec<u8>,
    pub(crate) outcome: FinalOutcome,
}

impl Notification {
    /// The line that tells it on the wire.
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

/// The status of the platform's answer, or why there is none.
type CallResult = Result<u16, String>;

/// How a call ended.
enum CallEnd {
    Answered(CallResult),
    /// The platform is at another address from now on; the call was given up.
    Moved(SocketAddr),
}

/// Sends notifications to the platform.
pub(crate) struct Notifier {
    address: SocketAddr,
    /// Tells of another address from now on.
    moves: Receiver<SocketAddr>,
    queue: Receiver<Notification>,
    /// Taken off the queue, and not taken by the platform yet.
    waiting: Vec<Notification>,
    connection: Option<HttpConnection>,
    consecutive_failures: u32,
    /// Notifications in the next call at most. After a 400 they go one by one, so that one that can't be read does
    /// not hold the others back.
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
            connection: None,
            consecutive_failures: 0,
            batch_limit: MAX_BATCH,
        }
    }

    /// Runs until the queue is closed; `on_taken` hears of every notification that the platform took.
    pub(crate) async fn run(mut self, on_taken: impl Fn(Vec<MessageId>)) {
        while let Some(batch) = self.next_batch().await {
            match self.call_or_move(&batch).await {
                CallEnd::Moved(address) => {
                    // What has no answer yet goes to the new address, before all else.
                    self.move_to(address);
                    self.waiting.splice(0..0, batch);
                }
                CallEnd::Answered(Ok(STATUS_TAKEN)) => {
                    on_taken(batch.iter().map(|notification| notification.message).collect());
                    self.batch_limit = MAX_BATCH.min(self.batch_limit * 2);
                    self.consecutive_failures = 0;
                }
                CallEnd::Answered(result) => self.on_not_taken(batch, result).await,
            }
        }
    }

    /// What goes into the next call; none once the queue is closed.
    async fn next_batch(&mut self) -> Option<Vec<Notification>> {
        if self.waiting.is_empty() {
            self.waiting.push(self.queue.recv().await.ok()?);
        }
        while let Ok(notification) = self.queue.try_recv() {
            self.waiting.push(notification);
        }
        if let Ok(address) = self.moves.try_recv() {
            self.move_to(address);
        }
        let size = self.next_batch_size();
        Some(self.waiting.drain(..size).collect())
    }

    /// How many of those waiting go into the next call: at least one, none that makes it too large.
    fn next_batch_size(&self) -> usize {
        let mut bytes = 0;
        let fitting = self.waiting.iter().take(self.batch_limit).take_while(|notification| {
            bytes += notification.line().len();
            bytes <= MAX_CALL_BYTES
        });
        fitting.count().max(1)
    }

    fn move_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.connection = None;
    }

    async fn call_or_move(&mut self, batch: &[Notification]) -> CallEnd {
        let moves = self.moves.clone();
        let moved = async { CallEnd::Moved(next_address(&moves).await) };
        async { CallEnd::Answered(self.call(batch).await) }.or(moved).await
    }

    async fn call(&mut self, batch: &[Notification]) -> CallResult {
        let body: String = batch.iter().map(Notification::line).collect();
        let bytes = encode_request("POST", "/status", &self.address.to_string(), &[], body.as_bytes());
        let answer =
            exchange(&mut self.connection, self.address, "notices", &bytes, MAX_ANSWER_BYTES, ANSWER_TIMEOUT)
                .await;
        answer.map(|answer| answer.status).map_err(|e| e.to_string())
    }

    async fn on_not_taken(&mut self, batch: Vec<Notification>, result: CallResult) {
        // Logged once, or an outage would fill the log.
        if self.consecutive_failures == 0 {
            warn!("notices: {} of them not taken: {result:?}", batch.len());
        }
        self.consecutive_failures += 1;
        if result == Ok(STATUS_UNREADABLE) {
            self.batch_limit = 1;
        }
        if result.is_err() {
            self.connection = None;
        }
        self.waiting.extend(batch);
        Timer::after(RETRY_PAUSE).await;
    }
}
