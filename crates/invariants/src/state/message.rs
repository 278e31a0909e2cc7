//! State of a message from its submission until it is settled.

use crate::verdict::History;
use crate::{AttemptOutcome, Fact, Time};

/// Attempt to deliver a message.
pub(crate) struct Attempt {
    pub(crate) call: u64,
    pub(crate) started_at: Time,
    pub(crate) endpoint: u32,
    /// Zone of its endpoint.
    pub(crate) zone: u8,
    /// `None` while the attempt is in flight.
    pub(crate) outcome: Option<AttemptOutcome>,
}

/// First attempt of a message that may have taken effect.
pub(crate) struct PossibleRun {
    pub(crate) at: Time,
    pub(crate) zone: u8,
}

/// Message that is not settled yet.
pub(crate) struct Message {
    pub(crate) relay: u32,
    pub(crate) class: u16,
    pub(crate) destination: u32,
    /// Ordering key; 0 if the message class keeps no order.
    pub(crate) key: u64,
    pub(crate) deadline: Time,
    pub(crate) accepted: bool,
    /// Whether a restarted relay recovered it as accepted and unattempted.
    pub(crate) recovered_unattempted: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the relay observed the delivery or gave another final answer.
    pub(crate) has_ended: bool,
    /// Whether a final answer other than delivery was given, or its absence was reported.
    pub(crate) final_answer_given: bool,
    /// Whether the endpoint wrote its confirmation of the delivery.
    pub(crate) delivery_answered: bool,
    /// Whether the final answer reached its recipient.
    pub(crate) final_answer_received: bool,
    pub(crate) effects: u32,
    pub(crate) history: History,
}

impl Message {
    /// Creates the state of a message that was just submitted.
    pub(crate) fn new(
        relay: u32,
        class: u16,
        destination: u32,
        key: u64,
        deadline: Time,
        submission: (Time, Fact),
    ) -> Message {
        Message {
            relay,
            class,
            destination,
            key,
            deadline,
            accepted: false,
            recovered_unattempted: false,
            attempts: Vec::new(),
            has_ended: false,
            final_answer_given: false,
            delivery_answered: false,
            final_answer_received: false,
            effects: 0,
            history: vec![submission],
        }
    }

    /// Returns whether the relay has not yet observed the outcome of some attempt.
    pub(crate) fn in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// Returns the first attempt that may have taken effect.
    pub(crate) fn possible_run(&self) -> Option<PossibleRun> {
        let may_have_run = |attempt: &&Attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran());
        let first = self.attempts.iter().find(may_have_run)?;
        Some(PossibleRun { at: first.started_at, zone: first.zone })
    }

    /// Returns whether the message is accepted, never attempted and without a final answer.
    pub(crate) fn is_unattempted(&self) -> bool {
        self.accepted && self.attempts.is_empty() && !self.final_answer_given && !self.has_ended
    }

    /// Returns whether nothing but a late effect can follow.
    pub(crate) fn is_settled(&self) -> bool {
        let is_answer_received = self.final_answer_received || !self.final_answer_given;
        let is_client_informed = self.accepted || self.final_answer_received;
        !self.in_flight() && self.has_ended && is_answer_received && is_client_informed
    }

    /// Returns the endpoint of the latest attempt in a call.
    pub(crate) fn endpoint_of(&self, call: u64) -> Option<u32> {
        let attempt = self.attempts.iter().rev().find(|attempt| attempt.call == call)?;
        Some(attempt.endpoint)
    }

    /// Records the outcome of the attempt in a call.
    pub(crate) fn end_attempt(&mut self, call: u64, outcome: AttemptOutcome) {
        let mut attempts = self.attempts.iter_mut();
        let ended = attempts.find(|attempt| attempt.call == call && attempt.outcome.is_none());
        if let Some(attempt) = ended {
            attempt.outcome = Some(outcome);
        }
    }

    /// Ends every attempt in flight as reset, as when the relay's process exits.
    pub(crate) fn reset_attempts(&mut self) {
        for attempt in &mut self.attempts {
            attempt.outcome.get_or_insert(AttemptOutcome::Reset);
        }
    }
}

/// Remaining state of a settled message, by which a late second effect is recognised.
#[derive(Clone, Copy)]
pub(crate) struct SettledMessage {
    pub(crate) class: u16,
    pub(crate) effects: u32,
}
