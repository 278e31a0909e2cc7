//! Groups of destinations with the same settings.

use crate::defaults::{non_zero, one, single};
use crate::{Amount, Limit, Rate, Share, Span};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;
use toml::Spanned;

/// Group of destinations with the same settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name in files and reports.
    pub name: Spanned<String>,
    /// Number of destinations.
    #[serde(default = "single")]
    pub count: NonZeroU32,
    /// Endpoints of each destination, distributed over the zones.
    #[serde(default = "single")]
    pub endpoints: NonZeroU32,
    /// Whether each endpoint is a separate route, with its own limit and outages.
    #[serde(rename = "own_limits", default)]
    pub independent_endpoints: bool,
    /// Maximum number of messages in a call.
    #[serde(rename = "batch", default = "single")]
    pub max_batch: NonZeroU32,
    /// Calls per second that each destination (or separate route) accepts from all relays together, as the endpoint
    /// list publishes it.
    pub rate: Rate,
    /// Actual capacity as a multiple of the rate.
    #[serde(default = "default_headroom")]
    pub headroom: Rate,
    /// Median response time without queueing.
    #[serde(rename = "answers")]
    pub response_time: Span,
    /// Spread of the response time: standard deviation of its logarithm.
    #[serde(rename = "spread", default = "default_spread")]
    pub response_time_spread: Amount,
    /// Work of each further message of a call as a share of the work of the first.
    #[serde(rename = "further", default = "default_batch_item_cost")]
    pub batch_item_cost: Share,
    /// Maximum number of calls that wait at an endpoint, in addition to those in progress.
    #[serde(rename = "queue", default = "default_queue_capacity")]
    pub queue_capacity: u32,
    /// Maximum number of connections of an endpoint, idle ones included.
    #[serde(rename = "connections", default = "default_max_connections")]
    pub max_connections: NonZeroU32,
    /// Rate limit of each route, if any.
    #[serde(default)]
    pub limit: Option<Limit>,
    /// Share of the traffic relative to the other groups.
    #[serde(default = "one")]
    pub traffic: Rate,
}

fn default_headroom() -> Rate {
    Rate(1.3)
}

fn default_spread() -> Amount {
    Amount(0.35)
}

fn default_batch_item_cost() -> Share {
    Share(0.1)
}

fn default_queue_capacity() -> u32 {
    32
}

fn default_max_connections() -> NonZeroU32 {
    non_zero(200)
}
