//! Timeouts learned from response times, and the handling of calls that exceed them.

use super::circuit_breaker;
use crate::interface::*;
use crate::state::{Call, CallNumber, State};
use std::time::Duration;

/// Shortest timeout: garbage collection or lost packets occasionally delay a response by that much.
const TIMEOUT_MIN: Duration = Duration::from_millis(600);
/// Learned timeout, as a multiple of the mean response time.
const TIMEOUT_MEAN_FACTOR: f64 = 6.0;
/// Lower bound of the learned timeout, as a multiple of the longest response time: the next may be longer.
const TIMEOUT_PEAK_FACTOR: f64 = 1.5;
/// Window, in seconds, over which response times count; older ones mislead as the load changes.
pub(crate) const RESPONSE_TIME_WINDOW_SECONDS: usize = 24;
/// Minimum number of responses for a learned timeout; fewer do not show the spread.
const TIMEOUT_RESPONSES_MIN: f64 = 3.0;
/// Timeout until one is learned, as a multiple of the latency objective: later deliveries earn little weight.
const TIMEOUT_OBJECTIVE_FACTOR: f64 = 1.5;
/// Maximum number of times that a message's timeout is doubled, once for each earlier timeout of the message:
/// the next host may be slow too.
const TIMEOUT_DOUBLINGS_MAX: u32 = 4;
/// Allowed calls per call that is kept free, by cancelling overdue ones, for destinations that respond.
const CALLS_PER_SPARE_CALL: usize = 8;
/// Time after which a call with a message that can't be sent again is cancelled, in timeouts of the call:
/// it is the message's only attempt.
const NOT_IDEMPOTENT_TIMEOUT_FACTOR: u32 = 2;

pub(super) fn learned(state: &State, endpoint: EndpointId) -> Option<Duration> {
    let times = state.endpoints[endpoint].response_times.totals(state.now);
    if times.count < TIMEOUT_RESPONSES_MIN {
        return None;
    }
    let seconds = (TIMEOUT_MEAN_FACTOR * times.sum / times.count).max(TIMEOUT_PEAK_FACTOR * times.peak);
    Some(Duration::from_secs_f64(seconds).max(TIMEOUT_MIN))
}

/// Returns the timeout of an attempt for a message with this number of earlier timeouts.
pub(super) fn for_attempt(state: &State, to: EndpointId, class: &MessageClass, timeouts: u32) -> Duration {
    let unknown = class.latency_objective.mul_f64(TIMEOUT_OBJECTIVE_FACTOR).max(TIMEOUT_MIN);
    learned(state, to).unwrap_or(unknown) * 2u32.pow(timeouts.min(TIMEOUT_DOUBLINGS_MAX))
}

/// Counts calls past their timeout as failed and leaves them in flight, which detects hung hosts early.
pub(super) fn count_overdue_calls(state: &mut State) {
    for call in state.calls.count_overdue(state.now) {
        state.record_connection(&call, false, true);
        circuit_breaker::record_failure(state, &call);
    }
}

/// Cancels the oldest overdue calls so that hung hosts do not take all calls; calls with a message that can't
/// be sent again are cancelled later.
pub(super) fn cancel_overdue_calls(state: &mut State, out: &mut dyn Actions) {
    let spare = state.settings.max_calls_in_flight.div_ceil(CALLS_PER_SPARE_CALL);
    let wanted = (state.calls.uncancelled() + spare).saturating_sub(state.settings.max_calls_in_flight);
    if wanted == 0 || !state.settings.may_cancel {
        return;
    }
    let may_cancel = state.calls.iter().filter(|(number, call)| may_cancel(state, *number, call));
    for number in may_cancel.map(|(number, _)| number).take(wanted).collect::<Vec<_>>() {
        for (id, message) in state.messages.carried_by(number) {
            out.cancel(id, AttemptNumber(message.attempts - 1));
        }
        state.calls.mark_cancelled(number);
    }
}

fn may_cancel(state: &State, number: CallNumber, call: &Call) -> bool {
    if call.cancelled || !call.is_overdue(state.now) {
        return false;
    }
    let not_idempotent = |message| state.class_of(message).idempotency == Idempotency::NotIdempotent;
    let is_risky = state.messages.carried_by(number).any(|(_, message)| not_idempotent(message));
    !is_risky || state.now >= call.sent_at + call.overdue_after * NOT_IDEMPOTENT_TIMEOUT_FACTOR
}
