//! Reloads of the configuration, which are for a relay and not for one of its processes: a process that reads a new
//! address of discovery publishes it to the other one.
//!
//! A reload is dated by the machine's monotonic clock, and the later one counts, whichever process read it.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// File in the state folder with the last reload.
pub const RELOAD_FILE: &str = "reload";
/// Interval at which a process looks for a reload that another process of the relay has published.
pub const RELOAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// First word of a stored reload, with the version of its format.
const FORMAT: &str = "mountshift-reload-1";
/// Longest time from the moment when the platform composes the configuration of a process to that process's start.
/// A configuration that the active process has reloaded meanwhile is newer than that of its successor.
const MAX_CONFIGURATION_AGE: Duration = Duration::from_secs(1);

/// An address of discovery and the time at which it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reload {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Monotonic clock right before the configuration was read.
    pub read_at: Duration,
}

impl Reload {
    /// Returns a reload that is read back unchanged from its text.
    pub fn new(discovery: SocketAddr, read_at: Duration) -> Reload {
        Reload { discovery, read_at: Duration::from_micros(read_at.as_micros() as u64) }
    }

    /// Parses the displayed form of a reload; returns `None` for any other text.
    pub fn from_text(text: &str) -> Option<Reload> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [FORMAT, read_at_us, discovery] = words[..] else { return None };
        let read_at = Duration::from_micros(read_at_us.parse().ok()?);
        Some(Reload { discovery: discovery.parse().ok()?, read_at })
    }
}

impl fmt::Display for Reload {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{FORMAT} {} {}", self.read_at.as_micros(), self.discovery)
    }
}

/// The reaction of a process to the published reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadStep {
    /// No reaction: the process uses the published address, or no process has published any.
    Keep,
    /// It uses this reload of the other process.
    Follow(Reload),
    /// It publishes its own reload, which is not the published one although it is the latest.
    Publish(Reload),
}

/// The latest reload that a process knows.
#[derive(Clone, Debug)]
pub struct ReloadState {
    latest: Reload,
    /// Whether `latest` is a reload, and not the configuration at the start of the process.
    is_reload: bool,
    /// Reload found at the start of the process, if it is not for this process.
    outdated: Option<Reload>,
}

impl ReloadState {
    /// Returns the state at the start of a process. Only a successor follows an earlier reload: it takes over from the
    /// process that has reloaded, while any other process is started with the current configuration.
    pub fn at_start(
        configured: Reload,
        is_successor: bool,
        published: Option<Reload>,
        now: Duration,
    ) -> ReloadState {
        let max_age = if is_successor { MAX_CONFIGURATION_AGE } else { Duration::ZERO };
        let read_at = configured.read_at.saturating_sub(max_age);
        // After a restart of the machine its clock begins anew, so that an old reload may have a later time.
        let is_valid = |reload: &Reload| read_at < reload.read_at && reload.read_at <= now;
        let outdated = published.filter(|reload| !is_valid(reload));
        ReloadState { latest: Reload { read_at, ..configured }, is_reload: false, outdated }
    }

    /// Returns the address of discovery in use.
    pub fn discovery(&self) -> SocketAddr {
        self.latest.discovery
    }

    /// Records a reload of this process.
    pub fn record(&mut self, reload: Reload) {
        self.latest = reload;
        self.is_reload = true;
    }

    /// Compares the published reload with the latest one of this process, and records it if it is later.
    pub fn compare(&mut self, published: Option<Reload>) -> ReloadStep {
        let published = published.filter(|reload| Some(*reload) != self.outdated);
        match published {
            Some(reload) if reload.read_at > self.latest.read_at => {
                self.record(reload);
                ReloadStep::Follow(reload)
            }
            published if self.is_reload && published != Some(self.latest) => ReloadStep::Publish(self.latest),
            _ => ReloadStep::Keep,
        }
    }
}

#[cfg(test)]
#[path = "reload_tests.rs"]
mod tests;
