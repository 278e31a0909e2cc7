//! Counts while a day is played: worth handed in and delivered, and the course of the day by seconds.

use crate::Time;
use crate::outcome::{BreakerStep, Course, PartOutcome, RouteCourse, TroubleSpan};
use crate::traffic::Request;
use crate::world::World;
use hdrhistogram::Histogram;
use mountshift_scenario::Decay;
use std::collections::BTreeMap;

/// The window of the worst stretch, in seconds.
const WINDOW: usize = 10;
/// Routes whose load a report shows.
const ROUTES_MOST: usize = 24;
/// Routes with less worth than this a window have no worst window.
const WINDOW_LEAST: f64 = 0.02;

struct Part {
    offered: f64,
    earned: f64,
    requests: u64,
    delivered: u64,
    times: Option<Histogram<u64>>,
    course: Vec<(f64, f64)>,
}

impl Part {
    fn new(seconds: usize) -> Part {
        // Microseconds from 1 to 600 s, three digits.
        let times = Histogram::new_with_bounds(1, 600_000_000, 3).ok();
        Part {
            offered: 0.0,
            earned: 0.0,
            requests: 0,
            delivered: 0,
            times,
            course: vec![(0.0, 0.0); seconds],
        }
    }

    fn outcome(&self, name: &str) -> PartOutcome {
        let at = |q: f64| self.times.as_ref().map_or(0.0, |t| t.value_at_quantile(q) as f64 / 1e3);
        PartOutcome {
            name: name.to_string(),
            service: if self.offered > 0.0 { self.earned / self.offered } else { 1.0 },
            requests: self.requests,
            delivered: self.delivered,
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
        }
    }
}

pub(crate) struct Tally {
    lanes: Vec<Part>,
    tenants: Vec<Part>,
    pub legs: Vec<f64>,
    pub messages: Vec<f64>,
    pub held: Vec<f64>,
    pub out: Vec<f64>,
    reached: BTreeMap<u32, (Vec<f64>, Vec<f64>)>,
    pub breakers: Vec<BreakerStep>,
    pub ends: BTreeMap<&'static str, u64>,
    pub failed: u64,
    pub pushed_back: u64,
    pub calls_into_outages: u64,
    pub connections: u64,
}

impl Tally {
    pub fn new(world: &World, requests: &[Request]) -> Tally {
        let s = world.scenario;
        let seconds = s.length.as_ref().seconds().ceil() as usize + 1;
        let mut tally = Tally {
            lanes: s.classes.iter().map(|_| Part::new(seconds)).collect(),
            tenants: s.tenants.iter().map(|_| Part::new(seconds)).collect(),
            legs: Vec::new(),
            messages: Vec::new(),
            held: Vec::new(),
            out: Vec::new(),
            reached: BTreeMap::new(),
            breakers: Vec::new(),
            ends: BTreeMap::new(),
            failed: 0,
            pushed_back: 0,
            calls_into_outages: 0,
            connections: 0,
        };
        for r in requests {
            let value = s.classes[usize::from(r.lane)].priority_weight.0;
            tally.parts(r, |part, second| {
                part.offered += value;
                part.requests += 1;
                part.course[second].0 += value;
            });
        }
        let struck = world.strikes.iter().flat_map(|strike| &strike.endpoints);
        for endpoint in struck {
            if tally.reached.len() < ROUTES_MOST {
                tally.reached.entry(world.places[*endpoint as usize].route).or_default();
            }
        }
        tally
    }

    fn parts(&mut self, r: &Request, mut change: impl FnMut(&mut Part, usize)) {
        let second = (r.at / 1_000_000) as usize;
        change(&mut self.lanes[usize::from(r.lane)], second);
        if let Some(tenant) = self.tenants.get_mut(r.tenant as usize) {
            change(tenant, second);
        }
    }

    /// A request was delivered in time for its deadline.
    pub fn delivered(&mut self, world: &World, r: &Request, at: Time) {
        let lane = &world.scenario.classes[usize::from(r.lane)];
        let took = (at - r.at) as f64 / 1e6;
        let (target, deadline) = (lane.latency_objective.seconds(), lane.deadline.as_ref().seconds());
        let late = (took - target).max(0.0);
        let left = match world.scenario.rules.decay {
            Decay::Linear => 1.0 - (1.0 - lane.late_weight_share.0) * (late / (deadline - target)).min(1.0),
            Decay::Halving => 0.5f64.powf(late / target.max(0.001)).max(lane.late_weight_share.0),
        };
        let worth = lane.priority_weight.0 * left;
        self.parts(r, |part, second| {
            part.earned += worth;
            part.delivered += 1;
            part.course[second].1 += worth;
            part.times.as_mut().into_iter().for_each(|t| t.saturating_record((at - r.at).max(1)));
        });
    }

