//! RESP2 server for clients: accepts connections, bounds their number and memory, and serves each in its own task.
//!
//! [`ClientService`] owns the state shared by all connections. `accept` accepts them, `connection` serves one, `closing` ends it,
//! `protocol` reads and writes RESP2, `submission` holds the types passed to the dispatcher. All decisions about a
//! message are made by the dispatcher.

mod accept;
mod close_reason;
mod closing;
mod connection;
mod lingering;
mod protocol;
mod submission;
#[cfg(test)]
mod tests;

use crate::metrics::Metrics;
use crate::transitions::Transition;
use crate::violations::{Evidence, ViolationKind, Violations};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use close_reason::CloseReason;
use connection::ClientConnection;
use futures_lite::FutureExt;
use log::{debug, info};
use mountshift::interface::MessageId;
use mountshift_maintenance::MaintenanceState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub(crate) use accept::serve;
pub(crate) use submission::{
    ClientSubmission, MessageContent, SubmissionError, SubmissionMetadata, SubmissionReply, is_same_message,
};

/// Pause after a failed accept. A shortage of file descriptors, the usual cause, does not end immediately.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Divisor of the connection limit. The quotient is the number of connections that may linger, beyond the limit,
/// until the client has read its last reply.
const LINGER_DIVISOR: usize = 8;

/// Passes a submission to the dispatcher, which sends its reply through the channel.
pub(crate) type SubmitHandler = Box<dyn Fn(ClientSubmission, Sender<SubmissionReply>)>;

/// Configuration and shared handles of the client service.
pub(crate) struct ClientServiceConfig {
    /// Passes a submission to the dispatcher.
    pub(crate) submit: SubmitHandler,
    /// Reports a message whose "accepted" reply could not be delivered to its client.
    pub(crate) withdraw: Box<dyn Fn(MessageId)>,
    /// Channel that is closed once this process accepts all connections: from its start, or as a successor once the active
    /// process no longer accepts any.
    pub(crate) accepting: Receiver<()>,
    /// Channel that is closed when the relay stops accepting and starts to close client connections.
    pub(crate) stopping: Receiver<()>,
    /// Channel that is closed shortly before the process exits: pending replies are sent, further requests are
    /// rejected.
    pub(crate) ending: Receiver<()>,
    /// Maximum number of open connections, lingering ones excluded.
    pub(crate) max_connections: usize,
    /// Maximum number of buffered bytes of incomplete requests, over all connections.
    pub(crate) max_buffered_bytes: usize,
    /// Number of open connections.
    pub(crate) open_connections: Rc<Cell<usize>>,
    /// Maintenance state: whether the relay is in standby, and when idle connections are then closed. Its times are
    /// durations since `start`.
    pub(crate) maintenance: Rc<RefCell<MaintenanceState>>,
    pub(crate) start: Instant,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) violations: Rc<Violations>,
}

/// State shared by all client connections.
pub(crate) struct ClientService {
    config: ClientServiceConfig,
    /// Connections that wait for input, by connection number.
    waiting: RefCell<BTreeMap<u64, WaitingConnection>>,
    /// Number of connections that have sent their last reply and stay open only until the client has read it.
    lingering: Cell<usize>,
    /// Channel that is closed and replaced when standby begins or ends, which wakes the waiting connections.
    standby_changed: RefCell<(Sender<()>, Receiver<()>)>,
}

/// A connection that waits for input. Closing `evict` closes the connection.
struct WaitingConnection {
    since: Instant,
    /// Number of received bytes of an incomplete request.
    buffered_bytes: usize,
    evict: Sender<()>,
}

/// Selection of the connections that may be closed to make room.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Evictable {
    /// All connections that wait for input.
    Waiting,
    /// Waiting connections with part of a request in their buffer.
    Buffering,
}

impl ClientService {
    pub(crate) fn new(config: ClientServiceConfig) -> ClientService {
        ClientService {
            config,
            waiting: RefCell::default(),
            lingering: Cell::default(),
            standby_changed: RefCell::new(async_channel::bounded(1)),
        }
    }

    /// Wakes the waiting connections after standby began or ended.
    pub(crate) fn notify_standby_changed(&self) {
        let (old_sender, _) = self.standby_changed.replace(async_channel::bounded(1));
        old_sender.close();
    }

    /// Waits until standby requires closing a connection that has waited for its next request since `since`.
    async fn wait_for_standby_close(&self, since: Instant) {
        loop {
            let changed = self.standby_changed.borrow().1.clone();
            let close_at = self
                .config
                .maintenance
                .borrow()
                .idle_close_at(since.saturating_duration_since(self.config.start));
            let change = async {
                let _ = changed.recv().await;
                false
            };
            let is_due = match close_at {
                Some(close_at) => {
                    let due = async {
                        Timer::at(self.config.start + close_at).await;
                        true
                    };
                    due.or(change).await
                }
                None => change.await,
            };
            if is_due {
                return;
            }
        }
    }

