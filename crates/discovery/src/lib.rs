//! How a relay follows discovery's list of endpoints, decided without I/O: what stays told as leaving whatever
//! an older list says ([`DrainRecord`]), and when it asks again after a call that failed. Many relays may fail at one moment (a release, a fleet restarted at once) against an agent
//! that is short of room; asking again at a fixed pause keeps it full for all of them, and none gets a list.
#![forbid(unsafe_code)]

mod drain_record;

pub use drain_record::{
    DRAIN_RECORD_DISK_SHARE, DRAIN_RECORD_FILE, DrainRecord, ListEntry, ListHeader, Phase,
};
use std::time::Duration;

/// The pause after the first failed call ...
pub const FIRST: Duration = Duration::from_millis(100);
/// ... doubled with each failure in a row, up to this. What discovery has to tell counts as told 6 s later
/// whether it arrived or not (rule 3), so a relay must still ask several times within that span.
pub const MOST: Duration = Duration::from_millis(1_600);
/// A wait that discovery tells is kept, up to this.
pub const TOLD_MOST: Duration = Duration::from_millis(3_000);

/// A watch waits for so long at least, and for the span within which a relay is to ask where that is longer (up to
/// `WAIT_MOST`). Guards against a watch that has fallen silent: it is as good as none, and what it misses
/// counts as told 6 s after it fell silent, or 2 s after its wait is over if that is later.
pub const WAIT: Duration = Duration::from_millis(2_000);
/// The longest that discovery lets a call wait.
pub const WAIT_MOST: Duration = Duration::from_millis(60_000);
/// A watch without an answer so long after its wait is broken: with the pause and the next call this is within the
/// 2 s after which what it missed counts as told.
pub const WATCH_SLACK: Duration = Duration::from_millis(1_000);
/// A call that asks for an answer at once is given up after this. A discovery short of room says so after 2 s; a
/// call given up sooner would cost it as much and be made again. Where lists come unasked, a discovery of the
/// relay's own machine answers at once, and what a new one has to tell counts as told within 4 s.
pub const ASKED_SLACK: Duration = Duration::from_millis(3_000);
pub const OWN_SLACK: Duration = Duration::from_millis(1_000);

/// A span to ask within that is told longer counts as this: a relay that hardly ever asks is never informed.
pub const WITHIN_MOST: Duration = Duration::from_secs(60);
/// So many relays may ask together.
pub const TOGETHER: u32 = 6;
/// The share of the span within which each relay is to ask that a crowd's calls are spread over.
pub const SPREAD: f64 = 0.8;

/// What the settings tell of asking for lists.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollSchedule {
    pub relay_count: u32,
    /// A relay is to ask so often; zero where lists come unasked.
    pub poll_interval: Duration,
}

impl PollSchedule {
    /// What discovery surely bears is a call of each relay in `poll_interval`. A crowd that starts or fails at one
    /// moment asks for more: each call then waits behind the others until its relay has given it up, costs
    /// discovery all the same, and is made again; so none is answered any more, for good. Calls spread over
    /// this span are within what it bears. Harm: a list heard later by up to that, so few relays don't spread.
    pub fn spread(&self) -> Duration {
        let crowd = 1.0 - f64::from(TOGETHER) / f64::from(self.relay_count.max(TOGETHER));
        self.poll_interval.min(WITHIN_MOST).mul_f64(SPREAD * crowd)
    }

    /// How long a call for the list may wait at discovery, and when it is given up. `held`: discovery has answered
    /// since the start, and what is newer than that list is asked for; else the answer is due at once (a wait
    /// of 0). Harm: a call in so many seconds where nothing changes; they carry no entries.
    pub fn poll_timeouts(&self, held: bool) -> (Duration, Duration) {
        let own = self.poll_interval.is_zero();
        match held {
            true => {
                let wait = self.poll_interval.clamp(WAIT, WAIT_MOST);
                (wait, wait + WATCH_SLACK)
            }
            false => (Duration::ZERO, if own { OWN_SLACK } else { ASKED_SLACK }),
        }
    }

    /// The pause before the first call; `chance` is in 0..1.
    pub fn first_pause(&self, chance: f64) -> Duration {
        self.spread().mul_f64(chance.clamp(0.0, 1.0))
    }

