//! Clocks: durations since a start for the policy, and the time base of stored times.
//!
//! Times that outlive a process are stored as Unix time, but not as read from the wall clock: an operator or a time
//! service may step that clock, while deadlines and windows are durations. The first process on a state folder after a
//! boot stores a Unix time together with the reading of the machine's monotonic clock ([`TimeAnchor`]). Every later
//! process of that boot derives Unix times from this anchor. After another boot, or without an anchor, a new anchor is
//! made from the wall clock.

use crate::startup::retry::RetryDeadlines;
use log::error;
use std::fmt;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// File in which Linux provides the id of the boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// First word of a stored anchor, with the version of its format.
const ANCHOR_FORMAT: &str = "mountshift-clock-1";
/// Maximum duration of a clock reading for its values to count as simultaneous.
const READING_TOLERANCE: Duration = Duration::from_millis(1);
/// Maximum number of repeated readings if the process is interrupted during each of them.
const MAX_READINGS: usize = 20;

/// Simultaneous reading of all clocks of the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// Id of the boot, if the system provides one.
    pub(crate) boot_id: Option<String>,
    /// Monotonic clock, shared by all processes of a boot.
    pub(crate) monotonic: Duration,
    /// Wall clock, as Unix time.
    pub(crate) wall: Duration,
    /// The same time as an instant of this process.
    pub(crate) instant: Instant,
}

/// Returns the monotonic clock of the machine, shared by all processes of a boot.
pub(crate) fn monotonic_now() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Duration::new(now.tv_sec.try_into().unwrap_or_default(), now.tv_nsec.try_into().unwrap_or_default())
}

impl ClockReading {
    /// Reads the clocks, and repeats this if the process was interrupted meanwhile. Reading the boot id is retried,
    /// because without it the stored anchor can't be used and stored times would be interpreted by a new one.
    pub(crate) async fn now(retry_deadlines: &RetryDeadlines) -> ClockReading {
        let boot_id = retry_deadlines.retry_optional(|| std::fs::read_to_string(BOOT_ID_FILE)).await;
        if let Err(e) = &boot_id {
            error!("{BOOT_ID_FILE}: can't read the boot id: {e}; stored times are based on the wall clock");
        }
        let boot_id = boot_id.ok().map(|text| text.trim().to_string());
        let mut reading = ClockReading::read(&boot_id);
        for _ in 0..MAX_READINGS {
            if reading.instant.elapsed() <= READING_TOLERANCE {
                break;
            }
            reading = ClockReading::read(&boot_id);
        }
        reading
    }

    fn read(boot_id: &Option<String>) -> ClockReading {
        let instant = Instant::now();
        let monotonic = monotonic_now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ClockReading { boot_id: boot_id.clone().filter(|id| !id.is_empty()), monotonic, wall, instant }
    }
}

/// Unix time of a reading of the monotonic clock, valid for one boot of the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TimeAnchor {
    boot_id: Option<String>,
    monotonic: Duration,
    unix: Duration,
}

impl TimeAnchor {
    /// Returns an anchor based on the wall clock of the reading.
    pub(crate) fn new(reading: &ClockReading) -> TimeAnchor {
        TimeAnchor { boot_id: reading.boot_id.clone(), monotonic: reading.monotonic, unix: reading.wall }
    }

    /// Returns whether the anchor is valid for the reading: it is from the same boot, and not ahead of the monotonic
    /// clock.
    pub(crate) fn is_valid_for(&self, reading: &ClockReading) -> bool {
        self.boot_id.is_some() && self.boot_id == reading.boot_id && self.monotonic <= reading.monotonic
    }

    /// Parses the displayed form of an anchor; returns `None` for any other text.
    pub(crate) fn from_text(text: &str) -> Option<TimeAnchor> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [ANCHOR_FORMAT, boot_id, monotonic_us, unix_us] = words[..] else { return None };
        Some(TimeAnchor {
            boot_id: Some(boot_id.to_string()),
            monotonic: Duration::from_micros(monotonic_us.parse().ok()?),
            unix: Duration::from_micros(unix_us.parse().ok()?),
        })
    }
}

