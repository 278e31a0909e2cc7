//! Rule 2: no message takes effect twice where that does harm, no two of its attempts are in flight at once, and
//! neither an attempt nor a rejection (after which the client submits it again) risks a harmful second effect.

use crate::checker::InvariantChecker;
use crate::fact::seconds;
use crate::state::message::{Message, SettledMessage};
use crate::verdict::{Finding, Rule};
use crate::{FinalAnswer, Idempotency, Time};

/// Checks an attempt against the earlier ones of its message. `zone` is the zone of its endpoint.
pub(crate) fn check_attempt(
    message: &Message,
    idempotency: Idempotency,
    zone: u8,
    now: Time,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    if message.in_flight() {
        findings
            .push(Finding::new(Rule::SingleEffect, "a second attempt started while another is in flight"));
    }
    if let Some(reason) = retry_harm(message, idempotency, zone, now) {
        findings.push(Finding::new(Rule::SingleEffect, reason));
    }
    findings
}

/// Returns the reason why another attempt could do harm by a second effect.
fn retry_harm(message: &Message, idempotency: Idempotency, zone: u8, now: Time) -> Option<String> {
    let first_run = message.possible_run()?;
    match idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NotIdempotent => Some("sent again, though it may have run and is not idempotent".into()),
        Idempotency::WithKey { window, .. } if now > first_run.at + window => {
            Some(format!("sent again {:.3} s after it may have run", seconds(now - first_run.at)))
        }
        Idempotency::WithKey { is_per_zone, .. } => {
            let is_unrecognised = is_per_zone && first_run.zone != zone;
            is_unrecognised.then(|| "sent again to a zone that does not recognise the repeat".into())
        }
    }
}

/// Checks a final answer: after a rejection the client submits the message again, perhaps to other endpoints.
pub(crate) fn check_final_answer(
    message: &Message,
    idempotency: Idempotency,
    answer: FinalAnswer,
) -> Option<Finding> {
    let is_resubmission_safe = match idempotency {
        Idempotency::Idempotent | Idempotency::WithKey { is_per_zone: false, .. } => true,
        Idempotency::WithKey { is_per_zone: true, .. } | Idempotency::NotIdempotent => {
            message.possible_run().is_none()
        }
    };
    if is_resubmission_safe || answer == FinalAnswer::Failed {
        return None;
    }
    let reason = "rejected, though it may have run and a repeat would do harm";
    Some(Finding::new(Rule::SingleEffect, reason))
}

impl InvariantChecker {
    /// Records that an endpoint processed a message, perhaps long after it was settled.
    pub(crate) fn record_execution(&mut self, message: u64, duplicate: bool) {
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

    /// Counts an effect of a known message; returns its class and its number of effects.
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
