//! Connections between relays and endpoints.

use super::Day;
use super::events::Event;
use crate::Time;
use mountshift::interface::Outcome;

/// One way through the network, inside a zone and across.
const NEAR: Time = 300;

const FAR: Time = 1_200;

/// An idle connection is not used for the last part of its time.
const IDLE_USED: f64 = 0.9;

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

    pub(super) fn idle_used(&self) -> Time {
        (self.world.scenario.relays.idle.us() as f64 * IDLE_USED) as Time
    }

    pub(super) fn connect(&mut self, n: u64, way: Time) {
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
            let never = self.world.scenario.relays.connect.us();
            self.broken(n, Outcome::ConnectFailed, never);
        } else if server.state.refuses || self.routes[route].fallen {
            self.broken(n, Outcome::ConnectFailed, 2 * way);
        } else if server.state.tables_full || server.connections >= group.connections.get() {
            self.sweep(at);
            let server = &self.servers[at as usize];
            let most = self.world.scenario.groups[server.group].connections.get();
            if server.state.tables_full || server.connections >= most {
                self.broken(n, Outcome::ConnectFailed, 2 * way);
            } else {
                self.connected(n, at, way);
            }
        } else {
            self.connected(n, at, way);
        }
    }

    pub(super) fn connected(&mut self, n: u64, at: u32, way: Time) {
        self.servers[at as usize].connections += 1;
        self.tally.connections += 1;
        self.calls.entry(n).and_modify(|c| c.connected = true);
        self.at(self.now + 3 * way, Event::Reach(n));
    }

    /// Closes what has stood idle too long at an endpoint whose table seems full.
    pub(super) fn sweep(&mut self, at: u32) {
        let oldest = self.now.saturating_sub(self.world.scenario.relays.idle.us());
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

    pub(super) fn forget_connection(&mut self, n: u64) {
        let Some(call) = self.calls.get_mut(&n) else { return };
        if std::mem::replace(&mut call.connected, false) {
            let server = &mut self.servers[call.at as usize];
            if server.epoch == call.epoch {
                server.connections = server.connections.saturating_sub(1);
            }
        }
    }
}
