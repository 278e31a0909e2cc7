//! Reproducible random numbers of a baseline: by seed, relay and number of the draw.

use mountshift::interface::{PolicySettings, RelayId};
use std::hash::Hasher;

/// A seeded random source. The order of the draws is part of what a day comes to.
pub(super) struct Jitter {
    seed: u64,
    relay: RelayId,
    draws: u64,
}

impl Jitter {
    pub(super) fn new(settings: &PolicySettings) -> Jitter {
        Jitter { seed: settings.seed, relay: settings.relay, draws: 0 }
    }

    /// The next number, from 0 up to but without 1.
    pub(super) fn draw(&mut self) -> f64 {
        self.draws += 1;
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(self.seed, self.draws);
        hasher.write_u32(self.relay.0);
        // The upper 53 bits: as many as a float holds exactly.
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
