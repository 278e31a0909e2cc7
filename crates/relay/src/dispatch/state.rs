//! State of the dispatcher: messages, calls in flight, endpoints, and the actions collected during the current step.

use super::dependencies::Dependencies;
use super::event::{CallNumber, Event};
use super::key_hold_offs::KeyHoldOffs;
use crate::acceptance::Acceptances;
use crate::clients::{SubmissionMetadata, SubmissionReply};
use crate::clock::Clock;
use crate::ended_ids;
use crate::metrics::Metrics;
use crate::notifications::Notification;
use crate::peer_ids::PeerIds;
use crate::startup::spool::SuccessorSpool;
use crate::state_files::StateFiles;
use crate::transitions::Transition;
use crate::upstream::{CallStage, ConnectionPool, EndpointTable};
use crate::violations::{Evidence, ViolationKind, Violations};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use log::debug;
use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use mountshift_discovery::DrainRecord;
use mountshift_handover::RouteRecord;
use mountshift_maintenance::MaintenanceState;
use mountshift_settings::SocketSettings;
use mountshift_spool::{FinalOutcome, Spool};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Tenant of messages whose tenant is not in the settings; it has no quota. An id from the settings would let unknown
/// tenants use the quota of that tenant.
const UNKNOWN_TENANT: TenantId = TenantId(u32::MAX);
/// Ordering key on the wire of a message without an ordering key.
const NO_ORDERING_KEY: u64 = 0;

/// A call in flight.
pub(super) struct CallInFlight {
    pub(super) endpoint: EndpointId,
    pub(super) sent_at: Duration,
    /// Messages whose attempts have not ended.
    pub(super) messages: BTreeSet<MessageId>,
    /// Messages of the call that the policy has cancelled.
    pub(super) cancelled: BTreeSet<MessageId>,
    pub(super) stage: Rc<Cell<CallStage>>,
    /// Dropping it closes the call's connection.
    pub(super) task: Option<Task<()>>,
}

/// An attempt of a message that the policy decided in the current step.
#[derive(Clone, Copy)]
pub(super) struct PendingAttempt {
    pub(super) message: MessageId,
    /// Time after which the attempt ends as timed out.
    pub(super) timeout: Duration,
    /// Whether the spool must record the attempt before it may be sent.
    pub(super) needs_record: bool,
}

/// A notification whose final outcome the spool has not committed yet.
pub(super) struct PendingNotification {
    pub(super) notification: Notification,
    /// Deadline of its message.
    pub(super) deadline: Duration,
}

/// The attempts of the current step to one endpoint.
pub(super) struct PendingSends {
    pub(super) endpoint: EndpointId,
    pub(super) attempts: Vec<PendingAttempt>,
}

/// A closed message that the spool keeps until the given time.
pub(super) struct ClosedMessage {
    message: MessageId,
    until: Duration,
}

/// The request of a delayed call for permission to be sent.
pub(super) struct SendPermissionRequest {
    pub(super) endpoint: EndpointId,
    /// Address that the call is connected to.
    pub(super) address: SocketAddr,
    pub(super) reply_to: Sender<bool>,
}

/// State of the dispatcher. Implements the [`Actions`] of the policy.
pub(super) struct DispatcherState {
    pub(super) clock: Clock,
    /// The delivery policy; shared with calls, which check its rules again right before their first byte.
    pub(super) policy: Rc<RefCell<DeliveryPolicy>>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) violations: Rc<Violations>,
    /// Time of the current step.
    pub(super) now: Duration,
    pub(super) settings: SocketSettings,
    /// Maximum number of messages in one call, by kind of destination.
    pub(super) max_batches: Vec<usize>,
    pub(super) spool: Rc<RefCell<Spool>>,
    pub(super) endpoints: EndpointTable,
    pub(super) idle_connections: Rc<ConnectionPool>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) events: Sender<Event>,
    pub(super) notifications: Sender<Notification>,
    pub(super) poll_requests: Sender<()>,
    pub(super) maintenance: Rc<RefCell<MaintenanceState>>,
    /// Endpoints that discovery reported as draining or removed, which an older list must not undo.
    pub(super) drain_record: DrainRecord,
    pub(super) files: StateFiles,
    /// Routes of the previous process that are not on the list so far.
    pub(super) unrestored_routes: Vec<RouteRecord>,
    pub(super) successor_spool: SuccessorSpool,
    /// Whether a stop was requested while a successor runs, to which this process hands over.
    pub(super) is_handing_over: bool,
    /// Whether messages are kept in order, by message class.
    ordered_classes: Vec<bool>,
    /// Messages in the spool that are not closed, by client-supplied id.
    pub(super) messages_by_id: BTreeMap<Vec<u8>, MessageId>,
    /// Ids of the messages that a successor has accepted.
    pub(super) successor_ids: PeerIds,
    pub(super) calls_in_flight: BTreeMap<CallNumber, CallInFlight>,
    pub(super) key_hold_offs: Rc<KeyHoldOffs>,
    /// Pause of an ordering key after an attempt that may still be running.
    pub(super) order_hold_off: Duration,
    pub(super) last_call_number: u64,
    /// Latest time for the next step, as requested by the policy.
    pub(super) next_wake: Option<Duration>,
    /// Whether the spool had no room for the last message and this has been logged.
    pub(super) spool_full_logged: bool,
    /// Clients of the messages that are held.
    pub(super) acceptances: Acceptances,
    /// Closed messages that the spool still keeps for the next process.
    pub(super) closed_messages: Vec<ClosedMessage>,
    /// Notifications that are sent once the spool has committed the final outcomes.
    pub(super) pending_notifications: Vec<PendingNotification>,
    /// Whether the last commit of the spool failed and this has been logged.
    pub(super) spool_failure_logged: bool,
    /// Attempts that the current step sends.
    pub(super) pending_sends: Vec<PendingSends>,
    /// Requests that are answered at the end of the current step.
    pub(super) send_permission_requests: Vec<SendPermissionRequest>,
}

