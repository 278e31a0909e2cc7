//! Rule 5: messages of one key go in the order of their submission, one at a time, and the next one waits out the
//! hold-off after an attempt that may still be running.

use crate::Time;
use crate::checker::InvariantChecker;
use crate::state::relay::KeyQueue;
use crate::verdict::{Finding, Rule};

/// Checks an attempt of a message against its key's queue.
pub(crate) fn check_attempt(queue: &KeyQueue, message: u64, now: Time) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(first) = queue.messages.front()
        && *first != message
    {
        let reason = format!("sent before message {first} of its key is over");
        findings.push(Finding::new(Rule::KeyOrder, reason));
    }
    if now < queue.hold_off_until && queue.held_by != message {
        let reason = format!("sent while message {} of its key may be running", queue.held_by);
        findings.push(Finding::new(Rule::KeyOrder, reason));
    }
    findings
}

impl InvariantChecker {
    /// An attempt of a message may still be running: the other messages of its key wait.
    pub(crate) fn hold_off_key(&mut self, message: u64) {
        let until = self.now + self.parameters.order_hold_off;
        let Some(state) = self.messages.get(&message) else { return };
        let relay = self.relays.entry(state.relay).or_default();
        if let Some(queue) = relay.key_queues.get_mut(&state.key) {
            queue.hold_off(message, until);
        }
    }

    /// Once no attempt is in flight and its final answer was received, a message is over for its key.
    pub(crate) fn leave_key_queue_if_over(&mut self, message: u64) {
        let over = self
            .messages
            .get(&message)
            .is_some_and(|state| state.final_answer_received && !state.in_flight());
        if over {
            self.leave_key_queue(message);
        }
    }

    /// Takes a message without an attempt in flight out of its key's queue.
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
