//! The one place where the six rules are enforced: every send passes here, whatever other modules decided.

use super::{retry, timeouts};
use crate::interface::*;
use crate::state::{CallDraft, Endpoint, Message, PossibleRun, Route, State};
use std::time::Duration;

/// Nothing is sent so shortly before a deadline: its answer would come too late.
pub(super) const DEADLINE_MARGIN: Duration = Duration::from_millis(40);
/// An attempt may take this share of the time left even if it is overdue: a slow host keeps answering.
const PATIENCE: f64 = 0.8;

/// Sends an attempt in the call if all rules allow it.
pub(super) fn send(state: &mut State, id: MessageId, call: &mut CallDraft, out: &mut dyn Actions) -> bool {
    let Some(message) = state.messages.get(id) else { return false };
    let Some(endpoint) = state.endpoints.get(call.endpoint) else { return false };
    let now = state.now;
    let keeps_rules = keeps_deadline(message, endpoint, now) // rule 1
        && may_repeat(state, message, endpoint) // rule 2
        && keeps_slow_start(&state.routes[endpoint.route]) // rule 4
        && state.messages.is_turn(id, message, now) // rule 5
        && may_send_to(state, call.endpoint, now); // rules 3 and 6
    if !keeps_rules {
        return false;
    }
    let timeout = timeouts::timeout(state, call.endpoint, state.class_of(message), message.timeouts);
    let limit = attempt_limit(state, message, timeout);
    call.add(message.deadline - now, timeout, message.batch_entry_bytes);
    let run = PossibleRun { at: now, zone: endpoint.zone };
    if let Some(message) = state.messages.get_mut(id) {
        message.record_sent(call.number, run);
    }
    out.send(id, call.endpoint, limit);
    true
}

/// Rule 1: each message has one final outcome, in time, at its own destination.
fn keeps_deadline(message: &Message, endpoint: &Endpoint, now: Duration) -> bool {
    let is_in_time = message.deadline > now + DEADLINE_MARGIN;
    !message.ended && is_in_time && message.destination == endpoint.route.destination
}

/// Rule 2: no message runs twice where that does harm, nor where the repeat is not recognised.
fn may_repeat(state: &State, message: &Message, endpoint: &Endpoint) -> bool {
    let is_known_in_zone = message.first_possible_run.is_none_or(|run| run.zone == endpoint.zone);
    let is_recognised = match state.class_of(message).idempotency {
        Idempotency::WithKey { scope: DeduplicationScope::SameZone, .. } => is_known_in_zone,
        _ => true,
    };
    message.call.is_none() && retry::may_try_again(state, message) && is_recognised
}

/// Rules 3 and 6. The drain grace is not used: discovery may have told long before its list was heard, as it
/// was down, or this process was.
pub(super) fn may_send_to(state: &State, to: EndpointId, now: Duration) -> bool {
    let Some(endpoint) = state.endpoints.get(to) else { return false };
    endpoint.unavailable_since.is_none() && now >= state.routes[endpoint.route].retry_after_until
}

/// Rules 2 and 5, where the state folder can't be written: an attempt that no later process will know of is sent only
/// where a repeat does no harm and comes into nobody's turn. What may run once, within a window or in order waits for
/// the folder, at most until its deadline.
pub(super) fn may_send_without_record(state: &State, id: MessageId) -> bool {
    let Some(message) = state.messages.get(id) else { return false };
    state.class_of(message).idempotency == Idempotency::Idempotent && message.key.is_none()
}

/// Rule 5 across processes: until when the next process has to know of a message that is closed, as an attempt of it
/// may still be running and holds off the rest of its key. None if it need not.
pub(super) fn record_needed_until(
    state: &State,
    id: MessageId,
    now: Duration,
    attempt: ClosingAttempt,
) -> Option<Duration> {
    let message = state.messages.get(id)?;
    message.key?;
    let hold_off = state.settings.order_hold_off;
    match attempt {
        ClosingAttempt::InFlight if message.call.is_some() => Some(message.deadline.max(now) + hold_off),
        // The decisions hear of this end later in the step.
        ClosingAttempt::Ended(RunState::MayBeRunning) => Some(now + hold_off),
        _ => state.messages.holds_key_off_until(id, now),
    }
}

/// The rules again, right before the first byte of an attempt that was decided a while ago.
pub(super) fn check_before_send(
    state: &State,
    id: MessageId,
    to: EndpointId,
    now: Duration,
) -> Result<(), SendError> {
    let message = state.messages.get(id).filter(|message| !message.ended).ok_or(SendError::Ended)?;
    let class = state.class_of(message);
    if message.deadline <= now {
        return Err(SendError::DeadlinePassed);
    }
    // The attempt itself is one of those that may run.
    let is_repeat = message.possible_runs > 1;
    if is_repeat && class.idempotency == Idempotency::NotIdempotent {
        return Err(SendError::UnsafeRepeat);
    }
    if is_repeat && message.deduplication_left(class, now) == Some(Duration::ZERO) {
        return Err(SendError::DeduplicationExpired);
    }
    if !state.messages.is_turn(id, message, now) {
        return Err(SendError::OutOfOrder);
    }
    if may_send_to(state, to, now) { Ok(()) } else { Err(SendError::EndpointUnavailable) }
}

/// Rule 4: within the budget of its slow start, or as a trial.
fn keeps_slow_start(route: &Route) -> bool {
    route.slow_start_since.is_none() || route.slow_start_budget.tokens > 0.0 || !route.is_closed()
}

/// How long the host waits for the answer. An overdue attempt counts at once and is cut later: a slow host
/// goes on answering, though this learns late of one that fell silent.
fn attempt_limit(state: &State, message: &Message, timeout: Duration) -> Duration {
    let class = state.class_of(message);
    let left = message.deadline - state.now;
    let patient = left.mul_f64(PATIENCE).max(timeout).min(left);
    let limit = if class.idempotency == Idempotency::NotIdempotent { left } else { patient };
    // A repeat must arrive while it is recognised, also if its connection comes up late or is held up.
    match message.deduplication_left(class, state.now) {
        Some(recognised) => limit.min(recognised.saturating_sub(DEADLINE_MARGIN)),
        None => limit,
    }
}
