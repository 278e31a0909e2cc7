//! Rule 4: relays that saw a route's outage do not overload it during its slow start.

use crate::checker::InvariantChecker;
use crate::fact::seconds;
use crate::state::route::{Arrival, Route};
use crate::verdict::Rule;
use crate::{AttemptOutcome, Fact, RuleParameters};

/// Minimum share of an overload that must come from relays that saw the outage for the rule to be broken. Other
/// relays have no sign of the slow start.
const MIN_WITNESS_SHARE: f64 = 2.0 / 3.0;

/// Returns the amount by which the load on a route in slow start may exceed its budget by chance. The number of
/// independent calls has a standard deviation of its square root; one deviation is allowed, and at least one call.
pub fn overload_slack(budget: f64) -> f64 {
    budget.max(1.0).sqrt()
}

/// Returns the load allowed on a route within the overload window at `progress` (0 to 1) of its slow start.
fn load_budget(route: &Route, progress: f64, parameters: &RuleParameters) -> f64 {
    let share = parameters.slow_start_share + (1.0 - parameters.slow_start_share) * progress;
    let capacity = route.capacity * share;
    let budget = parameters.overload_multiple * capacity * parameters.overload_window as f64 / 1e6;
    budget + overload_slack(budget)
}

impl InvariantChecker {
    /// Records that a relay observed a failure, if the call was sent before the end of an outage of its route.
    pub(crate) fn record_outage_witness(
        &mut self,
        relay: u32,
        endpoint: u32,
        call: u64,
        outcome: AttemptOutcome,
        fact: Fact,
    ) {
        // An attempt that the relay ended itself is no sign of an outage.
        if matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::NotSent | AttemptOutcome::Cancelled)
        {
            return;
        }
        let now = self.now;
        let sent_at = self.call_starts.get(&call).copied().unwrap_or(now);
        let Some(route) = self.endpoints.get(&endpoint).map(|endpoint| endpoint.route) else { return };
        if let Some(route) = self.routes.get_mut(&route)
            && route.was_in_outage(sent_at)
        {
            route.add_witness(relay, now, fact);
        }
    }

    /// Records a call that arrived at an endpoint and checks the load on its route during slow start.
    pub(crate) fn record_call(&mut self, call: u64, relay: u32, endpoint: u32, weight: f64, fact: Fact) {
        let now = self.now;
        let sent_at = self.call_starts.get(&call).copied().unwrap_or(now);
        let Some(route_number) = self.endpoints.get(&endpoint).map(|endpoint| endpoint.route) else { return };
        let Some(route) = self.routes.get_mut(&route_number) else { return };
        let Some(since) = route.slow_start_since else { return };
        let progress = (now - since) as f64 / self.parameters.slow_start_duration.max(1) as f64;
        if progress >= 1.0 {
            route.slow_start_since = None;
            return;
        }
        let from_witness = route.witnesses.get(&relay).is_some_and(|observed_at| *observed_at < sent_at);
        let window = self.parameters.overload_window;
        route.add_arrival(Arrival { at: now, weight, from_witness }, window, fact);
        let budget = load_budget(route, progress, &self.parameters);
        self.check_load(route_number, budget);
    }

    /// Reports a route whose load exceeds its budget, at most once in each slow start.
    fn check_load(&mut self, route_number: u32, budget: f64) {
        let Some(route) = self.routes.get_mut(&route_number) else { return };
        let load: f64 = route.arrivals.iter().map(|arrival| arrival.weight).sum();
        let from_witnesses = route.arrivals.iter().filter(|arrival| arrival.from_witness);
        let witness_load: f64 = from_witnesses.map(|arrival| arrival.weight).sum();
        if load <= budget || witness_load < MIN_WITNESS_SHARE * load || route.overload_reported {
            return;
        }
        route.overload_reported = true;
        let history = route.history.iter().copied().collect();
        let reason = format!(
            "route {route_number}: {load:.1} calls in {:.1} s during slow start exceed the limit of {budget:.1}, \
             {witness_load:.1} of them from relays that saw its outage",
            seconds(self.parameters.overload_window)
        );
        self.report(Rule::SlowStart, reason, history);
    }
}
