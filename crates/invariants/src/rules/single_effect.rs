//! Rule 2: no message takes effect twice where that does harm, no two of its attempts are in flight at once, and
//! nothing invites a second effect: no attempt, and no rejection that asks the client to submit it again.

use crate::checker::InvariantChecker;
use crate::fact::seconds;
use crate::state::message::{Message, SettledMessage};
use crate::verdict::{Finding, Rule};
use crate::{FinalAnswer, Idempotency, Time};

/// Checks an attempt against the earlier ones of its message. `zone` is that of the endpoint it goes to.
pub(crate) fn check_attempt(
    message: &Message,
    idempotency: Idempotency,
    zone: u8,
    now: Time,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    if message.in_flight() {
        findings.push(Finding::new(Rule::SingleEffect, "a second leg goes out beside the first"));
    }
    if let Some(reason) = harm_of_retry(message, idempotency, zone, now) {
        findings.push(Finding::new(Rule::SingleEffect, reason));
    }
    findings
}

/// Why another attempt could take effect a second time.
fn harm_of_retry(message: &Message, idempotency: Idempotency, zone: u8, now: Time) -> Option<String> {
    let first_run = message.possible_run()?;
    match idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NotIdempotent => {
            Some("sent again, though it may have run and may not be repeated".into())
        }
        Idempotency::WithKey { window, .. } if now > first_run.at + window => {
            Some(format!("sent again {:.3} s after it may have run", seconds(now - first_run.at)))
        }
        Idempotency::WithKey { is_per_zone, .. } => {
            let unknown_there = is_per_zone && first_run.zone != zone;
            unknown_there.then(|| "sent again to endpoints that can't know it".into())
        }
    }
}

/// Checks a final answer: a rejection asks for the message to come again, perhaps to other endpoints.
pub(crate) fn check_final_answer(
    message: &Message,
    idempotency: Idempotency,
    answer: FinalAnswer,
) -> Option<Finding> {
    let may_come_again = match idempotency {
        Idempotency::Idempotent | Idempotency::WithKey { is_per_zone: false, .. } => true,
        Idempotency::WithKey { is_per_zone: true, .. } | Idempotency::NotIdempotent => {
            message.possible_run().is_none()
        }
    };
    if may_come_again || answer == FinalAnswer::Failed {
        return None;
    }
    let reason = "pushed back, though it may have run and coming again would do harm";
    Some(Finding::new(Rule::SingleEffect, reason))
}

impl InvariantChecker {
    /// A message ran at an endpoint, which may be long after it was settled.
    pub(crate) fn executed(&mut self, message: u64, duplicate: bool) {
        if duplicate {
            return;
        }
        let Some(SettledMessage { class, effects }) = self.count_effect(message) else { return };
        if effects < 2 {
            return;
        }
        if self.parameters.classes[usize::from(class)].idempotency == Idempotency::Idempotent {
            self.verdict.harmless_duplicates += u64::from(effects == 2);
        } else {
            let reason = format!("took effect {effects} times");
            self.report_message(message, Finding::new(Rule::SingleEffect, reason));
        }
    }

    /// Counts an effect of a message that is known, and gives back its class and all its effects.
    fn count_effect(&mut self, message: u64) -> Option<SettledMessage> {
        if let Some(state) = self.messages.get_mut(&message) {
            state.effects += 1;
            return Some(SettledMessage { class: state.class, effects: state.effects });
        }
        let settled = self.settled.get_mut(&message)?;
        settled.effects += 1;
        Some(*settled)
    }
}
