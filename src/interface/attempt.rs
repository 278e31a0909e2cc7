//! The end of an attempt: the endpoint's response, the end of the call, and the resulting state of the run.
//!
//! These are separate facts. The circuit breaker, retries and backoff depend on the [`Outcome`]. Whether a
//! message may be sent again, and when the next one of its key may be sent, depends on the [`RunState`] alone.
//! For example, a response that can't be parsed is an error, but its attempt may still be running.

use std::time::Duration;

/// The endpoint's response to an attempt, or the reason why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint confirmed the delivery.
    Delivered,
    /// The endpoint responded with an error, or with something that can't be parsed.
    Error,
    /// Rejected without being processed.
    Rejected {
        /// The `Retry-After` of the response, or zero.
        retry_after: Duration,
    },
    /// Rejected without being processed, as the endpoint's connection limit is reached.
    ConnectionLimit,
    /// No response within the attempt's time limit.
    TimedOut,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection was closed or reset before the response was complete.
    Reset,
    /// The relay cancelled the attempt.
    Cancelled,
    /// Not sent by the relay, or not passed on by the endpoint.
    NotSent,
    /// Not sent because of a shortage on the relay's own machine: descriptors, ports, memory, a state folder
    /// that can't be written. It is no fault of the destination and does not count as an attempt.
    LocalFailure,
}

impl Outcome {
    /// Returns the end of the call, for a host that sees either a complete response or none.
    pub fn call_end(self) -> CallEnd {
        match self {
            Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. } | Outcome::ConnectionLimit => {
                CallEnd::Answered
            }
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => CallEnd::Interrupted,
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::LocalFailure => CallEnd::NotWritten,
        }
    }

    /// Returns its name in metrics and log lines.
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

/// The end of a call, independent of the content of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The request was not written completely, so no message of it can run.
    NotWritten,
    /// The response was read completely, so the endpoint has finished the call.
    Answered,
    /// The relay or the endpoint ended the call before the response was complete; the endpoint may still
    /// process it.
    Interrupted,
}

/// The known state of a message's run after the end of its attempt; the endpoint may still process it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It took no effect and will take none.
    NeverRan,
    /// It took effect, and is over.
    Ran,
    /// It may have taken effect, and is over.
    MayHaveRun,
    /// It may have taken effect, or may still do so.
    MayBeRunning,
}

impl RunState {
    /// Returns the state of a run according to the protocol's table of outcomes. No other code derives it.
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

    /// Returns the state of a run, for a host that sees either a complete response or none.
    pub fn from_outcome(outcome: Outcome) -> RunState {
        RunState::from_call(outcome, outcome.call_end())
    }

    /// Returns its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            RunState::NeverRan => "never_ran",
            RunState::Ran => "ran",
            RunState::MayHaveRun => "may_have_run",
            RunState::MayBeRunning => "may_be_running",
        }
    }
}
