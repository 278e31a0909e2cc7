//! What the checker found: breaches with the history that shows them, and counts.

use crate::{Fact, Time};

/// Breaches that are kept with their histories; further ones are only counted, so that a bad day needs no
/// unbounded memory.
pub(crate) const MAX_KEPT_BREACHES: usize = 50;

/// Facts with their times, oldest first.
pub(crate) type History = Vec<(Time, Fact)>;

/// The six rules, by the numbers that reports give them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    FinalAnswer = 1,
    SingleEffect = 2,
    Drain = 3,
    SlowStart = 4,
    KeyOrder = 5,
    RetryAfter = 6,
}

impl Rule {
    /// The number, 1 to 6.
    pub(crate) fn number(self) -> u8 {
        self as u8
    }
}

/// A rule that something broke, and how.
pub(crate) struct Finding {
    pub(crate) rule: Rule,
    pub(crate) reason: String,
}

impl Finding {
    pub(crate) fn new(rule: Rule, reason: impl Into<String>) -> Finding {
        Finding { rule, reason: reason.into() }
    }
}

/// A rule that was broken, how, and what led to it.
#[derive(Clone, Debug)]
pub struct Breach {
    /// The rule's number, 1 to 6.
    pub rule: u8,
    /// When it was broken.
    pub at: Time,
    /// How it was broken, in a sentence.
    pub reason: String,
    /// The facts about the message, or the latest ones of the route, oldest first.
    pub history: Vec<(Time, Fact)>,
}

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The first breaches, in order.
    pub breaches: Vec<Breach>,
    /// How often each rule was broken, rule 1 first.
    pub breach_counts: [u64; 6],
    /// Messages that took effect more than once where that does no harm.
    pub harmless_duplicates: u64,
    /// Routes that broke down in slow start, whoever caused it.
    pub overloaded_routes: u64,
    /// Messages that restarts found accepted and untried.
    pub recovered_unattempted: u64,
    /// Those of them that were given a final answer without an attempt though their time was not up.
    pub failed_unattempted: u64,
}

impl Verdict {
    /// True where no rule was broken.
    pub fn has_no_breaches(&self) -> bool {
        self.breach_counts.iter().all(|count| *count == 0)
    }

    /// Counts a breach, and keeps it while there is room.
    pub(crate) fn record(&mut self, breach: Breach) {
        self.breach_counts[usize::from(breach.rule) - 1] += 1;
        if self.breaches.len() < MAX_KEPT_BREACHES {
            self.breaches.push(breach);
        }
    }
}
