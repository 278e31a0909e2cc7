//! Per-key queues: messages with the same key are delivered in the order in which they were submitted.
//!
//! Only the message at the head of a key's queue may be sent, until it is closed. After an attempt that may still be
//! running the key has a hold-off, during which no other message of the key may be sent.

use crate::interface::{MessageId, OrderingKey, OrderingState};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The hold-off of a key while an attempt of a message may still be running.
struct HoldOff {
    message: MessageId,
    until: Duration,
}

#[derive(Default)]
struct KeyQueue {
    messages: VecDeque<MessageId>,
    /// At most one per message: the hold-off of one message must not end with that of another.
    hold_offs: Vec<HoldOff>,
}

impl KeyQueue {
    fn add_hold_off(&mut self, message: MessageId, until: Duration) {
        match self.hold_offs.iter_mut().find(|hold_off| hold_off.message == message) {
            Some(hold_off) => hold_off.until = hold_off.until.max(until),
            None => self.hold_offs.push(HoldOff { message, until }),
        }
    }

    fn ordering_state(&self, message: MessageId, now: Duration) -> OrderingState {
        match self.messages.front() {
            Some(first) if *first != message => return OrderingState::QueuedBehind(*first),
            _ => {}
        }
        // A message does not wait for its own earlier attempt.
        let others =
            self.hold_offs.iter().filter(|hold_off| hold_off.message != message && hold_off.until > now);
        match others.max_by_key(|hold_off| hold_off.until) {
            Some(hold_off) => OrderingState::HeldOff(hold_off.message, hold_off.until),
            None => OrderingState::Next,
        }
    }
}

/// The queues of all keys. Messages without a key are in no queue and always next.
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

    /// Adds a hold-off of the key for all messages but `by`, whose attempt may still be running.
    pub(crate) fn add_hold_off(&mut self, key: Option<OrderingKey>, until: Duration, by: MessageId) {
        if let Some(queue) = key.and_then(|key| self.queues.get_mut(&key)) {
            queue.add_hold_off(by, until);
        }
    }

    /// Returns the end of the hold-off that an attempt of the message `by` started for the key, if one applies.
    pub(crate) fn hold_off_end(
        &self,
        key: Option<OrderingKey>,
        by: MessageId,
        now: Duration,
    ) -> Option<Duration> {
        let queue = self.queues.get(&key?)?;
        let hold_off =
            queue.hold_offs.iter().find(|hold_off| hold_off.message == by && hold_off.until > now)?;
        Some(hold_off.until)
    }

    /// Returns the message's position in the order of its key.
    pub(crate) fn ordering_state(
        &self,
        key: Option<OrderingKey>,
        message: MessageId,
        now: Duration,
    ) -> OrderingState {
        match key.and_then(|key| self.queues.get(&key)) {
            Some(queue) => queue.ordering_state(message, now),
            None => OrderingState::Next,
        }
    }

    /// Returns the number of messages in the key's queue; 1 for a message without a key.
    pub(crate) fn length(&self, key: Option<OrderingKey>) -> usize {
        key.and_then(|key| self.queues.get(&key)).map_or(1, |queue| queue.messages.len())
    }

    pub(crate) fn discard_unused(&mut self, now: Duration) {
        self.queues.retain(|_, queue| {
            queue.hold_offs.retain(|hold_off| hold_off.until > now);
            !queue.messages.is_empty() || !queue.hold_offs.is_empty()
        });
    }
}
