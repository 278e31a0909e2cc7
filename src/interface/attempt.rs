//! The end of an attempt: what the endpoint answered, how the call ended, and what that tells of the run.
//!
//! These are separate facts. The circuit breaker, retries and backoff go by the [`Outcome`]; whether the message may be
//! sent again and when the next one of its key may be sent goes by the [`RunState`] alone. An answer that can't be read is
//! an error to the one and an attempt that may still be running to the other.

use std::time::Duration;

/// What the endpoint answered, or why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint confirmed the delivery.
    Delivered,
    /// The endpoint answered with an error, or with something that can't be read.
    Error,
    /// Rejected without being processed.
    Rejected {
        /// The `Retry-After` of the answer, or zero.
        retry_after: Duration,
    },
    /// Rejected without being processed, as the endpoint's connection limit is reached.
    ConnectionLimit,
    /// No answer within the attempt's time limit.
    TimedOut,
    /// The connection never came up.
    ConnectFailed,
    /// The connection was closed or reset before the answer was complete.
    Reset,
    /// The attempt was cancelled by the relay.
    Cancelled,
    /// Never left the relay, or was not passed on by the endpoint.
    NotSent,
    /// Never left the relay, for a shortage of the relay's own machine: descriptors, ports, memory, a state folder that
    /// can't be written. It tells nothing of the destination, and is no attempt.
    LocalFailure,
}

impl Outcome {
    /// How the call ended, for a host that sees an answer whole or not at all.
    pub fn call_end(self) -> CallEnd {
        match self {
            Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. } | Outcome::ConnectionLimit => {
                CallEnd::Answered
            }
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => CallEnd::Interrupted,
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::LocalFailure => CallEnd::NotWritten,
        }
    }

    /// Its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Delivered => "delivered",
            Outcome::Error => "error",
            Outcome::Rejected { .. } => "rejected",
            Outcome::ConnectionLimit => "connection_limit",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not_sent",
            Outcome::LocalFailure => "local_failure",
        }
    }
}

/// How a call ended, whatever its answer said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Before its last byte was written: nothing of it can run.
    NotWritten,
    /// Its answer was read to its end: the endpoint is done with it.
    Answered,
    /// The relay or the endpoint ended it before the answer was whole: the endpoint may still be at work.
    Interrupted,
}

/// What is known of the run of an attempt that has ended for the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It took no effect and will take none.
    NeverRan,
    /// It took effect, and is over.
    Ran,
    /// It may have taken effect, and is over.
    MayHaveRun,
    /// It may have taken effect, or may yet.
    MayBeRunning,
}

impl RunState {
    /// The protocol's table of outcomes, and the only place that derives the state of a run.
    pub fn from_call(outcome: Outcome, end: CallEnd) -> RunState {
        match (end, outcome) {
            (CallEnd::NotWritten, _) => RunState::NeverRan,
            (CallEnd::Interrupted, _) => RunState::MayBeRunning,
            (CallEnd::Answered, Outcome::Delivered) => RunState::Ran,
            (CallEnd::Answered, Outcome::Rejected { .. } | Outcome::ConnectionLimit | Outcome::NotSent) => {
                RunState::NeverRan
            }
            (CallEnd::Answered, _) => RunState::MayHaveRun,
        }
    }

    /// The state behind an answer that was read whole, or behind none.
    pub fn from_outcome(outcome: Outcome) -> RunState {
        RunState::from_call(outcome, outcome.call_end())
    }

    /// Its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            RunState::NeverRan => "never_ran",
            RunState::Ran => "ran",
            RunState::MayHaveRun => "may_have_run",
            RunState::MayBeRunning => "may_be_running",
        }
    }
}
