//! What the dispatcher holds: messages, calls in flight, endpoints, and what the step under way collects.

use super::dependencies::Dependencies;
use super::ended_ids::EndedIds;
use super::event::{CallNumber, Event};
use super::key_rests::KeyRests;
use crate::acceptance::Acceptances;
use crate::clients::{MessageContent, SubmissionMetadata, SubmissionReply};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::notifications::Notification;
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
use mountshift_maintenance::MaintenanceState;
use mountshift_settings::SocketSettings;
use mountshift_spool::{AcceptedMessage, FinalOutcome, Spool};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The tenant of messages whose tenant the settings don't name: it has no quota. Were it the first one, unknown
/// tenants would draw on that one's share.
const UNKNOWN_TENANT: TenantId = TenantId(u32::MAX);
/// On the wire, the key of a message that is in no order.
const NO_ORDERING_KEY: u64 = 0;

/// A call in flight.
pub(super) struct CallInFlight {
    pub(super) endpoint: EndpointId,
    pub(super) sent_at: Duration,
    /// The messages whose attempts have not ended.
    pub(super) messages: BTreeSet<MessageId>,
    /// Those of them that the decisions cancelled.
    pub(super) cancelled: BTreeSet<MessageId>,
    pub(super) stage: Rc<Cell<CallStage>>,
    /// Dropping it closes the call's connection.
    pub(super) task: Option<Task<()>>,
}

/// A message's attempt that the step under way decided.
#[derive(Clone, Copy)]
pub(super) struct PendingAttempt {
    pub(super) message: MessageId,
    /// It ends as timed out after this.
    pub(super) limit: Duration,
    /// It may be sent only once the spool has recorded it.
    pub(super) needs_record: bool,
}

/// A notification whose final outcome the spool has not recorded yet.
pub(super) struct PendingNotification {
    pub(super) notification: Notification,
    /// When its message is due.
    pub(super) deadline: Duration,
}

/// The attempts of the step under way to one endpoint.
pub(super) struct PendingSends {
    pub(super) endpoint: EndpointId,
    pub(super) attempts: Vec<PendingAttempt>,
}

/// A closed message that the spool keeps for a while.
pub(super) struct ClosedMessage {
    message: MessageId,
    until: Duration,
}

/// A late call that waits to hear whether it may still be sent.
pub(super) struct ReachabilityQuestion {
    pub(super) endpoint: EndpointId,
    /// Where the call goes.
    pub(super) address: SocketAddr,
    pub(super) reply_to: Sender<bool>,
}

