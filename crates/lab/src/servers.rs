//! Endpoints and routes: what they can do now, given the troubles that strike them.

use crate::Time;
use crate::world::{Strike, World};
use mountshift_scenario::{Limit, LimitBy, Rate, RetryAfterAccuracy, Span, TroubleKind};
use std::collections::VecDeque;
use std::time::Duration;

/// What the troubles of now make of an endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    /// Connections are refused, and what was open breaks.
    pub refuses: bool,
    pub vanished: bool,
    /// Until when no byte passes, or it stands still.
    pub silent_until: Time,
    pub frozen_until: Time,
    pub hung: bool,
    pub shut: bool,
    pub errors: f64,
    pub resets: f64,
    pub stale: f64,
    pub slow: f64,
    pub tails: Vec<(u16, f64)>,
    pub tables_full: bool,
}

impl State {
    pub fn new(active: &[usize], strikes: &[Strike]) -> State {
        let mut s = State { slow: 1.0, ..State::default() };
        let both = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        for strike in active.iter().map(|i| &strikes[*i]) {
            match strike.kind {
                TroubleKind::Errors => s.errors = both(s.errors, strike.level),
                TroubleKind::Shut => s.shut = true,
                TroubleKind::Refuse | TroubleKind::Crash => s.refuses = true,
                TroubleKind::Hang => (s.hung, s.frozen_until) = (true, s.frozen_until.max(strike.to)),
                TroubleKind::Pauses => s.frozen_until = s.frozen_until.max(strike.to),
                TroubleKind::Silent => s.silent_until = s.silent_until.max(strike.to),
                TroubleKind::Vanish => s.vanished = true,
                TroubleKind::Slow => s.slow *= strike.level,
                TroubleKind::HeavyTail => s.tails.push((strike.lane, strike.level)),
                TroubleKind::Resets => s.resets = both(s.resets, strike.level),
                TroubleKind::Stale => s.stale = both(s.stale, strike.level),
                TroubleKind::TablesFull => s.tables_full = true,
                _ => {}
            }
        }
        s
    }

    /// Down, silent, hung, shut, or failing most calls.
    pub fn out(&self) -> bool {
        self.refuses || self.vanished || self.silent_until > 0 || self.hung || self.shut || self.errors >= 0.5
    }
}

/// A limit at work.
#[derive(Clone, Debug)]
struct Gate {
    limit: Limit,
    /// The trouble that set it.
    by: Option<usize>,
    tokens: f64,
    at: Time,
    window: u64,
    count: f64,
    refused: f64,
}

impl Gate {
    fn new(limit: Limit, by: Option<usize>, now: Time) -> Gate {
        Gate { limit, by, tokens: 1.0, at: now, window: 0, count: 0.0, refused: 0.0 }
    }

    /// Calls that may pass now.
    fn room(&mut self, now: Time) -> f64 {
        match self.limit.by {
            LimitBy::Rate => {
                self.refill(now);
                self.tokens
            }
            LimitBy::Count => {
                let most = self.turn(now);
                most - self.count
            }
        }
    }

    fn refill(&mut self, now: Time) {
        let rate = self.limit.rate.0;
        self.tokens = (self.tokens + rate * (now - self.at) as f64 / 1e6).min((rate * 0.1).max(1.0));
        self.at = now;
    }

    /// Begins a window if one is due; gives what a window takes.
    fn turn(&mut self, now: Time) -> f64 {
        let span = self.limit.window.us().max(1);
        let (window, most) = (now / span + 1, (self.limit.rate.0 * span as f64 / 1e6).max(1.0));
        if window != self.window {
            // What was refused in the last window takes up to half of this one.
            let spent = self.limit.rejected_calls_count && window == self.window + 1;
            self.count = if spent { self.refused.min(most / 2.0) } else { 0.0 };
            (self.window, self.refused) = (window, 0.0);
        }
        most
    }

