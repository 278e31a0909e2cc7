//! What the spool holds of a message.

/// A message as it was handed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedMessage {
    pub id: Vec<u8>,
    pub key: u64,
    /// What came with it.
    pub metadata: String,
    /// Unix time in milliseconds.
    pub deadline: u64,
    pub body: Vec<u8>,
    /// When it was taken on, Unix time in microseconds; 0 if the log is older than that. Orders the messages
    /// of one key across two processes that took them on side by side.
    pub accepted_at_us: u64,
}

/// A leg, noted before its first byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    pub zone: String,
    /// Unix time in milliseconds.
    pub at: u64,
    pub may_have_run: bool,
}

/// An end that a message got and that has not been taken yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    Failed,
    /// With the pause in milliseconds.
    Rejected(u64),
}

/// A message that is not over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMessage {
    pub accepted: AcceptedMessage,
    pub attempts: Vec<AttemptRecord>,
    pub pending_outcome: Option<FinalOutcome>,
}
