//! Time-outs learnt from answer times, and what happens to calls that are overdue by them.

use super::circuit_breaker;
use crate::interface::*;
use crate::state::{Call, CallNumber, State};
use std::time::Duration;

/// No learnt time-out is shorter: garbage collection and lost packets take so long now and then.
const TIMEOUT_MIN: Duration = Duration::from_millis(600);
/// A time-out is so many mean answer times, ...
const TIMEOUT_MEANS: f64 = 6.0;
/// ... and at least so many times the longest answer time: the next one may be longer.
const TIMEOUT_PEAKS: f64 = 1.5;
/// Seconds over which answer times count: as the load changes, older ones mislead.
pub(crate) const RESPONSE_TIME_SECONDS: usize = 24;
/// Answers from which on a time-out is learnt: fewer tell too little of the spread.
const ANSWERS_MIN: f64 = 3.0;
/// The time-out before that, as a multiple of the latency objective: longer answers are of little worth.
const TIMEOUT_OF_OBJECTIVE: f64 = 1.5;
/// A message's time-out is doubled with each that it had, so many times: the next host may be slow too.
const TIMEOUT_DOUBLINGS_MAX: u32 = 4;
/// One call in so many is kept free by cancelling overdue ones: enough for the destinations that answer.
const CALLS_PER_SPARE_CALL: usize = 8;
/// A call with a message that can't be sent again is cancelled after so many time-outs: its one chance.
const NOT_IDEMPOTENT_TIMEOUTS: u32 = 2;

pub(super) fn learnt(state: &State, endpoint: EndpointId) -> Option<Duration> {
    let times = state.endpoints[endpoint].response_times.totals(state.now);
    if times.count < ANSWERS_MIN {
        return None;
    }
    let seconds = (TIMEOUT_MEANS * times.sum / times.count).max(TIMEOUT_PEAKS * times.peak);
    Some(Duration::from_secs_f64(seconds).max(TIMEOUT_MIN))
}

/// The time-out of an attempt for a message that timed out so often before.
pub(super) fn timeout(state: &State, to: EndpointId, class: &MessageClass, timeouts: u32) -> Duration {
    let unknown = class.latency_objective.mul_f64(TIMEOUT_OF_OBJECTIVE).max(TIMEOUT_MIN);
    learnt(state, to).unwrap_or(unknown) * 2u32.pow(timeouts.min(TIMEOUT_DOUBLINGS_MAX))
}

/// A call past its learnt time-out counts as failed, though it is left in flight: shows hosts that hang.
pub(super) fn count_overdue_calls(state: &mut State) {
    for call in state.calls.count_overdue(state.now) {
        state.record_connection(&call, false, true);
        circuit_breaker::call_failed(state, &call);
    }
}

/// Keeps some calls free of hosts that hang: cancels the oldest overdue, those that can't go again later.
pub(super) fn cancel_overdue_calls(state: &mut State, out: &mut dyn Actions) {
    let spare = state.settings.max_calls_in_flight.div_ceil(CALLS_PER_SPARE_CALL);
    let wanted = (state.calls.not_cancelled() + spare).saturating_sub(state.settings.max_calls_in_flight);
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
    !is_risky || state.now >= call.sent_at + call.expected_within * NOT_IDEMPOTENT_TIMEOUTS
}
