//! Endpoints: what they can do now, given the troubles that strike them.

use crate::Time;
use crate::world::{Strike, World};
use mountshift_scenario::TroubleKind;
use std::collections::VecDeque;

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
        let mean = g.answers.seconds() * (g.spread.0 * g.spread.0 / 2.0).exp();
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
