//! A process that starts beside the one that owns the relay's state folder: it answers clients and keeps
//! what they hand in in a spool of its own, and sends nothing, until the owner has ended. Who owns what and
//! what a taker takes on is decided in `mountshift_handover`; here it is carried out.

use crate::clients::{Answer, HandedIn};
use crate::host::{Event, unix_us, write_maintenance};
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
pub const TAKEN_BASE: u64 = 1 << 62;

/// How taking in ended.
pub enum Ended {
    /// The owner's lock is this process's now; these events wait for the host, in order.
    Owns(Vec<Event>),
    /// Told to stop before it owned: what it took waits in its spool for the next owner.
    Stopped,
}

/// What the taker works with.
pub struct Reception<'a> {
    pub spool: Spool,
    /// The owner's lock, to be taken once it is free; then held for as long as the process runs.
    pub owner_lock: &'a File,
    pub lanes: Vec<String>,
    pub maintenance: Rc<RefCell<MaintenanceState>>,
    pub out_file: PathBuf,
    /// Closed when clients are to go.
    pub leave: Sender<()>,
    /// Client connections open now.
    pub clients: Rc<Cell<usize>>,
}

impl Reception<'_> {
    /// Takes in until the owner's lock is free, or until told to stop.
    pub async fn run(&mut self, came: &Receiver<Event>) -> Ended {
        let (mut by_name, mut stash) = (BTreeMap::new(), Vec::new());
        let mut stopped: Option<Instant> = None;
        loop {
            let timer = async {
                Timer::after(LOCK_POLL_INTERVAL).await;
                None
            };
            let first = async { came.recv().await.ok() }.or(timer).await;
            let events: Vec<Event> =
                first.into_iter().chain(std::iter::from_fn(|| came.try_recv().ok())).collect();
            let mut asking: Vec<(u64, Sender<Answer>)> = Vec::new();
            for event in events {
                match event {
                    Event::Message(m, answer) => match self.take(&m, &by_name) {
                        Err(refused) => drop(answer.try_send(refused)),
                        Ok(taken) => match self.spool.accept(taken) {
                            Some(n) => {
                                by_name.insert(m.id, n);
                                asking.push((n, answer));
                            }
                            None => {
                                warn!("next spool: full with {} messages", self.spool.messages().len());
                                let _ = answer.try_send(Answer::PushedBack(0));
                            }
                        },
                    },
                    // Its client did not hear that it was taken on: it is nobody's.
                    Event::Gone(msg) => {
                        let n = msg.0.wrapping_sub(TAKEN_BASE);
                        if let Some(kept) = self.spool.get(n) {
                            by_name.remove(&kept.accepted.id);
                        }
                        self.spool.remove(n);
                    }
                    Event::Stop(_) => {
                        stopped = stopped.or(Some(Instant::now()));
                        self.maintenance.borrow_mut().set_stopping();
                        self.leave.close();
                    }
                    Event::Maintenance(change) => {
                        if matches!(change, Change::EndpointOut(_) | Change::EndpointBack(_)) {
                            write_maintenance(&self.out_file, &self.maintenance.borrow());
                        }
                        stash.push(Event::Maintenance(change));
                    }
                    Event::List(Ok(list)) => {
                        list.members.iter().for_each(|m| self.maintenance.borrow_mut().record_listed(&m.id));
                        stash.push(Event::List(Ok(list)));
                    }
                    other => stash.push(other),
                }
            }
            let safe = self.spool.commit();
            if let Err(e) = &safe {
                error!("next spool: {e}");
            }
            for (n, answer) in asking {
                if safe.is_ok() {
                    let _ = answer.try_send(Answer::Taken(MessageId(TAKEN_BASE + n)));
                } else {
                    let _ = answer.try_send(Answer::PushedBack(0));
                    self.spool.remove(n);
                }
            }
            let kept = self.spool.messages().len();
            if let Some(at) = stopped {
                if self.clients.get() == 0 || at.elapsed() >= RESTART.end_by {
                    info!("stopped before it owned, with {kept} messages in the next spool");
                    return Ended::Stopped;
                }
            } else if self.owner_lock.try_lock().is_ok() {
                info!("owns the state folder now, with {kept} messages taken in beside the owner");
                return Ended::Owns(stash);
            }
        }
    }

    /// What a taker takes on, or how it answers instead.
    fn take(&self, m: &HandedIn, by_name: &BTreeMap<Vec<u8>, u64>) -> Result<AcceptedMessage, Answer> {
        if !self.lanes.contains(&m.told.lane) {
            return Err(Answer::Failed("c names no class"));
        }
        if by_name.contains_key(&m.id) {
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
