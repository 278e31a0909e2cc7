//! Messages that are held until their final answer.

use super::CallNumber;
use super::key_queues::KeyQueues;
use crate::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// An attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PossibleRun {
    pub(crate) at: Duration,
    pub(crate) zone: ZoneId,
}

/// An attempt that ended, as reported by the host.
pub(crate) struct EndedAttempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) elapsed: Duration,
    pub(crate) outcome: Outcome,
    pub(crate) run: RunState,
    /// Whether the message is closed: nothing more is sent for it.
    pub(crate) closed: bool,
}

#[derive(Default)]
pub(crate) struct Message {
    pub(crate) class: ClassId,
    pub(crate) destination: DestinationId,
    pub(crate) key: Option<OrderingKey>,
    /// Time until which a delivery earns the full priority weight.
    pub(crate) objective: Duration,
    pub(crate) deadline: Duration,
    /// Maximum size, in bytes, of its entry in a call of several messages.
    pub(crate) batch_entry_bytes: usize,
    pub(crate) over_quota: bool,
    /// Whether an earlier process of the relay accepted it.
    pub(crate) restored: bool,
    pub(crate) attempts: u8,
    /// Number of attempts that may have taken effect, including one in flight.
    pub(crate) possible_runs: u32,
    pub(crate) first_possible_run: Option<PossibleRun>,
    pub(crate) timeouts: u32,
    pub(crate) not_before: Duration,
    /// The call that carries it, while an attempt is in flight.
    pub(crate) call: Option<CallNumber>,
    /// Whether it has its final outcome, which may not be acknowledged yet.
    pub(crate) ended: bool,
}

impl Message {
    pub(crate) fn new(submission: &Submission, class: &MessageClass) -> Message {
        Message {
            class: submission.class,
            destination: submission.destination,
            key: submission.key.filter(|_| class.in_order),
            objective: (submission.deadline + class.latency_objective).saturating_sub(class.deadline),
            deadline: submission.deadline,
            batch_entry_bytes: submission.batch_entry_bytes,
            restored: submission.restored,
            ..Message::default()
        }
    }

    /// Returns whether the message was restored after a restart and has no attempt. Such messages are sent first and
    /// are not rejected to make room for others.
    pub(crate) fn is_untried_since_restart(&self) -> bool {
        self.restored && self.attempts == 0
    }

    pub(crate) fn record_earlier_attempt(&mut self, run: PossibleRun, may_have_run: bool) {
        self.attempts = self.attempts.saturating_add(1);
        if may_have_run {
            self.possible_runs += 1;
            self.first_possible_run.get_or_insert(run);
        }
    }

    pub(crate) fn record_sent(&mut self, call: CallNumber, run: PossibleRun) {
        self.call = Some(call);
        self.attempts += 1;
        self.possible_runs += 1;
        self.first_possible_run.get_or_insert(run);
    }

    pub(crate) fn record_outcome(&mut self, outcome: Outcome, run: RunState) {
        if run == RunState::NeverRan {
            self.possible_runs -= 1;
        }
        if outcome == Outcome::LocalFailure {
            self.attempts = self.attempts.saturating_sub(1);
        }
        if self.possible_runs == 0 {
            self.first_possible_run = None;
        }
        if outcome == Outcome::TimedOut {
            self.timeouts += 1;
        }
    }

    /// Returns the priority weight that a delivery now earns, according to the decay of the settings.
    pub(crate) fn remaining_weight(&self, class: &MessageClass, decay: Decay, now: Duration) -> f64 {
        let lateness = now.saturating_sub(self.objective).as_secs_f64();
        let span = class.deadline.saturating_sub(class.latency_objective).as_secs_f64().max(0.001);
        let share = match decay {
            Decay::Linear => 1.0 - (1.0 - class.late_weight_share) * (lateness / span).min(1.0),
            Decay::Halving => (0.5f64)
                .powf(lateness / class.latency_objective.as_secs_f64().max(0.001))
                .max(class.late_weight_share),
        };
        class.priority_weight * share
    }

