//! What the spool holds of a message.

/// A message as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedMessage {
    /// The client's id of the message.
    pub id: Vec<u8>,
    /// Messages of one key may have to be delivered in order; 0 for none.
    pub key: u64,
    /// The fields that the client sent with the message, as it wrote them.
    pub metadata: String,
    /// When the message expires, Unix time in milliseconds.
    pub deadline: u64,
    /// The bytes to deliver.
    pub body: Vec<u8>,
    /// When it was accepted, Unix time in microseconds; 0 if the log is older than that field. Orders the
    /// messages of one key across two processes that accepted them side by side.
    pub accepted_at_us: u64,
}

/// An attempt to deliver a message, recorded before its first byte is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The zone of the endpoint that it went to.
    pub zone: String,
    /// When it was sent, Unix time in milliseconds.
    pub at: u64,
    /// False once it is proven that the endpoint did not process it.
    pub may_have_run: bool,
}

/// A final outcome that nobody has been notified of yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The message was not delivered.
    Failed,
    /// The message was rejected; with the Retry-After in milliseconds.
    Rejected(u64),
}

/// A message that is not over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMessage {
    /// The message itself.
    pub accepted: AcceptedMessage,
    /// Its attempts so far, the earliest first.
    pub attempts: Vec<AttemptRecord>,
    /// Its final outcome, where the notification of it is still pending.
    pub pending_outcome: Option<FinalOutcome>,
}

impl StoredMessage {
    pub(crate) fn new(accepted: AcceptedMessage) -> StoredMessage {
        StoredMessage { accepted, attempts: Vec::new(), pending_outcome: None }
    }
}
