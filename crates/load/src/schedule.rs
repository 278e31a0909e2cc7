//! When messages are due. A schedule never waits for answers, so a relay that stalls is not asked less.

use std::time::Duration;

/// A slope below this is none: the formula for ramps would divide by it.
const FLAT_SLOPE: f64 = 1e-9;

/// From one rate to another over a span, evenly; messages a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    /// Messages a second at the beginning.
    pub from: f64,
    /// Messages a second at the end.
    pub to: f64,
    /// How long messages fall due.
    pub length: Duration,
}

impl Schedule {
    /// The same rate all the time.
    pub fn steady(rate: f64, length: Duration) -> Schedule {
        Schedule { from: rate, to: rate, length }
    }

    /// Messages in all.
    pub fn count(&self) -> u64 {
        ((self.from + self.to) / 2.0 * self.length.as_secs_f64()) as u64
    }

    /// When the message of this number, from 0, is due after the start.
    pub fn due(&self, n: u64) -> Duration {
        let (n, length) = (n as f64, self.length.as_secs_f64());
        // The number due by t is from * t + slope * t * t / 2; solved for t.
        let slope = (self.to - self.from) / length;
        let at = if slope.abs() < FLAT_SLOPE {
            n / self.from
        } else {
            ((self.from * self.from + 2.0 * slope * n).max(0.0).sqrt() - self.from) / slope
        };
        Duration::from_secs_f64(at.clamp(0.0, length))
    }
}
