//! A message from its submission until nothing more can happen to it.

use crate::verdict::History;
use crate::{AttemptOutcome, Fact, Time};

/// An attempt to deliver a message.
pub(crate) struct Attempt {
    pub(crate) call: u64,
    pub(crate) started_at: Time,
    pub(crate) endpoint: u32,
    /// The zone of its endpoint.
    pub(crate) zone: u8,
    /// None while it is in flight.
    pub(crate) outcome: Option<AttemptOutcome>,
}

/// The first attempt of a message that may have run.
pub(crate) struct PossibleRun {
    pub(crate) at: Time,
    pub(crate) zone: u8,
}

/// A message that is not settled yet.
pub(crate) struct Message {
    pub(crate) relay: u32,
    pub(crate) class: u16,
    pub(crate) destination: u32,
    /// 0 where its class keeps no order.
    pub(crate) key: u64,
    pub(crate) deadline: Time,
    pub(crate) accepted: bool,
    /// A restart found it accepted and untried.
    pub(crate) recovered_unattempted: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// The relay's present process knows that the message is done.
    pub(crate) known_done: bool,
    /// A final answer other than delivery was given, or its absence was reported.
    pub(crate) final_answer_given: bool,
    /// The endpoint wrote its answer that the message is delivered.
    pub(crate) delivery_answered: bool,
    /// Whoever the final answer is owed to has it.
    pub(crate) final_answer_received: bool,
    pub(crate) effects: u32,
    pub(crate) history: History,
}

impl Message {
    /// A message that was just submitted.
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
            known_done: false,
            final_answer_given: false,
            delivery_answered: false,
            final_answer_received: false,
            effects: 0,
            history: vec![submission],
        }
    }

    /// An attempt has started and its relay has not learnt how it ended.
    pub(crate) fn in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// The first attempt that may have run.
    pub(crate) fn possible_run(&self) -> Option<PossibleRun> {
        let may_have_run = |attempt: &&Attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran());
        let first = self.attempts.iter().find(may_have_run)?;
        Some(PossibleRun { at: first.started_at, zone: first.zone })
    }

    /// Accepted, never attempted and without a final answer.
    pub(crate) fn is_untried(&self) -> bool {
        self.accepted && self.attempts.is_empty() && !self.final_answer_given && !self.known_done
    }

    /// Nothing but a late effect can happen to it any more.
    pub(crate) fn is_settled(&self) -> bool {
        let answer_is_through = self.final_answer_received || !self.final_answer_given;
        let client_knows = self.accepted || self.final_answer_received;
        !self.in_flight() && self.known_done && answer_is_through && client_knows
    }

    /// The endpoint that the latest attempt in a call went to.
    pub(crate) fn endpoint_of(&self, call: u64) -> Option<u32> {
        let attempt = self.attempts.iter().rev().find(|attempt| attempt.call == call)?;
        Some(attempt.endpoint)
    }

    /// Notes how the attempt in a call ended.
    pub(crate) fn end_attempt(&mut self, call: u64, outcome: AttemptOutcome) {
        let mut attempts = self.attempts.iter_mut();
        let ended = attempts.find(|attempt| attempt.call == call && attempt.outcome.is_none());
        if let Some(attempt) = ended {
            attempt.outcome = Some(outcome);
        }
    }

    /// Ends every attempt in flight the way a dead relay's connections do.
    pub(crate) fn reset_attempts(&mut self) {
        for attempt in &mut self.attempts {
            attempt.outcome.get_or_insert(AttemptOutcome::Reset);
        }
    }
}

/// What is kept of a settled message: a late effect must still be known as the second.
#[derive(Clone, Copy)]
pub(crate) struct SettledMessage {
    pub(crate) class: u16,
    pub(crate) effects: u32,
}
