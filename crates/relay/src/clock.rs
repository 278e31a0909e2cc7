//! Clocks: spans since a start for the decisions, and the time line of stored times.
//!
//! Times that outlive a process are stored as Unix time, but not as the wall clock tells it: an operator or a time
//! service may step that clock, while deadlines and windows are spans. The first process on a state folder after a boot
//! notes which Unix time belongs to which reading of the machine's monotonic clock ([`TimeAnchor`]); every later
//! process of that boot goes by this note. After another boot, or without a note, the wall clock is all there is.

use crate::startup::retry::RetryDeadlines;
use log::error;
use std::fmt;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Where Linux tells the id of the boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// The first word of an anchor's text: what it is, and its format.
const ANCHOR_HEAD: &str = "mountshift-clock-1";
/// Two clocks read within this span count as read at one moment.
const READING_TOLERANCE: Duration = Duration::from_millis(1);
/// How often a reading is taken again that was held up.
const MAX_READINGS: usize = 20;

/// All clocks of the machine at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// The id of the boot; none where the system does not tell it.
    pub(crate) boot_id: Option<String>,
    /// The monotonic clock, which all processes of a boot share.
    pub(crate) monotonic: Duration,
    /// The wall clock, Unix time.
    pub(crate) wall: Duration,
    /// The same moment as this process's instant.
    pub(crate) instant: Instant,
}

impl ClockReading {
    /// Reads the clocks, again if the process was held up between two of them. A boot's id that can't be read for a
    /// moment is waited for: without it stored times would be dated anew.
    pub(crate) async fn now(retry_deadlines: &RetryDeadlines) -> ClockReading {
        let boot_id = retry_deadlines.retry_optional(|| std::fs::read_to_string(BOOT_ID_FILE)).await;
        if let Err(e) = &boot_id {
            error!("{BOOT_ID_FILE}: {e}; stored times count by the wall clock");
        }
        let boot_id = boot_id.ok().map(|text| text.trim().to_string());
        let mut reading = ClockReading::once(&boot_id);
        for _ in 0..MAX_READINGS {
            if reading.instant.elapsed() <= READING_TOLERANCE {
                break;
            }
            reading = ClockReading::once(&boot_id);
        }
        reading
    }

    fn once(boot_id: &Option<String>) -> ClockReading {
        let instant = Instant::now();
        let monotonic = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ClockReading {
            boot_id: boot_id.clone().filter(|id| !id.is_empty()),
            monotonic: Duration::new(
                monotonic.tv_sec.try_into().unwrap_or_default(),
                monotonic.tv_nsec.try_into().unwrap_or_default(),
            ),
            wall,
            instant,
        }
    }
}

/// Which Unix time belongs to which reading of the monotonic clock, in one boot of the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TimeAnchor {
    boot_id: Option<String>,
    monotonic: Duration,
    unix: Duration,
}

impl TimeAnchor {
    /// An anchor by the wall clock as it is now.
    pub(crate) fn new(reading: &ClockReading) -> TimeAnchor {
        TimeAnchor { boot_id: reading.boot_id.clone(), monotonic: reading.monotonic, unix: reading.wall }
    }

    /// True if it still holds: it is of this boot, and no monotonic clock runs back.
    pub(crate) fn holds(&self, reading: &ClockReading) -> bool {
        self.boot_id.is_some() && self.boot_id == reading.boot_id && self.monotonic <= reading.monotonic
    }

    /// Reads the text that an anchor is displayed as; none if it is no anchor.
    pub(crate) fn from_text(text: &str) -> Option<TimeAnchor> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [ANCHOR_HEAD, boot_id, monotonic_us, unix_us] = words[..] else { return None };
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
            "{ANCHOR_HEAD} {boot_id} {} {}",
            self.monotonic.as_micros(),
            self.unix.as_micros()
        )
    }
}

/// The Unix time of stored times: steps of the wall clock do not move it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoredTime {
    created: Instant,
    /// The Unix time of `created`.
    created_unix: Duration,
    /// By an anchor that all processes of the boot share.
    is_shared: bool,
}

impl StoredTime {
    /// The time line of an anchor that holds.
    pub(crate) fn new(anchor: &TimeAnchor, reading: &ClockReading) -> StoredTime {
        let created_unix = anchor.unix + reading.monotonic.saturating_sub(anchor.monotonic);
        StoredTime { created: reading.instant, created_unix, is_shared: true }
    }

    /// A time line of this process alone, by the wall clock as it is now.
    pub(crate) fn unshared(reading: &ClockReading) -> StoredTime {
        StoredTime { created: reading.instant, created_unix: reading.wall, is_shared: false }
    }

    /// True if all processes of the boot date by it.
    pub(crate) fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// A Unix time of this time line in another one, in microseconds.
    pub(crate) fn translate_us(&self, unix_us: u64, to: &StoredTime) -> u64 {
        let since = |time: &StoredTime| time.unix_of(self.created).as_micros() as u64;
        (unix_us + since(to)).saturating_sub(since(self))
    }

    /// The Unix time of an instant.
    fn unix_of(&self, instant: Instant) -> Duration {
        let later = instant.saturating_duration_since(self.created);
        let earlier = self.created.saturating_duration_since(instant);
        (self.created_unix + later).saturating_sub(earlier)
    }

    /// Now, Unix time.
    pub(crate) fn now(&self) -> Duration {
        self.created_unix + self.created.elapsed()
    }
}

/// Translates between spans since the start, instants and stored times. The start lies before every attempt that the
/// spool still tells of, so that none has a time before zero.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    stored_time: StoredTime,
    /// How long before the time line was read the start lies.
    lead: Duration,
}

impl Clock {
    /// A clock that starts when the time line was read, or at `oldest_ms`, Unix milliseconds, where that is earlier.
    pub(crate) fn new(stored_time: StoredTime, oldest_ms: Option<u64>) -> Clock {
        let oldest = oldest_ms.map_or(stored_time.created_unix, Duration::from_millis);
        Clock { stored_time, lead: stored_time.created_unix.saturating_sub(oldest) }
    }

    /// Now, as a span since the start.
    pub(crate) fn now(&self) -> Duration {
        self.since_start(Instant::now())
    }

    /// The span from the start to an instant.
    pub(crate) fn since_start(&self, instant: Instant) -> Duration {
        self.lead + instant.saturating_duration_since(self.stored_time.created)
    }

    /// The instant so long after the start.
    pub(crate) fn instant(&self, since_start: Duration) -> Instant {
        self.stored_time.created + since_start.saturating_sub(self.lead)
    }

    /// The Unix time so long after the start.
    pub(crate) fn unix(&self, since_start: Duration) -> Duration {
        (self.stored_time.created_unix + since_start).saturating_sub(self.lead)
    }

    /// The Unix time, in milliseconds, so long after the start.
    pub(crate) fn unix_ms(&self, since_start: Duration) -> u64 {
        self.unix(since_start).as_millis() as u64
    }

    /// The span from the start to a Unix time in milliseconds.
    pub(crate) fn since_start_of_unix_ms(&self, unix_ms: u64) -> Duration {
        (Duration::from_millis(unix_ms) + self.lead).saturating_sub(self.stored_time.created_unix)
    }
}

#[cfg(test)]
mod tests;
