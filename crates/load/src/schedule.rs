//! Due times of messages. They do not depend on answers, so that a stalled relay does not reduce the load.

use std::time::Duration;

/// Slope below which a rate counts as constant, in messages per second squared. The formula for ramps divides by the
/// slope.
const FLAT_SLOPE: f64 = 1e-9;

/// A message rate that changes linearly over a time span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    /// Messages per second at the beginning.
    pub start_rate: f64,
    /// Messages per second at the end.
    pub end_rate: f64,
    /// Duration of the schedule.
    pub length: Duration,
}

impl Schedule {
    /// Returns a schedule with a constant rate.
    pub fn steady(rate: f64, length: Duration) -> Schedule {
        Schedule { start_rate: rate, end_rate: rate, length }
    }

    /// Returns the number of messages.
    pub fn count(&self) -> u64 {
        ((self.start_rate + self.end_rate) / 2.0 * self.length.as_secs_f64()) as u64
    }

    /// Returns the due time of message `n`, counted from 0, relative to the start.
    pub fn due(&self, n: u64) -> Duration {
        let (n, length) = (n as f64, self.length.as_secs_f64());
        // start_rate * t + slope * t * t / 2 messages are due by time t; this is solved for t.
        let slope = (self.end_rate - self.start_rate) / length;
        let at = if slope.abs() < FLAT_SLOPE {
            n / self.start_rate
        } else {
            ((self.start_rate * self.start_rate + 2.0 * slope * n).max(0.0).sqrt() - self.start_rate) / slope
        };
        Duration::from_secs_f64(at.clamp(0.0, length))
    }
}
