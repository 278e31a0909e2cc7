//! What the dispatcher holds: messages, calls, endpoints and what it tells to others.

use super::event::Event;
use crate::clients::{Answer, Told};
use crate::clock::Clock;
use crate::notifications::Notice;
use crate::upstream::{Endpoints, Idle, Stage};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use log::debug;
use mountshift::interface::*;
use mountshift_discovery::DrainRecord;
use mountshift_maintenance::MaintenanceState;
use mountshift_settings::SocketSettings;
use mountshift_spool::{FinalOutcome, Spool};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Ids that are remembered beyond their end.
const ENDED_MOST: usize = 4_096;

pub(super) fn number(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// A call that is out.
pub(super) struct Out {
    pub(super) to: EndpointId,
    pub(super) sent: Duration,
    pub(super) legs: BTreeSet<MessageId>,
    pub(super) recalled: BTreeSet<MessageId>,
    pub(super) stage: Rc<Cell<Stage>>,
    /// Dropping it closes the call's connection.
    pub(super) task: Option<Task<()>>,
}

/// Takes the decisions and holds what they are about.
pub(super) struct Desk {
    pub(super) clock: Clock,
    pub(super) now: Duration,
    pub(super) settings: SocketSettings,
    pub(super) batches: Vec<usize>,
    pub(super) spool: Rc<RefCell<Spool>>,
    pub(super) endpoints: Endpoints,
    pub(super) idle: Rc<Idle>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) events: Sender<Event>,
    pub(super) notices: Sender<Notice>,
    pub(super) watch: Sender<()>,
    pub(super) by_name: BTreeMap<Vec<u8>, MessageId>,
    /// Ids of messages that ended lately, as numbers.
    pub(super) ended: VecDeque<u64>,
    /// Messages that came for this round, and who waits for the answer.
    pub(super) asking: BTreeMap<MessageId, Sender<Answer>>,
    pub(super) sends: Vec<(EndpointId, Vec<(MessageId, Duration)>)>,
    pub(super) late: Vec<(EndpointId, Sender<bool>)>,
    pub(super) calls: BTreeMap<u64, Out>,
    pub(super) count: u64,
    pub(super) wake: Option<Duration>,
    /// The spool had no room for the last message.
    pub(super) full: bool,
    pub(super) maintenance: Rc<RefCell<MaintenanceState>>,
    /// Where the endpoints out by hand are written down.
    pub(super) out_file: PathBuf,
    /// Where what outlives the process is written down for the next one.
    pub(super) snapshot_file: PathBuf,
    /// Endpoints told as leaving, where that is written down, and in how many bytes at most.
    pub(super) drain_record: DrainRecord,
    pub(super) drain_record_file: PathBuf,
    pub(super) drain_record_max_bytes: usize,
}

impl Desk {
    /// An end that is no delivery: the answer to a client that waits, else a notice. True if it is taken.
    pub(super) fn end(&mut self, msg: MessageId, answer: Answer, owed: FinalOutcome) -> bool {
        if let Some(kept) = self.spool.borrow().get(msg.0) {
            let (id, legs) = (String::from_utf8_lossy(&kept.accepted.id), kept.attempts.len());
            debug!("message {id} ends undelivered: {owed:?} after {legs} legs, {}", kept.accepted.metadata);
        }
        if let Some(asking) = self.asking.remove(&msg) {
            let _ = asking.try_send(answer);
            self.over(msg);
            return true;
        }
        self.spool.borrow_mut().record_outcome(msg.0, owed);
        self.notify(msg, owed);
        false
    }

    pub(super) fn notify(&mut self, msg: MessageId, end: FinalOutcome) {
        if let Some(kept) = self.spool.borrow().get(msg.0) {
            let _ = self.notices.try_send(Notice { msg, id: kept.accepted.id.clone(), end });
        }
    }

    pub(super) fn over(&mut self, msg: MessageId) {
        let mut spool = self.spool.borrow_mut();
        if let Some(kept) = spool.get(msg.0) {
            self.by_name.remove(&kept.accepted.id);
            spool.remove(msg.0);
        }
    }

    /// Guards against an id that is handed in again after its end: every message has a new one, so whoever
    /// uses it hands in another's, and it would go out as a second copy.
    pub(super) fn remember(&mut self, msg: MessageId) {
        let ended = self.spool.borrow().get(msg.0).map(|kept| number(&kept.accepted.id));
        self.ended.extend(ended);
        self.ended.drain(..self.ended.len().saturating_sub(ENDED_MOST));
    }

    /// What the decisions are told of a message; none if its lane is not known.
    pub(super) fn hand_in(&self, told: &Told, key: u64, deadline: Duration) -> Option<Submission> {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = ClassId(place(&self.settings.classes, &told.lane)? as u16);
        let tenant = told.tenant.as_deref().and_then(|t| place(&self.settings.tenants, t));
        // Guards against a tenant that nobody knows drawing on the share of the first one: it has none.
        let tenant = TenantId(tenant.map_or(u32::MAX, |t| t as u32));
        let key = (key != 0).then_some(OrderingKey(key));
        Some(Submission {
            class,
            tenant,
            destination: DestinationId(told.dst),
            key,
            deadline,
            restored: false,
        })
    }
}
