//! Messages that clients submit, generated or recorded.

use crate::defaults::non_zero;
use crate::{Amount, Rate, Span};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;
use std::path::PathBuf;
use toml::Spanned;

/// Messages that clients submit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Messages per second, over all relays.
    pub rate: Rate,
    /// Arrival process of requests.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Mean number of messages in a burst; all messages of a burst go to one destination.
    #[serde(rename = "clump", default)]
    pub burst_size: Option<Rate>,
    /// Exponent of the Zipf distribution of traffic over the destinations of a group; 0 is uniform.
    #[serde(default)]
    pub zipf: Amount,
    /// Ordering keys in use at each destination, for classes that keep order.
    #[serde(default = "default_keys")]
    pub keys: NonZeroU32,
    /// Periods of higher traffic.
    #[serde(rename = "rush", default)]
    pub peaks: Vec<Spanned<TrafficPeak>>,
    /// Recorded day in place of generated messages: a CSV file, relative to the scenario's folder, with the header
    /// `seconds,lane,destinations,number,key`.
    #[serde(default)]
    pub replay: Option<PathBuf>,
}

fn default_keys() -> NonZeroU32 {
    non_zero(20)
}

/// Arrival process of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Poisson process.
    #[default]
    Poisson,
    /// Bursts as a Poisson process, each to one destination.
    #[serde(rename = "clumps")]
    Bursts,
    /// Equal intervals.
    Even,
}

/// Period of higher traffic.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficPeak {
    /// Start.
    pub from: Span,
    /// End.
    pub to: Span,
    /// Multiple of the usual rate.
    #[serde(rename = "times")]
    pub multiplier: Rate,
}

/// Message of a recorded day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedMessage {
    /// Time of submission, in seconds since the start of the day.
    pub seconds: f64,
    /// Name of its message class.
    #[serde(rename = "lane")]
    pub class: String,
    /// Name of its group of destinations.
    #[serde(rename = "destinations")]
    pub group: String,
    /// Number of its destination in the group.
    pub number: u32,
    /// Ordering key; 0 means none.
    pub key: u64,
}