impl DispatcherState {
    /// The state before the first step.
    pub(super) fn new(dependencies: Dependencies, clock: Clock) -> DispatcherState {
        let kinds = &dependencies.policy_settings.destination_kinds;
        let settings = dependencies.socket_settings;
        let idle_connections = ConnectionPool::new(settings.idle_timeout, dependencies.max_idle_connections);
        let policy = DeliveryPolicy::new(dependencies.policy_settings.clone());
        DispatcherState {
            clock,
            policy: Rc::new(RefCell::new(policy)),
            metrics: dependencies.metrics,
            violations: dependencies.violations,
            now: clock.now(),
            max_batches: kinds.iter().map(|kind| kind.max_batch.max(1)).collect(),
            spool: Rc::new(RefCell::new(dependencies.spool)),
            endpoints: EndpointTable::new(&settings),
            idle_connections: Rc::new(idle_connections),
            settings,
            executor: dependencies.executor,
            events: dependencies.events.0,
            notifications: dependencies.notifications,
            poll_requests: dependencies.poll_requests,
            maintenance: dependencies.maintenance,
            drain_record: dependencies.drain_record,
            files: dependencies.files,
            unrestored_routes: Vec::new(),
            successor_ids: dependencies.successor_spool.ids(),
            successor_spool: dependencies.successor_spool,
            is_handing_over: false,
            ordered_classes: dependencies
                .policy_settings
                .classes
                .iter()
                .map(|class| class.in_order)
                .collect(),
            messages_by_id: BTreeMap::new(),
            calls_in_flight: BTreeMap::new(),
            key_hold_offs: Rc::default(),
            order_hold_off: dependencies.policy_settings.order_hold_off,
            last_call_number: 0,
            next_wake: None,
            spool_full_logged: false,
            acceptances: Acceptances::default(),
            closed_messages: Vec::new(),
            pending_notifications: Vec::new(),
            spool_failure_logged: false,
            pending_sends: Vec::new(),
            send_permission_requests: Vec::new(),
        }
    }

    /// Ends a message undelivered, with a reply to its client if that still waits, else with a notification to the
    /// platform. Returns whether the client got the reply, which closes the message.
    pub(super) fn end_undelivered(
        &mut self,
        message: MessageId,
        reply: SubmissionReply,
        outcome: FinalOutcome,
    ) -> bool {
        self.log_undelivered(message, outcome);
        if self.is_second_final_answer(message) {
            return false;
        }
        self.metrics.count_final_answer(match outcome {
            FinalOutcome::Failed => "failed",
            FinalOutcome::Rejected(_) => "rejected",
        });
        if self.acceptances.reply_final(message, reply) {
            self.remove_message(message);
            return true;
        }
        self.spool.borrow_mut().record_outcome(message.0, outcome);
        self.notify_once_recorded(message, outcome);
        false
    }

    /// Returns whether the message already has its final answer, and reports that as a violation: a message gets one
    /// final answer (rule 1).
    fn is_second_final_answer(&self, message: MessageId) -> bool {
        let spool = self.spool.borrow();
        let Some(stored) = spool.get(message.0).filter(|stored| stored.pending_outcome.is_some()) else {
            return false;
        };
        let evidence = Evidence {
            message: Some(&stored.accepted.id),
            expected: "no final answer yet",
            ..Evidence::default()
        };
        self.violations.report(ViolationKind::SecondFinalAnswer, evidence);
        true
    }

    fn log_undelivered(&self, message: MessageId, outcome: FinalOutcome) {
        let spool = self.spool.borrow();
        let Some(stored) = spool.get(message.0) else { return };
        let id = String::from_utf8_lossy(&stored.accepted.id);
        let attempts = stored.attempts.len();
        let metadata = &stored.accepted.metadata;
        debug!("message {id} ends undelivered: {outcome:?} after {attempts} attempts, {metadata}");
    }

