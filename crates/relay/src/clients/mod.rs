//! The clients' side of the relay: accepts connections, bounds them all together, and serves each one in a task of its
//! own.
//!
//! [`ClientService`] owns what connections share. `connection` serves one of them, `closing` ends it, `protocol` reads and writes RESP2,
//! `submission` is what a request hands to the dispatcher. Nothing here decides on a message.

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
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use close_reason::CloseReason;
use connection::ClientConnection;
use futures_lite::FutureExt;
use log::{debug, info, warn};
use mountshift::interface::MessageId;
use mountshift_maintenance::MaintenanceState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub(crate) use submission::{
    ClientSubmission, MessageContent, SubmissionError, SubmissionMetadata, SubmissionReply, is_same_message,
};

/// The pause after a failed accept, as when descriptors have run out: they are not there again at once.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections that only linger for their last reply to be read may be one part in so many beyond the limit.
const LINGER_DIVISOR: usize = 8;

/// Takes a message in; the reply comes over the channel.
pub(crate) type SubmitHandler = Box<dyn Fn(ClientSubmission, Sender<SubmissionReply>)>;

/// What the client service is given at its start.
pub(crate) struct ClientServiceConfig {
    /// Takes a message in.
    pub(crate) submit: SubmitHandler,
    /// Told of a message whose client did not hear that it was accepted.
    pub(crate) withdraw: Box<dyn Fn(MessageId)>,
    /// Closed when clients are to go.
    pub(crate) stopping: Receiver<()>,
    /// Closed shortly before the process ends: what was submitted is answered, nothing more is read.
    pub(crate) ending: Receiver<()>,
    /// Connections at most.
    pub(crate) max_connections: usize,
    /// Bytes of requests that are not whole, over all connections, at most.
    pub(crate) max_buffered_bytes: usize,
    /// Connections open now.
    pub(crate) open_connections: Rc<Cell<usize>>,
    /// Whether the relay is in standby, and when idle connections are closed then; times count from `start`.
    pub(crate) maintenance: Rc<RefCell<MaintenanceState>>,
    pub(crate) start: Instant,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) violations: Rc<Violations>,
}

/// What all client connections share.
pub(crate) struct ClientService {
    config: ClientServiceConfig,
    /// Connections that wait for their client, by number.
    waiting: RefCell<BTreeMap<u64, WaitingConnection>>,
    /// Connections that have their last reply and are open only for it to be read.
    lingering: Cell<usize>,
    /// Closed, and made anew, when standby begins or ends: wakes the connections that wait.
    standby_changed: RefCell<(Sender<()>, Receiver<()>)>,
}

/// A connection that waits for its client, and may be closed for another by closing `evict`.
struct WaitingConnection {
    since: Instant,
    /// What has come of a request that is not whole.
    buffered_bytes: usize,
    evict: Sender<()>,
}

/// Which connections may be closed for others.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Evictable {
    /// All that wait.
    Waiting,
    /// Those that hold part of a request.
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

    /// Wakes the connections that wait, as standby began or ended.
    pub(crate) fn notify_standby_changed(&self) {
        let (old_sender, _) = self.standby_changed.replace(async_channel::bounded(1));
        old_sender.close();
    }

    /// Waits until standby closes a connection that has waited for its next request since `since`.
    async fn standby_closes_idle(&self, since: Instant) {
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

    /// Closes the connection that has waited longest, so that clients that say nothing or never end a request don't
    /// keep out others. False if there is none.
    fn evict_oldest(&self, evictable: Evictable) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let candidates = waiting
            .iter()
            .filter(|(_, connection)| evictable == Evictable::Waiting || connection.buffered_bytes > 0);
        let oldest = candidates.min_by_key(|(_, connection)| connection.since).map(|(number, _)| *number);
        let Some(connection) = oldest.and_then(|number| waiting.remove(&number)) else { return false };
        connection.evict.close()
    }

    /// Notes that the connection waits for its client, and makes room for what it has buffered.
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

    /// Notes that a connection that has its last reply is kept for a moment, beyond the limit of connections. False if
    /// too many are.
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

    /// True if there is a place for another connection, or one could be freed.
    fn has_room(&self) -> bool {
        self.config.open_connections.get() - self.lingering.get() < self.config.max_connections
            || self.evict_oldest(Evictable::Waiting)
    }
}

/// Accepts connections until clients are to go.
pub(crate) async fn serve(
    listener: Async<TcpListener>,
    service: Rc<ClientService>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut connections = 0;
    let mut failures = 0;
    while let Some(accepted) = accept(&listener, &service).await {
        match accepted {
            // Accepting fails as long as descriptors are short: that must not keep the listener open.
            Err(_) if service.config.stopping.is_closed() => return,
            Err(e) => {
                // Logged once, or a shortage would fill the log.
                if failures == 0 {
                    warn!("accept: {e}");
                }
                failures += 1;
                Timer::after(ACCEPT_PAUSE).await;
            }
            Ok((stream, peer)) if !service.has_room() => {
                executor.spawn(reject_connection(stream, peer, service.clone())).detach();
            }
            Ok((stream, peer)) => {
                connections += 1;
                failures = 0;
                let connection = ClientConnection::new(stream, connections);
                service.config.open_connections.set(service.config.open_connections.get() + 1);
                service.start_waiting(&connection);
                executor.spawn(serve_connection(connection, peer, service.clone())).detach();
            }
        }
    }
}

/// The next connection; none once clients are to go.
async fn accept(
    listener: &Async<TcpListener>,
    service: &ClientService,
) -> Option<io::Result<(Async<TcpStream>, SocketAddr)>> {
    let accepted = async { Some(listener.accept().await) };
    let stopping = async {
        let _ = service.config.stopping.recv().await;
        None
    };
    // Accepting is polled first: a listener closed over connections that came in time would reset them without an answer.
    accepted.or(stopping).await
}

/// Serves a connection to its end.
async fn serve_connection(mut connection: ClientConnection, peer: SocketAddr, service: Rc<ClientService>) {
    let reason = connection.run(&service).await;
    check_owes_nothing(&connection, reason, &service);
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

/// The guard of the verb "close": a request that was read gets its answer before the relay closes its connection. One
/// that the client closed or broke owes nothing any more.
fn check_owes_nothing(connection: &ClientConnection, reason: CloseReason, service: &ClientService) {
    let owed = connection.unanswered_requests();
    if owed > 0 && !reason.is_clients_doing() {
        let evidence = Evidence {
            connection: Some(connection.number),
            expected: "an answer to every request that was read",
            ..Evidence::default()
        };
        service.config.violations.report(ViolationKind::ClosedOwingAnswer, evidence);
    }
}

/// Turns a new connection away. A close over a request that was not read, or that is still on its way, would reset the
/// connection, and its client would never see the reply: so what comes is read and dropped for a moment.
async fn reject_connection(stream: Async<TcpStream>, peer: SocketAddr, service: Rc<ClientService>) {
    let open_connections = &service.config.open_connections;
    open_connections.set(open_connections.get() + 1);
    let socket = stream.get_ref();
    let _ = socket.set_nodelay(true);
    lingering::write_at_once(socket, protocol::BUSY.as_bytes());
    let _ = socket.shutdown(Shutdown::Write);
    let _ = lingering::discard_chunk(&stream);
    lingering::discard_briefly(&stream, &service).await;
    info!("connection from {peer} ended: too-many after 0 requests");
    open_connections.set(open_connections.get() - 1);
}
