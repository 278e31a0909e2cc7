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
    pub(crate) fn add_further(&mut self, message: MessageId, reply_to: Sender<SubmissionReply>) {
        *self.further_clients.entry(message).or_default() += 1;
        if self.waiting.iter().any(|client| client.message == message) {
            self.add(message, reply_to);
        } else {
            let _ = reply_to.try_send(SubmissionReply::Accepted(message));
        }
    }

    /// Tells all that wait that their messages are accepted, as these are committed.
    pub(crate) fn tell_accepted(&mut self) {
        for client in self.waiting.drain(..) {
            let _ = client.reply_to.try_send(SubmissionReply::Accepted(client.message));
        }
    }

    /// Tells all that wait that they may hand their messages in again, and gives back those messages, each once.
    pub(crate) fn tell_rejected(&mut self) -> Vec<MessageId> {
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
    pub(crate) fn tell_end(&mut self, message: MessageId, answer: SubmissionReply) -> bool {
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
    pub(crate) fn was_last_client(&mut self, message: MessageId) -> bool {
        match self.further_clients.get_mut(&message) {
            Some(further) if *further > 0 => {
                *further -= 1;
                false
            }
            _ => true,
        }
    }

    /// The message is held no longer.
    pub(crate) fn forget(&mut self, message: MessageId) {
        self.further_clients.remove(&message);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_channel::Receiver;

    const MESSAGE: MessageId = MessageId(3);

    fn client() -> (Sender<SubmissionReply>, Receiver<SubmissionReply>) {
        async_channel::bounded(1)
    }

    #[test]
    fn all_clients_of_a_message_hear_of_its_commit() {
        let mut acceptances = Acceptances::default();
        let (first, further, late) = (client(), client(), client());
        acceptances.add(MESSAGE, first.0);
        acceptances.add_further(MESSAGE, further.0);
        assert!(first.1.is_empty() && further.1.is_empty(), "not before");
        acceptances.tell_accepted();
        acceptances.add_further(MESSAGE, late.0);
        for heard in [first.1, further.1, late.1] {
            assert_eq!(heard.try_recv(), Ok(SubmissionReply::Accepted(MESSAGE)));
        }
        assert_eq!([(); 3].map(|()| acceptances.was_last_client(MESSAGE)), [false, false, true]);
    }

    #[test]
    fn a_message_that_is_not_committed_is_rejected_once_and_for_all() {
        let mut acceptances = Acceptances::default();
        let (first, further) = (client(), client());
        acceptances.add(MESSAGE, first.0);
        acceptances.add_further(MESSAGE, further.0);
        assert_eq!(acceptances.tell_rejected(), [MESSAGE]);
        for heard in [first.1, further.1] {
            assert_eq!(heard.try_recv(), Ok(SubmissionReply::Rejected { retry_after_ms: 0 }));
        }
        assert!(acceptances.was_last_client(MESSAGE));
    }
}
