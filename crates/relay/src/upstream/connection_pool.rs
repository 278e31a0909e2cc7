//! The idle connections kept to endpoints, for the calls to come.
//!
//! Owns every connection that carries no call now. Never hands out one that its endpoint has closed or is about to
//! close: a request written to it would end as one that may have run.

use super::http1::{CloseReason, HttpConnection};
use mountshift::interface::EndpointId;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// An idle connection is not used for this part of its idle time at the end: the request has a way to go, and the
/// endpoint's clock began earlier.
const IDLE_MARGIN_DIVISOR: u32 = 10;
/// That part is no shorter than this, but half of the idle time at most.
const MIN_IDLE_MARGIN: Duration = Duration::from_millis(250);

/// Connections that carry no call now; of each endpoint those used last at the end.
pub(crate) struct ConnectionPool {
    idle: RefCell<BTreeMap<EndpointId, VecDeque<HttpConnection>>>,
    /// How long after its last use a connection may be used again.
    max_idle_time: Duration,
    max_connections: usize,
}

impl ConnectionPool {
    /// A pool for endpoints that close connections after `idle_timeout`.
    pub(crate) fn new(idle_timeout: Duration, max_connections: usize) -> ConnectionPool {
        let unused = (idle_timeout / IDLE_MARGIN_DIVISOR).max(MIN_IDLE_MARGIN).min(idle_timeout / 2);
        ConnectionPool { idle: RefCell::default(), max_idle_time: idle_timeout - unused, max_connections }
    }

    /// The connection to an endpoint that was used last. One that leads to an address that the endpoint has left since
    /// is closed: another server may be there now.
    pub(super) fn take(&self, endpoint: EndpointId, address: SocketAddr) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        connections.retain_mut(|connection| self.is_usable(connection) && connection.address == address);
        connections.pop_back()
    }

    /// Puts a connection back. The process must not run out of descriptors: of too many the one idle longest is closed.
    pub(super) fn put_back(&self, endpoint: EndpointId, connection: HttpConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.values().map(VecDeque::len).sum::<usize>() >= self.max_connections {
            close_idle_longest(&mut idle);
        }
        idle.entry(endpoint).or_default().push_back(connection);
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_endpoint(&self, endpoint: EndpointId) {
        let Some(connections) = self.idle.borrow_mut().remove(&endpoint) else { return };
        for connection in connections {
            connection.close(CloseReason::EndpointClosed);
        }
    }

    /// Closes what an endpoint has closed, and what it is about to close.
    pub(crate) fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain_mut(|connection| self.is_usable(connection));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// True if an idle connection can still be used. One that was taken for a call that was not made was not used: its
    /// time runs on.
    pub(super) fn is_usable(&self, connection: &mut HttpConnection) -> bool {
        if connection.last_used.elapsed() >= self.max_idle_time {
            connection.close_reason = CloseReason::Idle;
            return false;
        }
        if !connection.is_open_and_idle() {
            connection.close_reason = CloseReason::ClosedWhileIdle;
            return false;
        }
        true
    }
}

fn close_idle_longest(idle: &mut BTreeMap<EndpointId, VecDeque<HttpConnection>>) {
    let oldest_of_each =
        idle.iter().filter_map(|(id, connections)| Some((connections.front()?.last_used, *id)));
    let Some((_, endpoint)) = oldest_of_each.min() else { return };
    let Some(connections) = idle.get_mut(&endpoint) else { return };
    if let Some(connection) = connections.pop_front() {
        connection.close(CloseReason::PoolFull);
    }
}
