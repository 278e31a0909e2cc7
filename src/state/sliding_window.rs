//! Measurements of the last seconds, in a ring of buckets of one second each.

use std::time::Duration;

#[derive(Clone, Copy, Default)]
struct Bucket {
    /// The second of the bucket, counted from 1; 0 if the bucket is unused.
    second: u64,
    totals: Totals,
}

/// Count, sum and peak of the measured values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Totals {
    pub(crate) count: f64,
    pub(crate) sum: f64,
    pub(crate) peak: f64,
}

/// The values measured in the last `SECONDS` seconds, including the current one.
#[derive(Default)]
pub(crate) struct SlidingWindow<const SECONDS: usize> {
    buckets: Vec<Bucket>,
}

impl<const SECONDS: usize> SlidingWindow<SECONDS> {
    pub(crate) fn add(&mut self, now: Duration, value: f64) {
        let second = now.as_secs() + 1;
        self.buckets.resize(SECONDS, Bucket::default());
        let bucket = &mut self.buckets[second as usize % SECONDS];
        if bucket.second != second {
            *bucket = Bucket { second, totals: Totals::default() };
        }
        bucket.totals.count += 1.0;
        bucket.totals.sum += value;
        bucket.totals.peak = bucket.totals.peak.max(value);
    }

    /// Adds 1 if `flag` is set, otherwise 0, so that the sum counts the flags.
    pub(crate) fn add_flag(&mut self, now: Duration, flag: bool) {
        self.add(now, f64::from(u8::from(flag)));
    }

    pub(crate) fn totals(&self, now: Duration) -> Totals {
        let oldest = (now.as_secs() + 2).saturating_sub(SECONDS as u64).max(1);
        let mut totals = Totals::default();
        for bucket in self.buckets.iter().filter(|bucket| bucket.second >= oldest) {
            totals.count += bucket.totals.count;
            totals.sum += bucket.totals.sum;
            totals.peak = totals.peak.max(bucket.totals.peak);
        }
        totals
    }
}
