//! The schedule by which discovery is polled: the delay of the first poll, the delays after failed polls, and
//! timeouts.

use std::time::Duration;

/// Backoff after the first failed poll. It doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between failed polls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// Longest Retry-After of discovery that is respected. A missed change counts as known to the relay after 6 s
/// even while the relay waits.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(3_000);
/// Longest time from the start of a process, of a poll without a response, or from the loss of a watch, to the
/// next poll. A change counts as known to the relay 6 s after discovery has it and can be reached, whether or
/// not it arrived (rule 3).
const MAX_POLL_GAP: Duration = Duration::from_millis(5_200);

/// Shortest wait of a watch (a long poll); a watch waits for the poll interval if that is longer, up to
/// `MAX_WATCH_WAIT`. A short wait limits the effect of a watch that gets no response: a missed change counts as
/// known to the relay 6 s after discovery stopped responding, or 2 s after the end of the wait if that is later.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Longest time from the start of a successor to its first poll. It needs a list before it reports that it
/// serves, which it has to do within 6 s.
const MAX_SUCCESSOR_DELAY: Duration = Duration::from_millis(3_500);
/// Longest wait that discovery allows for a poll.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(60_000);
/// Time after the end of its wait at which a watch without a response has failed. Together with the backoff
/// and the next poll this is less than the 2 s after which missed changes count as known to the relay.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);
/// Timeout of a poll that requests an immediate response. A poll that is given up while it waits in the queue
/// of a discovery service short of capacity costs that service the same and is repeated. The remainder of
/// `MAX_POLL_GAP` separates the next polls of relays whose polls were given up together.
const POLL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Timeout of a poll that requests an immediate response if the settings require no polling. The discovery
/// service then runs on the relay's machine and answers immediately, and the list of a new discovery service
/// counts as known to the relay within 4 s.
const LOCAL_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Upper bound of the poll interval. A relay that polls less often would hardly receive any changes.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Largest number of relays that may poll at the same time without spreading their polls.
const MAX_UNSPREAD_RELAYS: u32 = 6;
/// Largest share of the poll interval over which the polls of a large fleet are spread.
const MAX_SPREAD_SHARE: f64 = 0.8;
/// Share of the spread by which the wait of a watch may be shorter than the poll interval.
const WATCH_SPREAD_SHARE: f64 = 0.5;
/// Largest factor by which jitter extends the delay after a failed poll; the smallest one is
/// `MIN_JITTER_FACTOR`.
const MAX_JITTER_FACTOR: f64 = 1.5;
const MIN_JITTER_FACTOR: f64 = 0.5;

/// Settings from which the delays and timeouts of polls are computed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollSchedule {
    /// Number of relays that poll this discovery service.
    pub relay_count: u32,
    /// Interval at which a relay has to poll; zero if the settings require no polling.
    pub poll_interval: Duration,
}

/// A poll that returned no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// A watch got no response in time.
    SilentWatch,
    /// Discovery responded, but not with a list.
    Rejected {
        /// Duration of the poll; zero for a watch, which waited on purpose.
        elapsed: Duration,
        /// `Retry-After` of the response, if any.
        retry_after: Option<Duration>,
    },
    /// The connection failed, or there was no response in time.
    NoResponse {
        /// Duration of the poll; zero for a watch, which waited on purpose.
        elapsed: Duration,
    },
}

impl PollFailure {
    /// Failure of a poll of which nothing else is known.
    pub const UNEXPLAINED: PollFailure = PollFailure::Rejected { elapsed: Duration::ZERO, retry_after: None };

    fn elapsed(self) -> Duration {
        match self {
            PollFailure::SilentWatch => Duration::ZERO,
            PollFailure::Rejected { elapsed, .. } | PollFailure::NoResponse { elapsed } => elapsed,
        }
    }

    fn retry_after(self) -> Duration {
        if let PollFailure::Rejected { retry_after, .. } = self {
            retry_after.unwrap_or_default()
        } else {
            Duration::ZERO
        }
    }
}

/// Time limits of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTimeouts {
    /// Time for which discovery may wait for a change; zero if the response is due immediately.
    pub wait: Duration,
    /// Time after which the relay gives up the poll.
    pub request_timeout: Duration,
}

impl PollSchedule {
    /// Returns the interval over which the polls of the fleet are spread; zero for a small fleet.
    ///
    /// Discovery can serve at least one poll of each relay per `poll_interval`. A large fleet whose relays
    /// start or fail at the same time exceeds that: each poll waits in the queue until its relay gives it up,
    /// still costs discovery capacity, and is repeated, so that no poll is ever answered in time. Polls
    /// spread over this interval stay within the capacity. The cost is that lists arrive later by up to this
    /// interval, so the polls of small fleets are not spread.
    fn spread_interval(&self) -> Duration {
        let large_fleet_factor =
            1.0 - f64::from(MAX_UNSPREAD_RELAYS) / f64::from(self.relay_count.max(MAX_UNSPREAD_RELAYS));
        self.longest_spread().mul_f64(large_fleet_factor)
    }

