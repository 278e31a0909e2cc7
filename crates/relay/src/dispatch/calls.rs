//! Carries out what a step decided: commits the spool, answers clients, starts calls.

use super::event::{CallNumber, Event};
use super::key_rests::KeyRests;
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

/// Messages in one call to an endpoint of a kind that the settings don't name.
const DEFAULT_BATCH: usize = 1;

/// A call that the step decided and that has not begun.
struct PlannedCall {
    to: EndpointId,
    endpoint: Endpoint,
    attempts: Vec<PendingAttempt>,
}

impl PlannedCall {
    fn messages(&self) -> impl Iterator<Item = MessageId> {
        self.attempts.iter().map(|attempt| attempt.message)
    }
}

/// The guard of the verb "send": asks the rules again right before the first byte of a call.
struct BeginGuard {
    policy: Rc<RefCell<DeliveryPolicy>>,
    metrics: Rc<Metrics>,
    violations: Rc<Violations>,
    key_rests: Rc<KeyRests>,
    order_hold_off: Duration,
    call: CallNumber,
    endpoint: EndpointId,
}

impl BeginGuard {
    /// How the attempt of a message ends if it must not begin now.
    fn check(&self, spool: &Spool, message: MessageId, now: Duration) -> Result<(), Outcome> {
        let Err(refusal) = self.policy.borrow().check_before_send(message, self.endpoint, now) else {
            return Ok(());
        };
        self.metrics.count_stopped_send(refusal.name());
        // The others are events that crossed; these the decisions must never ask for.
        match refusal {
            SendError::UnsafeRepeat => {
                self.report(ViolationKind::UnsafeRepeat, spool, message, "no earlier run");
            }
            SendError::OutOfOrder => {
                let turn = self.policy.borrow().ordering_state(message, now);
                let expected = format!("its turn, is {}", turn_text(spool, turn));
                self.report(ViolationKind::OutOfTurn, spool, message, &expected);
            }
            _ => {}
        }
        Err(Outcome::NotSent)
    }

    /// Measures how long the key of a message that goes out now has rested.
    fn measure_rest(&self, spool: &Spool, message: MessageId, now: Duration) {
        let Some(key) = self.policy.borrow().ordering_key(message) else { return };
        let Some(rest) = self.key_rests.end(key, message) else { return };
        let gap = now.saturating_sub(rest.since);
        self.metrics.observe_key_gap(gap);
        let earlier = String::from_utf8_lossy(&rest.id).into_owned();
        let (key, call, earlier_call) = (key.0, self.call.0, rest.call);
        debug!("key {key:016x}: call {call} begins {gap:?} after call {earlier_call} of message {earlier}");
        if gap < self.order_hold_off {
            let expected = format!("a rest behind message {earlier} of call {earlier_call}, was {gap:?}");
            self.report(ViolationKind::OutOfTurn, spool, message, &expected);
        }
    }

    fn report(&self, kind: ViolationKind, spool: &Spool, message: MessageId, expected: &str) {
        let message = spool.get(message.0).map(|stored| &stored.accepted.id[..]);
        let evidence = Evidence { message, call: Some(self.call.0), expected, connection: None };
        self.violations.report(kind, evidence);
    }
}

/// A turn as log lines tell it, with the client's id of the other message.
fn turn_text(spool: &Spool, turn: Option<OrderingState>) -> String {
    let id_of = |message: MessageId| {
        let stored = spool.get(message.0);
        stored.map_or_else(|| "-".into(), |stored| String::from_utf8_lossy(&stored.accepted.id).into_owned())
    };
    match turn {
        None => "not held".into(),
        Some(OrderingState::Next) => "next".into(),
        Some(OrderingState::QueuedBehind(other)) => format!("behind message {}", id_of(other)),
        Some(OrderingState::HeldOff(other, until)) => {
            format!("resting behind message {} until {until:?}", id_of(other))
        }
    }
}

/// Bytes that a message takes at most in a call of several ones.
pub(super) fn batch_entry_bytes(accepted: &AcceptedMessage) -> usize {
    upstream::max_batch_entry_bytes(&accepted.id, &accepted.metadata, &accepted.body)
}

impl DispatcherState {
    /// Carries a step out: first into the spool, then onto the sockets.
    pub(super) fn execute_step(&mut self) {
        self.remove_closed_messages();
        let calls = self.plan_calls();
        let is_committed = self.commit_spool();
        self.answer_clients(is_committed);
        self.release_notifications(is_committed);
        for call in calls {
            self.begin_call(call, is_committed);
        }
    }

    /// Turns the attempts of the step into calls, each as large as its endpoint's kind allows.
    fn plan_calls(&mut self) -> Vec<PlannedCall> {
        let mut calls = Vec::new();
        for sends in std::mem::take(&mut self.pending_sends) {
            let Some(endpoint) = self.endpoints.get(sends.endpoint) else { continue };
            let kind = endpoint.kind.0 as usize;
            let max_batch = self.max_batches.get(kind).copied().unwrap_or(DEFAULT_BATCH);
            for attempts in self.split_into_calls(&sends.attempts, max_batch) {
                calls.push(PlannedCall { to: sends.endpoint, endpoint: endpoint.clone(), attempts });
            }
        }
        calls
    }

    /// Attempts in calls of so many at most, none with more bytes than a body may hold.
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

