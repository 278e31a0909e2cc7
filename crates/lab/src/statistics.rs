//! Statistics of a simulated day: worth submitted and delivered, and a timeline by second.

use crate::Time;
use crate::outcome::{BreakerStep, DayTimeline, FaultSpan, PartOutcome, RouteTimeline};
use crate::traffic::Request;
use crate::world::World;
use hdrhistogram::Histogram;
use mountshift_scenario::{Decay, MessageClass};
use std::collections::BTreeMap;

const MICROSECONDS_PER_SECOND: Time = 1_000_000;
/// Length of the worst window, in seconds.
const WORST_WINDOW_SECONDS: usize = 10;
/// Minimum share of the day's submitted worth for a window to count as the worst one.
const MIN_WINDOW_SHARE: f64 = 0.02;
/// Maximum number of routes whose load is recorded for a report.
const MAX_RECORDED_ROUTES: usize = 24;
/// Maximum delivery time in the histogram, in microseconds; longer times are recorded as this one.
const MAX_DELIVERY_TIME: u64 = 600_000_000;
/// Precision of delivery times, in significant decimal digits.
const DELIVERY_TIME_DIGITS: u8 = 3;
/// Minimum half-life of the worth of a late message, in seconds, for classes with a shorter latency objective.
const MIN_HALF_LIFE: f64 = 0.001;
/// Prefix of log lines of the decisions about state changes of a circuit breaker.
const BREAKER_LOG_PREFIX: &str = "breaker of ";

/// Worth submitted and delivered. The worth of a request is the priority weight of its message class; late delivery
/// reduces it.
#[derive(Clone, Copy, Default)]
struct Worth {
    submitted: f64,
    delivered: f64,
}

impl Worth {
    fn add(&mut self, other: Worth) {
        self.submitted += other.submitted;
        self.delivered += other.delivered;
    }

    fn service(&self) -> f64 {
        if self.submitted > 0.0 { self.delivered / self.submitted } else { 1.0 }
    }
}

/// Statistics of a message class or a tenant.
struct PartStatistics {
    worth: Worth,
    requests: u64,
    delivered: u64,
    delivery_times: Option<Histogram<u64>>,
    /// Worth by second of arrival.
    timeline: Vec<Worth>,
}

impl PartStatistics {
    fn new(seconds: usize) -> PartStatistics {
        PartStatistics {
            worth: Worth::default(),
            requests: 0,
            delivered: 0,
            delivery_times: Histogram::new_with_bounds(1, MAX_DELIVERY_TIME, DELIVERY_TIME_DIGITS).ok(),
            timeline: vec![Worth::default(); seconds],
        }
    }

    fn record_request(&mut self, second: usize, worth: f64) {
        self.worth.submitted += worth;
        self.requests += 1;
        self.timeline[second].submitted += worth;
    }

    fn record_delivery(&mut self, second: usize, worth: f64, delivery_time: Time) {
        self.worth.delivered += worth;
        self.delivered += 1;
        self.timeline[second].delivered += worth;
        if let Some(times) = &mut self.delivery_times {
            times.saturating_record(delivery_time.max(1));
        }
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        let Some(times) = &self.delivery_times else { return 0.0 };
        times.value_at_quantile(quantile) as f64 / 1e3
    }

    fn outcome(&self, name: &str) -> PartOutcome {
        PartOutcome {
            name: name.to_string(),
            service: self.worth.service(),
            requests: self.requests,
            delivered: self.delivered,
            p50_ms: self.quantile_ms(0.5),
            p90_ms: self.quantile_ms(0.9),
            p99_ms: self.quantile_ms(0.99),
        }
    }

    fn timeline_pairs(self) -> Vec<(f64, f64)> {
        self.timeline.into_iter().map(|worth| (worth.submitted, worth.delivered)).collect()
    }
}

/// Quantity by second of the day.
#[derive(Default)]
pub(crate) struct BySecond(Vec<f64>);

impl BySecond {
    /// Adds an amount to the second of a time.
    pub(crate) fn add(&mut self, at: Time, amount: f64) {
        let second = (at / MICROSECONDS_PER_SECOND) as usize;
        if self.0.len() <= second {
            self.0.resize(second + 1, 0.0);
        }
        self.0[second] += amount;
    }
}

/// Number of calls that arrived at a route, and number of calls that it could process.
#[derive(Default)]
struct RouteLoad {
    arrived: BySecond,
    capacity: BySecond,
}

