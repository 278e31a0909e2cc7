//! Executes the actions of a step: commits the spool, replies to clients, starts calls.

use super::event::{CallNumber, Event};
use super::key_hold_offs::KeyHoldOffs;
use super::state::{CallInFlight, DispatcherState, PendingAttempt};
use crate::clients::SubmissionMetadata;
use crate::metrics::Metrics;
use crate::upstream::{self, Call, CallMessage, CallResult, CallStage, Endpoint};
use crate::violations::{Evidence, ViolationKind, Violations};
use async_channel::Receiver;
use async_executor::Task;
use log::{debug, error, info};
use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use mountshift_spool::{AcceptedMessage, Spool};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of messages in one call to an endpoint of a kind that is not in the settings.
const DEFAULT_MAX_BATCH: usize = 1;

/// A call of the current step that has not started.
struct PlannedCall {
    endpoint_id: EndpointId,
    endpoint: Endpoint,
    attempts: Vec<PendingAttempt>,
    /// Whether the endpoint gets a batch call.
    is_batch: bool,
}

impl PlannedCall {
    fn messages(&self) -> impl Iterator<Item = MessageId> {
        self.attempts.iter().map(|attempt| attempt.message)
    }
}

/// Checks the rules again right before the first byte of a call is sent, and reports violations.
struct SendGuard {
    policy: Rc<RefCell<DeliveryPolicy>>,
    metrics: Rc<Metrics>,
    violations: Rc<Violations>,
    key_hold_offs: Rc<KeyHoldOffs>,
    order_hold_off: Duration,
    call: CallNumber,
    endpoint: EndpointId,
}

impl SendGuard {
    /// Checks whether the attempt of a message may start now; the error is the outcome of an attempt that may not.
    fn check(&self, spool: &Spool, message: MessageId, now: Duration) -> Result<(), Outcome> {
        let Err(refusal) = self.policy.borrow().check_before_send(message, self.endpoint, now) else {
            return Ok(());
        };
        self.metrics.count_stopped_send(refusal.name());
        // The policy must never decide an attempt that these two errors refuse. The other errors come from events
        // after the decision and are no violations.
        match refusal {
            SendError::UnsafeRepeat => {
                self.report(
                    ViolationKind::UnsafeRepeat,
                    spool,
                    message,
                    "no earlier attempt that may have run",
                );
            }
            SendError::OutOfOrder => {
                let state = self.policy.borrow().ordering_state(message, now);
                let expected = format!(
                    "to be the next message of its key, but is {}",
                    describe_ordering_state(spool, state)
                );
                self.report(ViolationKind::OutOfOrder, spool, message, &expected);
            }
            _ => {}
        }
        Err(Outcome::NotSent)
    }

    /// Measures the time since the hold-off of the message's ordering key began, and reports a hold-off that was too
    /// short. Called right before the message is sent.
    fn measure_hold_off(&self, spool: &Spool, message: MessageId, now: Duration) {
        let Some(key) = self.policy.borrow().ordering_key(message) else { return };
        let Some(hold_off) = self.key_hold_offs.end(key, message) else { return };
        let gap = now.saturating_sub(hold_off.since);
        self.metrics.observe_key_gap(gap);
        let earlier = String::from_utf8_lossy(&hold_off.id).into_owned();
        let (key, call, earlier_call) = (key.0, self.call.0, hold_off.call);
        debug!(
            "key {key:016x}: call {call} starts {gap:?} after call {earlier_call} of message {earlier} ended"
        );
        if gap < self.order_hold_off {
            let expected = format!(
                "a full hold-off after message {earlier} in call {earlier_call}, but it lasted {gap:?}"
            );
            self.report(ViolationKind::OutOfOrder, spool, message, &expected);
        }
    }

    fn report(&self, kind: ViolationKind, spool: &Spool, message: MessageId, expected: &str) {
        let message = spool.get(message.0).map(|stored| &stored.accepted.id[..]);
        let evidence = Evidence { message, call: Some(self.call.0), expected, connection: None };
        self.violations.report(kind, evidence);
    }
}

