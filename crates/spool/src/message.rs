//! The data that the spool holds for a message.

use crate::record::Record;

/// A message as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedMessage {
    /// The id that the client gave the message.
    pub id: Vec<u8>,
    /// The ordering key, 0 for none. Messages of one key may have to be delivered in order.
    pub key: u64,
    /// The fields that the client sent with the message, exactly as sent.
    pub metadata: String,
    /// Time at which the message expires, Unix time in milliseconds.
    pub deadline: u64,
    /// The bytes to deliver.
    pub body: Vec<u8>,
    /// Time of acceptance, Unix time in microseconds; 0 if the log is older than this field. Orders the
    /// messages of one key across two processes that accepted messages at the same time.
    pub accepted_at_us: u64,
}

/// An attempt to deliver a message, recorded before its first byte is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The zone of the endpoint to which the attempt was sent.
    pub zone: String,
    /// Time at which it was sent, Unix time in milliseconds.
    pub at: u64,
    /// False once it is proven that the endpoint did not process the attempt.
    pub may_have_run: bool,
}

/// A final outcome whose notification is still pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The message was not delivered.
    Failed,
    /// The message was rejected, with this Retry-After in milliseconds.
    Rejected(u64),
}

/// A message that the spool still holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMessage {
    /// The message itself.
    pub accepted: AcceptedMessage,
    /// Its attempts so far, the earliest first.
    pub attempts: Vec<AttemptRecord>,
    /// Its final outcome, if the notification of it is pending.
    pub pending_outcome: Option<FinalOutcome>,
}

impl StoredMessage {
    pub(crate) fn new(accepted: AcceptedMessage) -> StoredMessage {
        StoredMessage { accepted, attempts: Vec::new(), pending_outcome: None }
    }

    /// Applies a record of an attempt or an outcome; other records have no effect.
    pub(crate) fn apply(&mut self, record: Record) {
        match record {
            Record::Attempt { attempt, .. } => self.attempts.push(attempt),
            Record::NotProcessed { .. } => {
                if let Some(attempt) = self.attempts.last_mut() {
                    attempt.may_have_run = false;
                }
            }
            Record::Outcome { outcome, .. } => self.pending_outcome = Some(outcome),
            _ => {}
        }
    }

    /// Returns whether nothing more may be sent under the message's id once the message is removed: it may have
    /// run, or it had a final outcome. A message that was withdrawn before that may be submitted again.
    pub(crate) fn uses_up_its_id(&self) -> bool {
        self.pending_outcome.is_some() || self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
}
