//! Clients hand messages in over RESP2: arrays of bulk strings in, one short reply each.

mod connection;
mod protocol;
mod submission;
#[cfg(test)]
mod tests;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use connection::Client;
use futures_lite::FutureExt;
use log::{info, warn};
use mountshift::interface::MessageId;
use mountshift_maintenance::MaintenanceState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub(crate) use submission::{Answer, HandedIn, Told, told};

/// After a failed accept, as when descriptors have run out.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Refused, and harmless to hand in again.
const NO_ROOM: &str = "-BUSY\r\n";

/// What every connection needs.
pub struct Front {
    /// Takes a message in; the answer comes over the channel.
    pub hand_in: Box<dyn Fn(HandedIn, Sender<Answer>)>,
    /// A client did not hear that its message was taken on.
    pub gone: Box<dyn Fn(MessageId)>,
    /// Closed when clients are to go.
    pub leaving: Receiver<()>,
    /// Closed shortly before the process ends: what was taken in is answered, nothing more is read.
    pub ending: Receiver<()>,
    pub most: usize,
    /// Bytes of requests that are not whole, over all connections, at most.
    pub bytes_most: usize,
    /// Connections open now.
    pub open: Rc<Cell<usize>>,
    pub waiting: RefCell<BTreeMap<u64, Waiting>>,
    /// Whether clients are sent away, and when their connections go; from `start` on.
    pub maintenance: Rc<RefCell<MaintenanceState>>,
    pub start: Instant,
    /// Closed, and made anew, when standby begins or ends: wakes the connections that wait.
    pub moved: RefCell<(Sender<()>, Receiver<()>)>,
}

/// A connection that waits for its client, and may be let go for others by closing `leave`.
pub struct Waiting {
    since: Instant,
    /// What has come of a request that is not whole.
    bytes: usize,
    leave: Sender<()>,
}

impl Front {
    /// Standby began or ended.
    pub fn standby_moved(&self) {
        let old = std::mem::replace(&mut *self.moved.borrow_mut(), async_channel::bounded(1));
        old.0.close();
    }

    /// Why a connection that waits for its next request is let go in standby, once it is.
    async fn sent_away(&self, since: Instant) -> &'static str {
        loop {
            let moved = self.moved.borrow().1.clone();
            let at = self.maintenance.borrow().idle_close_at(since.saturating_duration_since(self.start));
            let changed = async {
                let _ = moved.recv().await;
                false
            };
            let due = match at {
                Some(at) => {
                    async {
                        Timer::at(self.start + at).await;
                        true
                    }
                    .or(changed)
                    .await
                }
                None => changed.await,
            };
            if due {
                return "standby";
            }
        }
    }

    /// Guards against clients that keep out others by saying nothing or never ending: of those that wait,
    /// or hold part of a request, the one that does so for longest goes.
    fn make_room(&self, holding: bool) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let may_go = waiting.iter().filter(|(_, w)| !holding || w.bytes > 0);
        let oldest = may_go.min_by_key(|(_, w)| w.since).map(|(number, _)| *number);
        oldest.and_then(|number| waiting.remove(&number)).is_some_and(|w| w.leave.close())
    }

    fn wait(&self, client: &Client) {
        let bytes = client.buffer.len();
        let entry = Waiting { since: client.since, bytes, leave: client.leave.0.clone() };
        self.waiting.borrow_mut().insert(client.number, entry);
        let held = || self.waiting.borrow().values().map(|w| w.bytes).sum::<usize>();
        while bytes > 0 && held() > self.bytes_most && self.make_room(true) {}
    }
}

/// Accepts until clients are to go.
pub async fn serve(listener: Async<TcpListener>, front: Rc<Front>, executor: Rc<LocalExecutor<'static>>) {
    let (open, mut count) = (&front.open, 0);
    loop {
        let leaving = async {
            let _ = front.leaving.recv().await;
            None
        };
        // Accepting is asked first: guards against a listener closed over connections that came in time, which would be
        // reset without an answer.
        let Some(accepted) = async { Some(listener.accept().await) }.or(leaving).await else { return };
        match accepted {
            Err(e) => {
                warn!("accept: {e}");
                Timer::after(ACCEPT_PAUSE).await;
            }
            Ok((stream, peer)) if open.get() >= front.most && !front.make_room(false) => {
                say_no(&stream);
                info!("connection from {peer} ended: too-many after 0 requests");
            }
            Ok((stream, peer)) => {
                open.set(open.get() + 1);
                count += 1;
                let (front, number, leave) = (front.clone(), count, async_channel::bounded(1));
                let (since, bytes) = (Instant::now(), 0);
                front.waiting.borrow_mut().insert(number, Waiting { since, bytes, leave: leave.0.clone() });
                let task = async move {
                    let _ = stream.get_ref().set_nodelay(true);
                    let (buffer, errors, requests) = (Vec::new(), 0, 0);
                    let mut client = Client { stream, number, leave, since, buffer, errors, requests };
                    let reason = client.run(&front).await;
                    info!("connection from {peer} ended: {reason} after {} requests", client.requests);
                    front.waiting.borrow_mut().remove(&number);
                    front.open.set(front.open.get() - 1);
                };
                executor.spawn(task).detach();
            }
        }
    }
}

/// Turns a new connection away. Guards against an answer that its client never sees: it must not be held back, and a
/// close over a request that was not read resets the connection, so what has come is read and dropped.
fn say_no(stream: &Async<TcpStream>) {
    let mut stream = stream.get_ref();
    let _ = stream.set_nodelay(true);
    let _ = stream.write(NO_ROOM.as_bytes());
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read(&mut [0; 16 * 1024]);
}
