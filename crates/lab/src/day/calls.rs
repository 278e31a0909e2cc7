//! Calls on their way, and how they end at their relay.

use super::Day;
use super::clients::Client;
use super::events::Event;
use crate::Time;
use crate::chance::What;
use crate::host::Came;
use mountshift::interface::Outcome;
use mountshift_invariants::Fact;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    OnItsWay,
    Queued,
    Running,
    Done,
}

pub(super) struct Call {
    pub(super) relay: u32,
    /// As it was addressed, and who got it.
    pub(super) to: u32,
    pub(super) at: u32,
    pub(super) epoch: u32,
    pub(super) legs: Vec<u64>,
    /// The relay still waits for it.
    pub(super) open: bool,
    pub(super) connected: bool,
    pub(super) stage: Stage,
    /// When its last byte came.
    pub(super) came: Time,
}

impl Day<'_> {
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

    /// The call ends at its relay without an answer, a while from now.
    pub(super) fn broken(&mut self, n: u64, outcome: Outcome, later: Time) {
        let Some(call) = self.calls.get(&n) else { return };
        let ends = call.legs.iter().map(|msg| (*msg, outcome, false)).collect();
        self.at(self.now + later, Event::Answer(n, ends, 0));
    }

    /// The endpoint's answer is written to the network: the message is delivered, and its worth booked if its
    /// client knows it as taken. Behind a silence that is when the answer comes through.
    pub(super) fn written(&mut self, n: u64, msg: u64) {
        let Some(m) = self.msgs.get(&msg).filter(|m| m.client == Client::Heard && !m.past) else { return };
        let request = m.request as usize;
        if self.wishes[request].delivered {
            return;
        }
        self.fact(Fact::Answered { msg, call: n });
        let r = self.requests[request];
        let deadline = r.at + self.world.scenario.lanes[usize::from(r.lane)].deadline.as_ref().us();
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
