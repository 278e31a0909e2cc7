//! Calls on their way: connections, what endpoints make of them, and how they end at their relay.

use super::{AT_ONCE, Call, Client, Day, Event, Stage};
use crate::Time;
use crate::chance::What;
use crate::host::Came;
use crate::world::by_zone;
use mountshift::interface::Outcome;
use mountshift_invariants::Fact;
use mountshift_scenario::Idempotency;
use std::time::Duration;

/// One way through the network, inside a zone and across.
const NEAR: Time = 300;
const FAR: Time = 1_200;
/// One message in so many is struck by a heavy tail.
const TAIL: f64 = 0.05;
/// The part of what was left behind by callers that is worked on all the same.
const LEFT_BEHIND: f64 = 0.5;
/// An idle connection is not used for the last part of its time.
const IDLE_USED: f64 = 0.9;
/// What a retry over the network waits for after a silence, at most.
const AGAIN_AFTER_SILENCE: f64 = 200_000.0;

impl Day<'_> {
    pub(super) fn way(&self, relay: u32, endpoint: u32) -> Time {
        let near = self.world.relay_zone(relay) == self.servers[endpoint as usize].zone;
        if near { NEAR } else { FAR }
    }

    /// Until when no byte passes between the two; 0 if they do.
    pub(super) fn silent_until(&self, relay: u32, endpoint: u32) -> Time {
        let cut = self.cuts.iter().map(|n| &self.world.strikes[*n]);
        let cut = cut.filter(|s| s.relays.contains(&relay) && s.endpoints.binary_search(&endpoint).is_ok());
        cut.map(|s| s.to).max().unwrap_or(0).max(self.servers[endpoint as usize].state.silent_until)
    }

    pub(super) fn call(&mut self, relay: u32, n: u64, to: u32, legs: Vec<u64>, limit: Time) {
        let mut at = to;
        while let Some(next) = self.servers[at as usize].successor {
            at = next;
        }
        let way = self.way(relay, at);
        let server = &self.servers[at as usize];
        let (epoch, fresh) = (server.epoch, self.now.saturating_sub(self.idle_used()));
        let pool = self.idle.get_mut(&(relay, to));
        let (kept, dropped) = pool.map_or((None, 0), |pool| {
            let before = pool.len();
            pool.retain(|c| c.0 >= fresh && c.1 == epoch);
            let dropped = (before - pool.len()) as u32;
            (pool.pop(), dropped)
        });
        let server = &mut self.servers[at as usize];
        server.connections = server.connections.saturating_sub(dropped);
        let call = Call {
            relay,
            to,
            at,
            epoch,
            legs,
            open: true,
            connected: kept.is_some(),
            stage: Stage::OnItsWay,
            came: 0,
        };
        let stale = kept.is_some_and(|c| c.0 + 200_000 < self.now)
            && self.world.chance.part(What::Stale, n, 0) < self.servers[at as usize].state.stale;
        self.calls.insert(n, call);
        self.at(self.now + limit.max(1), Event::Limit(n));
        if stale {
            self.broken(n, Outcome::Reset, 2 * way);
        } else if kept.is_some() {
            self.at(self.now + way, Event::Reach(n));
        } else {
            self.connect(n, way);
        }
    }

    fn idle_used(&self) -> Time {
        (self.world.scenario.relays.idle_timeout.us() as f64 * IDLE_USED) as Time
    }

    /// The call ends at its relay without an answer, a while from now.
    pub(super) fn broken(&mut self, n: u64, outcome: Outcome, later: Time) {
        let Some(call) = self.calls.get(&n) else { return };
        let ends = call.legs.iter().map(|msg| (*msg, outcome, false)).collect();
        self.at(self.now + later, Event::Answer(n, ends, 0));
    }

    fn connect(&mut self, n: u64, way: Time) {
        let (relay, at) = {
            let call = &self.calls[&n];
            (call.relay, call.at)
        };
        let silent = self.silent_until(relay, at) > self.now;
        let route = self.servers[at as usize].route as usize;
        let server = &mut self.servers[at as usize];
        let group = &self.world.scenario.groups[server.group];
        if server.state.vanished || silent || (server.gone && server.successor.is_none()) {
            // The list may still hold what is gone: its machine says nothing.
            let never = self.world.scenario.relays.connect_timeout.us();
            self.broken(n, Outcome::ConnectFailed, never);
        } else if server.state.refuses || self.routes[route].fallen {
            self.broken(n, Outcome::ConnectFailed, 2 * way);
        } else if server.state.tables_full || server.connections >= group.max_connections.get() {
            self.sweep(at);
            let server = &self.servers[at as usize];
            let most = self.world.scenario.groups[server.group].max_connections.get();
            if server.state.tables_full || server.connections >= most {
                self.broken(n, Outcome::ConnectFailed, 2 * way);
            } else {
                self.connected(n, at, way);
            }
        } else {
            self.connected(n, at, way);
        }
    }

    fn connected(&mut self, n: u64, at: u32, way: Time) {
        self.servers[at as usize].connections += 1;
        self.tally.connections += 1;
        self.calls.entry(n).and_modify(|c| c.connected = true);
        self.at(self.now + 3 * way, Event::Reach(n));
    }

    /// Closes what has stood idle too long at an endpoint whose table seems full.
    fn sweep(&mut self, at: u32) {
        let oldest = self.now.saturating_sub(self.world.scenario.relays.idle_timeout.us());
        for relay in 0..self.relays.len() as u32 {
            if let Some(pool) = self.idle.get_mut(&(relay, at)) {
                let before = pool.len();
                pool.retain(|c| c.0 >= oldest);
                let gone = (before - pool.len()) as u32;
                let server = &mut self.servers[at as usize];
                server.connections = server.connections.saturating_sub(gone);
            }
        }
    }

    pub(super) fn close_idle(&mut self, relay: u32, endpoint: u32) {
        let Some(pool) = self.idle.remove(&(relay, endpoint)) else { return };
        let server = &mut self.servers[endpoint as usize];
        let open = pool.iter().filter(|c| c.1 == server.epoch).count() as u32;
        server.connections = server.connections.saturating_sub(open);
    }

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
        let weight = 1.0 + self.world.scenario.groups[group].batch_item_cost.0 * (items as f64 - 1.0);
        let now = self.now;
        self.calls.entry(n).and_modify(|c| c.came = now);
        self.tally.reached(route_id, self.now);
        self.fact(Fact::CallReceived { call: n, relay, endpoint: at, weight: weight as f32 });
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
        } else if self.servers[at as usize].queue.len() as u32
            >= self.world.scenario.groups[group].queue_capacity
        {
            self.refuse(n, 0);
        } else {
            self.calls.entry(n).and_modify(|c| c.stage = Stage::Queued);
            self.servers[at as usize].queue.push_back(n);
            self.start_queued(at);
        }
    }

    fn refuse(&mut self, n: u64, wait: Time) {
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
    fn work(&self, n: u64, at: u32) -> Time {
        let server = &self.servers[at as usize];
        let group = &self.world.scenario.groups[server.group];
        let call = &self.calls[&n];
        // By request and place, so that another policy that sends it there meets the same answer time.
        let first = call.legs.first().and_then(|msg| self.msgs.get(msg)).map_or(n, |m| u64::from(m.request));
        let drawn =
            self.world.chance.factor(What::Service, group.response_time_spread.0, first, u64::from(at));
        let items = 1.0 + group.batch_item_cost.0 * (call.legs.len() as f64 - 1.0);
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
        let span =
            group.response_time.seconds() * drawn * items * tails * server.state.slow / share.max(0.01);
        ((span * 1e6) as Time).max(100)
    }

    /// The messages of a call take effect.
    pub(super) fn run(&mut self, n: u64) {
        let Some(call) = self.calls.get(&n) else { return };
        let (at, came, legs) = (call.at, call.came, call.legs.clone());
        let (zone, dst) = (self.servers[at as usize].zone, self.servers[at as usize].dst);
        for msg in legs {
            let Some(request) = self.msgs.get(&msg).map(|m| m.request) else { continue };
            let lane = &self.world.scenario.classes[usize::from(self.requests[request as usize].lane)];
            let mut repeat = false;
            if lane.idempotency == Idempotency::WithKey {
                let place = if by_zone(lane) { u32::from(zone) } else { dst };
                let memory = lane.deduplication_window.map_or(0, |m| m.us());
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
            self.fact(Fact::Executed { message: msg, call: n, endpoint: at, duplicate: repeat });
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

    /// The endpoint's answer is written to the network: the message is delivered, and its worth booked if its
    /// client knows it as taken. Behind a silence that is when the answer comes through.
    fn written(&mut self, n: u64, msg: u64) {
        let Some(m) = self.msgs.get(&msg).filter(|m| m.client == Client::Heard && !m.past) else { return };
        let request = m.request as usize;
        if self.wishes[request].delivered {
            return;
        }
        self.fact(Fact::DeliveryAnswered { message: msg, call: n });
        let r = self.requests[request];
        let deadline = r.at + self.world.scenario.classes[usize::from(r.lane)].deadline.as_ref().us();
        if self.now <= deadline {
            self.wishes[request].delivered = true;
            self.tally.delivered(&self.world, &r, self.now);
        }
    }

    /// The endpoint is through with a call.
    pub(super) fn done(&mut self, n: u64) {
        let Some(call) = self.calls.get_mut(&n) else { return };
        call.stage = Stage::Done;
        if !call.open {
            self.calls.remove(&n);
        }
    }

    fn forget_connection(&mut self, n: u64) {
        let Some(call) = self.calls.get_mut(&n) else { return };
        if std::mem::replace(&mut call.connected, false) {
            let server = &mut self.servers[call.at as usize];
            if server.epoch == call.epoch {
                server.connections = server.connections.saturating_sub(1);
            }
        }
    }

    /// What became of a call comes to its relay.
    pub(super) fn answer(&mut self, n: u64, ends: Vec<(u64, Outcome, bool)>, wait: Time) {
        let Some(call) = self.calls.get_mut(&n).filter(|c| c.open) else { return };
        let (relay, to, at) = (call.relay, call.to, call.at);
        call.open = false;
        let broken = ends.iter().any(|e| matches!(e.1, Outcome::Reset | Outcome::ConnectFailed));
        let done = call.stage == Stage::Done || broken;
        if broken {
            self.forget_connection(n);
        } else if let Some(call) = self.calls.get(&n).filter(|c| c.connected) {
            let kept = (self.now, call.epoch);
            if self.servers[at as usize].epoch == call.epoch {
                self.idle.entry((relay, to)).or_default().push(kept);
            }
        }
        for (msg, outcome, _) in &ends {
            if *outcome == Outcome::Delivered {
                self.written(n, *msg);
                self.pass(*msg);
            }
        }
        if done && self.calls.get(&n).is_some_and(|c| c.stage != Stage::Running && c.stage != Stage::Queued) {
            self.calls.remove(&n);
        }
        self.relays[relay as usize].inbox.push(Came::Ended { call: n, ends, wait });
    }

    /// A relay has waited long enough for a call.
    pub(super) fn limit(&mut self, n: u64) {
        let Some(call) = self.calls.get(&n).filter(|c| c.open) else { return };
        let until = self.relays[call.relay as usize].stalled_until;
        if until > self.now {
            // It notices once it goes on; an answer that came meanwhile is read first.
            self.at(until, Event::Limit(n));
            return;
        }
        let connected = call.connected;
        self.close(n, if connected { Outcome::TimedOut } else { Outcome::ConnectFailed });
    }

    /// A relay ends a call by itself.
    pub(super) fn close(&mut self, n: u64, outcome: Outcome) {
        let Some(call) = self.calls.get(&n).filter(|c| c.open) else { return };
        let relay = call.relay as usize;
        let ends = call.legs.iter().map(|msg| (*msg, outcome, false)).collect();
        self.hang_up(n);
        self.relays[relay].inbox.push(Came::Ended { call: n, ends, wait: 0 });
    }

    /// The connection of a call is closed from the relay's side.
    pub(super) fn hang_up(&mut self, n: u64) {
        self.forget_connection(n);
        let Some(call) = self.calls.get_mut(&n) else { return };
        call.open = false;
        if call.stage == Stage::Done {
            self.calls.remove(&n);
        }
    }
}
