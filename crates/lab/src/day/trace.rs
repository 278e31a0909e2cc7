//! The trace of a day: every fact is hashed, passed to the observer, and checked against the invariants.

use super::{Day, DayObservation};
use mountshift_invariants::{AttemptOutcome, Fact, FinalAnswer};
use std::hash::Hasher;

impl Day<'_> {
    /// Adds a fact to the trace.
    pub(super) fn record(&mut self, fact: Fact) {
        self.digest.write_u64(self.now);
        for word in digest_words(fact) {
            self.digest.write_u64(word);
        }
        if let Some(observer) = self.observer.as_mut() {
            observer(self.now, DayObservation::Fact(&fact));
        }
        self.checker.observe(self.now, fact);
    }
}

/// Returns the words of a fact that enter the trace's digest: its kind, its subject and its contents.
fn digest_words(fact: Fact) -> [u64; 4] {
    match fact {
        Fact::AttemptStarted { message, call, relay, endpoint } => {
            [1, message, call, u64::from(relay) << 32 | u64::from(endpoint)]
        }
        Fact::CallReceived { call, endpoint, .. } => [2, call, u64::from(endpoint), 0],
        Fact::Executed { message, call, duplicate, .. } => [3, message, call, u64::from(duplicate)],
        Fact::AttemptEnded { message, call, outcome, .. } => {
            [4, message, call, attempt_outcome_word(outcome)]
        }
        Fact::FinalAnswerGiven { message, answer: FinalAnswer::Rejected { retry_after }, .. } => {
            [5, message, retry_after + 1, 0]
        }
        Fact::FinalAnswerGiven { message, answer: FinalAnswer::Failed, .. } => [5, message, 0, 0],
        other => [0, other.message().unwrap_or(u64::MAX), 0, 0],
    }
}

/// Returns the outcome of an attempt with its code in the highest byte and its Retry-After below. The codes are part
/// of each trace's digest and stay fixed: a rejection is 0, every other outcome is its number plus 1.
fn attempt_outcome_word(outcome: AttemptOutcome) -> u64 {
    match outcome {
        AttemptOutcome::Rejected { retry_after } => retry_after,
        other => (1 + attempt_outcome_number(other)) << 56,
    }
}

fn attempt_outcome_number(outcome: AttemptOutcome) -> u64 {
    match outcome {
        AttemptOutcome::Delivered => 0,
        AttemptOutcome::Error => 1,
        AttemptOutcome::Rejected { retry_after: _ } => 2,
        AttemptOutcome::TimedOut => 3,
        AttemptOutcome::ConnectFailed => 4,
        AttemptOutcome::Reset => 5,
        AttemptOutcome::Cancelled => 6,
        AttemptOutcome::NotSent => 7,
    }
}

/// Returns the name of an attempt outcome in the results.
pub(super) fn attempt_outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Delivered => "delivered",
        AttemptOutcome::Error => "error",
        AttemptOutcome::Rejected { retry_after: _ } => "full",
        AttemptOutcome::TimedOut => "timed out",
        AttemptOutcome::ConnectFailed => "connect failed",
        AttemptOutcome::Reset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "moot",
    }
}
