//! The relays, and the endpoint discovery that they learn from.

use crate::defaults::{milliseconds, non_zero};
use crate::{Amount, Rate, Span};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;

/// The relays, which are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Relays {
    /// How many there are.
    pub count: NonZeroU32,
    /// Calls that one relay may have in flight.
    #[serde(rename = "slots")]
    pub max_calls_in_flight: NonZeroU32,
    /// Messages that one relay may hold.
    #[serde(rename = "held")]
    pub max_queued: NonZeroU32,
    /// The shortest time between two steps of the decisions.
    #[serde(rename = "round_gap")]
    pub min_step_interval: Span,
    /// Idle connections are closed by endpoints after this span.
    #[serde(rename = "idle")]
    pub idle_timeout: Span,
    /// A connection that is not up by then has failed.
    #[serde(rename = "connect")]
    pub connect_timeout: Span,
    /// A relay may cancel a call in flight.
    #[serde(rename = "recall")]
    pub may_cancel: bool,
    /// How well the endpoint list knows a destination's rate.
    #[serde(rename = "rates")]
    pub listed_rate: ListedRate,
    /// The endpoint list comes only to a relay that watches it.
    pub watch: bool,
    /// With `watch`: what endpoint discovery can serve; anything if it is not told.
    pub discovery: Option<Discovery>,
    /// The price of a call into another zone, in points of service for each first attempt.
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

/// An endpoint discovery of limited capacity: it answers calls for the list one after another. A call whose turn
/// comes after its time-out costs the same work, and its relay gets nothing.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Calls for the list a second.
    #[serde(rename = "calls")]
    pub calls_per_second: Rate,
    /// A call not answered by then has failed.
    #[serde(rename = "within", default = "within")]
    pub timeout: Span,
    /// A call that would wait longer is rejected at once.
    #[serde(rename = "queued", default = "queued")]
    pub max_queue_wait: Span,
}

fn within() -> Span {
    milliseconds(2_000)
}

fn queued() -> Span {
    milliseconds(6_000)
}

/// How well the endpoint list knows a destination's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Rates")]
pub enum ListedRate {
    /// Exactly.
    Exact,
    /// Up to half too high or too low.
    #[serde(rename = "rough")]
    Approximate,
    /// It tells no rate.
    #[serde(rename = "untold")]
    Unknown,
}
