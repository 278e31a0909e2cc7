//! Exponential backoff.

use std::time::Duration;

/// A delay that grows exponentially with each step.
pub(crate) struct Backoff {
    pub(crate) first: Duration,
    pub(crate) growth: f64,
    pub(crate) max: Duration,
}

impl Backoff {
    /// Returns the delay after `steps` steps; the growth is capped at 9 steps, long after `max` is reached.
    pub(crate) fn after(&self, steps: u32) -> Duration {
        self.first.mul_f64(self.growth.powi(steps.min(9) as i32)).min(self.max)
    }
}
