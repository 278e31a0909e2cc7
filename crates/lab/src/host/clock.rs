//! The two clocks of a modelled relay: the Unix clock, which faults may step, and the monotonic clock of its decisions,
//! which starts with the process.

use crate::Time;
use std::time::Duration;

/// A Unix time in microseconds.
pub(super) type UnixTime = i64;

/// Unix time at the start of a day, in microseconds; large enough that a clock that is stepped back stays positive.
const UNIX_TIME_OF_DAY_START: UnixTime = 1_000_000_000_000;

/// A Unix clock that can be stepped.
#[derive(Clone, Copy, Default)]
pub(super) struct UnixClock {
    /// Sum of the steps so far, in microseconds.
    step: i64,
}

impl UnixClock {
    pub(super) fn read(self, now: Time) -> UnixTime {
        UNIX_TIME_OF_DAY_START + now as i64 + self.step
    }

    pub(super) fn step(&mut self, by: i64) {
        self.step += by;
    }
}

/// The monotonic clock of the decisions. Its zero lies before every attempt in the spool.
#[derive(Clone, Copy, Default)]
pub(super) struct DecisionClock {
    started_at: Time,
    started_at_unix: UnixTime,
    /// Time from the clock's zero to the start of the process, in microseconds.
    lead: i64,
}

impl DecisionClock {
    /// Starts the clock with the process; `oldest` is the time of the oldest attempt in the spool.
    pub(super) fn start(now: Time, unix: UnixTime, oldest: Option<UnixTime>) -> DecisionClock {
        let lead = oldest.map_or(0, |oldest| (unix - oldest).max(0));
        DecisionClock { started_at: now, started_at_unix: unix, lead }
    }

    pub(super) fn at(&self, now: Time) -> Duration {
        Duration::from_micros(now.saturating_sub(self.started_at) + self.lead as u64)
    }

    pub(super) fn at_unix(&self, unix: UnixTime) -> Duration {
        Duration::from_micros((unix + self.lead - self.started_at_unix).max(0) as u64)
    }
}
