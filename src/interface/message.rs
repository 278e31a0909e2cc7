//! Messages: what a class of them is, what is known of one when it is submitted, its turn among those of its key.

use super::{ClassId, DestinationId, MessageId, OrderingKey, RunState, TenantId};
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
    pub fn is_safe_to_repeat_at_any_endpoint(self) -> bool {
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
    pub batch_entry_bytes: usize,
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

/// Whether it is a message's turn among those of its key, and what it waits for if not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderingState {
    /// It is, or the message has no key.
    Next,
    /// This one is before it.
    QueuedBehind(MessageId),
    /// An attempt of this one may still be running until then.
    HeldOff(MessageId, Duration),
}

/// The attempt of a message that is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosingAttempt {
    /// One may be in flight, which goes on.
    InFlight,
    /// The end of its only one in flight closes it.
    Ended(RunState),
}

/// Why an attempt that was decided may not begin after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The message has its final answer, or is withdrawn.
    Ended,
    /// Its deadline is over (rule 1).
    DeadlinePassed,
    /// An earlier attempt may have run, and the message must not run twice (rule 2).
    UnsafeRepeat,
    /// No endpoint recognises the repeat any more (rule 2).
    DeduplicationExpired,
    /// The endpoint is draining or removed, or a `Retry-After` binds (rules 3 and 6).
    EndpointUnavailable,
    /// Another message of its key is before it, or an attempt of one may still be running (rule 5).
    OutOfOrder,
}

impl SendError {
    /// Its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            SendError::Ended => "ended",
            SendError::DeadlinePassed => "deadline_over",
            SendError::UnsafeRepeat => "unsafe_repeat",
            SendError::DeduplicationExpired => "window_over",
            SendError::EndpointUnavailable => "endpoint_unavailable",
            SendError::OutOfOrder => "out_of_turn",
        }
    }
}
