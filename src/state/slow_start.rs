//! Slow start as defined by the settings: after an outage, the share of its rate that a destination can handle
//! grows linearly until it is the whole rate.

use crate::interface::PolicySettings;
use std::time::Duration;

/// Returns the progress of a slow start after `elapsed`; 1 or more if it is over.
pub(crate) fn slow_start_progress(settings: &PolicySettings, elapsed: Duration) -> f64 {
    // A slow start with a duration of zero is over after the first millisecond.
    elapsed.as_secs_f64() / settings.slow_start_duration.as_secs_f64().max(0.001)
}

/// Returns the share of its rate that a destination can handle at this progress.
pub(crate) fn slow_start_share(settings: &PolicySettings, progress: f64) -> f64 {
    settings.slow_start_share + (1.0 - settings.slow_start_share) * progress
}
