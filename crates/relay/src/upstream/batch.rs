//! Batch calls: the encoding of their messages, and the results that their responses name for each message. No I/O.

use super::attempt::CallMessage;
use mountshift::interface::Outcome;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum size of a batch entry without its id, key and body: separators and the digits of the length, rounded up.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 32;

/// Returns an upper bound of the bytes that a message takes in the body of a batch call. The metadata includes the
/// idempotency key.
pub(crate) fn max_batch_entry_bytes(id: &[u8], metadata: &str, body: &[u8]) -> usize {
    id.len() + metadata.len() + body.len() + MAX_ENTRY_OVERHEAD_BYTES
}

/// Encodes the body of a batch call: for each message a line with its id, idempotency key and length, then its body.
pub(super) fn encode_batch(messages: &[CallMessage]) -> Vec<u8> {
    let mut body = Vec::new();
    for message in messages {
        let key = message.idempotency_key.as_deref().unwrap_or("-");
        body.extend(&message.id);
        body.extend(format!(" {key} {}\r\n", message.body.len()).as_bytes());
        body.extend(&message.body);
        body.extend(b"\r\n");
    }
    body
}

/// Result that a batch response names for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BatchResult {
    Delivered,
    /// The message may have run.
    Failed,
    Refused,
    /// The message had ended before.
    Over,
    /// The message has had all its attempts.
    Spent,
}

impl BatchResult {
    fn parse(word: &[u8]) -> BatchResult {
        match word {
            b"delivered" => BatchResult::Delivered,
            b"refused" => BatchResult::Refused,
            b"over" => BatchResult::Over,
            b"spent" => BatchResult::Spent,
            _ => BatchResult::Failed,
        }
    }

    pub(super) fn outcome(self, retry_after: Duration) -> Outcome {
        match self {
            BatchResult::Delivered => Outcome::Delivered,
            BatchResult::Failed => Outcome::Error,
            BatchResult::Refused => Outcome::Rejected { retry_after },
            BatchResult::Over | BatchResult::Spent => Outcome::NotSent,
        }
    }

    /// Returns whether the message is closed: no further attempt of it is made.
    pub(super) fn is_final(self) -> bool {
        matches!(self, BatchResult::Delivered | BatchResult::Over)
    }
}

/// The body of a batch response: one line with an id and a result for each message.
pub(super) struct BatchResponse<'a>(BTreeMap<&'a [u8], BatchResult>);

impl<'a> BatchResponse<'a> {
    pub(super) fn parse(body: &'a [u8]) -> BatchResponse<'a> {
        let mut results = BTreeMap::new();
        for line in body.split(|byte| *byte == b'\n') {
            let mut words = line.split(u8::is_ascii_whitespace).filter(|word| !word.is_empty());
            if let (Some(id), Some(word)) = (words.next(), words.next()) {
                results.insert(id, BatchResult::parse(word));
            }
        }
        BatchResponse(results)
    }

    /// Returns the result of the message with this id, if the response names it.
    pub(super) fn result(&self, id: &[u8]) -> Option<BatchResult> {
        self.0.get(id).copied()
    }
}
