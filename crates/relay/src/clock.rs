//! The clock of the decisions: spans since a start, beside Unix time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Translates between spans since the start, instants and Unix time. The start lies before every attempt that the
/// spool still tells of, so that none has a time before zero.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    created: Instant,
    /// The Unix time of `created`.
    created_unix: Duration,
    /// How long before `created` the start lies.
    lead: Duration,
}

impl Clock {
    /// A clock that starts now, or at `oldest_ms`, Unix milliseconds, where that is earlier.
    pub(crate) fn new(oldest_ms: Option<u64>) -> Clock {
        let created_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let oldest = oldest_ms.map_or(created_unix, Duration::from_millis);
        Clock { created: Instant::now(), created_unix, lead: created_unix.saturating_sub(oldest) }
    }

    /// Now, as a span since the start.
    pub(crate) fn now(&self) -> Duration {
        self.since_start(Instant::now())
    }

    /// The span from the start to an instant.
    pub(crate) fn since_start(&self, instant: Instant) -> Duration {
        self.lead + instant.saturating_duration_since(self.created)
    }

    /// The instant so long after the start.
    pub(crate) fn instant(&self, since_start: Duration) -> Instant {
        self.created + since_start.saturating_sub(self.lead)
    }

    /// The Unix time, in milliseconds, so long after the start.
    pub(crate) fn unix_ms(&self, since_start: Duration) -> u64 {
        (self.created_unix + since_start).saturating_sub(self.lead).as_millis() as u64
    }

    /// The span from the start to a Unix time in milliseconds.
    pub(crate) fn since_start_of_unix_ms(&self, unix_ms: u64) -> Duration {
        (Duration::from_millis(unix_ms) + self.lead).saturating_sub(self.created_unix)
    }
}

/// Now, Unix time in microseconds.
pub(crate) fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

#[cfg(test)]
mod tests;
