//! What the settings tell of slow start: the share of its rate that a destination bears as it comes back
//! grows in a straight line until it is whole.

use crate::interface::PolicySettings;
use std::time::Duration;

/// How far a slow start has come after `elapsed`; 1 or more if it is over.
pub(crate) fn slow_start_progress(settings: &PolicySettings, elapsed: Duration) -> f64 {
    // A slow start of no length is over after the first millisecond.
    elapsed.as_secs_f64() / settings.slow_start_duration.as_secs_f64().max(0.001)
}

/// The share of its rate that a destination bears at this progress.
pub(crate) fn slow_start_share(settings: &PolicySettings, progress: f64) -> f64 {
    settings.slow_start_share + (1.0 - settings.slow_start_share) * progress
}
