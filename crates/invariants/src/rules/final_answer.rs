//! Rule 1: every accepted message gets one final answer, in time, and nothing is sent after it. What a restart
//! finds accepted and untried is still tried.

use crate::checker::InvariantChecker;
use crate::fact::seconds;
use crate::state::message::Message;
use crate::verdict::{Finding, Rule};
use crate::{FinalAnswer, Time};

/// A final answer this long before the deadline was not forced by the deadline.
const EARLY_ANSWER: Time = 100_000;

/// Checks that an attempt does not follow a final answer.
pub(crate) fn check_attempt(message: &Message) -> Option<Finding> {
    message.known_done.then(|| Finding::new(Rule::FinalAnswer, "sent after its end"))
}

impl InvariantChecker {
    /// An attempt started of a message that is not tracked: it was settled, or never submitted.
    pub(crate) fn attempt_of_untracked(&mut self, message: u64) {
        if self.settled.contains_key(&message) {
            self.report(Rule::FinalAnswer, format!("message {message}: sent after its end"), Vec::new());
        }
    }

    /// A relay gave a final answer other than delivery.
    pub(crate) fn final_answer_given(&mut self, message: u64, relay: u32, answer: FinalAnswer) {
        if !self.messages.contains_key(&message) {
            if self.settled.contains_key(&message) {
                let reason = format!("message {message}: ended a second time");
                self.report(Rule::FinalAnswer, reason, Vec::new());
            }
            return;
        }
        self.count_given_up(message);
        for finding in self.check_final_answer(message, relay, answer) {
            self.report_message(message, finding);
        }
        if let Some(state) = self.messages.get_mut(&message) {
            state.known_done = true;
            state.final_answer_given = true;
        }
        self.leave_key_queue_if_over(message);
        self.settle(message);
    }

    fn check_final_answer(&self, message: u64, relay: u32, answer: FinalAnswer) -> Vec<Finding> {
        let Some(state) = self.messages.get(&message) else { return Vec::new() };
        let mut findings = Vec::new();
        if state.known_done {
            findings.push(Finding::new(Rule::FinalAnswer, "ended a second time"));
        }
        if self.answer_is_late(state, relay) {
            let late = seconds(self.now - state.deadline);
            findings.push(Finding::new(Rule::FinalAnswer, format!("ended {late:.3} s after its deadline")));
        }
        let idempotency = self.parameters.classes[usize::from(state.class)].idempotency;
        findings.extend(super::single_effect::check_final_answer(state, idempotency, answer));
        findings
    }

    /// The answer comes after its time, and neither a delivery, a restart nor a stall excuses it.
    fn answer_is_late(&self, message: &Message, relay: u32) -> bool {
        let up_since = self.relays.get(&relay).map_or(0, |relay| relay.up_since);
        let excused = up_since > 0 && self.now <= up_since + self.parameters.restart_slack;
        let in_time = self.now <= message.deadline + self.parameters.answer_slack;
        !in_time && !excused && !message.delivery_answered
    }

    /// Counts a message that a restart found untried and that is given up without an attempt.
    fn count_given_up(&mut self, message: u64) {
        let Some(state) = self.messages.get(&message) else { return };
        if !state.recovered_unattempted
            || !state.attempts.is_empty()
            || self.now + EARLY_ANSWER >= state.deadline
        {
            return;
        }
        self.verdict.failed_unattempted += 1;
        if self.first_given_up.is_empty() {
            self.first_given_up = state.history.clone();
        }
    }

    /// Counts the messages that a restarted relay finds accepted and untried.
    pub(crate) fn count_found_untried(&mut self, relay: u32) {
        let Some(relay) = self.relays.get(&relay) else { return };
        for message in &relay.messages {
            let Some(state) = self.messages.get_mut(message) else { continue };
            if state.is_untried() && !state.recovered_unattempted {
                state.recovered_unattempted = true;
                self.verdict.recovered_unattempted += 1;
            }
        }
    }

    /// Restarts may give up at most half of what they found untried.
    pub(crate) fn check_given_up(&mut self) {
        let (found, given_up) = (self.verdict.recovered_unattempted, self.verdict.failed_unattempted);
        if given_up * 2 > found {
            let history = std::mem::take(&mut self.first_given_up);
            let reason = format!("{given_up} of {found} untried messages given up after restarts");
            self.report(Rule::FinalAnswer, reason, history);
        }
    }

    /// Reports accepted messages that have no final answer though their time is up.
    pub(crate) fn report_lost_messages(&mut self) {
        while let Some((due, message)) = self.due.first().copied()
            && due < self.now
        {
            self.due.pop_first();
            let Some(state) = self.messages.get(&message) else { continue };
            if state.delivery_answered || state.final_answer_given {
                continue;
            }
            let relay = self.relays.entry(state.relay).or_default();
            let excused_until = relay.up_since + self.parameters.restart_slack;
            if relay.down {
                // Nobody can answer it now; it is looked at again.
                self.due.insert((self.now + self.parameters.restart_slack, message));
            } else if relay.up_since > 0 && excused_until >= self.now {
                self.due.insert((excused_until + 1, message));
            } else {
                self.report_lost(message, due);
            }
        }
    }

    fn report_lost(&mut self, message: u64, due: Time) {
        let reason = format!("lost: no end by {:.3} s", seconds(due));
        self.report_message(message, Finding::new(Rule::FinalAnswer, reason));
        if let Some(state) = self.messages.get_mut(&message) {
            state.final_answer_given = true;
        }
    }
}
