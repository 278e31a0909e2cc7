//! When discovery is polled: the first poll, the pauses after polls that failed, and how long a poll may take.

use std::time::Duration;

/// The pause after the first failed poll, from which the backoff grows.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The pause doubles with each failure in a row, up to this. What discovery has to tell counts as told 6 s later
/// whether it arrived or not (rule 3), so a relay must still poll several times within that span.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);
/// A Retry-After of discovery is kept to, up to this: what was missed counts as told after 6 s all the same.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(3_000);

/// A watch waits for so long at least, and for the poll interval where that is longer (up to `MAX_WATCH_WAIT`).
/// Guards against a watch that has fallen silent: it is as good as none, and what it misses counts as told 6 s
/// after it fell silent, or 2 s after its wait is over if that is later.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// The longest that discovery lets a poll wait.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(60_000);
/// A watch without an answer so long after its wait is broken: with the pause and the next poll this is within
/// the 2 s after which what it missed counts as told.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);
/// A poll that asks for an answer at once is given up after this. A discovery short of capacity says so after
/// 2 s; a poll given up sooner would cost it as much and be made again.
const POLL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The same where lists come unasked: a discovery of the relay's own machine answers at once, and what a new one
/// has to tell counts as told within 4 s.
const LOCAL_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A longer poll interval counts as this: a relay that hardly ever polls is never informed.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(60);
/// So many relays may poll together without a spread.
const MAX_SMALL_FLEET: u32 = 6;
/// The share of the poll interval that the polls of a large fleet are spread over at most.
const SPREAD_SHARE: f64 = 0.8;

/// What the settings say of polling for lists.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollSchedule {
    /// How many relays poll this discovery.
    pub relay_count: u32,
    /// A relay is to poll so often; zero where lists come unasked.
    pub poll_interval: Duration,
}

/// How long a poll may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTimeouts {
    /// For so long discovery may wait for a change; zero if the answer is due at once.
    pub wait: Duration,
    /// The relay gives the poll up after this span.
    pub request_timeout: Duration,
}

impl PollSchedule {
    /// Over which span the polls of the fleet are spread; zero for a small one.
    ///
    /// What discovery surely bears is a poll of each relay in `poll_interval`. A large fleet that starts or fails
    /// at one moment asks for more: each poll then waits behind the others until its relay has given it up, costs
    /// discovery all the same, and is made again; so none is answered any more, for good. Polls spread over this
    /// span are within what it bears. Harm: a list received later by up to that, so small fleets don't spread.
    fn spread(&self) -> Duration {
        let large = 1.0 - f64::from(MAX_SMALL_FLEET) / f64::from(self.relay_count.max(MAX_SMALL_FLEET));
        self.poll_interval.min(MAX_POLL_INTERVAL).mul_f64(SPREAD_SHARE * large)
    }

    /// How long a poll may wait at discovery, and when it is given up. `up_to_date`: discovery has answered since
    /// the start, and what is newer than that list is asked for (a watch); else the answer is due at once.
    /// Harm: a poll in so many seconds where nothing changes; its answer carries no entries.
    pub fn poll_timeouts(&self, up_to_date: bool) -> PollTimeouts {
        if up_to_date {
            let wait = self.poll_interval.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT);
            return PollTimeouts { wait, request_timeout: wait + WATCH_GRACE };
        }
        let lists_come_unasked = self.poll_interval.is_zero();
        let request_timeout = if lists_come_unasked { LOCAL_POLL_TIMEOUT } else { POLL_TIMEOUT };
        PollTimeouts { wait: Duration::ZERO, request_timeout }
    }

    /// The pause before the first poll; `jitter` is in 0..1.
    pub fn initial_delay(&self, jitter: f64) -> Duration {
        self.spread().mul_f64(jitter.clamp(0.0, 1.0))
    }

    /// The pause before the next poll after `failures` failed polls in a row (1 or more): backoff, spread by
    /// `jitter` (in 0..1) over half to one and a half of it, so that relays that failed together come back apart;
    /// at least the `retry_after` of discovery, up to a bound. After a failed poll the rule on drains gives four
    /// times `poll_interval`, which is more than the longest of these pauses and the poll's time together.
    pub fn retry_delay(&self, failures: u32, retry_after: Option<Duration>, jitter: f64) -> Duration {
        let doublings = failures.clamp(1, 16) - 1;
        let backoff = FIRST_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
        let fleet_spread = if failures > 1 { self.spread() } else { self.spread() / 2 };
        let pause = backoff.max(fleet_spread).mul_f64(0.5 + jitter.clamp(0.0, 1.0));
        match retry_after {
            Some(retry_after) => pause.max(retry_after.min(MAX_RETRY_AFTER)),
            None => pause,
        }
    }
}

#[cfg(test)]
#[path = "poll_schedule_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod fleet_tests;