    /// Returns whether the active process accepts the client connections, and this successor only those that it leaves.
    fn leaves_clients_to_active_process(&self) -> bool {
        !self.config.accepting.is_closed()
    }

    /// Closes the connection that has waited longest, so that silent clients and incomplete requests do not exclude
    /// other clients. Returns whether a connection was closed.
    fn evict_oldest(&self, evictable: Evictable) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let candidates = waiting
            .iter()
            .filter(|(_, connection)| evictable == Evictable::Waiting || connection.buffered_bytes > 0);
        let oldest = candidates.min_by_key(|(_, connection)| connection.since).map(|(number, _)| *number);
        let Some(connection) = oldest.and_then(|number| waiting.remove(&number)) else { return false };
        connection.evict.close()
    }

    /// Registers the connection as waiting for input, and evicts others if the limit of buffered bytes is exceeded.
    fn start_waiting(&self, connection: &ClientConnection) {
        let buffered_bytes = connection.buffer.len();
        let entry = WaitingConnection {
            since: connection.waiting_since,
            buffered_bytes,
            evict: connection.evict.clone(),
        };
        self.waiting.borrow_mut().insert(connection.number, entry);
        if buffered_bytes == 0 {
            return;
        }
        while self.buffered_bytes() > self.config.max_buffered_bytes {
            if !self.evict_oldest(Evictable::Buffering) {
                return;
            }
        }
    }

    /// Counts a connection as lingering, outside the connection limit. Returns false if too many connections linger.
    fn start_lingering(&self) -> bool {
        let has_room = self.lingering.get() < self.config.max_connections.div_ceil(LINGER_DIVISOR);
        if has_room {
            self.lingering.set(self.lingering.get() + 1);
        }
        has_room
    }

    fn stop_lingering(&self) {
        self.lingering.set(self.lingering.get() - 1);
    }

    fn stop_waiting(&self, number: u64) {
        self.waiting.borrow_mut().remove(&number);
    }

    fn buffered_bytes(&self) -> usize {
        self.waiting.borrow().values().map(|connection| connection.buffered_bytes).sum()
    }

    /// Returns whether another connection may be served, after closing a waiting one if necessary.
    fn make_room(&self) -> bool {
        self.config.open_connections.get() - self.lingering.get() < self.config.max_connections
            || self.evict_oldest(Evictable::Waiting)
    }
}

/// Serves a connection until it is closed, and logs the reason.
async fn serve_connection(mut connection: ClientConnection, peer: SocketAddr, service: Rc<ClientService>) {
    let reason = connection.run(&service).await;
    check_all_answered(&connection, reason, &service);
    let reason_text = reason.to_string();
    service.config.metrics.count_closed_connection(&reason_text);
    let transition = Transition {
        connection: Some(connection.number),
        from: "open",
        to: "closed",
        reason: &reason_text,
        ..Transition::default()
    };
    debug!("{transition}");
    info!("connection from {peer} ended: {reason} after {} requests", connection.requests);
    service.stop_waiting(connection.number);
    service.config.open_connections.set(service.config.open_connections.get() - 1);
}

/// Reports a violation if the relay closed the connection before it had answered every request that it read. A close
/// caused by the client is exempt.
fn check_all_answered(connection: &ClientConnection, reason: CloseReason, service: &ClientService) {
    let unanswered = connection.unanswered_requests();
    if unanswered > 0 && !reason.is_caused_by_client() {
        let evidence = Evidence {
            connection: Some(connection.number),
            expected: "a reply to every request that was read",
            ..Evidence::default()
        };
        service.config.violations.report(ViolationKind::ClosedWithUnansweredRequest, evidence);
    }
}

/// Rejects a new connection with `-BUSY`. Closing it with unread input, or before a request in transit has arrived,
/// would reset the connection and discard the reply, so input is read and discarded for a short time first.
async fn reject_connection(stream: Async<TcpStream>, peer: SocketAddr, service: Rc<ClientService>) {
    let open_connections = &service.config.open_connections;
    open_connections.set(open_connections.get() + 1);
    let socket = stream.get_ref();
    let _ = socket.set_nodelay(true);
    lingering::try_write(socket, protocol::BUSY.as_bytes());
    let _ = socket.shutdown(Shutdown::Write);
    let _ = lingering::discard_chunk(&stream);
    lingering::linger(&stream, &service).await;
    info!("connection from {peer} ended: too-many after 0 requests");
    open_connections.set(open_connections.get() - 1);
}
