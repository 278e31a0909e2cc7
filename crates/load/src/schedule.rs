//! When messages are due. A schedule never waits for answers, so a relay that stalls is not asked less.

use std::time::Duration;

/// From one rate to another over a span, evenly; messages a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    pub from: f64,
    pub to: f64,
    pub length: Duration,
}

impl Schedule {
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
        let at = if slope.abs() < 1e-9 {
            n / self.from
        } else {
            ((self.from * self.from + 2.0 * slope * n).max(0.0).sqrt() - self.from) / slope
        };
        Duration::from_secs_f64(at.clamp(0.0, length))
    }
}

#[cfg(test)]
mod tests {
    use super::Schedule;
    use std::time::Duration;

    #[test]
    fn a_ramp_is_due_as_its_rate_grows() {
        let ramp = Schedule { from: 10.0, to: 30.0, length: Duration::from_secs(10) };
        assert_eq!(ramp.count(), 200);
        let before = |s: f64| (0..200).filter(|n| ramp.due(*n).as_secs_f64() < s).count();
        // 10 t + t * t by then.
        assert_eq!((before(1.0), before(5.0), before(10.0)), (11, 75, 200));
        let steady = Schedule::steady(4.0, Duration::from_secs(2));
        assert_eq!((steady.count(), steady.due(6)), (8, Duration::from_millis(1_500)));
    }
}
