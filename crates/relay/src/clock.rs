//! The time of the decisions, beside the time of day.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock of the decisions. It began before any leg that the spool still tells of.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    unix: Duration,
    lead: Duration,
}

impl Clock {
    pub(crate) fn new(oldest: Option<u64>) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let oldest = oldest.map_or(unix, Duration::from_millis);
        Clock { start: Instant::now(), unix, lead: unix.saturating_sub(oldest) }
    }

    pub(crate) fn at(&self, instant: Instant) -> Duration {
        self.lead + instant.saturating_duration_since(self.start)
    }

    pub(crate) fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(self.lead)
    }

    pub(crate) fn unix_ms(&self, at: Duration) -> u64 {
        (self.unix + at).saturating_sub(self.lead).as_millis() as u64
    }

    pub(crate) fn at_unix_ms(&self, ms: u64) -> Duration {
        (Duration::from_millis(ms) + self.lead).saturating_sub(self.unix)
    }
}

/// Now, Unix time in microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
