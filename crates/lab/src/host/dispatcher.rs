//! The dispatcher of a modelled relay: converts events to inputs of the policy and carries out the policy's actions.
//! Decisions are stored in the spool before their effects become visible outside the relay.

use super::clock::{DecisionClock, UnixClock};
use super::messages::{AttemptEnd, RelayEffect, RelayEvent};
use super::spool::{StoredAttempt, StoredMessage};
use crate::Time;
use crate::world::World;
use mountshift::interface::*;
use mountshift_invariants::{AttemptOutcome, Fact, FinalAnswer, ListedStatus};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of low bits of a call id that hold the call's number within its relay; the relay's number is above them.
const CALL_NUMBER_BITS: u32 = 40;

/// An endpoint with the contents of its last entry in the endpoint list.
#[derive(Clone, Copy)]
pub(super) struct KnownEndpoint {
    pub status: EndpointStatus,
    pub destination: u32,
    pub zone: u8,
    pub kind: u16,
    pub rate: f64,
}

/// A call in flight.
pub(super) struct CallInFlight {
    endpoint: u32,
    sent_at: Time,
    messages: Vec<u64>,
    cancelled: Vec<u64>,
}

/// An attempt that the policy has requested in this step.
#[derive(Clone, Copy)]
struct QueuedAttempt {
    message: u64,
    timeout: Time,
}

/// The attempts to one endpoint that the policy has requested in this step.
struct QueuedAttempts {
    endpoint: u32,
    attempts: Vec<QueuedAttempt>,
}

/// The state of a relay outside its policy.
pub(super) struct DispatcherState {
    pub relay: u32,
    pub now: Time,
    pub clock: DecisionClock,
    pub unix_clock: UnixClock,
    /// Largest number of messages in one call, by destination kind.
    max_batch: Vec<usize>,
    max_queued: usize,
    pub spool: BTreeMap<u64, StoredMessage>,
    pub endpoints: BTreeMap<u32, KnownEndpoint>,
    /// Messages whose clients wait for the acceptance, in the order of their submission.
    pub unanswered: Vec<u64>,
    queued: Vec<QueuedAttempts>,
    pub calls: BTreeMap<u64, CallInFlight>,
    calls_started: u64,
    /// Time of the next step that the policy requested.
    pub wake_at: Option<Time>,
    pub effects: Vec<RelayEffect>,
    pub keep_log: bool,
}

/// Returns the interface's id of an endpoint: ids start at 1, the model's numbers at 0.
fn endpoint_id(endpoint: u32) -> EndpointId {
    EndpointId(u64::from(endpoint) + 1)
}

fn endpoint_number(endpoint: EndpointId) -> u32 {
    endpoint.0 as u32 - 1
}

impl Actions for DispatcherState {
    fn send(&mut self, message: MessageId, endpoint: EndpointId, timeout: Duration) {
        let endpoint = endpoint_number(endpoint);
        let attempt = QueuedAttempt { message: message.0, timeout: timeout.as_micros() as u64 };
        match self.queued.iter_mut().find(|queued| queued.endpoint == endpoint) {
            Some(queued) => queued.attempts.push(attempt),
            None => self.queued.push(QueuedAttempts { endpoint, attempts: vec![attempt] }),
        }
    }

    fn reject(&mut self, message: MessageId, retry_after: Duration) -> bool {
        self.end_undelivered(message.0, FinalAnswer::Rejected { retry_after: retry_after.as_micros() as u64 })
    }

    fn fail(&mut self, message: MessageId) -> bool {
        self.end_undelivered(message.0, FinalAnswer::Failed)
    }

    fn cancel(&mut self, message: MessageId, _attempt: AttemptNumber) {
        let holds_message = |call: &CallInFlight| call.messages.contains(&message.0);
        let Some((id, call)) = self.calls.iter_mut().find(|(_, call)| holds_message(call)) else { return };
        call.cancelled.push(message.0);
        // A message can't be removed from a call: while the connection is open, its attempt would still be in flight.
        if call.messages.iter().all(|message| call.cancelled.contains(message)) {
            self.effects.push(RelayEffect::CloseCall { call: *id });
        }
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        let endpoint = endpoint_number(endpoint);
        self.effects.push(RelayEffect::CloseIdleConnections { endpoint });
    }

    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.endpoints.remove(&endpoint_number(endpoint));
        self.close_idle_connections(endpoint);
    }

    fn wake_after(&mut self, delay: Duration) {
        let at = self.now + delay.as_micros() as u64;
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }

    fn poll_endpoints(&mut self) {
        self.effects.push(RelayEffect::PollEndpoints);
    }

    fn log(&mut self, line: &str) {
        if self.keep_log {
            self.effects.push(RelayEffect::Log(line.to_string()));
        }
    }
}