impl fmt::Display for TimeAnchor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let boot_id = self.boot_id.as_deref().unwrap_or("-");
        writeln!(
            formatter,
            "{ANCHOR_FORMAT} {boot_id} {} {}",
            self.monotonic.as_micros(),
            self.unix.as_micros()
        )
    }
}

/// Time base of stored times: Unix time unaffected by steps of the wall clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoredTime {
    created: Instant,
    /// Unix time of `created`.
    created_unix: Duration,
    /// Whether it is based on an anchor that all processes of the boot share.
    is_shared: bool,
}

impl StoredTime {
    /// Returns the time base of a valid anchor.
    pub(crate) fn new(anchor: &TimeAnchor, reading: &ClockReading) -> StoredTime {
        let created_unix = anchor.unix + reading.monotonic.saturating_sub(anchor.monotonic);
        StoredTime { created: reading.instant, created_unix, is_shared: true }
    }

    /// Returns a time base used by this process only, based on the wall clock of the reading.
    pub(crate) fn unshared(reading: &ClockReading) -> StoredTime {
        StoredTime { created: reading.instant, created_unix: reading.wall, is_shared: false }
    }

    /// Returns whether all processes of the boot use this time base.
    pub(crate) fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// Translates a Unix time in microseconds from this time base to another one.
    pub(crate) fn translate_us(&self, unix_us: u64, to: &StoredTime) -> u64 {
        let since = |time: &StoredTime| time.unix_of(self.created).as_micros() as u64;
        (unix_us + since(to)).saturating_sub(since(self))
    }

    /// Returns the Unix time of an instant.
    fn unix_of(&self, instant: Instant) -> Duration {
        let later = instant.saturating_duration_since(self.created);
        let earlier = self.created.saturating_duration_since(instant);
        (self.created_unix + later).saturating_sub(earlier)
    }

    /// Returns the current Unix time.
    pub(crate) fn now(&self) -> Duration {
        self.created_unix + self.created.elapsed()
    }
}

/// Translates between durations since the start, instants and stored times. The start precedes every attempt recorded
/// in the spool, so that no attempt has a negative time.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    stored_time: StoredTime,
    /// Duration from the start to the creation of the time base.
    lead: Duration,
}

impl Clock {
    /// Returns a clock that starts at the creation of the time base, or at `oldest_ms` (Unix milliseconds) if that is
    /// earlier.
    pub(crate) fn new(stored_time: StoredTime, oldest_ms: Option<u64>) -> Clock {
        let oldest = oldest_ms.map_or(stored_time.created_unix, Duration::from_millis);
        Clock { stored_time, lead: stored_time.created_unix.saturating_sub(oldest) }
    }

    /// Returns the current time as the duration since the start.
    pub(crate) fn now(&self) -> Duration {
        self.since_start(Instant::now())
    }

    /// Returns the duration from the start to an instant.
    pub(crate) fn since_start(&self, instant: Instant) -> Duration {
        self.lead + instant.saturating_duration_since(self.stored_time.created)
    }

    /// Returns the instant of a duration since the start.
    pub(crate) fn instant(&self, since_start: Duration) -> Instant {
        self.stored_time.created + since_start.saturating_sub(self.lead)
    }

    /// Returns the Unix time of a duration since the start.
    pub(crate) fn unix(&self, since_start: Duration) -> Duration {
        (self.stored_time.created_unix + since_start).saturating_sub(self.lead)
    }

    /// Returns the Unix time in milliseconds of a duration since the start.
    pub(crate) fn unix_ms(&self, since_start: Duration) -> u64 {
        self.unix(since_start).as_millis() as u64
    }

    /// Returns the duration from the start to a Unix time in milliseconds.
    pub(crate) fn since_start_of_unix_ms(&self, unix_ms: u64) -> Duration {
        (Duration::from_millis(unix_ms) + self.lead).saturating_sub(self.stored_time.created_unix)
    }
}

#[cfg(test)]
mod tests;
