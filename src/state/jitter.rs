//! The seeded random source. The same seed and the same inputs result in the same decisions.

use crate::interface::RelayId;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Draws random numbers by hashing a counter, which also numbers the calls.
#[derive(Default)]
pub(crate) struct Jitter {
    seed: u64,
    relay: RelayId,
    count: u64,
}

impl Jitter {
    pub(crate) fn new(seed: u64, relay: RelayId) -> Jitter {
        Jitter { seed, relay, count: 0 }
    }

    /// Returns the next number of the counter.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// Returns a random number from 0 to 1, exclusive.
    pub(crate) fn draw(&mut self, salt: u64) -> f64 {
        let number = self.next_number();
        let mut hasher = DefaultHasher::new();
        (self.seed, self.relay, salt, number).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
