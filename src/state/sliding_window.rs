//! What was measured over the last seconds.

use std::time::Duration;

/// What is measured over time: fixed buckets of a second, used again in a ring.
#[derive(Default)]
pub(crate) struct Ring<const N: usize>(Vec<(u64, f64, f64, f64)>);

impl<const N: usize> Ring<N> {
    pub(crate) fn add(&mut self, now: Duration, x: f64) {
        let second = now.as_secs() + 1;
        self.0.resize(N, Default::default());
        let bucket = &mut self.0[second as usize % N];
        let old = if bucket.0 == second { *bucket } else { Default::default() };
        *bucket = (second, old.1 + 1.0, old.2 + x, old.3.max(x));
    }

    /// Count, sum and peak over the last of its seconds.
    pub(crate) fn totals(&self, now: Duration, seconds: u64) -> (f64, f64, f64) {
        let live = self.0.iter().filter(|b| b.0 > 0 && b.0 + seconds > now.as_secs() + 1);
        live.fold((0.0, 0.0, 0.0), |t, b| (t.0 + b.1, t.1 + b.2, t.2.max(b.3)))
    }
}
