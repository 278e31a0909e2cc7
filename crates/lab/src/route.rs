//! Routes: endpoints that share one limit, one capacity and one outage.

use crate::Time;
use crate::rate_limit::Gate;
use crate::world::{Strike, World};
use mountshift_scenario::{Limit, LimitBy, Rate, Span, TroubleKind, Waits};
use std::collections::VecDeque;
use std::time::Duration;

/// Endpoints that share one limit, one capacity and one outage.
pub(crate) struct Route {
    pub endpoints: Vec<u32>,
    /// Calls a second while warm.
    pub capacity: f64,
    pub out: bool,
    pub out_since: Time,
    pub cold_since: Option<Time>,
    /// Pushed over: down until the day ends.
    pub fallen: bool,
    load: VecDeque<(Time, f64)>,
    weighed: f64,
    gates: Vec<Gate>,
}

impl Route {
    pub fn new(world: &World, group: usize) -> Route {
        let gates = world.scenario.groups[group].limit.map(|l| Gate::new(l, None, 0));
        Route {
            endpoints: Vec::new(),
            capacity: world.capacity(group),
            out: false,
            out_since: 0,
            cold_since: None,
            fallen: false,
            load: VecDeque::new(),
            weighed: 0.0,
            gates: gates.into_iter().collect(),
        }
    }

    /// The share of its capacity that it has now.
    pub fn share(&self, now: Time, world: &World) -> f64 {
        let rules = &world.scenario.rules;
        let warm = |since: Time| ((now - since) as f64 / rules.warm_after.us().max(1) as f64).min(1.0);
        self.cold_since.map_or(1.0, |since| rules.cold_from.0 + (1.0 - rules.cold_from.0) * warm(since))
    }

    /// A call has come; true if that pushes it over.
    pub fn weigh(&mut self, now: Time, weight: f64, world: &World) -> bool {
        let rules = &world.scenario.rules;
        if self.cold_since.is_some_and(|since| now >= since + rules.warm_after.us()) {
            self.cold_since = None;
            self.load.clear();
            self.weighed = 0.0;
        }
        if self.cold_since.is_none() {
            return false;
        }
        self.load.push_back((now, weight));
        self.weighed += weight;
        // A little slack for chance, as the judge allows it.
        let takes = self.takes(now, world);
        self.weighed(now, world) > takes + mountshift_invariants::cold_slack(takes)
    }

    /// Calls that its limits and what it bears while cold let through now.
    pub fn room(&mut self, now: Time, world: &World) -> f64 {
        let gates = self.gates.iter_mut().map(|g| g.room(now)).fold(f64::INFINITY, f64::min);
        let cold = if self.cold_since.is_some() {
            self.takes(now, world) - self.weighed(now, world)
        } else {
            f64::INFINITY
        };
        gates.min(cold)
    }

    fn takes(&self, now: Time, world: &World) -> f64 {
        let rules = &world.scenario.rules;
        rules.fall_multiple.0 * self.capacity * self.share(now, world) * rules.fall.seconds()
    }

    /// What came within the last fall span.
    fn weighed(&mut self, now: Time, world: &World) -> f64 {
        while let Some((_, old)) =
            self.load.front().copied().filter(|l| l.0 + world.scenario.rules.fall.us() < now)
        {
            self.load.pop_front();
            self.weighed -= old;
        }
        self.weighed
    }

    /// None if the call may pass the limits, else what the caller is told to wait; `lie` draws a wrong one.
    pub fn refuses(&mut self, now: Time, lie: f64) -> Option<Time> {
        let mut told = None;
        for gate in &mut self.gates {
            if let Some(wait) = gate.refuses(now) {
                let says = match gate.limit.waits {
                    Waits::True => wait.max(1_000),
                    Waits::Missing => 0,
                    Waits::Lying => (wait as f64 * (0.1 + 3.9 * lie)) as Time,
                };
                told = Some(told.unwrap_or(0).max(says));
            }
        }
        told
    }

    /// Sets or lifts the limit that a trouble brings.
    pub fn throttle(&mut self, by: usize, strike: &Strike, rate: f64, on: bool, now: Time) {
        self.gates.retain(|g| g.by != Some(by));
        let kind = match strike.kind {
            TroubleKind::ThrottleCount => (LimitBy::Count, Waits::True, false),
            TroubleKind::ThrottleRate => (LimitBy::Rate, Waits::Missing, false),
            TroubleKind::ThrottleLies => (LimitBy::Rate, Waits::Lying, false),
            TroubleKind::ThrottleSpends => (LimitBy::Count, Waits::True, true),
            _ => return,
        };
        if on {
            let (limit_by, waits, spent_by_refused) = kind;
            let window = Span(Duration::from_secs(1));
            let limit =
                Limit { by: limit_by, rate: Rate(rate * strike.level), window, waits, spent_by_refused };
            self.gates.push(Gate::new(limit, Some(by), now));
        }
    }
}
