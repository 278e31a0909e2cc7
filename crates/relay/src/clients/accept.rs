//! Accepts client connections: all of them while this process accepts for the relay, and as a successor beside an active
//! process only those that the active process leaves in the queue.

use super::connection::ClientConnection;
use super::{ACCEPT_PAUSE, ClientService, reject_connection, serve_connection};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use log::warn;
use mountshift_handover::{ACCEPT_QUEUE_POLL_INTERVAL, AcceptQueueMonitor};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Poll without waiting.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// An accepted connection and the address of its client.
type AcceptedConnection = (Async<TcpStream>, SocketAddr);

/// Accepts connections until the `stopping` channel is closed.
pub(crate) async fn serve(
    listener: Async<TcpListener>,
    service: Rc<ClientService>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut acceptor =
        Acceptor { listener, service, queue: AcceptQueueMonitor::default(), is_stalled: false };
    let mut connections = 0;
    let mut failures = 0;
    while let Some(accepted) = acceptor.accept().await {
        let service = acceptor.service.clone();
        match accepted {
            // Accepting fails while file descriptors are exhausted; the listener must be closed even then.
            Err(_) if service.config.stopping.is_closed() => return,
            Err(e) => {
                // Logged once per series of failures, to bound the log during a shortage of descriptors.
                if failures == 0 {
                    warn!("can't accept a client connection: {e}");
                }
                failures += 1;
                Timer::after(ACCEPT_PAUSE).await;
            }
            Ok((stream, peer)) if !service.make_room() => {
                executor.spawn(reject_connection(stream, peer, service)).detach();
            }
            Ok((stream, peer)) => {
                connections += 1;
                failures = 0;
                let connection = ClientConnection::new(stream, connections);
                service.config.open_connections.set(service.config.open_connections.get() + 1);
                service.start_waiting(&connection);
                executor.spawn(serve_connection(connection, peer, service)).detach();
            }
        }
    }
}

struct Acceptor {
    listener: Async<TcpListener>,
    service: Rc<ClientService>,
    queue: AcceptQueueMonitor,
    /// Whether the queue was stalled at the last poll.
    is_stalled: bool,
}

impl Acceptor {
    /// Returns the next connection, or `None` once the `stopping` channel is closed.
    async fn accept(&mut self) -> Option<io::Result<AcceptedConnection>> {
        let service = self.service.clone();
        let accepted = async { Some(self.accept_in_turn().await) };
        let stopping = async {
            let _ = service.config.stopping.recv().await;
            None
        };
        // `accepted` is polled first: closing the listener would reset connections that are already established.
        accepted.or(stopping).await
    }

    /// Returns the next connection that this process has to accept.
    async fn accept_in_turn(&mut self) -> io::Result<AcceptedConnection> {
        let accepting = self.service.config.accepting.clone();
        while !accepting.is_closed() {
            if let Some(accepted) = self.accept_from_stalled_queue() {
                return accepted;
            }
            let opened = async {
                let _ = accepting.recv().await;
            };
            let next_poll = async {
                Timer::after(ACCEPT_QUEUE_POLL_INTERVAL).await;
            };
            opened.or(next_poll).await;
        }
        self.listener.accept().await
    }

    /// Accepts a connection that the active process leaves in the queue, if there is one.
    fn accept_from_stalled_queue(&mut self) -> Option<io::Result<AcceptedConnection>> {
        let is_stalled = self.queue.record_poll(has_pending_connection(&self.listener));
        if is_stalled && !self.is_stalled {
            warn!(
                "the active process leaves client connections in the queue: accepting them as its successor"
            );
        }
        self.is_stalled = is_stalled;
        if !is_stalled {
            return None;
        }
        match self.listener.get_ref().accept() {
            // The active process was faster.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
            accepted => Some(accepted.and_then(|(stream, peer)| Ok((Async::new(stream)?, peer)))),
        }
    }
}

/// Returns whether a connection waits in the accept queue.
fn has_pending_connection(listener: &Async<TcpListener>) -> bool {
    let mut descriptors = [PollFd::new(listener, PollFlags::IN)];
    let ready = rustix::io::retry_on_intr(|| poll(&mut descriptors, Some(&NO_WAIT)));
    ready.is_ok_and(|count| count > 0)
}
