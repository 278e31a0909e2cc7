//! Endpoints: the state of each address of a destination, and their indexes.

use super::{CallNumber, RouteId, SlidingWindow};
use crate::interface::*;
use crate::policy::timeouts::RESPONSE_TIME_WINDOW_SECONDS;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) route: RouteId,
    pub(crate) zone: ZoneId,
    pub(crate) kind: DestinationKindId,
    /// Time since which it is draining or off the list.
    pub(crate) unavailable_since: Option<Duration>,
    pub(crate) concurrency_limit: f64,
    pub(crate) calls_in_flight: u32,
    pub(crate) consecutive_failures: u32,
    pub(crate) skip_until: Duration,
    /// Response times in seconds.
    pub(crate) response_times: SlidingWindow<RESPONSE_TIME_WINDOW_SECONDS>,
    /// Time of the last use of a connection; zero if none is kept.
    pub(crate) last_used_at: Duration,
}

impl Endpoint {
    pub(crate) fn new(listed: &ListedEndpoint, route: RouteId, concurrency_limit: f64) -> Endpoint {
        Endpoint { route, zone: listed.zone, kind: listed.kind, concurrency_limit, ..Endpoint::default() }
    }

    /// Records a success. Additive increase: while the limit is fully used, it grows by about one call with as many
    /// successes as it allows calls, up to `maximum`.
    pub(crate) fn record_success(&mut self, now: Duration, elapsed: Duration, maximum: f64) {
        self.response_times.add(now, elapsed.as_secs_f64());
        // This call is no longer counted in flight. With 1 in place of 2, a limit of one would never grow again.
        let was_at_limit = f64::from(self.calls_in_flight) + 2.0 > self.concurrency_limit;
        let increase = if was_at_limit { 1.0 / self.concurrency_limit } else { 0.0 };
        self.concurrency_limit = (self.concurrency_limit + increase).min(maximum);
        self.consecutive_failures = 0;
    }

    /// Multiplicative decrease: reduces the limit by `factor`, to one call at least.
    pub(crate) fn decrease_concurrency_limit(&mut self, factor: f64) {
        self.concurrency_limit = (self.concurrency_limit * factor).max(1.0);
    }

    /// Counts a failure; from `failure_threshold` consecutive ones on, the endpoint is skipped until `skip_until`.
    pub(crate) fn record_failure(
        &mut self,
        decrease_factor: f64,
        failure_threshold: u32,
        skip_until: Duration,
    ) {
        self.decrease_concurrency_limit(decrease_factor);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= failure_threshold {
            self.skip_until = skip_until;
        }
    }

    /// Returns whether the next call would use a connection that was idle for `idle_after`.
    pub(crate) fn has_idle_connection(&self, now: Duration, idle_after: Duration) -> bool {
        self.calls_in_flight == 0 && self.has_connections() && now > self.last_used_at + idle_after
    }

    pub(crate) fn record_call_start(&mut self, now: Duration) {
        self.calls_in_flight += 1;
        self.last_used_at = now;
    }

    pub(crate) fn record_call_end(&mut self, now: Duration) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        self.last_used_at = now;
    }

    pub(crate) fn has_connections(&self) -> bool {
        self.last_used_at > Duration::ZERO
    }
}

#[derive(Default)]
struct DestinationEndpoints {
    endpoints: Vec<EndpointId>,
    last_call: CallNumber,
}

/// All endpoints, with indexes by destination and of unavailable ones.
#[derive(Default)]
pub(crate) struct Endpoints {
    by_id: BTreeMap<EndpointId, Endpoint>,
    by_destination: BTreeMap<DestinationId, DestinationEndpoints>,
    /// An index, so that a step does not have to iterate over all endpoints.
    unavailable: BTreeSet<EndpointId>,
}

impl Endpoints {
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    pub(crate) fn of_destination(&self, destination: DestinationId) -> &[EndpointId] {
        self.by_destination.get(&destination).map_or(&[], |entry| &entry.endpoints)
    }

