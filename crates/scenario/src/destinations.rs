//! Groups of destinations that are alike.

use crate::defaults::{non_zero, one, single};
use crate::{Amount, Limit, Rate, Share, Span};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;
use toml::Spanned;

/// Destinations that are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// What files and reports call it.
    pub name: Spanned<String>,
    /// How many destinations it has.
    #[serde(default = "single")]
    pub count: NonZeroU32,
    /// Endpoints of each, dealt out over the zones.
    #[serde(default = "single")]
    pub endpoints: NonZeroU32,
    /// Each endpoint is a route of its own, with its own limit and outages.
    #[serde(rename = "own_limits", default)]
    pub independent_endpoints: bool,
    /// Messages in one call at most.
    #[serde(rename = "batch", default = "single")]
    pub max_batch: NonZeroU32,
    /// Calls a second that each destination (or route apart) takes from all relays together; what the list tells.
    pub rate: Rate,
    /// What it can really work off, as a multiple of its rate.
    #[serde(default = "headroom")]
    pub headroom: Rate,
    /// The median response time while nothing waits.
    #[serde(rename = "answers")]
    pub response_time: Span,
    /// The spread of the response time: sigma of its logarithm.
    #[serde(rename = "spread", default = "spread")]
    pub response_time_spread: Amount,
    /// Work of each further message of a call, as a share of the first one's.
    #[serde(rename = "further", default = "further")]
    pub batch_item_cost: Share,
    /// Calls that may wait at an endpoint beyond those it works on.
    #[serde(rename = "queue", default = "queue")]
    pub queue_capacity: u32,
    /// Connections that an endpoint takes, idle ones counted.
    #[serde(rename = "connections", default = "connections")]
    pub max_connections: NonZeroU32,
    /// A rate limit of each route, if there is one.
    #[serde(default)]
    pub limit: Option<Limit>,
    /// Its part of the traffic, against the other groups.
    #[serde(default = "one")]
    pub traffic: Rate,
}

fn headroom() -> Rate {
    Rate(1.3)
}

fn spread() -> Amount {
    Amount(0.35)
}

fn further() -> Share {
    Share(0.1)
}

fn queue() -> u32 {
    32
}

fn connections() -> NonZeroU32 {
    non_zero(200)
}
