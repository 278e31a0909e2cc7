//! The state of the decisions: endpoints, routes, messages, calls, and measurements of them. The types keep
//! their indexes and counters consistent. They contain no decision and no tuned constant: these are passed in.

mod backoff;
mod calls;
mod endpoints;
mod jitter;
mod key_queues;
mod messages;
mod routes;
mod sliding_window;
mod slow_start;
mod token_bucket;

pub(crate) use backoff::Backoff;
pub(crate) use calls::{Call, CallDraft, CallNumber, CallResult, Calls};
pub(crate) use endpoints::{Endpoint, Endpoints};
pub(crate) use jitter::Jitter;
pub(crate) use messages::{EndedAttempt, Message, Messages, PossibleRun};
pub(crate) use routes::{Breaker, Route, RouteId, Routes};
pub(crate) use sliding_window::{SlidingWindow, Totals};
pub(crate) use slow_start::{slow_start_progress, slow_start_share};
pub(crate) use token_bucket::TokenBucket;

use crate::interface::*;
use crate::policy::idle_connections::IDLE_RESULT_WINDOW_SECONDS;
use crate::policy::retry::REJECTION_WINDOW_SECONDS;
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The state of one relay between steps.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) settings: PolicySettings,
    pub(crate) now: Duration,
    pub(crate) jitter: Jitter,
    pub(crate) endpoints: Endpoints,
    pub(crate) routes: Routes,
    pub(crate) messages: Messages,
    pub(crate) calls: Calls,
    pub(crate) tenant_budgets: Vec<TokenBucket>,
    /// A value of 1 for each rejected attempt, 0 for each other one.
    pub(crate) recent_rejections: SlidingWindow<REJECTION_WINDOW_SECONDS>,
    /// A value of 1 for each call on an idle connection that was reset or got no response, 0 for each other one.
    pub(crate) idle_results: SlidingWindow<IDLE_RESULT_WINDOW_SECONDS>,
    /// Number of consecutive calls that got a connection, by kind of destination.
    pub(crate) consecutive_connected_calls: BTreeMap<DestinationKindId, u32>,
    /// Endpoints whose idle connections are checked in this step.
    pub(crate) idle_review_queue: Vec<EndpointId>,
    pub(crate) poll_at: Option<Duration>,
    pub(crate) poll_failures: u32,
    /// If the list may be stale, time until which nothing is sent, unless discovery responds earlier.
    pub(crate) list_awaited_until: Option<Duration>,
    pub(crate) wake_at: Option<Duration>,
    pub(crate) is_handing_over: bool,
}

impl State {
    /// Creates the state at the start of a process, with full quota bursts of all tenants.
    pub(crate) fn new(settings: PolicySettings, quota_burst_seconds: f64) -> State {
        let jitter = Jitter::new(settings.seed, settings.relay);
        let bursts = settings.tenant_quotas.iter().map(|quota| quota * quota_burst_seconds);
        let tenant_budgets = bursts.map(|burst| TokenBucket::new(burst, Duration::ZERO)).collect();
        State { jitter, tenant_budgets, settings, ..State::default() }
    }

    pub(crate) fn class_of(&self, message: &Message) -> &MessageClass {
        &self.settings.classes[message.class.0 as usize]
    }

    pub(crate) fn batch_size(&self, kind: DestinationKindId) -> usize {
        self.settings.destination_kinds.get(kind.0 as usize).map_or(1, |kind| kind.max_batch.max(1))
    }

    pub(crate) fn relay_count(&self) -> f64 {
        f64::from(self.settings.relay_count)
    }

    pub(crate) fn free_calls(&self) -> usize {
        self.settings.max_calls_in_flight - self.calls.len()
    }

    /// Returns the number of calls in flight on routes with consecutive failures.
    pub(crate) fn calls_on_failing_routes(&self) -> usize {
        let fails = |id| self.routes.get(id).is_some_and(|route| route.consecutive_failures > 0);
        self.calls.iter().filter(|(_, call)| fails(call.route)).count()
    }

