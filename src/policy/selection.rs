//! Selection: which destination is served next, at which of its endpoints, with which messages in one call.

use super::idle_connections::IDLE_AFTER;
use super::slow_start::FURTHER_MESSAGE_WEIGHT;
use super::{admission, concurrency, pacing, safety, timeouts};
use crate::interface::*;
use crate::state::{Breaker, CallDraft, Message, State};
use std::time::Duration;

/// Cost of an answer time as long as the latency objective; fees and prices count as told, ...
const COST_SLOW: f64 = 0.2;
/// ... for so many objectives at most: slower still is no worse than out of reach.
const SLOW_OBJECTIVES_MAX: f64 = 2.0;
/// Cost of a concurrency limit that is used up: spreads calls over like endpoints.
const COST_USED: f64 = 0.05;
/// Cost by chance at most: relays that know the same don't all pick the same endpoint.
const COST_JITTER: f64 = 0.01;
/// Messages share a call if the shortest time left is at least this share of the longest.
const LIKE_TIMES: f64 = 0.5;

/// Messages that wait for one destination.
type Waiting = Vec<MessageId>;

/// An endpoint that may be called now.
struct Candidate {
    endpoint: EndpointId,
    cost: f64,
    messages_allowed: usize,
}

/// Free calls go in turns over destinations with messages waiting, those with the fewest in flight first.
pub(super) fn send_waiting(state: &mut State, out: &mut dyn Actions) {
    let awaits_list = state.list_awaited_until.is_some_and(|until| state.now < until);
    if state.is_handing_over || awaits_list {
        return;
    }
    let mut waiting = state.messages.waiting(state.now);
    while state.calls.len() < state.settings.max_calls_in_flight {
        let turn = |id: &&DestinationId| (state.calls.in_flight_to(**id), state.endpoints.last_call(**id));
        let Some(destination) = waiting.keys().min_by_key(turn).copied() else { break };
        let mut messages = waiting.remove(&destination).unwrap_or_default();
        if send_call(state, destination, &mut messages, out) && !messages.is_empty() {
            waiting.insert(destination, messages);
        }
    }
}

/// Sends one call to a destination, with as many of the messages as may travel in it; takes those out.
fn send_call(state: &mut State, to: DestinationId, messages: &mut Waiting, out: &mut dyn Actions) -> bool {
    if !concurrency::has_calls_for(state, to) {
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
    let are_calls_short = state.calls_on_failing_routes() >= state.free_calls();
    let endpoints = state.endpoints.of_destination(destination).to_vec();
    let mut candidates = Vec::new();
    for endpoint in endpoints.iter().copied() {
        if !may_take_call(state, endpoint, endpoints.len() > 1, are_calls_short) {
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

fn may_take_call(state: &State, id: EndpointId, has_siblings: bool, are_calls_short: bool) -> bool {
    let endpoint = &state.endpoints[id];
    let route = &state.routes[endpoint.route];
    // The trial is not limited: calls left in flight at a hung host must not hold it up.
    let is_used_up = f64::from(endpoint.calls_in_flight) + 1.0 > endpoint.concurrency_limit;
    let is_held = route.consecutive_failures > 0 && are_calls_short;
    let is_limited = route.is_closed() && (is_used_up || is_held);
    let is_held_off = has_siblings && state.now < endpoint.hold_off_until;
    endpoint.unavailable_since.is_none() && !is_limited && !is_held_off
}

fn cost(state: &mut State, id: EndpointId, objective: Duration) -> f64 {
    let endpoint = &state.endpoints[id];
    let times = endpoint.response_times.totals(state.now);
    let fee = state.settings.zone_fees.get(endpoint.zone.0 as usize).copied().unwrap_or(0.0);
    let fee = if endpoint.route.endpoint.is_some() { fee } else { 0.0 };
    let is_near = endpoint.zone == state.settings.zone;
    let price = if is_near { 0.0 } else { state.settings.cross_zone_price };
    let objectives = times.sum / times.count / objective.as_secs_f64();
    let slow = if times.count > 0.0 { COST_SLOW * objectives.min(SLOW_OBJECTIVES_MAX) } else { 0.0 };
    let used = COST_USED * f64::from(endpoint.calls_in_flight) / endpoint.concurrency_limit;
    fee + price + slow + used + COST_JITTER * state.jitter.draw(id.0)
}

/// What a restart found untried goes first, then what weighs most with the queue behind its key.
fn rank(state: &State, message: &Message) -> (bool, i64, Duration) {
    let queue_length = state.messages.queue_length(message) as f64;
    let millionths = (-admission::weight(state, message) * queue_length * 1e6) as i64;
    (!message.is_untried_since_restart(), millionths, message.objective)
}

fn send_to(state: &mut State, to: &Candidate, messages: &mut Waiting, out: &mut dyn Actions) -> bool {
    let route_id = state.endpoints[to.endpoint].route;
    let is_trial = !state.routes[route_id].is_closed();
    if is_trial {
        // A trial can strand a message that must not run twice: a safer one goes first.
        messages.sort_by_key(|id| state.class_of(&state.messages[*id]).idempotency);
    }
    let mut draft = CallDraft::new(state.jitter.next_number(), to.endpoint, to.messages_allowed);
    let learnt_timeout = timeouts::learnt(state, to.endpoint);
    messages.retain(|id| {
        let message = &state.messages[*id];
        let left = message.deadline.saturating_sub(state.now);
        let has_room = !draft.is_full() && fits(&draft, message);
        let may_join = has_room && may_join(&draft, left, learnt_timeout);
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

/// A message fits alone however large it is: only a call of several ones has its bytes beside those of others.
fn fits(draft: &CallDraft, message: &Message) -> bool {
    draft.messages == 0 || draft.bytes_with(message.batch_entry_bytes) <= MAX_CALL_BYTES
}

/// A call ends at its shortest limit, so one with little time left would cut others off. One whose time is
/// long beside the learnt answer time cuts nobody off: else what waited long keeps out what is new.
fn may_join(draft: &CallDraft, left: Duration, learnt_timeout: Option<Duration>) -> bool {
    let shortest = draft.shortest_with(left);
    let is_ample = learnt_timeout.is_some_and(|timeout| shortest.mul_f64(LIKE_TIMES) >= timeout);
    draft.messages == 0 || is_ample || shortest >= draft.longest_with(left).mul_f64(LIKE_TIMES)
}
