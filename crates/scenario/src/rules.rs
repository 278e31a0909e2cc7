//! The thresholds of the rules.

use crate::defaults::{milliseconds, non_zero};
use crate::{Rate, Share, Span};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;

/// The thresholds of the rules, the same for every relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Attempts of a message at most.
    #[serde(rename = "legs")]
    pub max_attempts: NonZeroU32,
    /// New attempts to a draining or removed endpoint are allowed for this long.
    pub drain_grace: Span,
    /// The next message of a key waits this long after an attempt that may still be running.
    #[serde(rename = "order_pause")]
    pub order_hold_off: Span,
    /// A relay that polls for the endpoint list does so this often.
    #[serde(rename = "ask_within")]
    pub poll_interval: Span,
    /// Capacity just after an outage, as a share.
    #[serde(rename = "cold_from")]
    pub slow_start_share: Share,
    /// The time from the end of an outage to full capacity.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: Span,
    /// A route in slow start breaks down at this multiple of its capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: Rate,
    /// The load on a route in slow start is counted over this window.
    #[serde(rename = "fall")]
    pub overload_window: Span,
    /// The longest Retry-After that clients heed.
    #[serde(rename = "max_pause")]
    pub max_retry_after: Span,
    /// How a message's weight falls after its latency objective.
    pub decay: Decay,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            max_attempts: non_zero(8),
            drain_grace: milliseconds(1_000),
            order_hold_off: milliseconds(300),
            poll_interval: milliseconds(10_000),
            slow_start_share: Share(0.3),
            slow_start_duration: milliseconds(10_000),
            overload_multiple: Rate(1.5),
            overload_window: milliseconds(2_000),
            max_retry_after: milliseconds(3_000),
            decay: Decay::Linear,
        }
    }
}

/// How a message's weight falls after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decay {
    /// Evenly down to the late share at the deadline.
    Linear,
    /// By half with each further latency objective, down to the late share.
    Halving,
}