/// Describes an ordering state for log lines, with the client-supplied id of the other message.
fn describe_ordering_state(spool: &Spool, state: Option<OrderingState>) -> String {
    let id_of = |message: MessageId| {
        let stored = spool.get(message.0);
        stored.map_or_else(|| "-".into(), |stored| String::from_utf8_lossy(&stored.accepted.id).into_owned())
    };
    match state {
        None => "not held".into(),
        Some(OrderingState::Next) => "next".into(),
        Some(OrderingState::QueuedBehind(other)) => format!("queued behind message {}", id_of(other)),
        Some(OrderingState::HeldOff(other, until)) => {
            format!("on hold-off after message {} until {until:?}", id_of(other))
        }
    }
}

/// Returns an upper bound of the bytes that a message takes in a call with several messages.
pub(super) fn batch_entry_bytes(accepted: &AcceptedMessage) -> usize {
    upstream::max_batch_entry_bytes(&accepted.id, &accepted.metadata, &accepted.body)
}

impl DispatcherState {
    /// Executes the actions of a step: commits the spool first, then replies to clients and starts calls.
    pub(super) fn execute_step(&mut self) {
        self.remove_closed_messages();
        let calls = self.plan_calls();
        let is_committed = self.commit_spool();
        self.answer_clients(is_committed);
        self.release_notifications(is_committed);
        for call in calls {
            self.start_call(call, is_committed);
        }
    }

    /// Groups the attempts of the step into calls, as large as the kind of the endpoint's destination allows.
    fn plan_calls(&mut self) -> Vec<PlannedCall> {
        let mut calls = Vec::new();
        for sends in std::mem::take(&mut self.pending_sends) {
            let Some(endpoint) = self.endpoints.get(sends.endpoint) else { continue };
            let kind = endpoint.kind.0 as usize;
            let max_batch = self.max_batches.get(kind).copied().unwrap_or(DEFAULT_MAX_BATCH);
            for attempts in self.split_into_calls(&sends.attempts, max_batch) {
                let is_batch = attempts.len() > 1 || self.may_be_batch(&attempts, max_batch);
                calls.push(PlannedCall {
                    endpoint_id: sends.endpoint,
                    endpoint: endpoint.clone(),
                    attempts,
                    is_batch,
                });
            }
        }
        calls
    }

    /// Returns whether a single message is sent in a batch call: its destination must accept these, and the message must
    /// fit into one.
    fn may_be_batch(&self, attempts: &[PendingAttempt], max_batch: usize) -> bool {
        let spool = self.spool.borrow();
        let stored = attempts.iter().filter_map(|attempt| spool.get(attempt.message.0));
        max_batch > 1
            && stored.map(|stored| batch_entry_bytes(&stored.accepted)).sum::<usize>() <= MAX_CALL_BYTES
    }

    /// Splits attempts into calls with at most `max_batch` messages and at most `MAX_CALL_BYTES` bytes.
    fn split_into_calls(&self, attempts: &[PendingAttempt], max_batch: usize) -> Vec<Vec<PendingAttempt>> {
        let spool = self.spool.borrow();
        let mut calls: Vec<Vec<PendingAttempt>> = Vec::new();
        let mut bytes_of_last = 0;
        for attempt in attempts {
            let stored = spool.get(attempt.message.0);
            let bytes = stored.map_or(0, |stored| batch_entry_bytes(&stored.accepted));
            let fits = |call: &&mut Vec<PendingAttempt>| {
                call.len() < max_batch && bytes_of_last + bytes <= MAX_CALL_BYTES
            };
            if let Some(call) = calls.last_mut().filter(fits) {
                call.push(*attempt);
                bytes_of_last += bytes;
            } else {
                calls.push(vec![*attempt]);
                bytes_of_last = bytes;
            }
        }
        calls
    }

