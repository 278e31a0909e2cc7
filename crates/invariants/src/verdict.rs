//! Results of the checker: breaches with their histories, and counts.

use crate::{Fact, Time};

/// Maximum number of breaches stored with their histories. Further ones are only counted, which bounds the memory
/// of a day with many breaches.
pub(crate) const MAX_STORED_BREACHES: usize = 50;

/// Facts with their times, oldest first.
pub(crate) type History = Vec<(Time, Fact)>;

/// The six rules with their numbers in reports.
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
    /// Returns the number, 1 to 6.
    pub(crate) fn number(self) -> u8 {
        self as u8
    }
}

/// Broken rule and the reason, before time and history are added.
pub(crate) struct Finding {
    pub(crate) rule: Rule,
    pub(crate) reason: String,
}

impl Finding {
    pub(crate) fn new(rule: Rule, reason: impl Into<String>) -> Finding {
        Finding { rule, reason: reason.into() }
    }
}

/// Breach of a rule with its reason and history.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Number of the rule, 1 to 6.
    pub rule: u8,
    /// Time of the breach.
    pub at: Time,
    /// Description of the breach in a sentence.
    pub reason: String,
    /// Facts about the message, or the latest facts about the route, oldest first.
    pub history: Vec<(Time, Fact)>,
}

/// Result of checking a day.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// First breaches, in order of time.
    pub breaches: Vec<Breach>,
    /// Number of breaches of each rule, rule 1 first.
    pub breach_counts: [u64; 6],
    /// Number of idempotent messages that took effect more than once.
    pub harmless_duplicates: u64,
    /// Number of route failures in slow start, whichever relays caused them.
    pub overloaded_routes: u64,
    /// Number of messages that a restarted relay recovered as accepted and unattempted.
    pub recovered_unattempted: u64,
    /// Number of these messages that got a final answer well before their deadline and without an attempt.
    pub failed_unattempted: u64,
}

impl Verdict {
    /// Returns whether no rule was broken.
    pub fn has_no_breaches(&self) -> bool {
        self.breach_counts.iter().all(|count| *count == 0)
    }

    /// Counts a breach and stores it while there is room.
    pub(crate) fn record(&mut self, breach: Breach) {
        self.breach_counts[usize::from(breach.rule) - 1] += 1;
        if self.breaches.len() < MAX_STORED_BREACHES {
            self.breaches.push(breach);
        }
    }
}
