//! Exponential backoff.

use std::time::Duration;

/// A span that grows with each step.
pub(crate) struct Backoff {
    pub(crate) first: Duration,
    pub(crate) growth: f64,
    pub(crate) max: Duration,
}

impl Backoff {
    /// The span after `steps` steps; `max` is reached long before the 9th.
    pub(crate) fn after(&self, steps: u32) -> Duration {
        self.first.mul_f64(self.growth.powi(steps.min(9) as i32)).min(self.max)
    }
}
