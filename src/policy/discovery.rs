//! Endpoint discovery: what a list changes, when to poll, when to forget.

use super::concurrency::CREDITS_AT_START;
use super::pacing::{PACE_START, PACE_START_BATCH};
use super::slow_start::CROWD;
use super::{DeliveryPolicy, ms};
use crate::interface::*;
use crate::state::{Endpoint, Route, Tokens};
use mountshift_discovery::PollSchedule;
use std::time::Duration;

const LIST_WAIT: Duration = ms(500); // nothing goes out on a list that may be old before discovery answers

impl DeliveryPolicy {
    /// A whole list begins: what its entries don't name is gone.
    pub(super) fn full_list_begins(&mut self) {
        self.endpoints.values_mut().for_each(|ep| ep.off_since = ep.off_since.or(Some(self.now)));
        self.off = self.endpoints.keys().copied().collect();
    }

    pub(super) fn endpoint_listed(&mut self, listed: ListedEndpoint) {
        let ListedEndpoint { endpoint: id, destination: dst, zone, kind, status: says, rate } = listed;
        let (now, rate) = (self.now, if rate.is_finite() { rate.max(0.0) } else { 0.0 });
        let fresh = Endpoint { dst, zone, kind, limit: CREDITS_AT_START, ..Endpoint::default() };
        (!self.endpoints.contains_key(&id)).then(|| self.near.entry(dst).or_default().0.push(id));
        let ep = self.endpoints.entry(id).or_insert(fresh);
        ep.off_since = if says == EndpointStatus::Ready { None } else { ep.off_since.or(Some(now)) };
        if says == EndpointStatus::Ready {
            self.off.remove(&id)
        } else {
            self.off.insert(id)
        };
        let route_id = self.route_of(id);
        let pace = self.portion(rate) * if self.batch(kind) > 1 { PACE_START_BATCH } else { PACE_START };
        let untold = self.settings.listed_rate == ListedRate::Unknown;
        let start = if untold { f64::from(self.settings.relay_count.min(CROWD)) } else { rate };
        let fresh = Route { rate: start, pace, tokens: Tokens { left: rate, at: now }, ..Route::default() };
        let route = self.routes.entry(route_id).or_insert(fresh);
        route.rate = if rate > 0.0 && !untold { rate } else { route.rate };
    }

    /// The list held at a start may be older than what discovery told since (rule 3): nothing goes out on it
    /// until discovery answers. Guards against sends to what was told as leaving when no process ran. Harm: a
    /// pause at a start with discovery down.
    pub(super) fn list_may_be_stale(&mut self) {
        self.list_due = Some(self.now + LIST_WAIT);
    }

    pub(super) fn list_received(&mut self) {
        (self.list_due, self.watch_failures) = (None, 0);
    }

    pub(super) fn poll_failed(&mut self, told: Option<Duration>) {
        self.watch_failures += 1;
        let pause = self.asking().retry_pause(self.watch_failures, told, self.chance(0));
        self.watch_at = self.settings.must_poll.then_some(self.now + pause);
    }

    pub(super) fn asking(&self) -> PollSchedule {
        PollSchedule { relay_count: self.settings.relay_count, poll_interval: self.settings.poll_interval }
    }

    /// Guards against tables that grow for good: forgets what is off and binds no rule; true if more is off.
    pub(super) fn forget(&mut self, out: &mut dyn Actions) -> bool {
        let (now, f) = (self.now, &self.settings);
        let binds = |r: &Route| {
            now < r.retry_after_until || r.slow_start_since.is_some_and(|at| now < at + f.slow_start_duration)
        };
        let off = |e: &Endpoint| e.out == 0 && e.off_since.is_some_and(|at| now >= at + f.drain_grace);
        let known = self.off.iter().filter_map(|id| Some((*id, self.endpoints.get(id)?)));
        let unused = known.filter(|(_, e)| off(e)).map(|(id, e)| (id, e.dst));
        for (id, dst) in unused.collect::<Vec<_>>() {
            let (route_id, near) = (self.route_of(id), &mut self.near.entry(dst).or_default().0);
            let last = route_id.1.is_some() || near.len() == 1;
            if !(last && self.routes.get(&route_id).is_some_and(binds)) {
                near.retain(|e| *e != id);
                near.is_empty().then(|| self.near.remove(&dst));
                last.then(|| self.routes.remove(&route_id));
                self.endpoints.remove(&id);
                self.off.remove(&id);
                out.forget_endpoint(id);
            }
        }
        !self.off.is_empty()
    }
}