    /// Returns the last call to a destination; none if the destination has no endpoints.
    pub(crate) fn last_call(&self, destination: DestinationId) -> Option<CallNumber> {
        self.by_destination.get(&destination).map(|entry| entry.last_call)
    }

    pub(crate) fn record_success(
        &mut self,
        id: EndpointId,
        now: Duration,
        elapsed: Duration,
        limit_max: f64,
    ) {
        if let Some(endpoint) = self.by_id.get_mut(&id) {
            endpoint.record_success(now, elapsed, limit_max);
        }
    }

    pub(crate) fn record_failure(
        &mut self,
        id: EndpointId,
        decrease_factor: f64,
        failure_threshold: u32,
        skip_until: Duration,
    ) {
        if let Some(endpoint) = self.by_id.get_mut(&id) {
            endpoint.record_failure(decrease_factor, failure_threshold, skip_until);
        }
    }

    pub(crate) fn record_rejection(&mut self, id: EndpointId, decrease_factor: f64) {
        if let Some(endpoint) = self.by_id.get_mut(&id) {
            endpoint.decrease_concurrency_limit(decrease_factor);
        }
    }

    /// Records a call to the endpoint.
    pub(crate) fn record_call(&mut self, id: EndpointId, call: CallNumber, now: Duration) {
        let Some(endpoint) = self.by_id.get_mut(&id) else { return };
        endpoint.record_call_start(now);
        self.by_destination.entry(endpoint.route.destination).or_default().last_call = call;
    }

    /// Adds the endpoint if it is new, and records whether it accepts messages.
    pub(crate) fn update(&mut self, id: EndpointId, new: Endpoint, status: EndpointStatus, now: Duration) {
        if !self.by_id.contains_key(&id) {
            self.by_destination.entry(new.route.destination).or_default().endpoints.push(id);
        }
        let endpoint = self.by_id.entry(id).or_insert(new);
        if status == EndpointStatus::Ready {
            endpoint.unavailable_since = None;
            self.unavailable.remove(&id);
        } else {
            endpoint.unavailable_since.get_or_insert(now);
            self.unavailable.insert(id);
        }
    }

    pub(crate) fn mark_all_unavailable(&mut self, now: Duration) {
        for (id, endpoint) in &mut self.by_id {
            endpoint.unavailable_since.get_or_insert(now);
            self.unavailable.insert(*id);
        }
    }

    pub(crate) fn has_unavailable(&self) -> bool {
        !self.unavailable.is_empty()
    }

    /// Returns the endpoints that have been unavailable for at least `grace` and have no calls in flight.
    pub(crate) fn unused(&self, now: Duration, grace: Duration) -> Vec<EndpointId> {
        let is_unused = |endpoint: &Endpoint| {
            endpoint.calls_in_flight == 0 && endpoint.unavailable_since.is_some_and(|at| now >= at + grace)
        };
        let unavailable = self.unavailable.iter().copied();
        unavailable.filter(|id| self.get(*id).is_some_and(is_unused)).collect()
    }

    /// Returns whether no other endpoint shares the route.
    pub(crate) fn is_last_of_route(&self, route: RouteId) -> bool {
        route.endpoint.is_some() || self.of_destination(route.destination).len() == 1
    }

    pub(crate) fn remove(&mut self, id: EndpointId) {
        let Some(endpoint) = self.by_id.remove(&id) else { return };
        self.unavailable.remove(&id);
        let destination = endpoint.route.destination;
        let Some(of_destination) = self.by_destination.get_mut(&destination) else { return };
        of_destination.endpoints.retain(|listed| *listed != id);
        if of_destination.endpoints.is_empty() {
            self.by_destination.remove(&destination);
        }
    }

    pub(crate) fn with_connections(&self) -> impl Iterator<Item = EndpointId> {
        self.by_id.iter().filter(|(_, endpoint)| endpoint.has_connections()).map(|(id, _)| *id)
    }
}

impl std::ops::Index<EndpointId> for Endpoints {
    type Output = Endpoint;

    fn index(&self, id: EndpointId) -> &Endpoint {
        &self.by_id[&id]
    }
}