/// Statistics of a day.
pub(crate) struct Statistics {
    classes: Vec<PartStatistics>,
    tenants: Vec<PartStatistics>,
    pub(crate) attempts: BySecond,
    pub(crate) submissions: BySecond,
    pub(crate) queued: BySecond,
    pub(crate) calls_in_flight: BySecond,
    /// Load of the recorded routes, by route number.
    routes: BTreeMap<u32, RouteLoad>,
    breakers: Vec<BreakerStep>,
    /// Number of attempts by outcome.
    pub(crate) attempt_ends: BTreeMap<&'static str, u64>,
    pub(crate) failed: u64,
    pub(crate) rejected: u64,
    pub(crate) calls_into_outages: u64,
    pub(crate) connections: u64,
}

impl Statistics {
    /// Creates the statistics of a day with its requests recorded.
    pub(crate) fn new(world: &World, requests: &[Request]) -> Statistics {
        let scenario = world.scenario;
        let seconds = scenario.length.as_ref().seconds().ceil() as usize + 1;
        let mut statistics = Statistics {
            classes: scenario.classes.iter().map(|_| PartStatistics::new(seconds)).collect(),
            tenants: scenario.tenants.iter().map(|_| PartStatistics::new(seconds)).collect(),
            attempts: BySecond::default(),
            submissions: BySecond::default(),
            queued: BySecond::default(),
            calls_in_flight: BySecond::default(),
            routes: recorded_routes(world),
            breakers: Vec::new(),
            attempt_ends: BTreeMap::new(),
            failed: 0,
            rejected: 0,
            calls_into_outages: 0,
            connections: 0,
        };
        for request in requests {
            let worth = scenario.classes[usize::from(request.class)].priority_weight.0;
            statistics.update_parts(request, |part, second| part.record_request(second, worth));
        }
        statistics
    }

    /// Updates the statistics of a request's class and tenant; `change` gets the second of the arrival.
    fn update_parts(&mut self, request: &Request, mut change: impl FnMut(&mut PartStatistics, usize)) {
        let second = (request.at / MICROSECONDS_PER_SECOND) as usize;
        change(&mut self.classes[usize::from(request.class)], second);
        if let Some(tenant) = self.tenants.get_mut(request.tenant as usize) {
            change(tenant, second);
        }
    }

    /// Records that a request was delivered before its deadline.
    pub(crate) fn record_delivery(&mut self, world: &World, request: &Request, at: Time) {
        let class = &world.scenario.classes[usize::from(request.class)];
        let delivery_time = at - request.at;
        let worth =
            class.priority_weight.0 * remaining_worth_share(class, world.scenario.rules.decay, delivery_time);
        self.update_parts(request, |part, second| part.record_delivery(second, worth, delivery_time));
    }

    /// Records that a call arrived at a route.
    pub(crate) fn record_arrival(&mut self, route: u32, at: Time) {
        if let Some(load) = self.routes.get_mut(&route) {
            load.arrived.add(at, 1.0);
        }
    }

    /// Records how many calls each recorded route can process in this second.
    pub(crate) fn sample_capacities(&mut self, at: Time, capacity: impl Fn(u32) -> f64) {
        for (route, load) in &mut self.routes {
            load.capacity.add(at, capacity(*route));
        }
    }

    /// Records a breaker's state change if a log line of the decisions reports one.
    pub(crate) fn read_log_line(&mut self, world: &World, relay: u32, at: Time, line: &str) {
        if let Some((destination, state)) = parse_breaker_line(line) {
            let destination = world.destination_name(destination);
            let at_s = at as f64 / 1e6;
            self.breakers.push(BreakerStep { relay, destination, at_s, state: state.to_string() });
        }
    }

    /// Returns worth delivered over worth submitted, 0 to 1.
    pub(crate) fn service(&self) -> f64 {
        let submitted: f64 = self.classes.iter().map(|class| class.worth.submitted).sum();
        let delivered: f64 = self.classes.iter().map(|class| class.worth.delivered).sum();
        Worth { submitted, delivered }.service()
    }