    /// None if the call may pass, else the span until there is room.
    fn refuses(&mut self, now: Time) -> Option<Time> {
        let rate = self.limit.rate.0;
        match self.limit.by {
            LimitBy::Rate => {
                self.refill(now);
                if self.tokens >= 1.0 {
                    self.tokens -= 1.0;
                    return None;
                }
                if self.limit.rejected_calls_count {
                    self.tokens = (self.tokens - 0.5).max(-rate);
                }
                Some(((1.0 - self.tokens) / rate * 1e6) as Time)
            }
            LimitBy::Count => {
                let (span, most) = (self.limit.window.us().max(1), self.turn(now));
                if self.count + 1.0 <= most {
                    self.count += 1.0;
                    return None;
                }
                self.refused += 1.0;
                Some(span - now % span)
            }
        }
    }
}

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
        let warm =
            |since: Time| ((now - since) as f64 / rules.slow_start_duration.us().max(1) as f64).min(1.0);
        self.cold_since
            .map_or(1.0, |since| rules.slow_start_share.0 + (1.0 - rules.slow_start_share.0) * warm(since))
    }

    /// A call has come; true if that pushes it over.
    pub fn weigh(&mut self, now: Time, weight: f64, world: &World) -> bool {
        let rules = &world.scenario.rules;
        if self.cold_since.is_some_and(|since| now >= since + rules.slow_start_duration.us()) {
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
        self.weighed(now, world) > takes + mountshift_invariants::overload_slack(takes)
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
        rules.overload_multiple.0 * self.capacity * self.share(now, world) * rules.overload_window.seconds()
    }

    /// What came within the last fall span.
    fn weighed(&mut self, now: Time, world: &World) -> f64 {
        while let Some((_, old)) =
            self.load.front().copied().filter(|l| l.0 + world.scenario.rules.overload_window.us() < now)
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
                let says = match gate.limit.retry_after {
                    RetryAfterAccuracy::Exact => wait.max(1_000),
                    RetryAfterAccuracy::Missing => 0,
                    RetryAfterAccuracy::Wrong => (wait as f64 * (0.1 + 3.9 * lie)) as Time,
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
            TroubleKind::ThrottleCount => (LimitBy::Count, RetryAfterAccuracy::Exact, false),
            TroubleKind::ThrottleRate => (LimitBy::Rate, RetryAfterAccuracy::Missing, false),
            TroubleKind::ThrottleLies => (LimitBy::Rate, RetryAfterAccuracy::Wrong, false),
            TroubleKind::ThrottleSpends => (LimitBy::Count, RetryAfterAccuracy::Exact, true),
            _ => return,
        };
        if on {
            let (limit_by, waits, spent_by_refused) = kind;
            let window = Span(Duration::from_secs(1));
            let limit = Limit {
                by: limit_by,
                rate: Rate(rate * strike.level),
                window,
                retry_after: waits,
                rejected_calls_count: spent_by_refused,
            };
            self.gates.push(Gate::new(limit, Some(by), now));
        }
    }
}

/// An endpoint at work.
pub(crate) struct Server {
    pub dst: u32,
    pub group: usize,
    pub zone: u8,
    pub route: u32,
    pub workers: u32,
    pub busy: u32,
    pub queue: VecDeque<u64>,
    pub running: Vec<u64>,
    pub connections: u32,
    /// Grows each time its connections break.
    pub epoch: u32,
    pub gone: bool,
    /// Another one that took its address over.
    pub successor: Option<u32>,
    pub active: Vec<usize>,
    pub state: State,
}

impl Server {
    pub fn new(world: &World, dst: u32, group: usize, zone: u8, route: u32, peers: u32) -> Server {
        let g = &world.scenario.groups[group];
        // The mean of what is drawn around the median.
        let mean =
            g.response_time.seconds() * (g.response_time_spread.0 * g.response_time_spread.0 / 2.0).exp();
        let share = world.capacity(group) / f64::from(peers.max(1));
        Server {
            dst,
            group,
            zone,
            route,
            workers: ((share * mean).ceil() as u32).max(1),
            busy: 0,
            queue: VecDeque::new(),
            running: Vec::new(),
            connections: 0,
            epoch: 0,
            gone: false,
            successor: None,
            active: Vec::new(),
            state: State { slow: 1.0, ..State::default() },
        }
    }
}
