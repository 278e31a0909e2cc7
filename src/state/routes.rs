//! Routes: the state of each destination or endpoint that is rate limited, fails and recovers as a unit.

use super::{CallNumber, SlidingWindow, TokenBucket};
use crate::interface::*;
use crate::policy::circuit_breaker::RECENT_RESULT_WINDOW_SECONDS;
use crate::policy::pacing::RATE_ESTIMATE_WINDOW_SECONDS;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A destination, or one endpoint of it where its endpoints are independent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteId {
    pub(crate) destination: DestinationId,
    pub(crate) endpoint: Option<EndpointId>,
}

/// The state of a circuit breaker. Its debug format is written to log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Breaker {
    /// Calls are sent.
    #[default]
    Closed,
    /// No call is sent before this time.
    Open(Duration),
    /// The next call is a trial, or the trial is in flight.
    HalfOpen(Option<CallNumber>),
}

impl Breaker {
    /// Returns whether a call may be sent now: any call if the breaker is closed, otherwise only the trial.
    pub(crate) fn admits_call(self, now: Duration) -> bool {
        match self {
            Breaker::Closed => true,
            Breaker::Open(until) => now >= until,
            Breaker::HalfOpen(trial) => trial.is_none(),
        }
    }
}

#[derive(Default)]
pub(crate) struct Route {
    pub(crate) breaker: Breaker,
    pub(crate) consecutive_failures: u32,
    pub(crate) failing_since: Duration,
    /// Whether a failed call has ended, and is not just overdue.
    pub(crate) failure_confirmed: bool,
    pub(crate) retry_after_until: Duration,
    pub(crate) backoff_until: Duration,
    pub(crate) consecutive_rejections: u32,
    pub(crate) rejected_since: Duration,
    /// Rate limit, in calls per second of all relays together.
    pub(crate) rate_limit: f64,
    /// Whether the rate limit was reported by a response, as none is listed.
    pub(crate) rate_limit_reported: bool,
    /// This relay's share of the rate limit.
    pub(crate) rate_share: f64,
    /// Time of the last decrease of the share; zero if there was none.
    pub(crate) rate_share_decreased_at: Duration,
    pub(crate) rate_budget: TokenBucket,
    pub(crate) slow_start_since: Option<Duration>,
    pub(crate) slow_start_budget: TokenBucket,
    /// A value of 1 for each failure, 0 for each success.
    pub(crate) recent_results: SlidingWindow<RECENT_RESULT_WINDOW_SECONDS>,
    pub(crate) successful_calls: SlidingWindow<RATE_ESTIMATE_WINDOW_SECONDS>,
}

impl Route {
    pub(crate) fn is_closed(&self) -> bool {
        self.breaker == Breaker::Closed
    }

    pub(crate) fn is_trial(&self, call: CallNumber) -> bool {
        self.breaker == Breaker::HalfOpen(Some(call))
    }

    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_rejections = 0;
        self.failure_confirmed = false;
    }

    /// Records that an attempt of a failed call has ended.
    pub(crate) fn confirm_failure(&mut self) {
        self.failure_confirmed = self.consecutive_failures > 0;
    }

    /// Returns whether its rate limit is inexact.
    pub(crate) fn is_rate_inexact(&self, listed: ListedRate) -> bool {
        listed == ListedRate::Approximate || self.rate_limit_reported
    }

    /// Returns whether a `Retry-After` applies that ends after the first of the consecutive rejections.
    pub(crate) fn has_retry_after_since_rejected(&self) -> bool {
        self.retry_after_until >= self.rejected_since
    }

    /// Counts a failure. While the breaker is closed, the count restarts after `window`.
    pub(crate) fn record_failure(&mut self, now: Duration, window: Duration) {
        self.recent_results.add_flag(now, true);
        let window_is_over = self.is_closed() && now > self.failing_since + window;
        if self.consecutive_failures == 0 || window_is_over {
            self.consecutive_failures = 0;
            self.failing_since = now;
        }
        self.consecutive_failures += 1;
    }

    pub(crate) fn record_rejection(&mut self, now: Duration) {
        if self.consecutive_rejections == 0 {
            self.rejected_since = now;
        }
        self.consecutive_rejections += 1;
    }

    /// Reduces the share by `factor` from `max` at most, to `min` at least.
    pub(crate) fn decrease_rate_share(&mut self, now: Duration, max: f64, factor: f64, min: f64) {
        self.rate_share = (self.rate_share.min(max) * factor).max(min);
        self.rate_share_decreased_at = now;
    }

    pub(crate) fn extend_retry_after(&mut self, until: Duration) {
        self.retry_after_until = self.retry_after_until.max(until);
    }

    /// Sets the beginning of the slow start to `since`; a slow start in progress keeps its budget.
    pub(crate) fn start_slow_start(&mut self, since: Duration) {
        if self.slow_start_since.is_none() {
            self.slow_start_budget = TokenBucket::new(0.0, since);
        }
        self.slow_start_since = Some(since);
    }

    /// Starts the slow start from now, with an empty budget.
    pub(crate) fn restart_slow_start(&mut self, now: Duration) {
        self.slow_start_since = None;
        self.start_slow_start(now);
    }

    /// Returns whether a `Retry-After` or a slow start is in effect, so that the route must be kept.
    pub(crate) fn must_be_kept(&self, now: Duration, slow_start_duration: Duration) -> bool {
        now < self.retry_after_until || self.active_slow_start(now, slow_start_duration).is_some()
    }

    fn active_slow_start(&self, now: Duration, slow_start_duration: Duration) -> Option<Duration> {
        self.slow_start_since.filter(|since| now < *since + slow_start_duration)
    }

    /// Returns the state for the next process; none if there is nothing to keep.
    pub(crate) fn snapshot(
        &self,
        id: RouteId,
        now: Duration,
        slow_start_duration: Duration,
    ) -> Option<RouteSnapshot> {
        let open_until = match self.breaker {
            Breaker::Closed => None,
            Breaker::Open(until) => Some(until),
            Breaker::HalfOpen(_) => Some(Duration::ZERO),
        };
        let has_retry_after = now < self.retry_after_until;
        let snapshot = RouteSnapshot {
            destination: id.destination,
            endpoint: id.endpoint,
            retry_after_until: if has_retry_after { self.retry_after_until } else { Duration::ZERO },
            open_until,
            slow_start_since: self.active_slow_start(now, slow_start_duration),
        };
        let is_needed = has_retry_after || open_until.is_some() || snapshot.slow_start_since.is_some();
        is_needed.then_some(snapshot)
    }

    /// Restores the state of an earlier process; an open breaker counts as `consecutive_failures`.
    pub(crate) fn restore(&mut self, snapshot: &RouteSnapshot, consecutive_failures: u32, now: Duration) {
        self.extend_retry_after(snapshot.retry_after_until);
        if let Some(until) = snapshot.open_until
            && self.is_closed()
        {
            // A trial of the earlier process is not in flight here: the next message is the trial.
            self.breaker = Breaker::Open(until);
            self.consecutive_failures = consecutive_failures;
            self.failing_since = now;
        }
        if let Some(since) = snapshot.slow_start_since {
            self.start_slow_start(since);
        }
    }
}

