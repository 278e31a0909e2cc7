//! Replies to the clients that submitted a held message.
//!
//! The same request may be submitted more than once: a client resends it if its connection was closed meanwhile, and
//! other clients may submit copies. Each of them gets the "accepted" reply only after the message is committed, and the
//! message is withdrawn only when the last of them turns out to be unreachable.

use crate::clients::SubmissionReply;
use async_channel::Sender;
use mountshift::interface::MessageId;
use std::collections::BTreeMap;

/// A client's reply channel and the message whose commit the reply depends on.
struct PendingReply {
    message: MessageId,
    reply_to: Sender<SubmissionReply>,
}

/// The clients that submitted held messages.
#[derive(Default)]
pub(crate) struct Acceptances {
    /// Clients of messages that are not committed yet.
    pending: Vec<PendingReply>,
    /// Number of clients per message that submitted it after the first one.
    additional_clients: BTreeMap<MessageId, u32>,
}

impl Acceptances {
    /// Adds a client that waits for the commit of its message.
    pub(crate) fn add(&mut self, message: MessageId, reply_to: Sender<SubmissionReply>) {
        self.pending.push(PendingReply { message, reply_to });
    }

    /// Adds a further client that submitted the same message. If the message is committed, replies at once.
    pub(crate) fn add_repeat(&mut self, message: MessageId, reply_to: Sender<SubmissionReply>) {
        *self.additional_clients.entry(message).or_default() += 1;
        if self.pending.iter().any(|client| client.message == message) {
            self.add(message, reply_to);
        } else {
            let _ = reply_to.try_send(SubmissionReply::Accepted(message));
        }
    }

    /// Replies to all waiting clients that their messages, now committed, are accepted.
    pub(crate) fn reply_accepted(&mut self) {
        for client in self.pending.drain(..) {
            let _ = client.reply_to.try_send(SubmissionReply::Accepted(client.message));
        }
    }

    /// Replies to all waiting clients that their messages are rejected and may be submitted again. Returns these
    /// messages without duplicates.
    pub(crate) fn reply_rejected(&mut self) -> Vec<MessageId> {
        let mut messages = Vec::new();
        for client in self.pending.drain(..) {
            let _ = client.reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
            if !messages.contains(&client.message) {
                messages.push(client.message);
            }
        }
        for message in &messages {
            self.additional_clients.remove(message);
        }
        messages
    }

    /// Sends the final reply to the clients that wait for the commit of the message; returns whether there were any.
    pub(crate) fn reply_final(&mut self, message: MessageId, answer: SubmissionReply) -> bool {
        let pending_before = self.pending.len();
        self.pending.retain(|client| {
            let is_for_message = client.message == message;
            if is_for_message {
                let _ = client.reply_to.try_send(answer);
            }
            !is_for_message
        });
        self.pending.len() < pending_before
    }

    /// Removes a client that could not be sent the "accepted" reply; returns whether it was the last of the message.
    pub(crate) fn release_client(&mut self, message: MessageId) -> bool {
        match self.additional_clients.get_mut(&message) {
            Some(further) if *further > 0 => {
                *further -= 1;
                false
            }
            _ => true,
        }
    }

    /// Removes a message that is no longer held.
    pub(crate) fn remove(&mut self, message: MessageId) {
        self.additional_clients.remove(&message);
    }
}

#[cfg(test)]
#[path = "acceptance_tests.rs"]
mod tests;
