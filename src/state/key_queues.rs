//! Per-key queues: messages with the same key are delivered in the order in which they were submitted.

use crate::interface::{MessageId, OrderingKey};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Default)]
struct KeyQueue {
    messages: VecDeque<MessageId>,
    hold_off_until: Duration,
    held_off_by: Option<MessageId>,
}

/// The queues of all keys. Messages without a key are in none and always next.
#[derive(Default)]
pub(crate) struct KeyQueues {
    queues: BTreeMap<OrderingKey, KeyQueue>,
}

impl KeyQueues {
    pub(crate) fn push(&mut self, key: OrderingKey, message: MessageId) {
        self.queues.entry(key).or_default().messages.push_back(message);
    }

    pub(crate) fn remove(&mut self, key: Option<OrderingKey>, message: MessageId) {
        if let Some(queue) = key.and_then(|key| self.queues.get_mut(&key)) {
            queue.messages.retain(|queued| *queued != message);
        }
    }

    /// An attempt of `by` may still be running: until then no other message of the key is next.
    pub(crate) fn hold_off(&mut self, key: Option<OrderingKey>, until: Duration, by: MessageId) {
        if let Some(queue) = key.and_then(|key| self.queues.get_mut(&key)) {
            queue.hold_off_until = until;
            queue.held_off_by = Some(by);
        }
    }

    /// Until when an attempt of `by` holds off the rest of the key; none if it does not.
    pub(crate) fn held_off_until(
        &self,
        key: Option<OrderingKey>,
        by: MessageId,
        now: Duration,
    ) -> Option<Duration> {
        let queue = self.queues.get(&key?)?;
        let holds_off = queue.held_off_by == Some(by) && queue.hold_off_until > now;
        holds_off.then_some(queue.hold_off_until)
    }

    pub(crate) fn is_next(&self, key: Option<OrderingKey>, message: MessageId, now: Duration) -> bool {
        let Some(queue) = key.and_then(|key| self.queues.get(&key)) else { return true };
        let is_held_off = queue.hold_off_until > now && queue.held_off_by != Some(message);
        queue.messages.front() == Some(&message) && !is_held_off
    }

    /// How many messages wait for the key; 1 for a message without one.
    pub(crate) fn length(&self, key: Option<OrderingKey>) -> usize {
        key.and_then(|key| self.queues.get(&key)).map_or(1, |queue| queue.messages.len())
    }

    pub(crate) fn discard_unused(&mut self, now: Duration) {
        self.queues.retain(|_, queue| !queue.messages.is_empty() || queue.hold_off_until > now);
    }
}
