//! Pool of idle connections to endpoints.
//!
//! Owns every connection that carries no call. Never returns a connection that its endpoint has closed or is about to
//! close: a request written to it would have to count as one that may have run.

use super::close_reason::CloseReason;
use super::http1::HttpConnection;
use mountshift::interface::EndpointId;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Divisor of the endpoint's idle timeout. The quotient is the margin before the timeout in which a connection is no
/// longer used: a request takes time to arrive, and the endpoint starts its timeout earlier than the relay.
const IDLE_MARGIN_DIVISOR: u32 = 10;
/// Minimum margin before an endpoint's idle timeout in which a connection is no longer used. Half of the idle timeout
/// is used instead if that is shorter.
const MIN_IDLE_MARGIN: Duration = Duration::from_millis(250);

/// Pool of connections that carry no call.
pub(crate) struct ConnectionPool {
    /// Idle connections by endpoint, the last used one at the back.
    idle: RefCell<BTreeMap<EndpointId, VecDeque<HttpConnection>>>,
    /// Time after its last use within which a connection may be used again.
    max_idle_time: Duration,
    max_connections: usize,
    /// By endpoint, whether its responses to requests that ask for the end of the connection announce it.
    announces_close: RefCell<BTreeMap<EndpointId, bool>>,
}

impl ConnectionPool {
    /// Creates a pool for endpoints that close idle connections after `idle_timeout`.
    pub(crate) fn new(idle_timeout: Duration, max_connections: usize) -> ConnectionPool {
        let margin = (idle_timeout / IDLE_MARGIN_DIVISOR).max(MIN_IDLE_MARGIN).min(idle_timeout / 2);
        ConnectionPool {
            idle: RefCell::default(),
            max_idle_time: idle_timeout - margin,
            max_connections,
            announces_close: RefCell::default(),
        }
    }

    /// Returns whether the endpoint's responses to requests that ask for the end of the connection announce it, if known.
    pub(super) fn announces_close(&self, endpoint: EndpointId) -> Option<bool> {
        self.announces_close.borrow().get(&endpoint).copied()
    }

    pub(super) fn record_announces_close(&self, endpoint: EndpointId, announces_close: bool) {
        self.announces_close.borrow_mut().insert(endpoint, announces_close);
    }

    /// Takes the last used connection to an endpoint. Connections to a previous address of the endpoint are closed, as
    /// the address may belong to another server now.
    pub(super) fn take(&self, endpoint: EndpointId, address: SocketAddr) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        connections.retain_mut(|connection| self.is_usable(connection) && connection.address == address);
        connections.pop_back()
    }

    /// Puts a connection back. If the pool is full, closes the connection that has been idle longest, so that the
    /// process doesn't run out of descriptors.
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

    /// Closes the connections that an endpoint has closed or is about to close.
    pub(crate) fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain_mut(|connection| self.is_usable(connection));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Returns whether an idle connection can still be used. A connection that was taken for a call that was not made
    /// keeps its idle time.
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
