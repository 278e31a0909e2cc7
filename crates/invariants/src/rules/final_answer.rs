//! Rule 1: every accepted message gets exactly one final answer, in time, and nothing is sent after it. Messages
//! that a restarted relay recovers as accepted and unattempted are still attempted.

use crate::checker::InvariantChecker;
use crate::fact::seconds;
use crate::state::message::Message;
use crate::verdict::{Finding, Rule};
use crate::{FinalAnswer, Time};

/// Time before the deadline, in microseconds. An earlier final answer has another reason than the deadline.
const EARLY_ANSWER_MARGIN: Time = 100_000;

/// Checks that an attempt does not follow a final answer.
pub(crate) fn check_attempt(message: &Message) -> Option<Finding> {
    message.has_ended.then(|| Finding::new(Rule::FinalAnswer, "sent after its final answer"))
}

impl InvariantChecker {
    /// Checks an attempt of a message that is settled or was never submitted.
    pub(crate) fn check_untracked_attempt(&mut self, message: u64) {
        if self.settled.contains_key(&message) {
            self.report(
                Rule::FinalAnswer,
                format!("message {message}: sent after its final answer"),
                Vec::new(),
            );
        }
    }

    /// Records and checks a final answer other than delivery.
    pub(crate) fn record_final_answer(&mut self, message: u64, relay: u32, answer: FinalAnswer) {
        if !self.messages.contains_key(&message) {
            if self.settled.contains_key(&message) {
                let reason = format!("message {message}: got a second final answer");
                self.report(Rule::FinalAnswer, reason, Vec::new());
            }
            return;
        }
        self.count_failed_unattempted(message);
        for finding in self.check_final_answer(message, relay, answer) {
            self.report_message(message, finding);
        }
        if let Some(state) = self.messages.get_mut(&message) {
            state.has_ended = true;
            state.final_answer_given = true;
        }
        self.leave_key_queue_if_finished(message);
        self.settle(message);
    }

    fn check_final_answer(&self, message: u64, relay: u32, answer: FinalAnswer) -> Vec<Finding> {
        let Some(state) = self.messages.get(&message) else { return Vec::new() };
        let mut findings = Vec::new();
        if state.has_ended {
            findings.push(Finding::new(Rule::FinalAnswer, "got a second final answer"));
        }
        if self.is_answer_late(state, relay) {
            let late = seconds(self.now - state.deadline);
            findings.push(Finding::new(
                Rule::FinalAnswer,
                format!("final answer {late:.3} s after its deadline"),
            ));
        }
        let idempotency = self.parameters.classes[usize::from(state.class)].idempotency;
        findings.extend(super::single_effect::check_final_answer(state, idempotency, answer));
        findings
    }

    /// Returns whether an answer now is late and neither a delivery, a restart nor a stall excuses it.
    fn is_answer_late(&self, message: &Message, relay: u32) -> bool {
        let up_since = self.relays.get(&relay).map_or(0, |relay| relay.up_since);
        let excused = up_since > 0 && self.now <= up_since + self.parameters.restart_slack;
        let in_time = self.now <= message.deadline + self.parameters.answer_slack;
        !in_time && !excused && !message.delivery_answered
    }

    /// Counts a recovered message that gets its final answer well before the deadline without an attempt.
    fn count_failed_unattempted(&mut self, message: u64) {
        let Some(state) = self.messages.get(&message) else { return };
        if !state.recovered_unattempted
            || !state.attempts.is_empty()
            || self.now + EARLY_ANSWER_MARGIN >= state.deadline
        {
            return;
        }
        self.verdict.failed_unattempted += 1;
        if self.first_failed_unattempted.is_empty() {
            self.first_failed_unattempted = state.history.clone();
        }
    }

    /// Counts the messages that a restarted relay recovers as accepted and unattempted.
    pub(crate) fn count_recovered_unattempted(&mut self, relay: u32) {
        let Some(relay) = self.relays.get(&relay) else { return };
        for message in &relay.messages {
            let Some(state) = self.messages.get_mut(message) else { continue };
            if state.is_unattempted() && !state.recovered_unattempted {
                state.recovered_unattempted = true;
                self.verdict.recovered_unattempted += 1;
            }
        }
    }

    /// Checks that at most half of the messages recovered unattempted failed without an attempt.
    pub(crate) fn check_failed_unattempted(&mut self) {
        let (recovered, failed) = (self.verdict.recovered_unattempted, self.verdict.failed_unattempted);
        if failed * 2 > recovered {
            let history = std::mem::take(&mut self.first_failed_unattempted);
            let reason = format!("{failed} of {recovered} unattempted messages failed after restarts");
            self.report(Rule::FinalAnswer, reason, history);
        }
    }

    /// Reports accepted messages that have no final answer after their deadline and slack.
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
                // No process can answer it now; check again later.
                self.due.insert((self.now + self.parameters.restart_slack, message));
            } else if relay.up_since > 0 && excused_until >= self.now {
                self.due.insert((excused_until + 1, message));
            } else {
                self.report_lost(message, due);
            }
        }
    }

    fn report_lost(&mut self, message: u64, due: Time) {
        let reason = format!("lost: no final answer by {:.3} s", seconds(due));
        self.report_message(message, Finding::new(Rule::FinalAnswer, reason));
        if let Some(state) = self.messages.get_mut(&message) {
            state.final_answer_given = true;
        }
    }
}
