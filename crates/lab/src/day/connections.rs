//! Connections between relays and endpoints: network delays, connection setup, and pools of idle connections.

use super::Day;
use super::events::Event;
use crate::Time;
use crate::servers::Server;
use mountshift::interface::Outcome;

/// One-way network delay inside a zone.
const DELAY_IN_ZONE: Time = 300;
/// One-way network delay between two zones.
const DELAY_BETWEEN_ZONES: Time = 1_200;
/// Share of the idle timeout during which an idle connection is used; later the endpoint may already be closing it.
const USABLE_IDLE_SHARE: f64 = 0.9;

/// An open connection that no call uses.
#[derive(Clone, Copy)]
pub(super) struct IdleConnection {
    pub(super) since: Time,
    /// The endpoint's epoch when the connection was opened; the connection is broken if the epoch has changed.
    pub(super) epoch: u32,
}

impl Day<'_> {
    /// Returns the one-way network delay between a relay and an endpoint.
    pub(super) fn network_delay(&self, relay: u32, endpoint: u32) -> Time {
        if self.world.relay_zone(relay) == self.servers[endpoint as usize].setup.zone {
            DELAY_IN_ZONE
        } else {
            DELAY_BETWEEN_ZONES
        }
    }

    /// Returns the time until which no data passes between a relay and an endpoint, or 0 if data passes.
    pub(super) fn silent_until(&self, relay: u32, endpoint: u32) -> Time {
        let partitions = self.partitions.iter().map(|fault| &self.world.faults[*fault]);
        let between =
            partitions.filter(|p| p.relays.contains(&relay) && p.endpoints.binary_search(&endpoint).is_ok());
        let partitioned_until = between.map(|partition| partition.ends_at).max().unwrap_or(0);
        partitioned_until.max(self.servers[endpoint as usize].effects.silent_until)
    }

    /// Takes the most recently used idle connection, and drops connections that are too old or broken.
    pub(super) fn take_idle_connection(
        &mut self,
        relay: u32,
        addressed: u32,
        endpoint: u32,
    ) -> Option<IdleConnection> {
        let max_idle = self.world.scenario.relays.idle_timeout.us() as f64 * USABLE_IDLE_SHARE;
        let oldest = self.now.saturating_sub(max_idle as Time);
        let server = &mut self.servers[endpoint as usize];
        let pool = self.idle_connections.get_mut(&(relay, addressed))?;
        let before = pool.len();
        pool.retain(|connection| connection.since >= oldest && connection.epoch == server.epoch);
        let dropped = before - pool.len();
        close_connections(server, dropped);
        pool.pop()
    }

    /// Opens a connection for a call, or schedules the call's failure.
    pub(super) fn connect(&mut self, call_id: u64, delay: Time) {
        let call = &self.calls[&call_id];
        let relay = call.relay;
        let endpoint = call.endpoint;
        let silent = self.silent_until(relay, endpoint) > self.now;
        let server = &self.servers[endpoint as usize];
        let unreachable = server.removed && server.successor.is_none();
        if server.effects.vanished || silent || unreachable {
            // The endpoint list may still name a removed endpoint, whose host does not respond.
            let connect_timeout = self.world.scenario.relays.connect_timeout.us();
            self.fail_call(call_id, Outcome::ConnectFailed, connect_timeout);
            return;
        }
        if server.effects.refuses || self.routes[server.setup.route as usize].overloaded {
            self.fail_call(call_id, Outcome::ConnectFailed, 2 * delay);
            return;
        }
        if self.is_connection_table_full(endpoint) {
            self.close_expired_connections(endpoint);
            if self.is_connection_table_full(endpoint) {
                self.fail_call(call_id, Outcome::ConnectFailed, 2 * delay);
                return;
            }
        }
        self.record_opened_connection(call_id, endpoint, delay);
    }

    fn is_connection_table_full(&self, endpoint: u32) -> bool {
        let server = &self.servers[endpoint as usize];
        let limit = self.world.scenario.groups[server.setup.group].max_connections.get();
        server.effects.connection_table_full || server.connections >= limit
    }

    fn record_opened_connection(&mut self, call_id: u64, endpoint: u32, delay: Time) {
        self.servers[endpoint as usize].connections += 1;
        self.statistics.connections += 1;
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.connected = true;
        }
        // A round trip for the connection setup and one way for the call.
        self.schedule(self.now + 3 * delay, Event::CallArrives { call: call_id });
    }

    /// Closes idle connections past the idle timeout at an endpoint whose connection table is full.
    fn close_expired_connections(&mut self, endpoint: u32) {
        let oldest = self.now.saturating_sub(self.world.scenario.relays.idle_timeout.us());
        for relay in 0..self.relays.len() as u32 {
            if let Some(pool) = self.idle_connections.get_mut(&(relay, endpoint)) {
                let before = pool.len();
                pool.retain(|connection| connection.since >= oldest);
                let closed = before - pool.len();
                close_connections(&mut self.servers[endpoint as usize], closed);
            }
        }
    }

    /// Closes a relay's idle connections to an endpoint.
    pub(super) fn close_idle_connections(&mut self, relay: u32, endpoint: u32) {
        let Some(pool) = self.idle_connections.remove(&(relay, endpoint)) else { return };
        let server = &mut self.servers[endpoint as usize];
        let open = pool.iter().filter(|connection| connection.epoch == server.epoch).count();
        close_connections(server, open);
    }

    /// Closes the connection of a call.
    pub(super) fn close_connection(&mut self, call_id: u64) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        if !call.connected {
            return;
        }
        call.connected = false;
        let server = &mut self.servers[call.endpoint as usize];
        if server.epoch == call.epoch {
            close_connections(server, 1);
        }
    }
}

fn close_connections(server: &mut Server, count: usize) {
    server.connections = server.connections.saturating_sub(count as u32);
}
