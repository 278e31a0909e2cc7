//! Who waits to hear, or has heard, that a message is accepted.
//!
//! One request may come twice: its client sends it once more where the end of a connection crossed it, and other clients may
//! copy it. Each of them hears "accepted" only once the message is committed, and the message is withdrawn only when none is left
//! that has heard so.

use crate::clients::SubmissionReply;
use async_channel::Sender;
use mountshift::interface::MessageId;
use std::collections::BTreeMap;

/// A client that waits for the commit of its message.
struct WaitingClient {
    message: MessageId,
    reply_to: Sender<SubmissionReply>,
}

/// The clients of held messages.
#[derive(Default)]
pub(crate) struct Acceptances {
    /// Those of messages that are not committed.
    waiting: Vec<WaitingClient>,
    /// How many clients beside the first one have handed a message in.
    further_clients: BTreeMap<MessageId, u32>,
}

impl Acceptances {
    /// The first client of a message waits for its commit.
    pub(crate) fn add(&mut self, message: MessageId, reply_to: Sender<SubmissionReply>) {
        self.waiting.push(WaitingClient { message, reply_to });
    }

    /// Another client has handed the same message in. It hears at once that a committed one is accepted.
    pub(crate) fn add_repeat(&mut self, message: MessageId, reply_to: Sender<SubmissionReply>) {
        *self.further_clients.entry(message).or_default() += 1;
        if self.waiting.iter().any(|client| client.message == message) {
            self.add(message, reply_to);
        } else {
            let _ = reply_to.try_send(SubmissionReply::Accepted(message));
        }
    }

    /// Tells all that wait that their messages are accepted, as these are committed.
    pub(crate) fn reply_accepted(&mut self) {
        for client in self.waiting.drain(..) {
            let _ = client.reply_to.try_send(SubmissionReply::Accepted(client.message));
        }
    }

    /// Tells all that wait that they may hand their messages in again, and gives back those messages, each once.
    pub(crate) fn reply_rejected(&mut self) -> Vec<MessageId> {
        let mut messages = Vec::new();
        for client in self.waiting.drain(..) {
            let _ = client.reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
            if !messages.contains(&client.message) {
                messages.push(client.message);
            }
        }
        for message in &messages {
            self.further_clients.remove(message);
        }
        messages
    }

    /// Ends the message for those that wait for its commit; true if there was one.
    pub(crate) fn reply_final(&mut self, message: MessageId, answer: SubmissionReply) -> bool {
        let waited = self.waiting.len();
        self.waiting.retain(|client| {
            let is_its = client.message == message;
            if is_its {
                let _ = client.reply_to.try_send(answer);
            }
            !is_its
        });
        self.waiting.len() < waited
    }

    /// A client did not hear that the message is accepted. True if no other one has handed it in.
    pub(crate) fn release_client(&mut self, message: MessageId) -> bool {
        match self.further_clients.get_mut(&message) {
            Some(further) if *further > 0 => {
                *further -= 1;
                false
            }
            _ => true,
        }
    }

    /// The message is held no longer.
    pub(crate) fn remove(&mut self, message: MessageId) {
        self.further_clients.remove(&message);
    }
}

#[cfg(test)]
#[path = "acceptance_tests.rs"]
mod tests;
