//! A process that starts beside the one that owns the relay's state folder: it answers clients and keeps
//! what they hand in in a spool of its own, and sends nothing, until the owner has ended. Who owns what and
//! what a taker takes on is decided in `mountshift_handover`; here it is carried out.

use crate::clients::{Answer, HandedIn};
use crate::clock::unix_us;
use crate::dispatch::Event;
use crate::state_files::write_maintenance;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use log::{error, info, warn};
use mountshift::interface::MessageId;
use mountshift_handover::{LOCK_POLL_INTERVAL, RESTART, accepts};
use mountshift_maintenance::{Change, MaintenanceState};
use mountshift_spool::{AcceptedMessage, Spool};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;

/// Numbers that clients hear of from a taker begin here: guards against a client gone after the handover,
/// whose message would be taken for the owner's under the same number.
pub const FIRST_SUCCESSOR_NUMBER: u64 = 1 << 62;

/// How taking in ended.
pub enum IntakeEnd {
    /// The owner's lock is this process's now; these events wait for the host, in order.
    BecameActive(Vec<Event>),
    /// Told to stop before it owned: what it took waits in its spool for the next owner.
    Stopped,
}

/// What the taker works with.
pub struct SuccessorIntake<'a> {
    pub spool: Spool,
    /// The owner's lock, to be taken once it is free; then held for as long as the process runs.
    pub active_lock: &'a File,
    pub classes: Vec<String>,
    pub maintenance: Rc<RefCell<MaintenanceState>>,
    pub maintenance_file: PathBuf,
    /// Closed when clients are to go.
    pub clients_leave: Sender<()>,
    /// Client connections open now.
    pub client_connections: Rc<Cell<usize>>,
}

impl SuccessorIntake<'_> {
    /// Takes in until the owner's lock is free, or until told to stop.
    pub async fn run(&mut self, came: &Receiver<Event>) -> IntakeEnd {
        let (mut message_by_id, mut deferred) = (BTreeMap::new(), Vec::new());
        let mut stopped: Option<Instant> = None;
        loop {
            let timer = async {
                Timer::after(LOCK_POLL_INTERVAL).await;
                None
            };
            let first = async { came.recv().await.ok() }.or(timer).await;
            let events: Vec<Event> =
                first.into_iter().chain(std::iter::from_fn(|| came.try_recv().ok())).collect();
            let mut awaiting_answer: Vec<(u64, Sender<Answer>)> = Vec::new();
            for event in events {
                match event {
                    Event::MessageReceived(m, answer) => match self.check(&m, &message_by_id) {
                        Err(refused) => drop(answer.try_send(refused)),
                        Ok(taken) => match self.spool.accept(taken) {
                            Some(n) => {
                                message_by_id.insert(m.id, n);
                                awaiting_answer.push((n, answer));
                            }
                            None => {
                                warn!("next spool: full with {} messages", self.spool.messages().len());
                                let _ = answer.try_send(Answer::PushedBack(0));
                            }
                        },
                    },
                    // Its client did not hear that it was taken on: it is nobody's.
                    Event::ClientUnreachable(message) => {
                        let n = message.0.wrapping_sub(FIRST_SUCCESSOR_NUMBER);
                        if let Some(kept) = self.spool.get(n) {
                            message_by_id.remove(&kept.accepted.id);
                        }
                        self.spool.remove(n);
                    }
                    Event::StopRequested(_) => {
                        stopped = stopped.or(Some(Instant::now()));
                        self.maintenance.borrow_mut().stopping();
                        self.clients_leave.close();
                    }
                    Event::MaintenanceChanged(change) => {
                        if matches!(change, Change::EndpointOut(_) | Change::EndpointBack(_)) {
                            write_maintenance(&self.maintenance_file, &self.maintenance.borrow());
                        }
                        deferred.push(Event::MaintenanceChanged(change));
                    }
                    Event::EndpointList(Ok(list)) => {
                        list.members.iter().for_each(|m| self.maintenance.borrow_mut().listed(&m.id));
                        deferred.push(Event::EndpointList(Ok(list)));
                    }
                    other => deferred.push(other),
                }
            }
            let safe = self.spool.commit();
            if let Err(e) = &safe {
                error!("next spool: {e}");
            }
            for (n, answer) in awaiting_answer {
                if safe.is_ok() {
                    let _ = answer.try_send(Answer::Taken(MessageId(FIRST_SUCCESSOR_NUMBER + n)));
                } else {
                    let _ = answer.try_send(Answer::PushedBack(0));
                    self.spool.remove(n);
                }
            }
            let kept = self.spool.messages().len();
            if let Some(at) = stopped {
                if self.client_connections.get() == 0 || at.elapsed() >= RESTART.end_by {
                    info!("stopped before it owned, with {kept} messages in the next spool");
                    return IntakeEnd::Stopped;
                }
            } else if self.active_lock.try_lock().is_ok() {
                info!("owns the state folder now, with {kept} messages taken in beside the owner");
                return IntakeEnd::BecameActive(deferred);
            }
        }
    }

    /// What a taker takes on, or how it answers instead.
    fn check(&self, m: &HandedIn, message_by_id: &BTreeMap<Vec<u8>, u64>) -> Result<AcceptedMessage, Answer> {
        if !self.classes.contains(&m.told.lane) {
            return Err(Answer::Failed("c names no class"));
        }
        if message_by_id.contains_key(&m.id) {
            return Err(Answer::Held);
        }
        let left = m.told.left.saturating_sub(m.at.elapsed());
        if !accepts(left) {
            return Err(Answer::PushedBack(0));
        }
        let deadline = unix_us() / 1_000 + left.as_millis() as u64;
        let list = m.list.clone();
        Ok(AcceptedMessage {
            id: m.id.clone(),
            key: m.key,
            metadata: list,
            deadline,
            body: m.body.clone(),
            accepted_at_us: unix_us(),
        })
    }
}
