//! Selection of the next destination, of one of its endpoints, and of the messages that share a call.

use super::idle_connections::IDLE_AFTER;
use super::slow_start::FURTHER_MESSAGE_WEIGHT;
use super::{admission, concurrency, pacing, safety, timeouts};
use crate::interface::*;
use crate::state::{Breaker, CallDraft, Message, State};
use std::time::Duration;

/// Cost of a mean response time equal to the latency objective; fees and prices of zones count unscaled.
const LATENCY_COST: f64 = 0.2;
/// Highest response time that counts, in latency objectives: beyond it, an endpoint is no worse than an
/// unreachable one.
const LATENCY_OBJECTIVES_MAX: f64 = 2.0;
/// Cost of a fully used concurrency limit: spreads calls over similar endpoints.
const UTILIZATION_COST: f64 = 0.05;
/// Maximum random cost: relays with the same information don't all select the same endpoint.
const JITTER_COST_MAX: f64 = 0.01;
/// Minimum ratio of the shortest to the longest time to a deadline among messages that share a call.
const TIME_LEFT_RATIO_MIN: f64 = 0.5;

/// Messages waiting for one destination.
type Waiting = Vec<MessageId>;

/// An endpoint to which a call may be sent now.
struct Candidate {
    endpoint: EndpointId,
    cost: f64,
    messages_allowed: usize,
}

/// Sends calls to destinations with waiting messages, those with the fewest calls in flight first, then the
/// least recently called.
pub(super) fn send_waiting(state: &mut State, out: &mut dyn Actions) {
    let awaits_list = state.list_awaited_until.is_some_and(|until| state.now < until);
    if state.is_handing_over || awaits_list {
        return;
    }
    let mut waiting = state.messages.waiting(state.now);
    while state.calls.len() < state.settings.max_calls_in_flight {
        let order = |id: &&DestinationId| (state.calls.in_flight_to(**id), state.endpoints.last_call(**id));
        let Some(destination) = waiting.keys().min_by_key(order).copied() else { break };
        let mut messages = waiting.remove(&destination).unwrap_or_default();
        if send_call(state, destination, &mut messages, out) && !messages.is_empty() {
            waiting.insert(destination, messages);
        }
    }
}

/// Sends one call to a destination and removes its messages from the waiting ones; returns whether it did.
fn send_call(state: &mut State, to: DestinationId, messages: &mut Waiting, out: &mut dyn Actions) -> bool {
    if !concurrency::has_call_capacity_for(state, to) {
        return false;
    }
    let objective = state.class_of(&state.messages[messages[0]]).latency_objective;
    let mut candidates = candidates(state, to, objective);
    if candidates.is_empty() {
        return false;
    }
    candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    messages.sort_by_cached_key(|id| rank(state, &state.messages[*id]));
    candidates.iter().any(|candidate| send_to(state, candidate, messages, out))
}

fn candidates(state: &mut State, destination: DestinationId, objective: Duration) -> Vec<Candidate> {
    let are_free_calls_scarce = state.calls_on_failing_routes() >= state.free_calls();
    let endpoints = state.endpoints.of_destination(destination).to_vec();
    let mut candidates = Vec::new();
    for endpoint in endpoints.iter().copied() {
        if !may_take_call(state, endpoint, endpoints.len() > 1, are_free_calls_scarce) {
            continue;
        }
        let batch_size = state.batch_size(state.endpoints[endpoint].kind);
        let route = state.endpoints[endpoint].route;
        let messages_allowed = pacing::messages_allowed_now(state, route, batch_size);
        if messages_allowed > 0 {
            let cost = cost(state, endpoint, objective);
            candidates.push(Candidate { endpoint, cost, messages_allowed });
        }
    }
    candidates
}

fn may_take_call(state: &State, id: EndpointId, has_siblings: bool, are_free_calls_scarce: bool) -> bool {
    let endpoint = &state.endpoints[id];
    let route = &state.routes[endpoint.route];
    // The limit does not apply to a trial: calls that are still in flight to a hung host must not delay it.
    let is_at_limit = f64::from(endpoint.calls_in_flight) + 1.0 > endpoint.concurrency_limit;
    let is_withheld = route.consecutive_failures > 0 && are_free_calls_scarce;
    let is_limited = route.is_closed() && (is_at_limit || is_withheld);
    let is_skipped = has_siblings && state.now < endpoint.skip_until;
    endpoint.unavailable_since.is_none() && !is_limited && !is_skipped
}

