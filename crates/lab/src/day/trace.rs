//! The trace of a day: every fact is hashed, shown to whoever watches, and checked against the rules.

use super::{Day, Seen};
use mountshift_invariants::{End, Fact, LegEnd};
use std::hash::Hasher;

impl Day<'_> {
    /// Adds a fact to the trace.
    pub(super) fn record(&mut self, fact: Fact) {
        self.digest.write_u64(self.now);
        for word in digest_words(fact) {
            self.digest.write_u64(word);
        }
        if let Some(watch) = self.watch.as_mut() {
            watch(self.now, Seen::Fact(&fact));
        }
        self.judge.see(self.now, fact);
    }
}

/// What tells two traces apart: the kind of a fact, about whom, and what it says.
fn digest_words(fact: Fact) -> [u64; 4] {
    match fact {
        Fact::Leg { msg, call, relay, to } => [1, msg, call, u64::from(relay) << 32 | u64::from(to)],
        Fact::Reached { call, endpoint, .. } => [2, call, u64::from(endpoint), 0],
        Fact::Ran { msg, call, repeat, .. } => [3, msg, call, u64::from(repeat)],
        Fact::LegEnded { msg, call, end, .. } => [4, msg, call, attempt_end_word(end)],
        Fact::Ended { msg, end: End::PushedBack(retry_after), .. } => [5, msg, retry_after + 1, 0],
        Fact::Ended { msg, end: End::Failed, .. } => [5, msg, 0, 0],
        other => [0, other.msg().unwrap_or(u64::MAX), 0, 0],
    }
}

/// The end of an attempt, its code in the highest byte and its Retry-After below. The codes are part of each
/// trace's digest, which is why a rejection is 0 and all others stand one above their number.
fn attempt_end_word(end: LegEnd) -> u64 {
    match end {
        LegEnd::Full(retry_after) => retry_after,
        other => (1 + attempt_end_number(other)) << 56,
    }
}

fn attempt_end_number(end: LegEnd) -> u64 {
    match end {
        LegEnd::Delivered => 0,
        LegEnd::Error => 1,
        LegEnd::Full(_) => 2,
        LegEnd::TimedOut => 3,
        LegEnd::ConnectFailed => 4,
        LegEnd::Reset => 5,
        LegEnd::Cancelled => 6,
        LegEnd::Moot => 7,
    }
}

/// The end of an attempt as results name it.
pub(super) fn attempt_end_name(end: LegEnd) -> &'static str {
    match end {
        LegEnd::Delivered => "delivered",
        LegEnd::Error => "error",
        LegEnd::Full(_) => "full",
        LegEnd::TimedOut => "timed out",
        LegEnd::ConnectFailed => "connect failed",
        LegEnd::Reset => "reset",
        LegEnd::Cancelled => "cancelled",
        LegEnd::Moot => "moot",
    }
}
