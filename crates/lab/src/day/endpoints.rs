//! What endpoints make of the calls that come to them.

use super::calls::Stage;
use super::events::Event;
use super::{AT_ONCE, Day};
use crate::Time;
use crate::chance::What;
use crate::world::by_zone;
use mountshift::interface::Outcome;
use mountshift_invariants::Fact;
use mountshift_scenario::Effect;
use std::time::Duration;

/// One message in so many is struck by a heavy tail.
const TAIL: f64 = 0.05;

/// The part of what was left behind by callers that is worked on all the same.
const LEFT_BEHIND: f64 = 0.5;

/// What a retry over the network waits for after a silence, at most.
const AGAIN_AFTER_SILENCE: f64 = 200_000.0;

impl Day<'_> {
    /// A call's last byte comes to its endpoint.
    pub(super) fn reach(&mut self, n: u64) {
        let Some(call) = self.calls.get(&n) else { return };
        let (relay, at, epoch, open, items) = (call.relay, call.at, call.epoch, call.open, call.legs.len());
        let silent = self.silent_until(relay, at);
        let server = &self.servers[at as usize];
        if !open {
            self.done(n);
            return;
        }
        if server.epoch != epoch {
            self.broken(n, Outcome::Reset, self.way(relay, at));
            return;
        }
        if silent > self.now {
            let again = self.world.chance.part(What::LeftBehind, n, 1) * AGAIN_AFTER_SILENCE;
            self.at(silent + again as Time, Event::Reach(n));
            return;
        }
        if server.state.vanished || server.gone {
            // Nobody is there; its relay finds out by its own limit.
            self.done(n);
            return;
        }
        let (route_id, group) = (server.route, server.group);
        let weight = 1.0 + self.world.scenario.groups[group].further.0 * (items as f64 - 1.0);
        let now = self.now;
        self.calls.entry(n).and_modify(|c| c.came = now);
        self.tally.reached(route_id, self.now);
        self.fact(Fact::Reached { call: n, relay, endpoint: at, weight: weight as f32 });
        let route = &mut self.routes[route_id as usize];
        self.tally.calls_into_outages += u64::from(route.out);
        if route.weigh(self.now, weight, &self.world) {
            self.fall_over(route_id);
            return;
        }
        let lie = self.world.chance.part(What::Wait, n, 0);
        let route = &mut self.routes[route_id as usize];
        let state = &self.servers[at as usize].state;
        if state.shut {
            self.refuse(n, 0);
        } else if let Some(wait) = route.refuses(self.now, lie) {
            self.refuse(n, wait);
        } else if self.world.chance.part(What::Fails, n, 0) < state.errors {
            if self.world.chance.part(What::HalfRan, n, 0) < 0.5 {
                self.run(n);
            }
            self.broken(n, Outcome::Error, AT_ONCE + self.way(relay, at));
            self.done(n);
        } else if self.servers[at as usize].queue.len() as u32 >= self.world.scenario.groups[group].queue {
            self.refuse(n, 0);
        } else {
            self.calls.entry(n).and_modify(|c| c.stage = Stage::Queued);
            self.servers[at as usize].queue.push_back(n);
            self.start_queued(at);
        }
    }

    pub(super) fn refuse(&mut self, n: u64, wait: Time) {
        let Some(call) = self.calls.get(&n) else { return };
        let (relay, at) = (call.relay, call.at);
        let later = AT_ONCE + self.way(relay, at);
        let full = Outcome::Rejected { retry_after: Duration::from_micros(wait) };
        self.broken(n, full, later);
        self.done(n);
    }

    /// Puts waiting calls to work where workers are free.
    pub(super) fn start_queued(&mut self, at: u32) {
        loop {
            let server = &mut self.servers[at as usize];
            let idle = server.busy < server.workers && server.state.frozen_until <= self.now;
            if !idle || server.state.refuses || server.state.vanished || server.gone {
                return;
            }
            let Some(n) = server.queue.pop_front() else { return };
            let Some(call) = self.calls.get(&n) else { continue };
            if !call.open && self.world.chance.part(What::LeftBehind, n, 0) >= LEFT_BEHIND {
                self.done(n);
                continue;
            }
            let took = self.work(n, at);
            let server = &mut self.servers[at as usize];
            server.busy += 1;
            server.running.push(n);
            let epoch = server.epoch;
            self.calls.entry(n).and_modify(|c| c.stage = Stage::Running);
            self.at(self.now + took, Event::Finish(n, epoch));
        }
    }

    /// How long a call takes an endpoint now.
    pub(super) fn work(&self, n: u64, at: u32) -> Time {
        let server = &self.servers[at as usize];
        let group = &self.world.scenario.groups[server.group];
        let call = &self.calls[&n];
        // By request and place, so that another policy that sends it there meets the same answer time.
        let first = call.legs.first().and_then(|msg| self.msgs.get(msg)).map_or(n, |m| u64::from(m.request));
        let drawn = self.world.chance.factor(What::Service, group.spread.0, first, u64::from(at));
        let items = 1.0 + group.further.0 * (call.legs.len() as f64 - 1.0);
        let tail = |(lane, times): &(u16, f64)| {
            let of_lane = |msg: &u64| {
                self.msgs.get(msg).is_some_and(|m| self.requests[m.request as usize].lane == *lane)
            };
            let struck = call.legs.iter().any(of_lane)
                && self.world.chance.part(What::Tail, first, u64::from(at)) < TAIL;
            if struck { *times } else { 1.0 }
        };
        let tails: f64 = server.state.tails.iter().map(tail).product();
        let share = self.routes[server.route as usize].share(self.now, &self.world);
        let span = group.answers.seconds() * drawn * items * tails * server.state.slow / share.max(0.01);
        ((span * 1e6) as Time).max(100)
    }

    /// The messages of a call take effect.
    pub(super) fn run(&mut self, n: u64) {
        let Some(call) = self.calls.get(&n) else { return };
        let (at, came, legs) = (call.at, call.came, call.legs.clone());
        let (zone, dst) = (self.servers[at as usize].zone, self.servers[at as usize].dst);
        for msg in legs {
            let Some(request) = self.msgs.get(&msg).map(|m| m.request) else { continue };
            let lane = &self.world.scenario.lanes[usize::from(self.requests[request as usize].lane)];
            let mut repeat = false;
            if lane.effect == Effect::Keyed {
                let place = if by_zone(lane) { u32::from(zone) } else { dst };
                let memory = lane.memory.map_or(0, |m| m.us());
                // It is known from its first coming on, but counts as done only once it has run: a first try that
                // died in the queue must not swallow the second.
                let (since, ran) = self.memories.entry((msg, place)).or_insert((came, false));
                repeat = *ran && came <= *since + memory;
                if !repeat {
                    (*since, *ran) = (if *ran { came } else { *since }, true);
                }
            }
            if let Some(m) = self.msgs.get_mut(&msg).filter(|m| !repeat && !m.ran) {
                m.ran = true;
                self.wishes[request as usize].effects += 1;
            }
            self.fact(Fact::Ran { msg, call: n, endpoint: at, repeat });
        }
    }

    /// An endpoint has worked a call off.
    pub(super) fn finish(&mut self, n: u64, epoch: u32) {
        let Some(call) = self.calls.get(&n) else { return };
        let (relay, at, open) = (call.relay, call.at, call.open);
        let server = &mut self.servers[at as usize];
        if server.epoch != epoch || !server.running.contains(&n) {
            return;
        }
        if server.state.frozen_until > self.now {
            // It stood still meanwhile and goes on with what was left.
            let until = server.state.frozen_until + AT_ONCE;
            self.at(until, Event::Finish(n, epoch));
            return;
        }
        server.busy -= 1;
        server.running.retain(|c| *c != n);
        let resets = server.state.resets;
        self.run(n);
        let silent = self.silent_until(relay, at);
        let way = self.way(relay, at);
        if open && self.world.chance.part(What::Resets, n, 0) < resets {
            self.broken(n, Outcome::Reset, way);
            self.forget_connection(n);
        } else if open {
            let legs = self.calls[&n].legs.clone();
            if silent <= self.now {
                legs.iter().for_each(|msg| self.written(n, *msg));
            }
            let ends = legs.iter().map(|msg| (*msg, Outcome::Delivered, true)).collect();
            let comes = if silent > self.now { silent + way } else { self.now + way };
            self.at(comes, Event::Answer(n, ends, 0));
        }
        self.done(n);
        self.start_queued(at);
    }
}