    /// Returns the service of the worst window among those with enough submitted worth.
    pub(crate) fn worst_window(&self) -> f64 {
        let seconds = self.classes.first().map_or(0, |class| class.timeline.len());
        let min_submitted = MIN_WINDOW_SHARE * self.worth_between(0, seconds).submitted;
        let last_start = seconds.saturating_sub(WORST_WINDOW_SECONDS).max(1);
        let mut worst: f64 = 1.0;
        for start in 0..last_start {
            let window = self.worth_between(start, (start + WORST_WINDOW_SECONDS).min(seconds));
            if window.submitted > 0.0 && window.submitted >= min_submitted {
                worst = worst.min(window.service());
            }
        }
        worst
    }

    fn worth_between(&self, start: usize, end: usize) -> Worth {
        let mut sum = Worth::default();
        for class in &self.classes {
            for worth in &class.timeline[start..end] {
                sum.add(*worth);
            }
        }
        sum
    }

    /// Returns the results of each message class.
    pub(crate) fn classes(&self, world: &World) -> Vec<PartOutcome> {
        let named = self.classes.iter().zip(&world.scenario.classes);
        named.map(|(part, class)| part.outcome(&class.name)).collect()
    }

    /// Returns the results of each tenant.
    pub(crate) fn tenants(&self, world: &World) -> Vec<PartOutcome> {
        let named = self.tenants.iter().zip(&world.scenario.tenants);
        named.map(|(part, tenant)| part.outcome(&tenant.name)).collect()
    }

    /// Returns the timeline of the day for a report.
    pub(crate) fn timeline(self, world: &World) -> DayTimeline {
        let faults = world.scenario.faults.iter().map(|fault| fault_span(fault.as_ref()));
        let routes = self.routes.into_iter().map(|(route, load)| RouteTimeline {
            name: route_name(world, route),
            calls: load.arrived.0,
            capacity: load.capacity.0,
        });
        DayTimeline {
            classes: self.classes.into_iter().map(PartStatistics::timeline_pairs).collect(),
            tenants: self.tenants.into_iter().map(PartStatistics::timeline_pairs).collect(),
            queued: self.queued.0,
            calls_in_flight: self.calls_in_flight.0,
            attempts: self.attempts.0,
            submissions: self.submissions.0,
            routes: routes.collect(),
            breakers: self.breakers,
            faults: faults.collect(),
        }
    }
}

/// Returns the routes of the endpoints that are targets of faults, up to [`MAX_RECORDED_ROUTES`].
fn recorded_routes(world: &World) -> BTreeMap<u32, RouteLoad> {
    let mut routes = BTreeMap::new();
    for endpoint in world.faults.iter().flat_map(|fault| &fault.endpoints) {
        if routes.len() >= MAX_RECORDED_ROUTES {
            break;
        }
        routes.entry(world.endpoints[*endpoint as usize].route).or_default();
    }
    routes
}

/// Returns the share of its worth that a message keeps when it is delivered.
fn remaining_worth_share(class: &MessageClass, decay: Decay, delivery_time: Time) -> f64 {
    let objective = class.latency_objective.seconds();
    let deadline = class.deadline.as_ref().seconds();
    let lateness = (delivery_time as f64 / 1e6 - objective).max(0.0);
    match decay {
        Decay::Linear => {
            1.0 - (1.0 - class.late_weight_share.0) * (lateness / (deadline - objective)).min(1.0)
        }
        Decay::Halving => 0.5f64.powf(lateness / objective.max(MIN_HALF_LIFE)).max(class.late_weight_share.0),
    }
}

/// Parses the destination and the new state of a breaker from a line like `breaker of 3: Closed -> Open(..)`.
fn parse_breaker_line(line: &str) -> Option<(u32, &'static str)> {
    let (destination, change) = line.strip_prefix(BREAKER_LOG_PREFIX)?.split_once(':')?;
    let destination = destination.parse().ok()?;
    let (_, state) = change.split_once("-> ")?;
    let state = if state.starts_with("Closed") {
        "closed"
    } else if state.starts_with("HalfOpen") {
        "half-open"
    } else {
        "open"
    };
    Some((destination, state))
}

/// Returns the name of the destination that a route belongs to.
fn route_name(world: &World, route: u32) -> String {
    let endpoint = world.endpoints.iter().find(|endpoint| endpoint.route == route);
    endpoint.map_or(String::new(), |endpoint| world.destination_name(endpoint.destination))
}

fn fault_span(fault: &mountshift_scenario::ScriptedFault) -> FaultSpan {
    FaultSpan {
        kind: fault.kind.to_string(),
        targets: fault.targets.join(", "),
        from_s: fault.from.seconds(),
        to_s: fault.to.seconds(),
    }
}
