//! Parameters of the rules: thresholds, and the requirements of each message class.

use crate::Time;

/// Effect of processing a message twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Processing it twice does no harm.
    Idempotent,
    /// Endpoints drop repeats by an idempotency key.
    WithKey {
        /// Time for which repeats are dropped, from the first attempt that may have run.
        window: Time,
        /// Whether only endpoints of the same zone recognise a repeat, not all endpoints of the destination.
        is_per_zone: bool,
    },
    /// Processing it twice does harm.
    NotIdempotent,
}

/// Requirements of a message class.
#[derive(Clone, Copy, Debug)]
pub struct MessageClass {
    /// Effect of processing a message of this class twice.
    pub idempotency: Idempotency,
    /// Whether messages of one key are sent in the order of their submission.
    pub in_order: bool,
}

/// Thresholds of the rules.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// Message classes, indexed by number.
    pub classes: Vec<MessageClass>,
    /// Time after its deadline within which a final answer still counts as in time.
    pub answer_slack: Time,
    /// Time after a restart or stall within which late final answers are excused.
    pub restart_slack: Time,
    /// Time for which new attempts to a draining or removed endpoint are allowed.
    pub drain_grace: Time,
    /// Wait of the next message of a key after an attempt that may still be running.
    pub order_hold_off: Time,
    /// Share of its capacity that a route has just after an outage.
    pub slow_start_share: f64,
    /// Time from the end of an outage until a route has its full capacity.
    pub slow_start_duration: Time,
    /// Multiple of its current capacity above which a route in slow start fails.
    pub overload_multiple: f64,
    /// Window over which the load on a route in slow start is summed.
    pub overload_window: Time,
    /// Time after receipt of a Retry-After within which attempts may still start.
    pub retry_after_grace: Time,
}