    pub(crate) fn route_of_mut(&mut self, endpoint: EndpointId) -> Option<&mut Route> {
        let id = self.endpoints.get(endpoint)?.route;
        self.routes.get_mut(id)
    }

    /// Returns the id of the endpoint's route.
    pub(crate) fn route_id(&self, listed: &ListedEndpoint) -> RouteId {
        let kind = self.settings.destination_kinds.get(listed.kind.0 as usize);
        let is_independent = kind.is_some_and(|kind| kind.independent_endpoints);
        RouteId { destination: listed.destination, endpoint: is_independent.then_some(listed.endpoint) }
    }

    /// Takes the message's call at the end of its attempt; none if no attempt was in flight.
    pub(crate) fn take_call(&mut self, message: MessageId) -> Option<CallNumber> {
        self.messages.get_mut(message)?.call.take()
    }

    /// Records an attempt from before a restart, which delays other messages of its key if it may have run.
    pub(crate) fn record_earlier_attempt(&mut self, id: MessageId, run: PossibleRun, may_have_run: bool) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.record_earlier_attempt(run, may_have_run);
        if may_have_run {
            self.messages.add_key_hold_off(id, self.now + self.settings.order_hold_off);
        }
    }

    /// Rule 6: applies a `Retry-After` to the route, from any response and however late it arrives.
    pub(crate) fn extend_retry_after(&mut self, endpoint: EndpointId, duration: Duration) {
        let until = self.now + duration;
        if let Some(route) = self.route_of_mut(endpoint).filter(|_| duration > Duration::ZERO) {
            route.extend_retry_after(until);
        }
    }

    /// Starts a slow start of the endpoint's route, as an endpoint is cold after a restart (rule 4).
    pub(crate) fn start_slow_start(&mut self, endpoint: EndpointId) {
        let now = self.now;
        if let Some(route) = self.route_of_mut(endpoint) {
            route.start_slow_start(now);
        }
    }

    /// Records that discovery responded.
    pub(crate) fn record_list_received(&mut self) {
        self.list_awaited_until = None;
        self.poll_failures = 0;
    }

    /// Records the start of a call. Each further message uses `further_weight` of the slow start's budget.
    pub(crate) fn start_call(&mut self, draft: &CallDraft, on_idle_connection: bool, further_weight: f64) {
        let route = self.endpoints[draft.endpoint].route;
        if let Some(route) = self.routes.get_mut(route) {
            route.rate_budget.tokens -= 1.0;
            route.slow_start_budget.tokens -= 1.0 + further_weight * (draft.messages as f64 - 1.0);
        }
        self.calls.insert(draft.number, draft.call(route, self.now, on_idle_connection));
        self.endpoints.record_call(draft.endpoint, draft.number, self.now);
    }

    /// Records the result of a call for its connection: whether it was refused, and whether an idle one failed.
    pub(crate) fn record_connection(&mut self, call: &CallResult, was_refused: bool, was_lost: bool) {
        if call.on_idle_connection {
            self.idle_results.add_flag(self.now, was_lost);
        }
        if call.is_over {
            self.idle_review_queue.push(call.endpoint);
            if let Some(endpoint) = self.endpoints.get_mut(call.endpoint) {
                endpoint.record_call_end(self.now);
                let connected = self.consecutive_connected_calls.entry(endpoint.kind).or_default();
                *connected = if was_refused { 0 } else { connected.saturating_add(1) };
            }
        }
        if (call.is_first_result && was_refused) || (call.on_idle_connection && was_lost) {
            self.idle_review_queue.extend(self.endpoints.with_connections());
        }
    }

    pub(crate) fn has_work(&self) -> bool {
        let holds_messages = !self.messages.is_empty() || self.calls.len() > 0;
        holds_messages || self.endpoints.has_unavailable() || self.poll_at.is_some()
    }

    /// Removes an endpoint, and its route if no other endpoint shares it.
    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        let route = self.endpoints[endpoint].route;
        if self.endpoints.is_last_of_route(route) {
            self.routes.remove(route);
        }
        self.endpoints.remove(endpoint);
    }
}
