//! The random source that spreads pauses.

/// Jitter from a seed: the same seed gives the same draws (splitmix64).
#[derive(Clone, Debug)]
pub struct Jitter(u64);

impl Jitter {
    /// A source that draws by this seed.
    pub fn new(seed: u64) -> Jitter {
        Jitter(seed)
    }

    /// The next sample, in 0..1.
    pub fn sample(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