    /// Commits the records of the spool. Returns whether they are committed. Records don't count as committed before
    /// the time anchor (the `clock` file) is written: without it a later process would interpret their times by its own
    /// wall clock.
    pub(super) fn commit_spool(&mut self) -> bool {
        if !self.files.is_anchor_written() {
            self.files.retry_unwritten();
        }
        // The spool is not committed either: a message that is rejected for the missing anchor would otherwise stay in
        // the spool log until its removal is committed too.
        if !self.files.is_anchor_written() {
            return false;
        }
        let committed = self.spool.borrow_mut().commit();
        match &committed {
            Err(e) if !self.spool_failure_logged => {
                self.metrics.count_write_failure();
                error!("spool: {e}; nothing is accepted until it can be written");
                self.spool_failure_logged = true;
            }
            Ok(()) if self.spool_failure_logged => {
                info!("spool: can be written again");
                self.spool_failure_logged = false;
            }
            _ => {}
        }
        committed.is_ok()
    }

    /// Retries the writes that failed.
    pub(super) fn retry_writes(&mut self) {
        self.files.retry_unwritten();
        if self.spool.borrow().has_uncommitted() || !self.pending_notifications.is_empty() {
            let is_committed = self.commit_spool();
            self.release_notifications(is_committed);
        }
    }

    /// Returns whether a state file or a spool record is still unwritten, or a notification waits for a spool record.
    pub(super) fn has_unwritten(&self) -> bool {
        self.files.has_unwritten()
            || self.spool.borrow().has_uncommitted()
            || !self.pending_notifications.is_empty()
    }

    /// Replies to waiting clients that their messages are accepted, but only if these are committed; else rejects them.
    fn answer_clients(&mut self, is_committed: bool) {
        if is_committed {
            return self.acceptances.reply_accepted();
        }
        for message in self.acceptances.reply_rejected() {
            // Otherwise the next commit would store the rejected message.
            self.remove_message(message);
            let _ = self.events.try_send(Event::ClientUnreachable(message));
        }
    }

    /// Starts a call. While the spool can't be written, makes the call only if all its messages may be sent without a
    /// record; otherwise its attempts end with a local failure and the messages wait.
    fn start_call(&mut self, planned: PlannedCall, is_committed: bool) {
        self.last_call_number += 1;
        let number = CallNumber(self.last_call_number);
        let endpoint = planned.endpoint_id;
        let messages: BTreeSet<MessageId> = planned.messages().collect();
        let stage = Rc::new(Cell::new(CallStage::Connecting));
        let may_start = is_committed || self.may_send_without_record(&planned);
        let task = if may_start {
            Some(self.spawn_call(number, planned, stage.clone()))
        } else {
            let results =
                CallResult::uniform(planned.messages(), Outcome::LocalFailure, CallEnd::NotWritten, false);
            let _ = self.events.try_send(Event::AttemptsEnded { call: number, results });
            None
        };
        let sent_at = self.now;
        let call = CallInFlight { endpoint, sent_at, messages, cancelled: BTreeSet::new(), stage, task };
        self.calls_in_flight.insert(number, call);
    }

    /// Returns whether all messages of the call may be sent while the spool can't be written. Messages that were
    /// rejected because of that are no longer in the spool and may not be sent.
    fn may_send_without_record(&self, planned: &PlannedCall) -> bool {
        let spool = self.spool.borrow();
        planned.attempts.iter().all(|attempt| !attempt.needs_record && spool.get(attempt.message.0).is_some())
    }

    fn spawn_call(&self, number: CallNumber, planned: PlannedCall, stage: Rc<Cell<CallStage>>) -> Task<()> {
        let call = self.call(number, planned, stage);
        let idle_connections = self.idle_connections.clone();
        let events = self.events.clone();
        let on_end = move |results| drop(events.try_send(Event::AttemptsEnded { call: number, results }));
        self.executor.spawn(async move { call.run(&idle_connections, on_end).await })
    }

