//! Message classes.

use crate::defaults::one;
use crate::{Rate, Share, Span};
use serde::{Deserialize, Serialize};
use toml::Spanned;

/// A message class.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Lane")]
pub struct MessageClass {
    /// What files and reports call it.
    pub name: String,
    /// From submission to the time up to which a delivery has its whole weight.
    #[serde(rename = "target")]
    pub latency_objective: Span,
    /// From submission to the time after which a delivery counts for nothing.
    pub deadline: Spanned<Span>,
    /// What a delivery in time is worth, against the other classes.
    #[serde(rename = "value", default = "one")]
    pub priority_weight: Rate,
    /// The share of the weight that is left at the deadline.
    #[serde(rename = "late_share", default)]
    pub late_weight_share: Share,
    /// What running a message twice would do.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// With `keyed`: how long repeats are dropped, counted from the first attempt that may have run.
    #[serde(rename = "memory", default)]
    pub deduplication_window: Option<Span>,
    /// With `keyed`: which endpoints recognise a repeat.
    #[serde(rename = "group", default)]
    pub deduplication_scope: Option<Spanned<DeduplicationScope>>,
    /// Messages of one key go in the order of their submission.
    #[serde(default)]
    pub in_order: bool,
    /// Its part of the traffic, against the other classes.
    #[serde(default = "one")]
    pub traffic: Rate,
}

/// What running a message twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Effect")]
pub enum Idempotency {
    /// No harm.
    #[serde(rename = "retriable")]
    Idempotent,
    /// No harm within the window: repeats are dropped by an idempotency key.
    #[serde(rename = "keyed")]
    WithKey,
    /// Harm.
    #[serde(rename = "non-retriable")]
    NotIdempotent,
}

/// The endpoints that recognise a repeat of a message that one of them ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum RepeatGroup")]
pub enum DeduplicationScope {
    /// All of the destination.
    #[serde(rename = "all")]
    AllEndpoints,
    /// Those of the same zone.
    #[serde(rename = "zone")]
    SameZone,
}