    /// Returns the interval over which the polls of a fleet of any size are spread once discovery has rejected them
    /// repeatedly; zero for a small fleet.
    ///
    /// The capacity of discovery is given per relay, so it may be that small for a fleet of a few relays too. The
    /// polls of such a fleet, spread over a shorter interval, would keep discovery saturated.
    fn overload_spread(&self) -> Duration {
        if self.relay_count <= MAX_UNSPREAD_RELAYS { Duration::ZERO } else { self.longest_spread() }
    }

    fn longest_spread(&self) -> Duration {
        self.poll_interval.min(MAX_POLL_INTERVAL).mul_f64(MAX_SPREAD_SHARE)
    }

    /// Returns the time limits of a poll; `jitter` is in 0..1. If `is_up_to_date`, the last poll returned a
    /// list, and this poll is a watch that waits for a newer one; otherwise the response is due immediately.
    /// While nothing changes, a watch costs one poll per wait, whose response has no entries.
    ///
    /// The watches of a large fleet wait for different times: if they all fall silent together, they end and are
    /// replaced one after another. Spreading the polls that replace them would delay these beyond the time after
    /// the wait within which a relay has to know what it missed.
    pub fn poll_timeouts(&self, is_up_to_date: bool, jitter: f64) -> PollTimeouts {
        if is_up_to_date {
            let longest_wait = self.poll_interval.min(MAX_WATCH_WAIT);
            let reduction = self.spread_interval().mul_f64(WATCH_SPREAD_SHARE * jitter.clamp(0.0, 1.0));
            let wait = longest_wait.saturating_sub(reduction).max(MIN_WATCH_WAIT);
            return PollTimeouts { wait, request_timeout: wait + WATCH_GRACE };
        }
        let is_polling_optional = self.poll_interval.is_zero();
        let request_timeout = if is_polling_optional { LOCAL_POLL_TIMEOUT } else { POLL_TIMEOUT };
        PollTimeouts { wait: Duration::ZERO, request_timeout }
    }

    /// Returns the delay before the first poll; `jitter` is in 0..1.
    pub fn initial_delay(&self, jitter: f64) -> Duration {
        self.spread_interval().min(MAX_POLL_GAP).mul_f64(jitter.clamp(0.0, 1.0))
    }

    /// Returns the delay before the first poll of a process that takes over from another one; `jitter` is in
    /// 0..1.
    pub fn successor_delay(&self, jitter: f64) -> Duration {
        self.spread_interval().min(MAX_SUCCESSOR_DELAY).mul_f64(jitter.clamp(0.0, 1.0))
    }

    /// Returns the delay before the next poll after `failures` consecutive failed polls (1 or more), the last
    /// of which was `failure`.
    ///
    /// The delay is multiplied by 0.5 to 1.5 according to `jitter` (in 0..1), so that relays whose polls
    /// failed together do not retry together. It is at least the `Retry-After` of discovery, up to a bound.
    ///
    /// Discovery may be reachable again right after the start of the failed poll, so the next one starts within
    /// `MAX_POLL_GAP` of that. This does not hold for a relay whose polls are rejected repeatedly: discovery is
    /// short of capacity, and stays so while each relay polls more often than it can serve all of them.
    pub fn retry_delay(&self, failures: u32, failure: PollFailure, jitter: f64) -> Duration {
        let jitter_factor = MIN_JITTER_FACTOR + jitter.clamp(0.0, 1.0);
        let doublings = failures.clamp(1, 16) - 1;
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        if failure == PollFailure::SilentWatch {
            return backoff.mul_f64(jitter_factor);
        }
        let is_overloaded = failures > 1 && matches!(failure, PollFailure::Rejected { .. });
        if is_overloaded {
            let delay = backoff.max(self.overload_spread()).mul_f64(jitter_factor);
            return delay.max(failure.retry_after().min(MAX_RETRY_AFTER));
        }
        let fleet_spread = if failures > 1 { self.spread_interval() } else { self.spread_interval() / 2 };
        let delay = backoff.max(fleet_spread);
        let longest = MAX_POLL_GAP.saturating_sub(failure.elapsed());
        let delay = delay.min(longest.div_f64(MAX_JITTER_FACTOR)).mul_f64(jitter_factor);
        delay.max(failure.retry_after().min(MAX_RETRY_AFTER).min(longest))
    }
}

#[cfg(test)]
#[path = "poll_schedule_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod fleet_tests;