impl DispatcherState {
    pub(super) fn new(world: &World, relay: u32, keep_log: bool) -> DispatcherState {
        DispatcherState {
            relay,
            now: 0,
            clock: DecisionClock::default(),
            unix_clock: UnixClock::default(),
            max_batch: world.scenario.groups.iter().map(|group| group.max_batch.get() as usize).collect(),
            max_queued: world.scenario.relays.max_queued.get() as usize,
            spool: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            unanswered: Vec::new(),
            queued: Vec::new(),
            calls: BTreeMap::new(),
            calls_started: 0,
            wake_at: None,
            effects: Vec::new(),
            keep_log,
        }
    }

    pub(super) fn record(&mut self, fact: Fact) {
        self.effects.push(RelayEffect::Fact(fact));
    }

    /// Gives a final answer other than a delivery: to the client if it still waits, else as a notification. Returns
    /// whether that closes the message at once.
    fn end_undelivered(&mut self, message: u64, answer: FinalAnswer) -> bool {
        self.record(Fact::FinalAnswerGiven { message, relay: self.relay, answer });
        if let Some(position) = self.unanswered.iter().position(|waiting| *waiting == message) {
            self.unanswered.remove(position);
            self.effects.push(RelayEffect::AnswerClient { message, answer: Some(answer) });
            self.spool.remove(&message);
            return true;
        }
        if let Some(stored) = self.spool.get_mut(&message) {
            stored.pending_answer = Some(answer);
        }
        self.effects.push(RelayEffect::Notify { message, answer });
        false
    }

    /// Applies an event to the state, and adds the resulting inputs of the policy to `inputs`.
    pub(super) fn apply(&mut self, event: RelayEvent, inputs: &mut Vec<Input>) {
        match event {
            RelayEvent::Submitted { message, class, tenant, destination, key, deadline } => {
                let submission = Submission {
                    class: ClassId(class),
                    tenant: TenantId(tenant),
                    destination: DestinationId(destination),
                    key: if key == 0 { None } else { Some(OrderingKey(key)) },
                    deadline: self.clock.at(deadline),
                    batch_entry_bytes: 0,
                    restored: false,
                };
                self.on_submitted(message, submission, deadline, inputs);
            }
            RelayEvent::ClientGone { message } | RelayEvent::NotificationAcknowledged { message } => {
                self.spool.remove(&message);
                inputs.push(Input::Closed(MessageId(message)));
            }
            RelayEvent::CallEnded { call, ends, retry_after } => {
                self.on_call_ended(call, &ends, retry_after, inputs);
            }
            RelayEvent::FullListBegins => inputs.extend([Input::FullListBegins, Input::ListReceived]),
            RelayEvent::EndpointListed { endpoint, status } => {
                self.on_endpoint_listed(endpoint, status, inputs);
            }
            RelayEvent::PollFailed => inputs.push(Input::PollFailed(PollFailure::UNEXPLAINED)),
        }
    }

    fn on_submitted(
        &mut self,
        message: u64,
        submission: Submission,
        deadline: Time,
        inputs: &mut Vec<Input>,
    ) {
        if self.spool.len() >= self.max_queued {
            let answer = FinalAnswer::Rejected { retry_after: 0 };
            self.record(Fact::FinalAnswerGiven { message, relay: self.relay, answer });
            self.effects.push(RelayEffect::AnswerClient { message, answer: Some(answer) });
            return;
        }
        let deadline = self.unix_clock.read(deadline);
        let stored = StoredMessage { submission, deadline, attempts: Vec::new(), pending_answer: None };
        self.spool.insert(message, stored);
        self.unanswered.push(message);
        inputs.push(Input::Submitted { message: MessageId(message), submission });
    }

    fn on_call_ended(&mut self, call: u64, ends: &[AttemptEnd], retry_after: Time, inputs: &mut Vec<Input>) {
        let Some(ended) = self.calls.remove(&call) else { return };
        let endpoint = endpoint_id(ended.endpoint);
        if retry_after > 0 {
            self.record(Fact::RetryAfterReceived {
                relay: self.relay,
                endpoint: ended.endpoint,
                retry_after,
            });
            inputs.push(Input::RetryAfter { endpoint, duration: Duration::from_micros(retry_after) });
        }
        let elapsed = Duration::from_micros(self.now.saturating_sub(ended.sent_at));
        for attempt in ends {
            let AttemptEnd { message, outcome, closed } = *attempt;
            self.record_attempt_end(call, message, outcome, closed);
            let message = MessageId(message);
            let run = RunState::from_outcome(outcome);
            inputs.push(Input::AttemptEnded { message, endpoint, elapsed, outcome, run, closed });
        }
    }