    fn call(&self, number: CallNumber, planned: PlannedCall, stage: Rc<Cell<CallStage>>) -> Call {
        // A call times out as a whole, so that none of its messages is sent again while the call is open, and at the
        // shortest timeout of its attempts: a response after a message's deadline doesn't count.
        let timeout = planned.attempts.iter().map(|attempt| attempt.timeout).min().unwrap_or_default();
        let messages = planned.messages().filter_map(|message| self.call_message(message)).collect();
        let zone = self.endpoints.zone_name(planned.endpoint.zone).to_string();
        let address = planned.endpoint.address;
        Call {
            is_batch: planned.is_batch,
            endpoint_id: planned.endpoint_id,
            endpoint: planned.endpoint,
            messages,
            timeout,
            connect_timeout: self.settings.connect_timeout,
            // The time of the decision, so that a slow commit counts as part of the delay.
            decided_at: self.clock.instant(self.now),
            request_send_permission: self.send_permission_requester(planned.endpoint_id, address),
            record_attempts: self.attempt_recorder(number, planned.endpoint_id, planned.attempts, zone),
            number: number.0,
            stage,
        }
    }

    /// Returns the data that a call sends for a message.
    fn call_message(&self, message: MessageId) -> Option<CallMessage> {
        let spool = self.spool.borrow();
        let accepted = &spool.get(message.0)?.accepted;
        let idempotency_key =
            SubmissionMetadata::parse(&accepted.metadata).ok().and_then(|metadata| metadata.idempotency_key);
        Some(CallMessage { message, id: accepted.id.clone(), idempotency_key, body: accepted.body.clone() })
    }

    /// Returns the function by which a delayed call requests permission to be sent; the next step answers it.
    fn send_permission_requester(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> Box<dyn Fn() -> Receiver<bool>> {
        let events = self.events.clone();
        Box::new(move || {
            let (reply_to, reply) = async_channel::bounded(1);
            let _ = events.try_send(Event::SendPermissionRequested { endpoint, address, reply_to });
            reply
        })
    }

    /// Returns the function that a call runs right before its first byte: it checks the rules again, with the current
    /// state, and records the attempts in the spool. The function returns an outcome as the error if the attempts must
    /// not be sent: a rule forbids it, or the spool can't be written.
    fn attempt_recorder(
        &self,
        call: CallNumber,
        endpoint: EndpointId,
        attempts: Vec<PendingAttempt>,
        zone: String,
    ) -> Box<dyn Fn() -> Result<(), Outcome>> {
        let guard = SendGuard {
            policy: self.policy.clone(),
            metrics: self.metrics.clone(),
            violations: self.violations.clone(),
            key_hold_offs: self.key_hold_offs.clone(),
            order_hold_off: self.order_hold_off,
            call,
            endpoint,
        };
        let spool = self.spool.clone();
        let clock = self.clock;
        Box::new(move || {
            let mut spool = spool.borrow_mut();
            let now = clock.now();
            let at_ms = clock.unix_ms(now);
            let is_open = |attempt: &PendingAttempt| {
                spool.get(attempt.message.0).is_some_and(|stored| stored.pending_outcome.is_none())
            };
            if !attempts.iter().all(is_open) {
                return Err(Outcome::NotSent);
            }
            for attempt in &attempts {
                guard.check(&spool, attempt.message, now)?;
            }
            for attempt in &attempts {
                guard.measure_hold_off(&spool, attempt.message, now);
            }
            let numbers: Vec<u64> = attempts.iter().map(|attempt| attempt.message.0).collect();
            if spool.record_and_commit_attempts(&numbers, &zone, at_ms).is_ok() {
                return Ok(());
            }
            if attempts.iter().any(|attempt| attempt.needs_record) {
                return Err(Outcome::LocalFailure);
            }
            // These records are stored by the next commit of the spool.
            for number in numbers {
                spool.record_attempt(number, &zone, at_ms);
            }
            Ok(())
        })
    }
}