    /// Returns the remaining time in which endpoints recognise a repeat, if the message may have run and has a
    /// deduplication window.
    pub(crate) fn remaining_deduplication_time(
        &self,
        class: &MessageClass,
        now: Duration,
    ) -> Option<Duration> {
        let window = class.idempotency.deduplication_window()?;
        let run = self.first_possible_run?;
        Some((run.at + window).saturating_sub(now))
    }
}

/// All messages held, with their key queues.
#[derive(Default)]
pub(crate) struct Messages {
    by_id: BTreeMap<MessageId, Message>,
    key_queues: KeyQueues,
}

impl Messages {
    pub(crate) fn get(&self, id: MessageId) -> Option<&Message> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: MessageId) -> Option<&mut Message> {
        self.by_id.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (MessageId, &Message)> {
        self.by_id.iter().map(|(id, message)| (*id, message))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the messages without a final outcome.
    pub(crate) fn open(&self) -> impl Iterator<Item = (MessageId, &Message)> {
        self.iter().filter(|(_, message)| !message.ended)
    }

    pub(crate) fn insert(&mut self, id: MessageId, message: Message) {
        if let Some(key) = message.key {
            self.key_queues.push(key, id);
        }
        self.by_id.insert(id, message);
    }

    pub(crate) fn carried_by(&self, call: CallNumber) -> impl Iterator<Item = (MessageId, &Message)> {
        self.iter().filter(move |(_, message)| message.call == Some(call))
    }

    pub(crate) fn count_without_call(&self, destination: DestinationId) -> u32 {
        let waits = |message: &&Message| message.destination == destination && message.call.is_none();
        self.by_id.values().filter(waits).count() as u32
    }

    /// Returns the messages that may be sent now, by destination.
    pub(crate) fn waiting(&self, now: Duration) -> BTreeMap<DestinationId, Vec<MessageId>> {
        let mut waiting: BTreeMap<DestinationId, Vec<MessageId>> = BTreeMap::new();
        for (id, message) in self.open() {
            if message.call.is_none() && message.not_before <= now && self.is_next_for_key(id, message, now) {
                waiting.entry(message.destination).or_default().push(id);
            }
        }
        waiting
    }

    /// Returns the message's position in the order of its key.
    pub(crate) fn ordering_state(&self, id: MessageId, message: &Message, now: Duration) -> OrderingState {
        self.key_queues.ordering_state(message.key, id, now)
    }

    pub(crate) fn is_next_for_key(&self, id: MessageId, message: &Message, now: Duration) -> bool {
        self.ordering_state(id, message, now) == OrderingState::Next
    }

    /// Returns the number of messages in the queue of the message's key, including itself.
    pub(crate) fn queue_length(&self, message: &Message) -> usize {
        self.key_queues.length(message.key)
    }

    /// Adds a hold-off for the other messages of its key, as an attempt of the message may still be running.
    pub(crate) fn add_key_hold_off(&mut self, id: MessageId, until: Duration) {
        let key = self.get(id).and_then(|message| message.key);
        self.key_queues.add_hold_off(key, until, id);
    }

    /// Records that the message has its final outcome. It stays in its key queue until the outcome is
    /// acknowledged (rule 5).
    pub(crate) fn end(&mut self, id: MessageId, is_acknowledged: bool) {
        if let Some(message) = self.get_mut(id) {
            message.ended = true;
        }
        if is_acknowledged {
            self.close(id);
        }
    }

    /// Closes the message: nothing more is sent for it. It is removed once it has no attempt in flight.
    pub(crate) fn close(&mut self, id: MessageId) {
        let Some(message) = self.by_id.get_mut(&id) else { return };
        if message.call.is_some() {
            message.ended = true;
            return;
        }
        self.key_queues.remove(message.key, id);
        self.by_id.remove(&id);
    }

    /// Returns the end of the hold-off that an attempt of the message started for its key, if one applies.
    pub(crate) fn key_hold_off_until(&self, id: MessageId, now: Duration) -> Option<Duration> {
        self.key_queues.hold_off_end(self.get(id)?.key, id, now)
    }

    pub(crate) fn discard_unused_queues(&mut self, now: Duration) {
        self.key_queues.discard_unused(now);
    }
}

impl std::ops::Index<MessageId> for Messages {
    type Output = Message;

    fn index(&self, id: MessageId) -> &Message {
        &self.by_id[&id]
    }
}
