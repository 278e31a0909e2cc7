//! A token bucket: the budget of a rate limit.

use std::time::Duration;

#[derive(Clone, Copy, Default)]
pub(crate) struct Tokens {
    pub(crate) left: f64,
    pub(crate) at: Duration,
}

impl Tokens {
    pub(crate) fn refill(&mut self, now: Duration, rate: f64, most: f64) {
        self.left = (self.left + rate * now.saturating_sub(self.at).as_secs_f64()).min(most);
        self.at = now;
    }
}