/// What the decisions are about. It is their [`Actions`].
pub(super) struct DispatcherState {
    pub(super) clock: Clock,
    /// The decisions; a call asks them again right before its first byte.
    pub(super) policy: Rc<RefCell<DeliveryPolicy>>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) violations: Rc<Violations>,
    /// The time of the step under way.
    pub(super) now: Duration,
    pub(super) settings: SocketSettings,
    /// Messages in one call at most, by kind of destination.
    pub(super) max_batches: Vec<usize>,
    pub(super) spool: Rc<RefCell<Spool>>,
    pub(super) endpoints: EndpointTable,
    pub(super) idle_connections: Rc<ConnectionPool>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) events: Sender<Event>,
    pub(super) notifications: Sender<Notification>,
    pub(super) poll_requests: Sender<()>,
    pub(super) maintenance: Rc<RefCell<MaintenanceState>>,
    /// Endpoints known to be draining or removed, whatever an older list says.
    pub(super) drain_record: DrainRecord,
    pub(super) files: StateFiles,
    pub(super) successor_spool: SuccessorSpool,
    /// Told to stop, with a successor beside it.
    pub(super) hands_over: bool,
    /// Which message classes keep their messages in order.
    ordered_classes: Vec<bool>,
    /// The messages in the spool, by the ids that clients gave them.
    pub(super) messages_by_id: BTreeMap<Vec<u8>, MessageId>,
    pub(super) ended_ids: EndedIds,
    pub(super) calls_in_flight: BTreeMap<CallNumber, CallInFlight>,
    pub(super) key_rests: Rc<KeyRests>,
    /// How long a key rests behind an attempt that may still be running.
    pub(super) order_hold_off: Duration,
    pub(super) last_call_number: u64,
    /// When the decisions want the next step at the latest.
    pub(super) next_wake: Option<Duration>,
    /// The spool had no room for the last message, and the log says so.
    pub(super) spool_full_logged: bool,
    /// The clients of the messages that are held.
    pub(super) acceptances: Acceptances,
    /// Closed messages that a process after this one has to know of.
    pub(super) closed_messages: Vec<ClosedMessage>,
    /// Final outcomes that the platform hears of once the spool has recorded them.
    pub(super) pending_notifications: Vec<PendingNotification>,
    /// The spool could not be written at the last try, and the log says so.
    pub(super) spool_failure_logged: bool,
    /// What the step under way sends.
    pub(super) pending_sends: Vec<PendingSends>,
    /// What the step under way is asked.
    pub(super) reachability_questions: Vec<ReachabilityQuestion>,
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
            successor_spool: dependencies.successor_spool,
            hands_over: false,
            ordered_classes: dependencies
                .policy_settings
                .classes
                .iter()
                .map(|class| class.in_order)
                .collect(),
            messages_by_id: BTreeMap::new(),
            ended_ids: EndedIds::default(),
            calls_in_flight: BTreeMap::new(),
            key_rests: Rc::default(),
            order_hold_off: dependencies.policy_settings.order_hold_off,
            last_call_number: 0,
            next_wake: None,
            spool_full_logged: false,
            acceptances: Acceptances::default(),
            closed_messages: Vec::new(),
            pending_notifications: Vec::new(),
            spool_failure_logged: false,
            pending_sends: Vec::new(),
            reachability_questions: Vec::new(),
        }
    }

    /// Ends a message undelivered: its client hears so if it still waits, else the platform. True if the client took
    /// it, so that the message is closed.
    pub(super) fn end_undelivered(
        &mut self,
        message: MessageId,
        answer: SubmissionReply,
        outcome: FinalOutcome,
    ) -> bool {
        self.log_undelivered(message, outcome);
        if self.has_final_answer(message) {
            return false;
        }
        self.metrics.count_final_answer(match outcome {
            FinalOutcome::Failed => "failed",
            FinalOutcome::Rejected(_) => "rejected",
        });
        if self.acceptances.reply_final(message, answer) {
            self.remove_message(message);
            return true;
        }
        self.spool.borrow_mut().record_outcome(message.0, outcome);
        self.notify_once_recorded(message, outcome);
        false
    }

    /// Rule 1: one final answer. True if the message has one; then a second one is a violation.
    fn has_final_answer(&self, message: MessageId) -> bool {
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

    /// Queues the notification of a final outcome that the spool knows already.
    pub(super) fn notify(&self, message: MessageId, outcome: FinalOutcome) {
        if let Some(notification) = self.notification(message, outcome) {
            let _ = self.notifications.try_send(notification);
        }
    }

    /// Rule 1: a final outcome that the platform has heard of and a later process has not would be followed by a second
    /// one. So it waits for the spool.
    fn notify_once_recorded(&mut self, message: MessageId, outcome: FinalOutcome) {
        let Some(notification) = self.notification(message, outcome) else { return };
        let deadline_ms = self.spool.borrow().get(message.0).map_or(0, |stored| stored.accepted.deadline);
        let deadline = self.clock.since_start_of_unix_ms(deadline_ms);
        self.pending_notifications.push(PendingNotification { notification, deadline });
    }

    /// Sends the notifications that may go. While the spool can't be written these are the ones of messages whose
    /// deadline is over: no later process sends those, whatever it knows of them.
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

    /// Removes a message that is closed.
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

    /// Removes a message that is closed, or keeps it in the spool as one that has ended for as long as the next process
    /// has to know of it.
    pub(super) fn close_in_spool(&mut self, message: MessageId, attempt: ClosingAttempt) {
        let until = self.policy.borrow().record_needed_until(message, self.now, attempt);
        let Some(until) = until else { return self.remove_message(message) };
        let mut spool = self.spool.borrow_mut();
        let Some(stored) = spool.get(message.0) else { return };
        self.messages_by_id.remove(&stored.accepted.id);
        self.acceptances.remove(message);
        // A process that finds it tells its end once more, which does no harm, and sends nothing of it.
        if stored.pending_outcome.is_none() {
            spool.record_outcome(message.0, FinalOutcome::Failed);
        }
        self.closed_messages.push(ClosedMessage { message, until });
    }

    /// Removes closed messages that no later process has to know of any more.
    pub(super) fn remove_closed_messages(&mut self) {
        let now = self.now;
        let (due, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.closed_messages).into_iter().partition(|closed| closed.until <= now);
        self.closed_messages = kept;
        for closed in due {
            self.spool.borrow_mut().remove(closed.message.0);
        }
    }

    /// True if a message in the spool is not closed.
    pub(super) fn holds_messages(&self) -> bool {
        self.spool.borrow().messages().len() > self.closed_messages.len()
    }

    /// Remembers the id of a message that ended.
    pub(super) fn remember_ended(&mut self, message: MessageId) {
        let spool = self.spool.borrow();
        let Some(AcceptedMessage { id, key, metadata, body, .. }) =
            spool.get(message.0).map(|stored| &stored.accepted)
        else {
            return;
        };
        if let Ok(metadata) = SubmissionMetadata::parse(metadata) {
            self.ended_ids.remember(id, &MessageContent { key: *key, metadata: &metadata, body });
        }
    }

    /// True if the message has its place among those of a key.
    pub(super) fn is_in_order(&self, submission: &Submission) -> bool {
        submission.key.is_some() && self.ordered_classes[usize::from(submission.class.0)]
    }

    /// What the decisions are told of a message; none if the settings don't know its class.
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
