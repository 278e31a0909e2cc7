//! A token bucket: the budget of a rate limit.

use std::time::Duration;

/// Tokens are added at a rate, up to a burst; a negative balance is refilled first.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    pub(crate) tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    pub(crate) fn new(tokens: f64, now: Duration) -> TokenBucket {
        TokenBucket { tokens, refilled_at: now }
    }

    /// Adds the tokens since the last refill at `rate` tokens per second, up to `burst`.
    pub(crate) fn refill(&mut self, now: Duration, rate: f64, burst: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.refilled_at = now;
    }
}
