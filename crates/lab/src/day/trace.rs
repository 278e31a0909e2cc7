//! Every fact of a day: hashed, shown and judged.

use super::{Day, Seen};
use mountshift_invariants::{End, Fact};
use std::hash::Hasher;

impl Day<'_> {
    pub(super) fn fact(&mut self, fact: Fact) {
        // What tells two traces apart: when, what kind, about whom, and what it says.
        self.digest.write_u64(self.now);
        let mut words = [0u64; 4];
        match fact {
            Fact::Leg { msg, call, relay, to } => {
                words = [1, msg, call, u64::from(relay) << 32 | u64::from(to)]
            }
            Fact::Reached { call, endpoint, .. } => words = [2, call, u64::from(endpoint), 0],
            Fact::Ran { msg, call, repeat, .. } => words = [3, msg, call, u64::from(repeat)],
            Fact::LegEnded { msg, call, end, .. } => {
                let (code, wait) = match end {
                    mountshift_invariants::LegEnd::Full(wait) => (0, wait),
                    other => (1 + end_number(other), 0),
                };
                words = [4, msg, call, code << 56 | wait];
            }
            Fact::Ended { msg, end, .. } => {
                words = [5, msg, if let End::PushedBack(pause) = end { pause + 1 } else { 0 }, 0];
            }
            other => words[1] = other.msg().unwrap_or(u64::MAX),
        }
        words.iter().for_each(|w| self.digest.write_u64(*w));
        if let Some(watch) = self.watch.as_mut() {
            watch(self.now, Seen::Fact(&fact));
        }
        self.judge.see(self.now, fact);
    }
}

fn end_number(end: mountshift_invariants::LegEnd) -> u64 {
    use mountshift_invariants::LegEnd as E;
    match end {
        E::Delivered => 0,
        E::Error => 1,
        E::Full(_) => 2,
        E::TimedOut => 3,
        E::ConnectFailed => 4,
        E::Reset => 5,
        E::Cancelled => 6,
        E::Moot => 7,
    }
}

pub(super) fn end_name(end: mountshift_invariants::LegEnd) -> &'static str {
    ["delivered", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"]
        [end_number(end) as usize]
}
