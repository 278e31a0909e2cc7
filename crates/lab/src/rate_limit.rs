//! Limits on the rate of calls.

use crate::Time;
use mountshift_scenario::{Limit, LimitBy};

/// A limit at work.
#[derive(Clone, Debug)]
pub(crate) struct Gate {
    pub limit: Limit,
    /// The trouble that set it.
    pub by: Option<usize>,
    tokens: f64,
    at: Time,
    window: u64,
    count: f64,
    refused: f64,
}

impl Gate {
    pub fn new(limit: Limit, by: Option<usize>, now: Time) -> Gate {
        Gate { limit, by, tokens: 1.0, at: now, window: 0, count: 0.0, refused: 0.0 }
    }

    /// Calls that may pass now.
    pub fn room(&mut self, now: Time) -> f64 {
        match self.limit.by {
            LimitBy::Rate => {
                self.refill(now);
                self.tokens
            }
            LimitBy::Count => {
                let most = self.turn(now);
                most - self.count
            }
        }
    }

    fn refill(&mut self, now: Time) {
        let rate = self.limit.rate.0;
        self.tokens = (self.tokens + rate * (now - self.at) as f64 / 1e6).min((rate * 0.1).max(1.0));
        self.at = now;
    }

    /// Begins a window if one is due; gives what a window takes.
    fn turn(&mut self, now: Time) -> f64 {
        let span = self.limit.window.us().max(1);
        let (window, most) = (now / span + 1, (self.limit.rate.0 * span as f64 / 1e6).max(1.0));
        if window != self.window {
            // What was refused in the last window takes up to half of this one.
            let spent = self.limit.spent_by_refused && window == self.window + 1;
            self.count = if spent { self.refused.min(most / 2.0) } else { 0.0 };
            (self.window, self.refused) = (window, 0.0);
        }
        most
    }

    /// None if the call may pass, else the span until there is room.
    pub fn refuses(&mut self, now: Time) -> Option<Time> {
        let rate = self.limit.rate.0;
        match self.limit.by {
            LimitBy::Rate => {
                self.refill(now);
                if self.tokens >= 1.0 {
                    self.tokens -= 1.0;
                    return None;
                }
                if self.limit.spent_by_refused {
                    self.tokens = (self.tokens - 0.5).max(-rate);
                }
                Some(((1.0 - self.tokens) / rate * 1e6) as Time)
            }
            LimitBy::Count => {
                let (span, most) = (self.limit.window.us().max(1), self.turn(now));
                if self.count + 1.0 <= most {
                    self.count += 1.0;
                    return None;
                }
                self.refused += 1.0;
                Some(span - now % span)
            }
        }
    }
}