fn cost(state: &mut State, id: EndpointId, objective: Duration) -> f64 {
    let endpoint = &state.endpoints[id];
    let times = endpoint.response_times.totals(state.now);
    let fee = state.settings.zone_fees.get(endpoint.zone.0 as usize).copied().unwrap_or(0.0);
    let fee = if endpoint.route.endpoint.is_some() { fee } else { 0.0 };
    let is_same_zone = endpoint.zone == state.settings.zone;
    let price = if is_same_zone { 0.0 } else { state.settings.cross_zone_price };
    let objectives = times.sum / times.count / objective.as_secs_f64();
    let latency = if times.count > 0.0 { LATENCY_COST * objectives.min(LATENCY_OBJECTIVES_MAX) } else { 0.0 };
    let utilization = UTILIZATION_COST * f64::from(endpoint.calls_in_flight) / endpoint.concurrency_limit;
    fee + price + latency + utilization + JITTER_COST_MAX * state.jitter.draw(id.0)
}

/// Returns the sort key of a message: those restored after a restart without an attempt first, then by weight
/// times the queue length of their key, then by latency objective.
fn rank(state: &State, message: &Message) -> (bool, i64, Duration) {
    let queue_length = state.messages.queue_length(message) as f64;
    let millionths = (-admission::weight(state, message) * queue_length * 1e6) as i64;
    (!message.is_untried_since_restart(), millionths, message.objective)
}

fn send_to(state: &mut State, to: &Candidate, messages: &mut Waiting, out: &mut dyn Actions) -> bool {
    let route_id = state.endpoints[to.endpoint].route;
    let is_trial = !state.routes[route_id].is_closed();
    if is_trial {
        // After a failed trial a message that must not run twice may not be sent again: prefer a safer one.
        messages.sort_by_key(|id| state.class_of(&state.messages[*id]).idempotency);
    }
    let mut draft = CallDraft::new(state.jitter.next_number(), to.endpoint, to.messages_allowed);
    let learned_timeout = timeouts::learned(state, to.endpoint);
    messages.retain(|id| {
        let message = &state.messages[*id];
        let left = message.deadline.saturating_sub(state.now);
        let has_room = !draft.is_full() && fits_size(&draft, message);
        let may_join = has_room && fits_time_left(&draft, left, learned_timeout);
        !(may_join && safety::send(state, *id, &mut draft, out))
    });
    if draft.messages == 0 {
        return false;
    }
    let is_idle = state.endpoints[to.endpoint].has_idle_connection(state.now, IDLE_AFTER);
    state.start_call(&draft, is_idle, FURTHER_MESSAGE_WEIGHT);
    if is_trial {
        state.routes.set_breaker(route_id, Breaker::HalfOpen(Some(draft.number)));
    }
    true
}

/// Returns whether a message fits the size limit, which applies only to a call of several messages.
fn fits_size(draft: &CallDraft, message: &Message) -> bool {
    draft.messages == 0 || draft.bytes_with(message.batch_entry_bytes) <= MAX_CALL_BYTES
}

/// Returns whether the message's time to its deadline suits the others of the call. A call ends at its
/// shortest limit, so a message with little time would end the attempts of others early. Times well above the
/// learned timeout do no harm; without this exception, messages that waited long would keep out new ones.
fn fits_time_left(draft: &CallDraft, left: Duration, learned_timeout: Option<Duration>) -> bool {
    let shortest = draft.shortest_time_with(left);
    let is_ample = learned_timeout.is_some_and(|timeout| shortest.mul_f64(TIME_LEFT_RATIO_MIN) >= timeout);
    draft.messages == 0 || is_ample || shortest >= draft.longest_time_with(left).mul_f64(TIME_LEFT_RATIO_MIN)
}
