//! All chance of a day. Streams for what is drawn ahead; single draws by name for what happens, so that two
//! policies on the same seed meet the same world however differently they act in it.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// What a draw is for; each gives draws of its own.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum What {
    Traffic = 1,
    World,
    Troubles,
    Service,
    Fails,
    HalfRan,
    Resets,
    Stale,
    Wait,
    Tail,
    List,
    Front,
    Again,
    Kill,
    LeftBehind,
    Relay,
    Policy,
    Bootstrap,
    Hunt,
}

#[derive(Clone, Copy, Debug)]
pub struct Chance(pub u64);

impl Chance {
    fn mix(self, what: What, a: u64, b: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.0, what as u64);
        hasher.write_u64(a);
        hasher.write_u64(b);
        hasher.finish()
    }

    /// A stream of its own.
    pub fn stream(self, what: What, a: u64) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.mix(what, a, 0))
    }

    /// A number, evenly from 0 up to 1.
    pub fn part(self, what: What, a: u64, b: u64) -> f64 {
        (self.mix(what, a, b) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A seed for somebody else's chance.
    pub fn seed(self, what: What, a: u64, b: u64) -> u64 {
        self.mix(what, a, b)
    }

    /// A factor with the median 1 and this spread of its logarithm.
    pub fn factor(self, what: What, spread: f64, a: u64, b: u64) -> f64 {
        let mut stream = ChaCha8Rng::seed_from_u64(self.mix(what, a, b));
        LogNormal::new(0.0, spread).map_or(1.0, |d| d.sample(&mut stream))
    }

    /// One of so many.
    pub fn of(self, what: What, n: usize, a: u64, b: u64) -> usize {
        ChaCha8Rng::seed_from_u64(self.mix(what, a, b)).random_range(0..n.max(1))
    }
}
