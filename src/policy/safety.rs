//! The one place where the six rules of the crate's documentation are enforced: every send is checked here,
//! whatever other modules decided.

use super::{retry, timeouts};
use crate::interface::*;
use crate::state::{CallDraft, Endpoint, Message, PossibleRun, Route, State};
use std::time::Duration;

/// Time before a deadline in which nothing is sent any more, as the response would be too late.
pub(super) const DEADLINE_MARGIN: Duration = Duration::from_millis(40);
/// Share of the time to the deadline that an attempt may take even if it is overdue: a slow host may respond.
const ATTEMPT_TIME_SHARE: f64 = 0.8;

/// Sends an attempt in the call if all rules allow it; returns whether it was sent.
pub(super) fn send(state: &mut State, id: MessageId, call: &mut CallDraft, out: &mut dyn Actions) -> bool {
    let Some(message) = state.messages.get(id) else { return false };
    let Some(endpoint) = state.endpoints.get(call.endpoint) else { return false };
    let now = state.now;
    let is_allowed = meets_deadline(message, endpoint, now) // rule 1
        && is_safe_to_send(state, message, endpoint) // rule 2
        && is_within_slow_start(&state.routes[endpoint.route]) // rule 4
        && state.messages.is_next_for_key(id, message, now) // rule 5
        && may_send_to(state, call.endpoint, now); // rules 3 and 6
    if !is_allowed {
        return false;
    }
    let timeout = timeouts::for_attempt(state, call.endpoint, state.class_of(message), message.timeouts);
    let limit = attempt_limit(state, message, timeout);
    call.add(message.deadline - now, timeout, message.batch_entry_bytes);
    let run = PossibleRun { at: now, zone: endpoint.zone };
    if let Some(message) = state.messages.get_mut(id) {
        message.record_sent(call.number, run);
    }
    out.send(id, call.endpoint, limit);
    true
}

/// Rule 1: each message has one final outcome, by its deadline, at its own destination.
fn meets_deadline(message: &Message, endpoint: &Endpoint, now: Duration) -> bool {
    let is_in_time = message.deadline > now + DEADLINE_MARGIN;
    !message.ended && is_in_time && message.destination == endpoint.route.destination
}

/// Rule 2: no message runs twice if that does harm, or at an endpoint that does not recognise the repeat.
fn is_safe_to_send(state: &State, message: &Message, endpoint: &Endpoint) -> bool {
    let is_known_in_zone = message.first_possible_run.is_none_or(|run| run.zone == endpoint.zone);
    let is_recognised = match state.class_of(message).idempotency {
        Idempotency::WithKey { scope: DeduplicationScope::SameZone, .. } => is_known_in_zone,
        _ => true,
    };
    message.call.is_none() && retry::allows_another_attempt(state, message) && is_recognised
}

/// Rules 3 and 6: returns whether a call may be sent to the endpoint. The drain grace is not used, as the
/// drain may have been announced long before this process received the list: either one may have been down.
pub(super) fn may_send_to(state: &State, to: EndpointId, now: Duration) -> bool {
    let Some(endpoint) = state.endpoints.get(to) else { return false };
    endpoint.unavailable_since.is_none() && now >= state.routes[endpoint.route].retry_after_until
}

/// Rules 2 and 5 while the state folder can't be written: an attempt without a record is unknown to the next
/// process, so it is sent only if a repeat is harmless and the message is unordered. Messages that may run
/// only once, within a deduplication window or in order wait for the folder, at most until their deadline.
pub(super) fn may_send_without_record(state: &State, id: MessageId) -> bool {
    let Some(message) = state.messages.get(id) else { return false };
    state.class_of(message).idempotency == Idempotency::Idempotent && message.key.is_none()
}

/// Rule 5 across processes: returns the time until which the next process needs the record of a closed
/// message, as its attempt may still be running and delays the others of its key; none if not needed.
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
        // This end is applied to the state later in the step.
        ClosingAttempt::Ended(RunState::MayBeRunning) => Some(now + hold_off),
        _ => state.messages.key_hold_off_until(id, now),
    }
}

/// Checks the rules again right before the first byte of an attempt that was decided earlier.
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
    // `possible_runs` includes this attempt.
    let is_repeat = message.possible_runs > 1;
    if is_repeat && class.idempotency == Idempotency::NotIdempotent {
        return Err(SendError::UnsafeRepeat);
    }
    if is_repeat && message.remaining_deduplication_time(class, now) == Some(Duration::ZERO) {
        return Err(SendError::DeduplicationExpired);
    }
    if !state.messages.is_next_for_key(id, message, now) {
        return Err(SendError::OutOfOrder);
    }
    if may_send_to(state, to, now) { Ok(()) } else { Err(SendError::EndpointUnavailable) }
}

/// Rule 4: a call must be within the budget of the route's slow start, or be a trial.
fn is_within_slow_start(route: &Route) -> bool {
    route.slow_start_since.is_none() || route.slow_start_budget.tokens > 0.0 || !route.is_closed()
}

/// Returns the time limit of an attempt. An overdue attempt counts as failed at once but ends later, as a
/// slow host may still respond. The price is that the end of an attempt at a silent host is late.
fn attempt_limit(state: &State, message: &Message, timeout: Duration) -> Duration {
    let class = state.class_of(message);
    let left = message.deadline - state.now;
    let attempt_time = left.mul_f64(ATTEMPT_TIME_SHARE).max(timeout).min(left);
    let limit = if class.idempotency == Idempotency::NotIdempotent { left } else { attempt_time };
    // A repeat must arrive while it is recognised, even if its connection is established or served late.
    match message.remaining_deduplication_time(class, state.now) {
        Some(recognised) => limit.min(recognised.saturating_sub(DEADLINE_MARGIN)),
        None => limit,
    }
}
