//! Rate limits of destinations.

use crate::defaults::milliseconds;
use crate::{Rate, Span};
use serde::{Deserialize, Serialize};

/// A limit on calls, beside what the endpoints can work off.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// How calls are counted.
    pub by: LimitBy,
    /// Calls a second; over `window` where calls are counted.
    pub rate: Rate,
    /// The window over which calls are counted.
    #[serde(default = "window")]
    pub window: Span,
    /// What a rejected caller is told.
    #[serde(rename = "waits", default)]
    pub retry_after: RetryAfterAccuracy,
    /// Rejected calls use up the limit too.
    #[serde(rename = "spent_by_refused", default)]
    pub rejected_calls_count: bool,
}

fn window() -> Span {
    milliseconds(1_000)
}

/// How a limit counts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitBy {
    /// Evenly, a tenth of a second's worth at once.
    Rate,
    /// So many in each fixed window.
    Count,
}

/// How good the Retry-After is that a rejected caller is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Waits")]
pub enum RetryAfterAccuracy {
    /// It is exact.
    #[default]
    #[serde(rename = "true")]
    Exact,
    /// There is none.
    Missing,
    /// It lies between a tenth and four times the exact one.
    #[serde(rename = "lying")]
    Wrong,
}
