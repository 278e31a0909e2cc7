//! Reproducible random numbers of a baseline, derived from the seed, the relay and the number of the draw.

use mountshift::interface::{PolicySettings, RelayId};
use std::hash::Hasher;

/// A seeded random source. The order of the draws affects the result of a day.
pub(super) struct Jitter {
    seed: u64,
    relay: RelayId,
    draws: u64,
}

impl Jitter {
    pub(super) fn new(settings: &PolicySettings) -> Jitter {
        Jitter { seed: settings.seed, relay: settings.relay, draws: 0 }
    }

    /// Returns the next number from the half-open range 0 to 1.
    pub(super) fn draw(&mut self) -> f64 {
        self.draws += 1;
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(self.seed, self.draws);
        hasher.write_u32(self.relay.0);
        // The upper 53 bits: as many as a float holds exactly.
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