    /// The pause before the next call after `failures` failed calls in a row (1 or more), spread by `chance`
    /// (in 0..1) over half to one and a half of it, so that relays that failed together come back apart; at
    /// least a wait that discovery told, up to `TOLD_MOST`. After a failed call the rule on drains gives four
    /// times `poll_interval`, which is more than the longest of these pauses and the call's time together.
    pub fn retry_pause(&self, failures: u32, told: Option<Duration>, chance: f64) -> Duration {
        let grown = FIRST.saturating_mul(1 << failures.clamp(1, 16).saturating_sub(1)).min(MOST);
        let crowd = if failures > 1 { self.spread() } else { self.spread() / 2 };
        let spread = grown.max(crowd).mul_f64(0.5 + chance.clamp(0.0, 1.0));
        told.map_or(spread, |told| spread.max(told.min(TOLD_MOST)))
    }
}

/// Jitter from a seed: the same seed gives the same draws (splitmix64).
#[derive(Clone, Debug)]
pub struct Jitter(u64);

impl Jitter {
    pub fn new(seed: u64) -> Jitter {
        Jitter(seed)
    }

    /// A draw in 0..1.
    pub fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    #[test]
    fn pauses_grow_with_failures_in_a_row_up_to_a_bound() {
        assert_eq!(PollSchedule::default().retry_pause(1, None, 0.5), FIRST);
        assert_eq!(PollSchedule::default().retry_pause(2, None, 0.5), FIRST * 2);
        assert_eq!(PollSchedule::default().retry_pause(5, None, 0.5), MOST);
        assert_eq!(PollSchedule::default().retry_pause(40, None, 0.5), MOST);
        assert_eq!(PollSchedule::default().retry_pause(0, None, 0.5), FIRST);
    }

    /// The clock for silence: 6 s after it fell silent, or 2 s after its wait, what a watch missed counts as told.
    #[test]
    fn a_watch_that_falls_silent_is_asked_again_before_what_it_missed_counts_as_told() {
        for within in [0, 1, 4_000, 10_000, 60_000, u64::MAX / 2] {
            for relays in [1, 6, 350] {
                let terms = PollSchedule { relay_count: relays, poll_interval: ms(within) };
                let (wait, given_up) = terms.poll_timeouts(true);
                // A new watch is opened by a call whose answer is due at once.
                let told = (wait + ms(2_000)).max(ms(6_000));
                let own = within == 0;
                let pause = if own { terms.retry_pause(1, None, 1.0) } else { Duration::ZERO };
                assert!(wait <= WAIT_MOST && given_up + pause + ms(500) < told, "{within} {relays}");
                // One more may fail where lists come unasked.
                let next = given_up + pause + terms.poll_timeouts(false).1 + terms.retry_pause(2, None, 1.0);
                assert!(!own || next + ms(500) < told, "{next:?}");
            }
        }
        // A whole list asked for at a new address counts as told 4 s later.
        let own = PollSchedule::default();
        assert!((own.poll_timeouts(false).1 + own.retry_pause(1, None, 1.0)) * 2 < ms(4_000));
    }

    #[test]
    fn relays_that_failed_together_come_back_apart() {
        assert_eq!(PollSchedule::default().retry_pause(5, None, 0.0), MOST / 2);
        assert_eq!(PollSchedule::default().retry_pause(5, None, 1.0), MOST * 3 / 2);
        let mut chance = Jitter::new(7);
        let draws: Vec<f64> = (0..1000).map(|_| chance.draw()).collect();
        assert!(draws.iter().all(|d| (0.0..1.0).contains(d)));
        let low = draws.iter().filter(|d| **d < 0.5).count();
        assert!((400..600).contains(&low), "{low}");
        assert_eq!(Jitter::new(7).draw(), draws[0]);
    }

    #[test]
    fn a_wait_that_discovery_tells_is_kept_within_a_bound() {
        assert_eq!(PollSchedule::default().retry_pause(1, Some(ms(900)), 0.5), ms(900));
        assert_eq!(PollSchedule::default().retry_pause(1, Some(ms(60_000)), 0.5), TOLD_MOST);
        assert_eq!(PollSchedule::default().retry_pause(5, Some(ms(10)), 0.5), MOST);
    }
}

#[cfg(test)]
#[path = "agent_tests.rs"]
mod agent;
