//! When discovery is polled.

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

#[cfg(test)]
#[path = "poll_schedule_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "agent_tests.rs"]
mod agent;
