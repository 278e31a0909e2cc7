//! Retries: what an attempt's end tells, whether and when the message may be sent again, when it is given up.

use super::safety::DEADLINE_MARGIN;
use super::{STEP_INTERVAL, circuit_breaker};
use crate::interface::*;
use crate::state::{EndedAttempt, Message, State};
use std::time::Duration;

/// The backoff before a retry, doubled with each: attempts must not be used up at once on what fails fast.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);
/// Attempts up to which the backoff is doubled: longer ones would use up the time of a message.
const DOUBLED_TO_ATTEMPT: u8 = 6;
/// Backoffs added after a rejection if all attempts are rejected: else attempts are used up route by route.
const REJECTED_BACKOFFS: f64 = 8.0;
/// Backoffs after a shortage of this machine: it lasts a while, and each try costs processor time.
const LOCAL_FAILURE_BACKOFFS: f64 = 0.4;
/// Seconds over which the share of rejected attempts is measured, ...
pub(crate) const REJECTION_SECONDS: usize = 30;
/// ... of at least so many, so that the first rejections weigh little.
const ATTEMPTS_MEASURED_MIN: f64 = 20.0;
/// Attempts that may run for a message of no weight; one more for each multiple of the least weight.
const RUNS_MIN: f64 = 2.0;

pub(super) fn attempt_ended(state: &mut State, id: MessageId, ended: &EndedAttempt) {
    let is_limited = ended.outcome == Outcome::ConnectionLimit;
    let rejected = Outcome::Rejected { retry_after: Duration::ZERO };
    let outcome = if is_limited { rejected } else { ended.outcome };
    let Some(number) = state.take_call(id) else { return };
    record_outcome(state, id, outcome, ended.run);
    // Rule 5: an attempt that may still be running holds back the rest of its key for a while. Not asked of the outcome:
    // an error may be an answer that the relay gave up.
    if ended.run == RunState::MayBeRunning {
        state.messages.hold_off_key(id, state.now + state.settings.order_hold_off);
    }
    if ended.closed || state.messages[id].ended {
        state.messages.close(id);
    }
    if let Outcome::Rejected { retry_after } = outcome {
        state.extend_retry_after(ended.endpoint, retry_after);
    }
    let Some(call) = state.calls.end_attempt(number, ended.endpoint) else { return };
    let was_refused = is_limited || outcome == Outcome::ConnectFailed;
    let was_lost = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
    state.record_connection(&call, was_refused, was_lost);
    circuit_breaker::record_result(state, &call, ended.elapsed, outcome);
}

fn record_outcome(state: &mut State, id: MessageId, outcome: Outcome, run: RunState) {
    let is_rejected = matches!(outcome, Outcome::Rejected { .. });
    let recent = state.recent_rejections.totals(state.now);
    let Some(message) = state.messages.get_mut(id) else { return };
    message.record_outcome(outcome, run);
    let doubled = 2f64.powi(i32::from(message.attempts.clamp(1, DOUBLED_TO_ATTEMPT)) - 1);
    let measured = recent.count.max(ATTEMPTS_MEASURED_MIN);
    let backoffs = match outcome {
        Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut => doubled,
        Outcome::Rejected { .. } => doubled - 1.0 + doubled * REJECTED_BACKOFFS * recent.sum / measured,
        Outcome::LocalFailure => LOCAL_FAILURE_BACKOFFS,
        _ => 0.0,
    };
    message.not_before = state.now + RETRY_BACKOFF.mul_f64(backoffs);
    state.recent_rejections.add_flag(state.now, is_rejected);
}

pub(super) fn may_try_again(state: &State, message: &Message) -> bool {
    let class = state.class_of(message);
    // A class of no weight is no measure: it would allow itself no attempt, and the others any number.
    let weights = state.settings.classes.iter().map(|class| class.priority_weight);
    let least_weight = weights.filter(|weight| *weight > 0.0).fold(f64::MAX, f64::min);
    let runs = RUNS_MIN + (class.priority_weight / least_weight).round();
    let is_repeat_safe = class.idempotency == Idempotency::Idempotent
        || message.first_possible_run.is_none()
        || message.deduplication_left(class, state.now) > Some(DEADLINE_MARGIN * 2);
    let has_attempts = message.attempts < state.settings.max_attempts;
    has_attempts && f64::from(message.possible_runs) < runs && is_repeat_safe
}

/// Fails what can't be sent again or is out of time, even in a call that goes on for others.
pub(super) fn fail_spent_messages(state: &mut State, out: &mut dyn Actions) {
    let spent = state.messages.open().filter(|(_, message)| is_spent(state, message));
    for id in spent.map(|(id, _)| id).collect::<Vec<_>>() {
        let is_taken = out.fail(id);
        state.messages.end(id, is_taken);
    }
}

fn is_spent(state: &State, message: &Message) -> bool {
    if message.call.is_some() {
        return message.deadline + STEP_INTERVAL < state.now;
    }
    message.deadline <= state.now + DEADLINE_MARGIN || !may_try_again(state, message)
}
