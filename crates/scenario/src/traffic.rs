//! The messages that clients submit, drawn or recorded.

use crate::defaults::non_zero;
use crate::{Amount, Rate, Span};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;
use std::path::PathBuf;
use toml::Spanned;

/// The messages that clients submit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Messages a second, over all relays.
    pub rate: Rate,
    /// How requests follow one another.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Messages of a clump go to one destination, this many in the mean.
    #[serde(rename = "clump", default)]
    pub burst_size: Option<Rate>,
    /// How uneven the destinations of a group are: the exponent of their shares.
    #[serde(default)]
    pub zipf: Amount,
    /// Keys in use at a time at each destination, for classes that keep their order.
    #[serde(default = "keys")]
    pub keys: NonZeroU32,
    /// Times of more traffic.
    #[serde(rename = "rush", default)]
    pub peaks: Vec<Spanned<TrafficPeak>>,
    /// A recorded day in place of drawn messages: a CSV file beside the scenario, with a head line
    /// `seconds,lane,destinations,number,key`.
    #[serde(default)]
    pub replay: Option<PathBuf>,
}

fn keys() -> NonZeroU32 {
    non_zero(20)
}

/// How requests follow one another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Independent of one another.
    #[default]
    Poisson,
    /// Bursts for one destination, Poisson between them.
    #[serde(rename = "clumps")]
    Bursts,
    /// At equal intervals.
    Even,
}

/// More traffic for a while.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficPeak {
    /// When it begins.
    pub from: Span,
    /// When it ends.
    pub to: Span,
    /// The multiple of the usual rate.
    #[serde(rename = "times")]
    pub multiplier: Rate,
}

/// A message of a recorded day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedMessage {
    /// When it was submitted, from the day's beginning.
    pub seconds: f64,
    /// The name of its message class.
    #[serde(rename = "lane")]
    pub class: String,
    /// The name of its group of destinations.
    #[serde(rename = "destinations")]
    pub group: String,
    /// The number of its destination in the group.
    pub number: u32,
    /// The key that orders it; 0 for none.
    pub key: u64,
}