    pub fn count(by_second: &mut Vec<f64>, at: Time, n: f64) {
        let second = (at / 1_000_000) as usize;
        if by_second.len() <= second {
            by_second.resize(second + 1, 0.0);
        }
        by_second[second] += n;
    }

    pub fn reached(&mut self, route: u32, at: Time) {
        if let Some((reached, _)) = self.reached.get_mut(&route) {
            Tally::count(reached, at, 1.0);
        }
    }

    /// What the routes that are shown can work off in this second.
    pub fn capacities(&mut self, at: Time, capacity: impl Fn(u32) -> f64) {
        for (route, (_, by_second)) in &mut self.reached {
            Tally::count(by_second, at, capacity(*route));
        }
    }

    /// A line of the decisions' log that tells of a breaker.
    pub fn log(&mut self, world: &World, relay: u32, at: Time, line: &str) {
        let Some(rest) = line.strip_prefix("breaker of ") else { return };
        let Some((dst, to)) =
            rest.split_once(':').and_then(|(d, r)| Some((d.parse().ok()?, r.split_once("-> ")?.1)))
        else {
            return;
        };
        let state = if to.starts_with("Closed") {
            "closed"
        } else if to.starts_with("HalfOpen") {
            "half-open"
        } else {
            "open"
        };
        let destination = world.name(dst);
        self.breakers.push(BreakerStep { relay, destination, at_s: at as f64 / 1e6, state: state.into() });
    }

    pub fn service(&self) -> f64 {
        let offered: f64 = self.lanes.iter().map(|l| l.offered).sum();
        let earned: f64 = self.lanes.iter().map(|l| l.earned).sum();
        if offered > 0.0 { earned / offered } else { 1.0 }
    }

    pub fn worst_window(&self) -> f64 {
        let seconds = self.lanes.first().map_or(0, |l| l.course.len());
        let sum = |range: std::ops::Range<usize>| {
            let lanes = self.lanes.iter().flat_map(|l| &l.course[range.clone()]);
            lanes.fold((0.0, 0.0), |t, b| (t.0 + b.0, t.1 + b.1))
        };
        let all = sum(0..seconds).0;
        let windows =
            (0..seconds.saturating_sub(WINDOW).max(1)).map(|at| sum(at..(at + WINDOW).min(seconds)));
        let worth = windows.filter(|w| w.0 > 0.0 && w.0 >= WINDOW_LEAST * all).map(|w| w.1 / w.0);
        worth.fold(1.0, f64::min)
    }

    pub fn lanes(&self, world: &World) -> Vec<PartOutcome> {
        self.lanes.iter().zip(&world.scenario.classes).map(|(part, lane)| part.outcome(&lane.name)).collect()
    }

    pub fn tenants(&self, world: &World) -> Vec<PartOutcome> {
        self.tenants.iter().zip(&world.scenario.tenants).map(|(part, t)| part.outcome(&t.name)).collect()
    }

    pub fn course(self, world: &World) -> Course {
        let route = |(route, (reached, capacity)): (u32, (Vec<f64>, Vec<f64>))| {
            let place = world.places.iter().enumerate().find(|(_, p)| p.route == route);
            let name = place.map_or(String::new(), |(_, p)| world.name(p.dst));
            RouteCourse { name, reached, capacity }
        };
        let troubles = world.scenario.troubles.iter().map(|t| {
            let t = t.as_ref();
            let whom = t.who.join(", ");
            TroubleSpan { kind: t.kind.to_string(), whom, from_s: t.from.seconds(), to_s: t.to.seconds() }
        });
        Course {
            lanes: self.lanes.into_iter().map(|l| l.course).collect(),
            tenants: self.tenants.into_iter().map(|l| l.course).collect(),
            held: self.held,
            out: self.out,
            legs: self.legs,
            messages: self.messages,
            routes: self.reached.into_iter().map(route).collect(),
            breakers: self.breakers,
            troubles: troubles.collect(),
        }
    }
}
