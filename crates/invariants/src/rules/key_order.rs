//! Rule 5: messages of one key are sent in the order of their submission, one at a time, and the next one waits
//! for the hold-off after an attempt that may still be running.

use crate::Time;
use crate::checker::InvariantChecker;
use crate::state::relay::KeyQueue;
use crate::verdict::{Finding, Rule};

/// Checks an attempt of a message against the queue of its key.
pub(crate) fn check_attempt(queue: &KeyQueue, message: u64, now: Time) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(first) = queue.messages.front()
        && *first != message
    {
        let reason = format!("sent before message {first} of its key is finished");
        findings.push(Finding::new(Rule::KeyOrder, reason));
    }
    if now < queue.hold_off_until && queue.hold_off_message != message {
        let reason = format!("sent while message {} of its key may still be running", queue.hold_off_message);
        findings.push(Finding::new(Rule::KeyOrder, reason));
    }
    findings
}

impl InvariantChecker {
    /// Starts the hold-off of a message's key after an attempt that may still be running.
    pub(crate) fn start_key_hold_off(&mut self, message: u64) {
        let until = self.now + self.parameters.order_hold_off;
        let Some(state) = self.messages.get(&message) else { return };
        let relay = self.relays.entry(state.relay).or_default();
        if let Some(queue) = relay.key_queues.get_mut(&state.key) {
            queue.start_hold_off(message, until);
        }
    }

    /// Removes a message from the queue of its key once its final answer was received and no attempt is in flight.
    pub(crate) fn leave_key_queue_if_finished(&mut self, message: u64) {
        let is_finished = self
            .messages
            .get(&message)
            .is_some_and(|state| state.final_answer_received && !state.in_flight());
        if is_finished {
            self.leave_key_queue(message);
        }
    }

    /// Removes a message without an attempt in flight from the queue of its key.
    pub(crate) fn leave_key_queue(&mut self, message: u64) {
        let Some(state) = self.messages.get(&message) else { return };
        if state.key == 0 || state.in_flight() {
            return;
        }
        let queues = &mut self.relays.entry(state.relay).or_default().key_queues;
        let Some(queue) = queues.get_mut(&state.key) else { return };
        queue.messages.retain(|other| *other != message);
        if queue.messages.is_empty() && queue.hold_off_until <= self.now {
            queues.remove(&state.key);
        }
    }
}
