//! Routes: endpoints that share limits, a capacity and outages.

use crate::Time;
use crate::rate_limit::RateLimit;
use crate::world::{ResolvedFault, World};
use mountshift_scenario::{Limit, LimitBy, Rate, RetryAfterAccuracy, ScriptedFaultKind, Span};
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum of an exact Retry-After.
const MIN_RETRY_AFTER: Time = 1_000;
/// Minimum of a wrong Retry-After, as a share of the exact one.
const WRONG_RETRY_AFTER_MIN: f64 = 0.1;
/// Difference between the longest and the shortest wrong Retry-After, as a share of the exact one.
const WRONG_RETRY_AFTER_SPREAD: f64 = 3.9;
/// Window of the limits that faults impose and that count calls.
const FAULT_LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Call that arrived during slow start, within the overload window.
struct RecentCall {
    at: Time,
    weight: f64,
}

/// Endpoints that share limits, a capacity and outages.
pub(crate) struct Route {
    pub(crate) endpoints: Vec<u32>,
    /// Calls per second outside slow start.
    pub(crate) capacity: f64,
    /// Whether it has endpoints in service and all of them are in outage.
    pub(crate) in_outage: bool,
    pub(crate) outage_since: Time,
    /// End of the outage that started the current slow start.
    pub(crate) slow_start_since: Option<Time>,
    /// Whether it was overloaded during slow start, which takes it down until the day ends.
    pub(crate) overloaded: bool,
    recent_calls: VecDeque<RecentCall>,
    recent_weight: f64,
    limits: Vec<RateLimit>,
}

impl Route {
    /// Creates a route of a group's destination, without endpoints.
    pub(crate) fn new(world: &World, group: usize) -> Route {
        let limit = world.scenario.groups[group].limit.map(|limit| RateLimit::new(limit, None, 0));
        Route {
            endpoints: Vec::new(),
            capacity: world.capacity(group),
            in_outage: false,
            outage_since: 0,
            slow_start_since: None,
            overloaded: false,
            recent_calls: VecDeque::new(),
            recent_weight: 0.0,
            limits: limit.into_iter().collect(),
        }
    }

    /// Returns the share of its capacity that is available now.
    pub(crate) fn capacity_share(&self, now: Time, world: &World) -> f64 {
        let Some(since) = self.slow_start_since else { return 1.0 };
        let rules = &world.scenario.rules;
        let warmed_up = ((now - since) as f64 / rules.slow_start_duration.us().max(1) as f64).min(1.0);
        rules.slow_start_share.0 + (1.0 - rules.slow_start_share.0) * warmed_up
    }

    /// Records an arrived call and returns whether it overloads the route.
    pub(crate) fn record_call(&mut self, now: Time, weight: f64, world: &World) -> bool {
        let Some(since) = self.slow_start_since else { return false };
        if now >= since + world.scenario.rules.slow_start_duration.us() {
            self.end_slow_start();
            return false;
        }
        self.recent_calls.push_back(RecentCall { at: now, weight });
        self.recent_weight += weight;
        // The invariant checker allows the same slack for random arrivals.
        let limit = self.overload_limit(now, world);
        self.recent_weight(now, world) > limit + mountshift_invariants::overload_slack(limit)
    }

    fn end_slow_start(&mut self) {
        self.slow_start_since = None;
        self.recent_calls.clear();
        self.recent_weight = 0.0;
    }

    /// Returns the number of calls that its limits and its slow start admit now.
    pub(crate) fn calls_allowed(&mut self, now: Time, world: &World) -> f64 {
        let by_limits = self.limits.iter_mut().map(|limit| limit.calls_allowed(now));
        let by_limits = by_limits.fold(f64::INFINITY, f64::min);
        if self.slow_start_since.is_none() {
            return by_limits;
        }
        by_limits.min(self.overload_limit(now, world) - self.recent_weight(now, world))
    }

    /// Returns the maximum weight of calls within the overload window that does not overload it.
    fn overload_limit(&self, now: Time, world: &World) -> f64 {
        let rules = &world.scenario.rules;
        rules.overload_multiple.0
            * self.capacity
            * self.capacity_share(now, world)
            * rules.overload_window.seconds()
    }

    /// Returns the weight of the calls that arrived within the overload window.
    fn recent_weight(&mut self, now: Time, world: &World) -> f64 {
        let window = world.scenario.rules.overload_window.us();
        while let Some(oldest) = self.recent_calls.front().filter(|call| call.at + window < now) {
            self.recent_weight -= oldest.weight;
            self.recent_calls.pop_front();
        }
        self.recent_weight
    }

    /// Counts a call against all limits. `drawn`, from 0 to 1, selects the Retry-After where a limit gives wrong ones.
    ///
    /// # Errors
    /// Returns the Retry-After of the response, 0 for none, if a limit rejects the call.
    pub(crate) fn admit(&mut self, now: Time, drawn: f64) -> Result<(), Time> {
        let mut longest: Option<Time> = None;
        for limit in &mut self.limits {
            if let Err(wait) = limit.admit(now) {
                let retry_after = match limit.limit.retry_after {
                    RetryAfterAccuracy::Exact => wait.max(MIN_RETRY_AFTER),
                    RetryAfterAccuracy::Missing => 0,
                    RetryAfterAccuracy::Wrong => {
                        (wait as f64 * (WRONG_RETRY_AFTER_MIN + WRONG_RETRY_AFTER_SPREAD * drawn)) as Time
                    }
                };
                longest = longest.max(Some(retry_after));
            }
        }
        match longest {
            Some(retry_after) => Err(retry_after),
            None => Ok(()),
        }
    }

    /// Adds the limit that a fault imposes when the fault begins, and removes it when the fault ends.
    pub(crate) fn change_fault_limit(
        &mut self,
        fault_id: usize,
        fault: &ResolvedFault,
        rate: f64,
        begins: bool,
        now: Time,
    ) {
        self.limits.retain(|limit| limit.set_by != Some(fault_id));
        if !begins {
            return;
        }
        if let Some(limit) = fault_limit(fault.kind, Rate(rate * fault.level)) {
            self.limits.push(RateLimit::new(limit, Some(fault_id), now));
        }
    }
}

/// Returns the limit that a kind of fault imposes.
fn fault_limit(kind: ScriptedFaultKind, rate: Rate) -> Option<Limit> {
    let window = Span(FAULT_LIMIT_WINDOW);
    let by_count = Limit {
        by: LimitBy::Count,
        rate,
        window,
        retry_after: RetryAfterAccuracy::Exact,
        rejected_calls_count: false,
    };
    match kind {
        ScriptedFaultKind::ThrottleCount => Some(by_count),
        ScriptedFaultKind::ThrottleRate => {
            Some(Limit { by: LimitBy::Rate, retry_after: RetryAfterAccuracy::Missing, ..by_count })
        }
        ScriptedFaultKind::ThrottleLies => {
            Some(Limit { by: LimitBy::Rate, retry_after: RetryAfterAccuracy::Wrong, ..by_count })
        }
        ScriptedFaultKind::ThrottleSpends => Some(Limit { rejected_calls_count: true, ..by_count }),
        _ => None,
    }
}
