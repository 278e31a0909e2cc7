//! Random values of a simulated day, all derived from one seed. Values drawn in advance come from streams. Values
//! for single events are hashes of the event's ids, so that two policies with the same seed meet the same conditions
//! however differently they act.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Purpose of a draw; the values of different purposes are independent. The numbers are hashed: changing one changes
/// every simulated day. 2 and 17 belonged to purposes that no longer exist.
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

/// Source of random values; equal seeds give equal values on every machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeededRandom(pub(crate) u64);

impl SeededRandom {
    fn hash(self, purpose: Purpose, a: u64, b: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.0, purpose as u64);
        hasher.write_u64(a);
        hasher.write_u64(b);
        hasher.finish()
    }

    /// Returns an independent generator for a purpose.
    pub(crate) fn stream(self, purpose: Purpose, a: u64) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.hash(purpose, a, 0))
    }

    /// Draws a number uniformly from 0 (included) to 1 (excluded).
    pub(crate) fn uniform(self, purpose: Purpose, a: u64, b: u64) -> f64 {
        (self.hash(purpose, a, b) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Derives a seed for another random source.
    pub(crate) fn derive_seed(self, purpose: Purpose, a: u64, b: u64) -> u64 {
        self.hash(purpose, a, b)
    }

    /// Draws a log-normal factor with median 1; `spread` is the standard deviation of its logarithm.
    pub(crate) fn log_normal(self, purpose: Purpose, spread: f64, a: u64, b: u64) -> f64 {
        let mut stream = ChaCha8Rng::seed_from_u64(self.hash(purpose, a, b));
        LogNormal::new(0.0, spread).map_or(1.0, |distribution| distribution.sample(&mut stream))
    }

    /// Draws an index below `count`.
    pub(crate) fn index(self, purpose: Purpose, count: usize, a: u64, b: u64) -> usize {
        ChaCha8Rng::seed_from_u64(self.hash(purpose, a, b)).random_range(0..count.max(1))
    }
}