    /// Logs a state transition of a message.
    pub(super) fn log_transition(&self, message: MessageId, from: &str, to: &str, reason: &str) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let spool = self.spool.borrow();
        let id = spool.get(message.0).map(|stored| &stored.accepted.id[..]);
        debug!("{}", Transition { message: id, from, to, reason, ..Transition::default() });
    }

    /// Queues the notification of a final outcome that the spool has already recorded.
    pub(super) fn notify(&self, message: MessageId, outcome: FinalOutcome) {
        if let Some(notification) = self.notification(message, outcome) {
            let _ = self.notifications.try_send(notification);
        }
    }

    /// Sends the notification once the spool has committed the outcome. If the platform got an outcome that is not in
    /// the spool, a later process would send a second one, which rule 1 forbids.
    fn notify_once_recorded(&mut self, message: MessageId, outcome: FinalOutcome) {
        let Some(notification) = self.notification(message, outcome) else { return };
        let deadline_ms = self.spool.borrow().get(message.0).map_or(0, |stored| stored.accepted.deadline);
        let deadline = self.clock.since_start_of_unix_ms(deadline_ms);
        self.pending_notifications.push(PendingNotification { notification, deadline });
    }

    /// Sends the pending notifications whose outcomes are committed. While the spool can't be written, sends only those
    /// of messages past their deadline: a later process makes no attempt for these, whatever the spool has recorded.
    pub(super) fn release_notifications(&mut self, is_committed: bool) {
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_notifications)
            .into_iter()
            .partition(|pending| is_committed || pending.deadline <= now);
        self.pending_notifications = waiting;
        for pending in due {
            let _ = self.notifications.try_send(pending.notification);
        }
    }

    fn notification(&self, message: MessageId, outcome: FinalOutcome) -> Option<Notification> {
        let spool = self.spool.borrow();
        let id = spool.get(message.0)?.accepted.id.clone();
        Some(Notification { message, id, outcome })
    }

    /// Removes a closed message.
    pub(super) fn remove_message(&mut self, message: MessageId) {
        let mut spool = self.spool.borrow_mut();
        if let Some(stored) = spool.get(message.0) {
            let id = &stored.accepted.id;
            debug!("{}", Transition { message: Some(id), from: "held", to: "gone", ..Transition::default() });
            self.messages_by_id.remove(id);
            self.acceptances.remove(message);
            spool.remove(message.0);
        }
    }

    /// Removes a closed message. If a later process needs its record, keeps it in the spool, with a final outcome,
    /// until the record is no longer needed.
    pub(super) fn close_in_spool(&mut self, message: MessageId, attempt: ClosingAttempt) {
        let until = self.policy.borrow().record_needed_until(message, self.now, attempt);
        let Some(until) = until else { return self.remove_message(message) };
        let mut spool = self.spool.borrow_mut();
        let Some(stored) = spool.get(message.0) else { return };
        self.messages_by_id.remove(&stored.accepted.id);
        self.acceptances.remove(message);
        // A later process that finds the outcome notifies the platform once more, which is harmless, and makes no
        // attempt of the message.
        if stored.pending_outcome.is_none() {
            spool.record_outcome(message.0, FinalOutcome::Failed);
        }
        self.closed_messages.push(ClosedMessage { message, until });
    }

    /// Removes closed messages whose record a later process no longer needs.
    pub(super) fn remove_closed_messages(&mut self) {
        let now = self.now;
        let (due, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.closed_messages).into_iter().partition(|closed| closed.until <= now);
        self.closed_messages = kept;
        for closed in due {
            self.spool.borrow_mut().remove(closed.message.0);
        }
    }

    /// Returns whether the spool has a message that is not closed.
    pub(super) fn has_open_messages(&self) -> bool {
        self.spool.borrow().messages().len() > self.closed_messages.len()
    }

    /// Records the id and content of a message that ended.
    pub(super) fn record_ended_id(&mut self, message: MessageId) {
        let mut spool = self.spool.borrow_mut();
        let ended = spool.get(message.0).map(|stored| ended_ids::ended_id(&stored.accepted));
        if let Some(ended) = ended {
            spool.record_ended(ended);
        }
    }

    /// Returns whether the message must be delivered in the order of its ordering key.
    pub(super) fn is_in_order(&self, submission: &Submission) -> bool {
        submission.key.is_some() && self.ordered_classes[usize::from(submission.class.0)]
    }

    /// Returns the policy's view of a message; none if its class is not in the settings.
    pub(super) fn submission(
        &self,
        metadata: &SubmissionMetadata,
        ordering_key: u64,
        deadline: Duration,
        batch_entry_bytes: usize,
    ) -> Option<Submission> {
        let class = position(&self.settings.classes, &metadata.class)?;
        let tenant = metadata.tenant.as_deref().and_then(|name| position(&self.settings.tenants, name));
        Some(Submission {
            class: ClassId(class as u16),
            tenant: tenant.map_or(UNKNOWN_TENANT, |position| TenantId(position as u32)),
            destination: DestinationId(metadata.destination),
            key: if ordering_key == NO_ORDERING_KEY { None } else { Some(OrderingKey(ordering_key)) },
            deadline,
            batch_entry_bytes,
            restored: false,
        })
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