/// All routes, with their changes that are to be persisted or logged.
#[derive(Default)]
pub(crate) struct Routes {
    by_id: BTreeMap<RouteId, Route>,
    /// Routes that may have state to persist: those changed since the last check, and those that had some then. Time
    /// alone adds none, so a check does not iterate over the others.
    persist_candidates: BTreeSet<RouteId>,
    persisted: Vec<RouteSnapshot>,
    log_lines: Vec<String>,
}

impl Routes {
    pub(crate) fn get(&self, id: RouteId) -> Option<&Route> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RouteId) -> Option<&mut Route> {
        let route = self.by_id.get_mut(&id)?;
        self.persist_candidates.insert(id);
        Some(route)
    }

    /// Returns the route, after inserting `new` if it was unknown.
    pub(crate) fn get_or_insert(&mut self, id: RouteId, new: Route) -> &mut Route {
        self.persist_candidates.insert(id);
        self.by_id.entry(id).or_insert(new)
    }

    pub(crate) fn remove(&mut self, id: RouteId) {
        self.by_id.remove(&id);
    }

    /// Records that an attempt of a failed call has ended.
    pub(crate) fn confirm_failure(&mut self, id: RouteId) {
        if let Some(route) = self.get_mut(id) {
            route.confirm_failure();
        }
    }

    pub(crate) fn set_breaker(&mut self, id: RouteId, next: Breaker) {
        let Some(route) = self.get_mut(id) else { return };
        let last = std::mem::replace(&mut route.breaker, next);
        if std::mem::discriminant(&last) != std::mem::discriminant(&next) {
            let (destination, failures) = (id.destination.0, route.consecutive_failures);
            self.log_lines.push(format!("breaker of {destination}: {last:?} -> {next:?}, run {failures}"));
        }
    }

    /// Sets the breaker to `next` if the call is the trial of the route.
    pub(crate) fn end_trial(&mut self, id: RouteId, call: CallNumber, next: Breaker) {
        if self.get(id).is_some_and(|route| route.is_trial(call)) {
            self.set_breaker(id, next);
        }
    }

    pub(crate) fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Restores the state of an earlier process. Unknown routes are ignored.
    pub(crate) fn restore(&mut self, snapshots: &[RouteSnapshot], consecutive_failures: u32, now: Duration) {
        for snapshot in snapshots {
            let id = RouteId { destination: snapshot.destination, endpoint: snapshot.endpoint };
            if let Some(route) = self.get_mut(id) {
                route.restore(snapshot, consecutive_failures, now);
            }
        }
    }

    /// Returns the number of routes that the next check for changed snapshots iterates over.
    #[cfg(test)]
    pub(crate) fn persist_candidate_count(&self) -> usize {
        self.persist_candidates.len()
    }

    /// Returns the state for the next process, if it changed since the last check.
    pub(crate) fn changed_snapshots(
        &mut self,
        now: Duration,
        slow_start_duration: Duration,
    ) -> Option<&[RouteSnapshot]> {
        let mut snapshots = Vec::new();
        self.persist_candidates.retain(|id| {
            let route = self.by_id.get(id);
            let snapshot = route.and_then(|route| route.snapshot(*id, now, slow_start_duration));
            snapshots.extend(snapshot);
            snapshot.is_some()
        });
        if snapshots == self.persisted {
            return None;
        }
        self.persisted = snapshots;
        Some(&self.persisted)
    }
}

impl std::ops::Index<RouteId> for Routes {
    type Output = Route;

    fn index(&self, id: RouteId) -> &Route {
        &self.by_id[&id]
    }
}
