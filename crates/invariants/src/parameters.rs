//! What the checker is told of the rules: their thresholds, and what each message class demands.

use crate::Time;

/// What running a message twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it twice does no harm.
    Idempotent,
    /// Repeats are dropped by an idempotency key.
    WithKey {
        /// How long repeats are dropped, from the first attempt that may have run.
        window: Time,
        /// True where only the endpoints of one zone recognise a repeat, false where all of the destination do.
        is_per_zone: bool,
    },
    /// Running it twice does harm.
    NotIdempotent,
}

/// What the rules demand for a message class.
#[derive(Clone, Copy, Debug)]
pub struct MessageClass {
    /// What running a message of this class twice would do.
    pub idempotency: Idempotency,
    /// Messages of one key go in the order of their submission.
    pub in_order: bool,
}

/// The thresholds of the rules.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// The message classes, by number.
    pub classes: Vec<MessageClass>,
    /// How far past its deadline a final answer still counts as in time.
    pub answer_slack: Time,
    /// After a restart or a stall a relay may be late with final answers for this long.
    pub restart_slack: Time,
    /// New attempts to a draining or removed endpoint are allowed for this long.
    pub drain_grace: Time,
    /// The next message of a key waits this long after an attempt that may still be running.
    pub order_hold_off: Time,
    /// The share of a route's capacity that it has just after an outage.
    pub slow_start_share: f64,
    /// How long a route takes from the end of an outage to its full capacity.
    pub slow_start_duration: Time,
    /// The multiple of its capacity at which a route in slow start breaks down.
    pub overload_multiple: f64,
    /// The window over which the load on a route in slow start is counted.
    pub overload_window: Time,
    /// Attempts that start this soon after a Retry-After was received are excused.
    pub retry_after_grace: Time,
}
