//! Routes: what is known of each path that is limited, fails and comes back as one.

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

/// The state of a circuit breaker. Its debug form stands in log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Breaker {
    /// Calls go out.
    #[default]
    Closed,
    /// No call goes out before then.
    Open(Duration),
    /// The next call is a trial, or the trial is in flight.
    HalfOpen(Option<CallNumber>),
}

impl Breaker {
    /// True if a call may go out now: any call if closed, else the trial.
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
    /// A failed call has ended, and is not just overdue.
    pub(crate) failure_confirmed: bool,
    pub(crate) retry_after_until: Duration,
    pub(crate) backoff_until: Duration,
    pub(crate) consecutive_rejections: u32,
    pub(crate) rejected_since: Duration,
    /// Calls a second of all relays together.
    pub(crate) rate_limit: f64,
    /// Answers told the rate limit, where none is listed.
    pub(crate) rate_limit_reported: bool,
    /// This relay's share of the rate limit.
    pub(crate) rate_share: f64,
    /// When the share was last cut; zero if it never was.
    pub(crate) rate_share_decreased_at: Duration,
    pub(crate) rate_budget: TokenBucket,
    pub(crate) slow_start_since: Option<Duration>,
    pub(crate) slow_start_budget: TokenBucket,
    /// A value of 1 for each failure, of 0 for each answer.
    pub(crate) recent_results: SlidingWindow<RECENT_RESULT_WINDOW_SECONDS>,
    pub(crate) answered_calls: SlidingWindow<RATE_ESTIMATE_WINDOW_SECONDS>,
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

    /// An attempt of a failed call has ended.
    pub(crate) fn confirm_failure(&mut self) {
        self.failure_confirmed = self.consecutive_failures > 0;
    }

    /// True if its rate limit was not told exactly.
    pub(crate) fn is_rate_inexact(&self, listed: ListedRate) -> bool {
        listed == ListedRate::Approximate || self.rate_limit_reported
    }

    /// True if a `Retry-After` was told that reaches past the first of the rejections in a row.
    pub(crate) fn has_retry_after_since_rejected(&self) -> bool {
        self.retry_after_until >= self.rejected_since
    }

    /// Counts a failure; while the breaker is closed the count begins anew after `window`.
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

    pub(crate) fn decrease_rate_share(&mut self, now: Duration, most: f64, factor: f64, least: f64) {
        self.rate_share = (self.rate_share.min(most) * factor).max(least);
        self.rate_share_decreased_at = now;
    }

    pub(crate) fn extend_retry_after(&mut self, until: Duration) {
        self.retry_after_until = self.retry_after_until.max(until);
    }

    /// Slow start runs from `since`; one that runs already keeps its budget.
    pub(crate) fn start_slow_start(&mut self, since: Duration) {
        if self.slow_start_since.is_none() {
            self.slow_start_budget = TokenBucket::new(0.0, since);
        }
        self.slow_start_since = Some(since);
    }

    /// Slow start runs from now with an empty budget.
    pub(crate) fn restart_slow_start(&mut self, now: Duration) {
        self.slow_start_since = None;
        self.start_slow_start(now);
    }

    /// True while a `Retry-After` or a slow start must not be forgotten.
    pub(crate) fn binds(&self, now: Duration, slow_start_duration: Duration) -> bool {
        now < self.retry_after_until || self.active_slow_start(now, slow_start_duration).is_some()
    }

    fn active_slow_start(&self, now: Duration, slow_start_duration: Duration) -> Option<Duration> {
        self.slow_start_since.filter(|since| now < *since + slow_start_duration)
    }

    /// What must outlive the process; none if nothing must.
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
        let retry_after_binds = now < self.retry_after_until;
        let snapshot = RouteSnapshot {
            destination: id.destination,
            endpoint: id.endpoint,
            retry_after_until: if retry_after_binds { self.retry_after_until } else { Duration::ZERO },
            open_until,
            slow_start_since: self.active_slow_start(now, slow_start_duration),
        };
        let is_needed = retry_after_binds || open_until.is_some() || snapshot.slow_start_since.is_some();
        is_needed.then_some(snapshot)
    }

    /// Takes over what an earlier process left; its open breaker stands for `consecutive_failures`.
    pub(crate) fn restore(&mut self, snapshot: &RouteSnapshot, consecutive_failures: u32, now: Duration) {
        self.extend_retry_after(snapshot.retry_after_until);
        if let Some(until) = snapshot.open_until
            && self.is_closed()
        {
            // A trial that was in flight there is not in flight here: the next message is the trial.
            self.breaker = Breaker::Open(until);
            self.consecutive_failures = consecutive_failures;
            self.failing_since = now;
        }
        if let Some(since) = snapshot.slow_start_since {
            self.start_slow_start(since);
        }
    }
}

/// All routes, with what is to be told of their changes.
#[derive(Default)]
pub(crate) struct Routes {
    by_id: BTreeMap<RouteId, Route>,
    /// Routes that may have something to be persisted: those changed since the last look, and those that had something
    /// then. As time passes nothing is added, so no look walks over the others.
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

    /// The route, which is `new` if it was not known.
    pub(crate) fn get_or_insert(&mut self, id: RouteId, new: Route) -> &mut Route {
        self.persist_candidates.insert(id);
        self.by_id.entry(id).or_insert(new)
    }

    pub(crate) fn remove(&mut self, id: RouteId) {
        self.by_id.remove(&id);
    }

    /// An attempt of a failed call has ended.
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

    /// If the call is the trial of the route, the breaker goes on to `next`.
    pub(crate) fn end_trial(&mut self, id: RouteId, call: CallNumber, next: Breaker) {
        if self.get(id).is_some_and(|route| route.is_trial(call)) {
            self.set_breaker(id, next);
        }
    }

    pub(crate) fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Takes over what an earlier process left. Routes that are not known yet are passed over.
    pub(crate) fn restore(&mut self, snapshots: &[RouteSnapshot], consecutive_failures: u32, now: Duration) {
        for snapshot in snapshots {
            let id = RouteId { destination: snapshot.destination, endpoint: snapshot.endpoint };
            if let Some(route) = self.get_mut(id) {
                route.restore(snapshot, consecutive_failures, now);
            }
        }
    }

    /// How many routes the next look for changed snapshots walks over.
    #[cfg(test)]
    pub(crate) fn persist_candidate_count(&self) -> usize {
        self.persist_candidates.len()
    }

    /// What must outlive the process, if that changed since it was last asked for.
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
