//! What the dispatcher holds: messages, calls, endpoints and what it tells to others.

use super::event::Event;
use crate::clients::{Answer, Told};
use crate::clock::Clock;
use crate::endpoints::{Endpoints, Idle, Stage};
use crate::notifications::Notification;
use crate::state_files::StateFiles;
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
use std::rc::Rc;
use std::time::Duration;

/// Ids that are remembered beyond their end.
const MAX_RECENTLY_ENDED: usize = 4_096;

pub(super) fn hash_id(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// A call that is out.
pub(super) struct CallInFlight {
    pub(super) to: EndpointId,
    pub(super) sent: Duration,
    pub(super) messages: BTreeSet<MessageId>,
    pub(super) cancelled: BTreeSet<MessageId>,
    pub(super) stage: Rc<Cell<Stage>>,
    /// Dropping it closes the call's connection.
    pub(super) task: Option<Task<()>>,
}

/// Takes the decisions and holds what they are about.
pub(super) struct DispatcherState {
    pub(super) clock: Clock,
    pub(super) now: Duration,
    pub(super) settings: SocketSettings,
    pub(super) max_batches: Vec<usize>,
    pub(super) spool: Rc<RefCell<Spool>>,
    pub(super) endpoints: Endpoints,
    pub(super) idle_connections: Rc<Idle>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) events: Sender<Event>,
    pub(super) notifications: Sender<Notification>,
    pub(super) poll_requests: Sender<()>,
    pub(super) message_by_id: BTreeMap<Vec<u8>, MessageId>,
    /// Ids of messages that ended lately, as numbers.
    pub(super) recently_ended: VecDeque<u64>,
    /// Messages that came for this round, and who waits for the answer.
    pub(super) awaiting_answer: BTreeMap<MessageId, Sender<Answer>>,
    pub(super) pending_sends: Vec<(EndpointId, Vec<(MessageId, Duration)>)>,
    pub(super) reachability_questions: Vec<(EndpointId, Sender<bool>)>,
    pub(super) calls_in_flight: BTreeMap<u64, CallInFlight>,
    pub(super) last_call_number: u64,
    pub(super) next_wake: Option<Duration>,
    /// The spool had no room for the last message.
    pub(super) spool_full_logged: bool,
    pub(super) maintenance: Rc<RefCell<MaintenanceState>>,
    /// Endpoints told as leaving.
    pub(super) drain_record: DrainRecord,
    pub(super) files: StateFiles,
}

impl DispatcherState {
    /// An end that is no delivery: the answer to a client that waits, else a notice. True if it is taken.
    pub(super) fn end_undelivered(
        &mut self,
        message: MessageId,
        answer: Answer,
        outcome: FinalOutcome,
    ) -> bool {
        if let Some(kept) = self.spool.borrow().get(message.0) {
            let (id, legs) = (String::from_utf8_lossy(&kept.accepted.id), kept.attempts.len());
            debug!(
                "message {id} ends undelivered: {outcome:?} after {legs} legs, {}",
                kept.accepted.metadata
            );
        }
        if let Some(reply_to) = self.awaiting_answer.remove(&message) {
            let _ = reply_to.try_send(answer);
            self.remove_message(message);
            return true;
        }
        self.spool.borrow_mut().record_outcome(message.0, outcome);
        self.notify(message, outcome);
        false
    }

    pub(super) fn notify(&mut self, message: MessageId, outcome: FinalOutcome) {
        if let Some(kept) = self.spool.borrow().get(message.0) {
            let _ =
                self.notifications.try_send(Notification { message, id: kept.accepted.id.clone(), outcome });
        }
    }

    pub(super) fn remove_message(&mut self, message: MessageId) {
        let mut spool = self.spool.borrow_mut();
        if let Some(kept) = spool.get(message.0) {
            self.message_by_id.remove(&kept.accepted.id);
            spool.remove(message.0);
        }
    }

    /// Guards against an id that is handed in again after its end: every message has a new one, so whoever
    /// uses it hands in another's, and it would go out as a second copy.
    pub(super) fn remember_ended(&mut self, message: MessageId) {
        let ended = self.spool.borrow().get(message.0).map(|kept| hash_id(&kept.accepted.id));
        self.recently_ended.extend(ended);
        self.recently_ended.drain(..self.recently_ended.len().saturating_sub(MAX_RECENTLY_ENDED));
    }

    /// What the decisions are told of a message; none if its lane is not known.
    pub(super) fn submission(&self, told: &Told, key: u64, deadline: Duration) -> Option<Submission> {
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
