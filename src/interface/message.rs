//! Messages: what a class of them is, what is known of one when it is submitted, how an attempt ends.

use super::{ClassId, DestinationId, OrderingKey, TenantId};
use std::time::Duration;

/// What running a message twice would do, the harmless first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Idempotency {
    /// A second run does no harm.
    Idempotent,
    /// The message carries an idempotency key: repeats are dropped for `window` from the first attempt that
    /// may have run, at endpoints in `scope`.
    WithKey {
        /// For how long an endpoint recognises a repeat.
        window: Duration,
        /// Which endpoints recognise it.
        scope: DeduplicationScope,
    },
    /// A second run does harm: the message must not be sent again once it may have run.
    NotIdempotent,
}

impl Idempotency {
    /// For how long repeats are dropped, where they are.
    pub fn deduplication_window(self) -> Option<Duration> {
        if let Idempotency::WithKey { window, .. } = self { Some(window) } else { None }
    }

    /// True where a message that has run does no harm wherever it runs again.
    pub fn is_repeatable_anywhere(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllEndpoints, .. }
        )
    }
}

/// Which endpoints of a destination recognise a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeduplicationScope {
    /// All endpoints of the destination.
    AllEndpoints,
    /// Endpoints in the zone of the first attempt that may have run.
    SameZone,
}

/// How a message's priority weight falls after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Decay {
    /// In a straight line up to the deadline.
    #[default]
    Linear,
    /// By half in each further span of the latency objective.
    Halving,
}

/// What is known of a message when it is submitted.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Its message class.
    pub class: ClassId,
    /// Whose message it is.
    pub tenant: TenantId,
    /// Where it goes.
    pub destination: DestinationId,
    /// The key by which its class keeps messages in order.
    pub key: Option<OrderingKey>,
    /// When its final answer is due at the latest.
    pub deadline: Duration,
    /// Bytes that it takes at most in a call of several messages; 0 where a host has no such limit.
    pub call_bytes: usize,
    /// An earlier process of the relay accepted it.
    pub restored: bool,
}

/// A message class, as the settings describe it.
#[derive(Clone, Copy, Debug)]
pub struct MessageClass {
    /// The span from submission to the time by which a delivery earns its full weight.
    pub latency_objective: Duration,
    /// The span from submission to the deadline.
    pub deadline: Duration,
    /// What a delivery within the latency objective is worth, beside other classes.
    pub priority_weight: f64,
    /// The share of the priority weight left at the deadline.
    pub late_weight_share: f64,
    /// What running a message twice would do.
    pub idempotency: Idempotency,
    /// Messages with the same key are delivered in order.
    pub in_order: bool,
}

/// Why an attempt that was decided may not begin after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The message has its final answer, or is withdrawn.
    Ended,
    /// Its deadline is over (rule 1).
    DeadlineOver,
    /// An earlier attempt may have run, and the message must not run twice (rule 2).
    UnsafeRepeat,
    /// No endpoint recognises the repeat any more (rule 2).
    WindowOver,
    /// The endpoint is draining or removed, or a `Retry-After` binds (rules 3 and 6).
    EndpointUnavailable,
}

impl SendRefusal {
    /// Its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            SendRefusal::Ended => "ended",
            SendRefusal::DeadlineOver => "deadline_over",
            SendRefusal::UnsafeRepeat => "unsafe_repeat",
            SendRefusal::WindowOver => "window_over",
            SendRefusal::EndpointUnavailable => "endpoint_unavailable",
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint confirmed the delivery.
    Delivered,
    /// The endpoint answered with an error.
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
    /// Never left the relay.
    NotSent,
    /// Never left the relay, for a shortage of the relay's own machine: descriptors, ports, memory, a state folder that
    /// can't be written. It tells nothing of the destination, and is no attempt.
    LocalFailure,
}

impl Outcome {
    /// True where the outcome proves that the attempt took no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected { .. }
                | Outcome::ConnectionLimit
                | Outcome::ConnectFailed
                | Outcome::NotSent
                | Outcome::LocalFailure
        )
    }
}
