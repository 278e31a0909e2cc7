//! Rate limits of destinations.

use crate::defaults::milliseconds;
use crate::{Rate, Span};
use serde::{Deserialize, Serialize};

/// Limit on calls, in addition to the capacity of the endpoints.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Method of counting calls.
    pub by: LimitBy,
    /// Calls per second; with `by = "count"` the average over `window`.
    pub rate: Rate,
    /// Length of a fixed window with `by = "count"`.
    #[serde(default = "default_window")]
    pub window: Span,
    /// Accuracy of the Retry-After in rejections.
    #[serde(rename = "waits", default)]
    pub retry_after: RetryAfterAccuracy,
    /// Whether rejected calls also use up the limit.
    #[serde(rename = "spent_by_refused", default)]
    pub rejected_calls_count: bool,
}

fn default_window() -> Span {
    milliseconds(1_000)
}

/// Method by which a limit counts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitBy {
    /// Token bucket that holds a tenth of a second's calls.
    Rate,
    /// Maximum number of calls in each fixed window.
    Count,
}

/// Accuracy of the Retry-After in rejections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Waits")]
pub enum RetryAfterAccuracy {
    /// Exact.
    #[default]
    #[serde(rename = "true")]
    Exact,
    /// No Retry-After is sent.
    Missing,
    /// Between a tenth and four times the exact value.
    #[serde(rename = "lying")]
    Wrong,
}