    /// Commits what the spool recorded. Nothing counts as committed before the time anchor is written: a later process
    /// would date it by its own wall clock.
    pub(super) fn commit_spool(&mut self) -> bool {
        if !self.files.is_anchor_written() {
            self.files.retry_unwritten();
        }
        // Not committed either: what is rejected for that would stand in the log until its removal does.
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
                info!("spool: written again");
                self.spool_failure_logged = false;
            }
            _ => {}
        }
        committed.is_ok()
    }

    /// Tries again to write what could not be written.
    pub(super) fn retry_writes(&mut self) {
        self.files.retry_unwritten();
        if self.spool.borrow().has_uncommitted() || !self.pending_notifications.is_empty() {
            let is_committed = self.commit_spool();
            self.release_notifications(is_committed);
        }
    }

    /// True if something could not be written yet.
    pub(super) fn has_unwritten(&self) -> bool {
        self.files.has_unwritten()
            || self.spool.borrow().has_uncommitted()
            || !self.pending_notifications.is_empty()
    }

    /// Only a message that is committed may be called accepted.
    fn answer_clients(&mut self, is_committed: bool) {
        if is_committed {
            return self.acceptances.reply_accepted();
        }
        for message in self.acceptances.reply_rejected() {
            // With the next commit it would come back otherwise.
            self.remove_message(message);
            let _ = self.events.try_send(Event::ClientUnreachable(message));
        }
    }

    /// Starts a call. While the spool can't be written only what need not be recorded is sent; the rest waits.
    fn begin_call(&mut self, planned: PlannedCall, is_committed: bool) {
        self.last_call_number += 1;
        let number = CallNumber(self.last_call_number);
        let endpoint = planned.to;
        let messages: BTreeSet<MessageId> = planned.messages().collect();
        let stage = Rc::new(Cell::new(CallStage::Connecting));
        let may_begin = is_committed || self.may_go_unrecorded(&planned);
        let task = if may_begin {
            Some(self.spawn_call(number, planned, stage.clone()))
        } else {
            let results = CallResult::same_for_all(
                planned.messages(),
                Outcome::LocalFailure,
                CallEnd::NotWritten,
                false,
            );
            let _ = self.events.try_send(Event::AttemptsEnded { call: number, results });
            None
        };
        let sent_at = self.now;
        let call = CallInFlight { endpoint, sent_at, messages, cancelled: BTreeSet::new(), stage, task };
        self.calls_in_flight.insert(number, call);
    }

    /// True if all messages of the call may be sent though the spool can't be written: none was rejected for that.
    fn may_go_unrecorded(&self, planned: &PlannedCall) -> bool {
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
        // A call is given up as a whole, so that none of its messages is sent again while it is open, and at the
        // shortest limit: an answer after a message's deadline would count for nothing.
        let limit = planned.attempts.iter().map(|attempt| attempt.limit).min().unwrap_or_default();
        let messages = planned.messages().filter_map(|message| self.call_message(message)).collect();
        let zone = self.endpoints.zone_name(planned.endpoint.zone).to_string();
        let address = planned.endpoint.address;
        Call {
            to: planned.to,
            endpoint: planned.endpoint,
            messages,
            time_limit: limit,
            connect_timeout: self.settings.connect_timeout,
            // By the clock that the decision was taken by: a commit that took long is part of the delay.
            decided_at: self.clock.instant(self.now),
            may_still_send: self.reachability_check(planned.to, address),
            record_attempts: self.attempt_recorder(number, planned.to, planned.attempts, zone),
            number: number.0,
            stage,
        }
    }

    /// A message as it goes out in a call.
    fn call_message(&self, message: MessageId) -> Option<CallMessage> {
        let spool = self.spool.borrow();
        let accepted = &spool.get(message.0)?.accepted;
        let idempotency_key =
            SubmissionMetadata::parse(&accepted.metadata).ok().and_then(|metadata| metadata.idempotency_key);
        Some(CallMessage { message, id: accepted.id.clone(), idempotency_key, body: accepted.body.clone() })
    }

    /// What a call that begins late asks before it is sent: the next step answers.
    fn reachability_check(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> Box<dyn Fn() -> Receiver<bool>> {
        let events = self.events.clone();
        Box::new(move || {
            let (reply_to, answer) = async_channel::bounded(1);
            let _ = events.try_send(Event::ReachabilityAsked { endpoint, address, reply_to });
            answer
        })
    }

    /// What a call does right before its first byte: it asks the rules again, by what is known by then, and records its
    /// attempts. An outcome if they must not be sent: a rule forbids it, or the spool can't be written.
    fn attempt_recorder(
        &self,
        call: CallNumber,
        endpoint: EndpointId,
        attempts: Vec<PendingAttempt>,
        zone: String,
    ) -> Box<dyn Fn() -> Result<(), Outcome>> {
        let guard = BeginGuard {
            policy: self.policy.clone(),
            metrics: self.metrics.clone(),
            violations: self.violations.clone(),
            key_rests: self.key_rests.clone(),
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
            let is_wanted = |attempt: &PendingAttempt| {
                spool.get(attempt.message.0).is_some_and(|stored| stored.pending_outcome.is_none())
            };
            if !attempts.iter().all(is_wanted) {
                return Err(Outcome::NotSent);
            }
            for attempt in &attempts {
                guard.check(&spool, attempt.message, now)?;
            }
            for attempt in &attempts {
                guard.measure_rest(&spool, attempt.message, now);
            }
            let numbers: Vec<u64> = attempts.iter().map(|attempt| attempt.message.0).collect();
            if spool.record_and_commit_attempts(&numbers, &zone, at_ms).is_ok() {
                return Ok(());
            }
            if attempts.iter().any(|attempt| attempt.needs_record) {
                return Err(Outcome::LocalFailure);
            }
            // Committed with what comes next.
            for number in numbers {
                spool.record_attempt(number, &zone, at_ms);
            }
            Ok(())
        })
    }
}
