//! Thresholds of the rules.

use crate::defaults::{milliseconds, non_zero};
use crate::{Rate, Share, Span};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;

/// Thresholds of the rules, the same for every relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Maximum number of attempts of a message.
    #[serde(rename = "legs")]
    pub max_attempts: NonZeroU32,
    /// Time for which new attempts to a draining or removed endpoint are allowed.
    pub drain_grace: Span,
    /// Wait of the next message of a key after an attempt that may still be running.
    #[serde(rename = "order_pause")]
    pub order_hold_off: Span,
    /// Interval between polls for the endpoint list, for relays that poll.
    #[serde(rename = "ask_within")]
    pub poll_interval: Span,
    /// Share of its capacity that a route has just after an outage.
    #[serde(rename = "cold_from")]
    pub slow_start_share: Share,
    /// Time from the end of an outage until a route has its full capacity.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: Span,
    /// Multiple of its current capacity above which a route in slow start fails.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: Rate,
    /// Window over which the load on a route in slow start is summed.
    #[serde(rename = "fall")]
    pub overload_window: Span,
    /// Longest Retry-After that clients obey.
    #[serde(rename = "max_pause")]
    pub max_retry_after: Span,
    /// Decrease of a message's weight after its latency objective.
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

/// Decrease of a message's weight after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decay {
    /// Linear down to the late share at the deadline.
    Linear,
    /// By half with each further latency objective, down to the late share.
    Halving,
}
