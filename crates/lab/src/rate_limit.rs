//! Rate limits that destinations enforce on calls.

use crate::Time;
use mountshift_scenario::{Limit, LimitBy};

/// Time for which a token bucket accumulates unused rate, in seconds.
const BURST_SECONDS: f64 = 0.1;
/// Number of tokens that a rejected call costs where rejected calls count against the limit.
const REJECTED_CALL_COST: f64 = 0.5;
/// Maximum share of a window that the rejected calls of the previous window can use up.
const MAX_SHARE_USED_BY_REJECTED: f64 = 0.5;

/// State of a rate limit, which is a token bucket or a count in fixed windows.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    pub(crate) limit: Limit,
    /// Index of the fault that imposes the limit; `None` for a permanent limit.
    pub(crate) set_by: Option<usize>,
    tokens: f64,
    refilled_at: Time,
    window: u64,
    calls: f64,
    rejected: f64,
}

impl RateLimit {
    /// Creates a limit that starts now with one token.
    pub(crate) fn new(limit: Limit, set_by: Option<usize>, now: Time) -> RateLimit {
        RateLimit { limit, set_by, tokens: 1.0, refilled_at: now, window: 0, calls: 0.0, rejected: 0.0 }
    }

    /// Returns the number of calls that would be admitted now.
    pub(crate) fn calls_allowed(&mut self, now: Time) -> f64 {
        match self.limit.by {
            LimitBy::Rate => {
                self.refill(now);
                self.tokens
            }
            LimitBy::Count => {
                let max_calls = self.enter_window(now);
                max_calls - self.calls
            }
        }
    }

    /// Counts a call against the limit.
    ///
    /// # Errors
    /// Returns the time until a call may be admitted if this one is rejected.
    pub(crate) fn admit(&mut self, now: Time) -> Result<(), Time> {
        match self.limit.by {
            LimitBy::Rate => self.admit_by_rate(now),
            LimitBy::Count => self.admit_by_count(now),
        }
    }

    fn admit_by_rate(&mut self, now: Time) -> Result<(), Time> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let rate = self.limit.rate.0;
        if self.limit.rejected_calls_count {
            self.tokens = (self.tokens - REJECTED_CALL_COST).max(-rate);
        }
        Err(((1.0 - self.tokens) / rate * 1e6) as Time)
    }

    fn refill(&mut self, now: Time) {
        let rate = self.limit.rate.0;
        let refill = rate * (now - self.refilled_at) as f64 / 1e6;
        let burst = (rate * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
    }

    fn admit_by_count(&mut self, now: Time) -> Result<(), Time> {
        let max_calls = self.enter_window(now);
        if self.calls + 1.0 <= max_calls {
            self.calls += 1.0;
            return Ok(());
        }
        self.rejected += 1.0;
        let span = self.window_span();
        Err(span - now % span)
    }

    fn window_span(&self) -> Time {
        self.limit.window.us().max(1)
    }

    /// Starts a new window if one is due, and returns the number of calls that a window admits.
    fn enter_window(&mut self, now: Time) -> f64 {
        let span = self.window_span();
        let window = now / span + 1;
        let max_calls = (self.limit.rate.0 * span as f64 / 1e6).max(1.0);
        if window != self.window {
            let follows = window == self.window + 1;
            self.calls = if self.limit.rejected_calls_count && follows {
                self.rejected.min(max_calls * MAX_SHARE_USED_BY_REJECTED)
            } else {
                0.0
            };
            self.window = window;
            self.rejected = 0.0;
        }
        max_calls
    }
}
