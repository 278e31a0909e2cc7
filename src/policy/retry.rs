//! Retries: applies the end of an attempt, decides whether and when a message is sent again or fails.

use super::safety::DEADLINE_MARGIN;
use super::{STEP_INTERVAL, circuit_breaker};
use crate::interface::*;
use crate::state::{EndedAttempt, Message, State};
use std::time::Duration;

/// Backoff before a retry, doubled each time: a destination that fails fast must not use up all attempts.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);
/// Number of attempts up to which the backoff doubles; longer backoffs would use up a message's time.
const BACKOFF_DOUBLING_ATTEMPTS: u8 = 6;
/// Additional delay after a rejection, in backoffs, if all recent attempts were rejected, in proportion if
/// only some were; without it a message would use up its attempts on one route after the other.
const REJECTED_BACKOFFS: f64 = 8.0;
/// Delay, in backoffs, after a shortage on this machine: it lasts a while, and attempts cost processor time.
const LOCAL_FAILURE_BACKOFFS: f64 = 0.4;
/// Window, in seconds, over which the share of rejected attempts is measured.
pub(crate) const REJECTION_WINDOW_SECONDS: usize = 30;
/// Minimum number of attempts assumed for the share of rejected ones; the first rejections then count little.
const REJECTION_ATTEMPTS_MIN: f64 = 20.0;
/// Attempts that may run for a message of weight 0; one more for each multiple of the lowest class weight.
const POSSIBLE_RUNS_MIN: f64 = 2.0;

pub(super) fn end_attempt(state: &mut State, id: MessageId, ended: &EndedAttempt) {
    let is_limited = ended.outcome == Outcome::ConnectionLimit;
    let rejected = Outcome::Rejected { retry_after: Duration::ZERO };
    let outcome = if is_limited { rejected } else { ended.outcome };
    let Some(number) = state.take_call(id) else { return };
    record_outcome(state, id, outcome, ended.run);
    // Rule 5: an attempt that may still be running delays the other messages of its key. The outcome does not
    // show this: an error may be a response that the relay stopped reading.
    if ended.run == RunState::MayBeRunning {
        state.messages.add_key_hold_off(id, state.now + state.settings.order_hold_off);
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
    let doubled = 2f64.powi(i32::from(message.attempts.clamp(1, BACKOFF_DOUBLING_ATTEMPTS)) - 1);
    let measured = recent.count.max(REJECTION_ATTEMPTS_MIN);
    let backoffs = match outcome {
        Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut => doubled,
        Outcome::Rejected { .. } => doubled - 1.0 + doubled * REJECTED_BACKOFFS * recent.sum / measured,
        Outcome::LocalFailure => LOCAL_FAILURE_BACKOFFS,
        _ => 0.0,
    };
    message.not_before = state.now + RETRY_BACKOFF.mul_f64(backoffs);
    state.recent_rejections.add_flag(state.now, is_rejected);
}

pub(super) fn allows_another_attempt(state: &State, message: &Message) -> bool {
    let class = state.class_of(message);
    // A lowest weight of 0 would allow no attempt for its class, and any number for all others.
    let weights = state.settings.classes.iter().map(|class| class.priority_weight);
    let lowest_weight = weights.filter(|weight| *weight > 0.0).fold(f64::MAX, f64::min);
    let runs = POSSIBLE_RUNS_MIN + (class.priority_weight / lowest_weight).round();
    let is_repeat_safe = class.idempotency == Idempotency::Idempotent
        || message.first_possible_run.is_none()
        || message.remaining_deduplication_time(class, state.now) > Some(DEADLINE_MARGIN * 2);
    let has_attempts = message.attempts < state.settings.max_attempts;
    has_attempts && f64::from(message.possible_runs) < runs && is_repeat_safe
}

/// Fails messages that can't be sent again or are past their deadline, even if their call goes on for others.
pub(super) fn fail_undeliverable_messages(state: &mut State, out: &mut dyn Actions) {
    let undeliverable = state.messages.open().filter(|(_, message)| is_undeliverable(state, message));
    for id in undeliverable.map(|(id, _)| id).collect::<Vec<_>>() {
        let is_acknowledged = out.fail(id);
        state.messages.end(id, is_acknowledged);
    }
}

fn is_undeliverable(state: &State, message: &Message) -> bool {
    if message.call.is_some() {
        return message.deadline + STEP_INTERVAL < state.now;
    }
    message.deadline <= state.now + DEADLINE_MARGIN || !allows_another_attempt(state, message)
}
