//! Slow start: after an outage a destination can at first handle only the part of its rate that the settings
//! define. A budget limits calls to it; all relays of a large fleet together must not exceed it (rule 4).

use super::LARGE_FLEET;
use crate::interface::PolicySettings;
use crate::state::{Route, Totals, slow_start_progress, slow_start_share};
use std::time::Duration;

/// Share of failed calls in the recent window that counts as an outage.
const OUTAGE_FAILURE_SHARE: f64 = 0.6;
/// Minimum number of failed calls that counts as an outage; fewer may be chance.
const OUTAGE_FAILURES: f64 = 3.0;
/// Divisor of a budget that is based on an inexact rate, as overload would delay the recovery.
const INEXACT_RATE_MARGIN: f64 = 1.15;
/// Budget used by each further message of a call; the call with its first message uses 1.
pub(super) const FURTHER_MESSAGE_WEIGHT: f64 = 0.25;
/// Further messages that may overdraw the budget, as calls of a single message would be too many calls.
const OVERDRAFT_MESSAGES: usize = 4;
/// Burst, as a share of the budget of one overload window.
const BURST_SHARE: f64 = 0.3;
/// Share of the rate limit that other relays are assumed to have sent since an outage began.
const FLEET_LOAD_SHARE: f64 = 1.0;
/// Minimum duration of an outage assumed for the load of other relays; little is known of a recent outage.
const FLEET_OUTAGE_SPAN_MIN: Duration = Duration::from_secs(4);

/// Returns whether enough recent calls failed to count as an outage, so that the route needs a slow start.
pub(super) fn is_outage(recent_results: &Totals) -> bool {
    let (all, failed) = (recent_results.count, recent_results.sum);
    failed >= OUTAGE_FAILURES && failed >= OUTAGE_FAILURE_SHARE * all
}

/// Returns a delay that keeps a large fleet from overloading a recovering destination (rule 4), and from
/// using up the limit of a rejecting one: from the second consecutive failure or the first rejection on, the
/// relays share the rate that it can handle. The price is a later return to the full rate.
pub(super) fn fleet_delay(settings: &PolicySettings, route: &Route, now: Duration, jitter: f64) -> Duration {
    let is_failing = route.consecutive_failures > 0;
    let began = if is_failing { route.failing_since } else { route.rejected_since };
    let since = now.saturating_sub(began).max(FLEET_OUTAGE_SPAN_MIN).as_secs_f64();
    let relays = f64::from(settings.relay_count.saturating_sub(LARGE_FLEET));
    let rate = route.rate_limit.max(1.0);
    let is_repeated = route.consecutive_failures + 2 * route.consecutive_rejections > 1;
    let others = if is_repeated { relays.min(FLEET_LOAD_SHARE * rate * since) } else { 0.0 };
    let share = slow_start_share(settings, slow_start_progress(settings, settings.overload_window).min(1.0));
    let sustainable_rate = (settings.overload_multiple * share * rate).max(0.01);
    Duration::from_secs_f64(others * (0.5 + jitter) / sustainable_rate).min(settings.slow_start_duration * 2)
}

/// Returns the number of messages of a call that the slow start allows; the whole batch if it is over.
pub(super) fn capacity(settings: &PolicySettings, route: &mut Route, now: Duration, batch: usize) -> usize {
    let Some(since) = route.slow_start_since else { return batch };
    let progress = slow_start_progress(settings, now.saturating_sub(since));
    if progress >= 1.0 {
        route.slow_start_since = None;
        return batch;
    }
    let is_inexact = route.is_rate_inexact(settings.listed_rate);
    let limit = if is_inexact { route.rate_limit / INEXACT_RATE_MARGIN } else { route.rate_limit };
    let share = slow_start_share(settings, progress);
    let rate = settings.overload_multiple * share * limit / f64::from(settings.relay_count);
    let burst = (BURST_SHARE * rate * settings.overload_window.as_secs_f64()).max(1.0);
    route.slow_start_budget.refill(now, rate, burst);
    // The first message of a call needs a whole token, each further one only a part.
    let further = (route.slow_start_budget.tokens - 1.0) / FURTHER_MESSAGE_WEIGHT;
    if further < 0.0 { 0 } else { batch.min(1 + OVERDRAFT_MESSAGES + further as usize) }
}
