//! Relays and the endpoint discovery that they use.

use crate::defaults::{milliseconds, non_zero};
use crate::{Amount, Rate, Span};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;

/// Settings of the relays, the same for all.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Relays {
    /// Number of relays.
    pub count: NonZeroU32,
    /// Maximum number of calls that a relay has in flight.
    #[serde(rename = "slots")]
    pub max_calls_in_flight: NonZeroU32,
    /// Maximum number of messages that a relay holds.
    #[serde(rename = "held")]
    pub max_queued: NonZeroU32,
    /// Minimum time between two steps of the delivery policy.
    #[serde(rename = "round_gap")]
    pub min_step_interval: Span,
    /// Time after which endpoints close idle connections.
    #[serde(rename = "idle")]
    pub idle_timeout: Span,
    /// Time limit for opening a connection.
    #[serde(rename = "connect")]
    pub connect_timeout: Span,
    /// Whether a relay may cancel a call in flight.
    #[serde(rename = "recall")]
    pub may_cancel: bool,
    /// Accuracy of a destination's rate in the endpoint list.
    #[serde(rename = "rates")]
    pub listed_rate: ListedRate,
    /// Whether a relay receives the endpoint list only while it watches it.
    pub watch: bool,
    /// With `watch`: capacity of endpoint discovery; unlimited if missing.
    pub discovery: Option<Discovery>,
    /// Cost of a call to another zone, in points of service for each first attempt.
    pub cross_zone: Amount,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays {
            count: non_zero(3),
            max_calls_in_flight: non_zero(12),
            max_queued: non_zero(300),
            min_step_interval: milliseconds(5),
            idle_timeout: milliseconds(15_000),
            connect_timeout: milliseconds(1_500),
            may_cancel: true,
            listed_rate: ListedRate::Exact,
            watch: false,
            discovery: None,
            cross_zone: Amount(0.0),
        }
    }
}

/// Endpoint discovery of limited capacity, which serves calls for the list one after another. A call that is served
/// after its timeout costs the same work, but its relay gets no response.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Calls for the list that are served per second.
    #[serde(rename = "calls")]
    pub calls_per_second: Rate,
    /// Timeout of a call.
    #[serde(rename = "within", default = "default_timeout")]
    pub timeout: Span,
    /// Longest wait of a call; one that would wait longer is rejected at once.
    #[serde(rename = "queued", default = "default_max_queue_wait")]
    pub max_queue_wait: Span,
}

fn default_timeout() -> Span {
    milliseconds(2_000)
}

fn default_max_queue_wait() -> Span {
    milliseconds(6_000)
}

/// Accuracy of a destination's rate in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Rates")]
pub enum ListedRate {
    /// Exact.
    Exact,
    /// Up to half too high or too low.
    #[serde(rename = "rough")]
    Approximate,
    /// The list contains no rate.
    #[serde(rename = "untold")]
    Unknown,
}