    fn record_attempt_end(&mut self, call: u64, message: u64, outcome: Outcome, closed: bool) {
        let recorded_outcome = attempt_outcome(outcome);
        self.record(Fact::AttemptEnded { message, call, relay: self.relay, outcome: recorded_outcome });
        if RunState::from_outcome(outcome) == RunState::NeverRan
            && let Some(stored) = self.spool.get_mut(&message)
            && let Some(attempt) = stored.attempts.last_mut()
        {
            attempt.may_have_run = false;
        }
        if closed {
            self.spool.remove(&message);
        }
    }

    fn on_endpoint_listed(&mut self, endpoint: u32, status: EndpointStatus, inputs: &mut Vec<Input>) {
        let Some(known) = self.endpoints.get_mut(&endpoint) else { return };
        known.status = status;
        let known = *known;
        self.push_endpoint(endpoint, known, inputs);
    }

    /// Adds an entry of the endpoint list to the inputs of the policy.
    pub(super) fn push_endpoint(&mut self, endpoint: u32, known: KnownEndpoint, inputs: &mut Vec<Input>) {
        let listed = match known.status {
            EndpointStatus::Ready => ListedStatus::Ready,
            EndpointStatus::Draining => ListedStatus::Draining,
            EndpointStatus::Removed => ListedStatus::Removed,
        };
        self.record(Fact::EndpointListed { relay: self.relay, endpoint, status: listed });
        inputs.push(Input::EndpointListed(ListedEndpoint {
            endpoint: endpoint_id(endpoint),
            destination: DestinationId(known.destination),
            zone: ZoneId(known.zone.into()),
            kind: DestinationKindId(known.kind),
            status: known.status,
            rate: known.rate,
        }));
    }

    /// Stores the attempts of this step in the spool, then accepts the submitted messages and starts the calls.
    pub(super) fn flush(&mut self) {
        let batches = self.store_queued_attempts();
        for message in std::mem::take(&mut self.unanswered) {
            self.effects.push(RelayEffect::AnswerClient { message, answer: None });
        }
        for batch in batches {
            self.start_call(batch);
        }
    }

    /// Stores the attempts of this step, batched into calls.
    fn store_queued_attempts(&mut self) -> Vec<QueuedAttempts> {
        let sent_at = self.unix_clock.read(self.now);
        let mut batches = Vec::new();
        for queued in std::mem::take(&mut self.queued) {
            let Some(known) = self.endpoints.get(&queued.endpoint).copied() else { continue };
            let zone = ZoneId(known.zone.into());
            for attempt in &queued.attempts {
                if let Some(stored) = self.spool.get_mut(&attempt.message) {
                    stored.attempts.push(StoredAttempt { zone, sent_at, may_have_run: true });
                }
            }
            let max_batch = self.max_batch.get(usize::from(known.kind)).copied().unwrap_or(1);
            for batch in queued.attempts.chunks(max_batch) {
                batches.push(QueuedAttempts { endpoint: queued.endpoint, attempts: batch.to_vec() });
            }
        }
        batches
    }

    fn start_call(&mut self, batch: QueuedAttempts) {
        let endpoint = batch.endpoint;
        // A call has the shortest timeout of its attempts.
        let timeout = batch.attempts.iter().map(|attempt| attempt.timeout).min().unwrap_or_default();
        let messages: Vec<u64> = batch.attempts.iter().map(|attempt| attempt.message).collect();
        self.calls_started += 1;
        let call = (u64::from(self.relay) + 1) << CALL_NUMBER_BITS | self.calls_started;
        let in_flight =
            CallInFlight { endpoint, sent_at: self.now, messages: messages.clone(), cancelled: Vec::new() };
        self.calls.insert(call, in_flight);
        for message in &messages {
            self.record(Fact::AttemptStarted { message: *message, call, relay: self.relay, endpoint });
        }
        self.effects.push(RelayEffect::StartCall { call, endpoint, messages, timeout });
    }
}

fn attempt_outcome(outcome: Outcome) -> AttemptOutcome {
    match outcome {
        Outcome::Delivered => AttemptOutcome::Delivered,
        Outcome::Error => AttemptOutcome::Error,
        Outcome::Rejected { retry_after } => {
            AttemptOutcome::Rejected { retry_after: retry_after.as_micros() as u64 }
        }
        Outcome::ConnectionLimit => AttemptOutcome::Rejected { retry_after: 0 },
        Outcome::TimedOut => AttemptOutcome::TimedOut,
        Outcome::ConnectFailed => AttemptOutcome::ConnectFailed,
        Outcome::Reset => AttemptOutcome::Reset,
        Outcome::Cancelled => AttemptOutcome::Cancelled,
        Outcome::NotSent | Outcome::LocalFailure => AttemptOutcome::NotSent,
    }
}
