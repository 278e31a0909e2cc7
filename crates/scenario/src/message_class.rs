//! Message classes.

use crate::defaults::one;
use crate::{Rate, Share, Span};
use serde::{Deserialize, Serialize};
use toml::Spanned;

/// Message class.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Lane")]
pub struct MessageClass {
    /// Name in files and reports.
    pub name: String,
    /// Time after submission within which a delivery has its full weight.
    #[serde(rename = "target")]
    pub latency_objective: Span,
    /// Time after submission; a later delivery has no weight.
    pub deadline: Spanned<Span>,
    /// Weight of a timely delivery relative to the other classes.
    #[serde(rename = "value", default = "one")]
    pub priority_weight: Rate,
    /// Share of the weight that remains at the deadline.
    #[serde(rename = "late_share", default)]
    pub late_weight_share: Share,
    /// Effect of processing a message twice.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// With `keyed`: time for which repeats are dropped, from the first attempt that may have run.
    #[serde(rename = "memory", default)]
    pub deduplication_window: Option<Span>,
    /// With `keyed`: endpoints that recognise a repeat.
    #[serde(rename = "group", default)]
    pub deduplication_scope: Option<Spanned<DeduplicationScope>>,
    /// Whether messages of one key are sent in the order of their submission.
    #[serde(default)]
    pub in_order: bool,
    /// Share of the traffic relative to the other classes.
    #[serde(default = "one")]
    pub traffic: Rate,
}

/// Effect of processing a message twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Effect")]
pub enum Idempotency {
    /// Harmless.
    #[serde(rename = "retriable")]
    Idempotent,
    /// Harmless within the window: endpoints drop repeats by an idempotency key.
    #[serde(rename = "keyed")]
    WithKey,
    /// Harmful.
    #[serde(rename = "non-retriable")]
    NotIdempotent,
}

/// Endpoints that recognise a repeat of a message that one of them processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum RepeatGroup")]
pub enum DeduplicationScope {
    /// All endpoints of the destination.
    #[serde(rename = "all")]
    AllEndpoints,
    /// Endpoints of the destination in the same zone.
    #[serde(rename = "zone")]
    SameZone,
}
