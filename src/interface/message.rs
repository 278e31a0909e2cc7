//! Messages: their classes, their properties at submission, and their position in the order of their key.

use super::{ClassId, DestinationId, MessageId, OrderingKey, RunState, TenantId};
use std::time::Duration;

/// The effect of running a message twice; harmless effects are ordered first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Idempotency {
    /// A second run does no harm.
    Idempotent,
    /// The message carries an idempotency key: repeats are dropped for `window` from the first attempt that
    /// may have run, at endpoints in `scope`.
    WithKey {
        /// Time for which an endpoint recognises a repeat.
        window: Duration,
        /// Endpoints that recognise it.
        scope: DeduplicationScope,
    },
    /// A second run does harm: the message must not be sent again once it may have run.
    NotIdempotent,
}

impl Idempotency {
    /// Returns the time for which endpoints drop repeats, if they do.
    pub fn deduplication_window(self) -> Option<Duration> {
        if let Idempotency::WithKey { window, .. } = self { Some(window) } else { None }
    }

    /// Returns whether a message that has run may run again at any endpoint without harm.
    pub fn is_safe_to_repeat_at_any_endpoint(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllEndpoints, .. }
        )
    }
}

/// The endpoints of a destination that recognise a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeduplicationScope {
    /// All endpoints of the destination.
    AllEndpoints,
    /// Endpoints in the zone of the first attempt that may have run.
    SameZone,
}

/// The decay of a message's priority weight after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Decay {
    /// Linear until the deadline.
    #[default]
    Linear,
    /// Halved each time that a further latency objective has passed.
    Halving,
}

/// The properties of a message at its submission.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Its message class.
    pub class: ClassId,
    /// The tenant that sends it.
    pub tenant: TenantId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its ordering key, used if its class is ordered.
    pub key: Option<OrderingKey>,
    /// The time by which it must have its final answer.
    pub deadline: Duration,
    /// Maximum size, in bytes, of its entry in a call of several messages; 0 if a host has no such limit.
    pub batch_entry_bytes: usize,
    /// Whether an earlier process of the relay accepted it.
    pub restored: bool,
}

/// A message class, as defined by the settings.
#[derive(Clone, Copy, Debug)]
pub struct MessageClass {
    /// Time from submission within which a delivery earns the full weight.
    pub latency_objective: Duration,
    /// Time from submission to the deadline.
    pub deadline: Duration,
    /// Weight of a delivery within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Share of the priority weight that remains at the deadline.
    pub late_weight_share: f64,
    /// The effect of running a message twice.
    pub idempotency: Idempotency,
    /// Whether messages with the same key are delivered in order.
    pub in_order: bool,
}

/// A message's position in the order of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderingState {
    /// It may be sent next, or has no key.
    Next,
    /// This message precedes it.
    QueuedBehind(MessageId),
    /// It waits until this time, as an attempt of this message may still be running.
    HeldOff(MessageId, Duration),
}

/// The attempt of a message that is being closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosingAttempt {
    /// An attempt may be in flight; it is not cancelled.
    InFlight,
    /// The message is closed by the end of its only attempt in flight.
    Ended(RunState),
}

/// The reason why an attempt that was decided may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The message has its final answer, or was withdrawn.
    Ended,
    /// Its deadline has passed (rule 1).
    DeadlinePassed,
    /// An earlier attempt may have run, and the message must not run twice (rule 2).
    UnsafeRepeat,
    /// The deduplication window of a repeat is over (rule 2).
    DeduplicationExpired,
    /// The endpoint is draining or removed, or a `Retry-After` applies (rules 3 and 6).
    EndpointUnavailable,
    /// Another message of its key precedes it, or an attempt of one may still be running (rule 5).
    OutOfOrder,
}

impl SendError {
    /// Returns its name in metrics and log lines.
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
