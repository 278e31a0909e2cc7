//! The end of a call as its endpoint sees it on the wire, and what the protocol's table says of that. Shares nothing with the
//! relay: what a relay believes of a call is what the oracle judges.

use mountshift_invariants::{AttemptOutcome, Time};

/// What the endpoint has written of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WrittenAnswer {
    Nothing,
    /// A part of it.
    Part,
    /// At least the first line of an answer to one message, which says 200.
    Delivery,
    /// All of it: that the message was delivered, ...
    Delivered,
    /// ... failed, ...
    Failed,
    /// ... or was turned away, with a wait of so many microseconds or 0.
    Refused(Time),
}

/// Who ended the call's connection, where it ended with the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ender {
    Relay,
    Endpoint,
}

/// The end of a call at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WireEnd {
    pub(crate) answer: WrittenAnswer,
    /// None if the connection goes on.
    pub(crate) ended_by: Option<Ender>,
}

impl WireEnd {
    /// The answer was written whole.
    pub(crate) fn answered(answer: WrittenAnswer) -> WireEnd {
        WireEnd { answer, ended_by: None }
    }

    /// The outcome by the protocol's table: an answer that breaks off is a reset, a call that is given up a cancel.
    pub(crate) fn outcome(self) -> AttemptOutcome {
        match (self.answer, self.ended_by) {
            (WrittenAnswer::Delivered | WrittenAnswer::Delivery, _) => AttemptOutcome::Delivered,
            (WrittenAnswer::Failed, _) => AttemptOutcome::Error,
            (WrittenAnswer::Refused(retry_after), _) => AttemptOutcome::Rejected { retry_after },
            (WrittenAnswer::Nothing | WrittenAnswer::Part, Some(Ender::Relay)) => AttemptOutcome::Cancelled,
            (WrittenAnswer::Nothing | WrittenAnswer::Part, _) => AttemptOutcome::Reset,
        }
    }
}

#[cfg(test)]
#[path = "wire_end_tests.rs"]
mod tests;
