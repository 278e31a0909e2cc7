//! Everything random in a day, from one seed. Streams for what is drawn ahead; single draws by name for what happens,
//! so that two policies on the same seed meet the same world however differently they act in it.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// What a draw is for; each purpose gives draws of its own. The numbers are hashed, so that changing one changes all
/// days: 2 and 17 stood for purposes that are gone.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub(crate) enum Purpose {
    Traffic = 1,
    FaultTargets = 3,
    ServiceTime = 4,
    Error = 5,
    FailedCallEffect = 6,
    Reset = 7,
    StaleConnection = 8,
    WrongRetryAfter = 9,
    HeavyTail = 10,
    EndpointList = 11,
    RelayChoice = 12,
    Resubmission = 13,
    KillPoint = 14,
    AbandonedCall = 15,
    RelaySeed = 16,
    Bootstrap = 18,
    Search = 19,
}

/// A source of random values; equal seeds give equal values on every machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeededRandom(pub(crate) u64);

impl SeededRandom {
    fn hash(self, purpose: Purpose, a: u64, b: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.0, purpose as u64);
        hasher.write_u64(a);
        hasher.write_u64(b);
        hasher.finish()
    }

    /// An independent generator.
    pub(crate) fn stream(self, purpose: Purpose, a: u64) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.hash(purpose, a, 0))
    }

    /// A number, evenly from 0 up to 1.
    pub(crate) fn uniform(self, purpose: Purpose, a: u64, b: u64) -> f64 {
        (self.hash(purpose, a, b) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A seed for somebody else's random source.
    pub(crate) fn derive_seed(self, purpose: Purpose, a: u64, b: u64) -> u64 {
        self.hash(purpose, a, b)
    }

    /// A log-normal factor with the median 1 and this spread of its logarithm.
    pub(crate) fn log_normal(self, purpose: Purpose, spread: f64, a: u64, b: u64) -> f64 {
        let mut stream = ChaCha8Rng::seed_from_u64(self.hash(purpose, a, b));
        LogNormal::new(0.0, spread).map_or(1.0, |distribution| distribution.sample(&mut stream))
    }

    /// An index below `count`.
    pub(crate) fn index(self, purpose: Purpose, count: usize, a: u64, b: u64) -> usize {
        ChaCha8Rng::seed_from_u64(self.hash(purpose, a, b)).random_range(0..count.max(1))
    }
}
