//! The random source that spreads delays.

/// Random source (splitmix64). The same seed gives the same samples.
#[derive(Clone, Debug)]
pub struct Jitter(u64);

impl Jitter {
    /// Creates a source from this seed.
    pub fn new(seed: u64) -> Jitter {
        Jitter(seed)
    }

    /// Returns the next sample, in 0..1.
    pub fn sample(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
