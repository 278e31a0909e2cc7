//! The two clocks of a modelled relay: Unix time, which troubles may step, and the time of its decisions, which
//! runs evenly from the start of the process.

use crate::Time;
use std::time::Duration;

/// A Unix time in microseconds.
pub(super) type UnixTime = i64;

/// Where Unix time stands when a day begins: so far from zero that a clock that is stepped back stays above it.
const UNIX_TIME_OF_DAY_START: UnixTime = 1_000_000_000_000;

/// A clock that tells Unix time and can be stepped.
#[derive(Clone, Copy, Default)]
pub(super) struct UnixClock {
    /// By how many microseconds it has been stepped.
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

/// The clock of the decisions: spans since a moment that lies before every attempt in the spool.
#[derive(Clone, Copy, Default)]
pub(super) struct DecisionClock {
    started_at: Time,
    started_at_unix: UnixTime,
    /// How long before the start of the process the spans begin, in microseconds.
    lead: i64,
}

impl DecisionClock {
    /// Starts with the process; `oldest` is the oldest attempt in its spool.
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
