//! Slow start: a destination that comes back from an outage bears a part of its rate first, as the settings
//! tell. A budget keeps to it; all relays of a large fleet together must not exceed it (rule 4).

use super::LARGE_FLEET;
use crate::interface::PolicySettings;
use crate::state::{Route, Totals, slow_start_progress, slow_start_share};
use std::time::Duration;

/// Share of the calls lately failed that counts as an outage, ...
const OUTAGE_FAILURE_SHARE: f64 = 0.6;
/// ... of at least so many failed ones: fewer are chance.
const OUTAGE_FAILURES: f64 = 3.0;
/// A budget reckoned from an inexact rate is so many times smaller, as overload sets the return back.
const INEXACT_RATE_MARGIN: f64 = 1.15;
/// What each further message of a call weighs against the budget, beside 1 for the call.
pub(super) const FURTHER_MESSAGE_WEIGHT: f64 = 0.25;
/// Further messages that may overdraw the budget: calls of one message alone would be too many.
const OVERDRAFT_MESSAGES: usize = 4;
/// The burst, as a share of what the budget lets pass in the span in which overload shows.
const BURST_SHARE: f64 = 0.3;
/// The share of the listed rate that other relays are taken to ask since an outage began, ...
const FLEET_LOAD: f64 = 1.0;
/// ... for so long at least: less is known of a young outage.
const FLEET_SPAN_MIN: Duration = Duration::from_secs(4);

/// True if so many calls failed lately that the route will come back from an outage.
pub(super) fn is_outage(recent_results: &Totals) -> bool {
    let (all, failed) = (recent_results.count, recent_results.sum);
    failed >= OUTAGE_FAILURES && failed >= OUTAGE_FAILURE_SHARE * all
}

/// Keeps a large fleet from pushing over a destination that comes back (rule 4), and from starving one that
/// rejects: from the second bad end in a row on, all who may ask share what it bears. Makes returns late.
pub(super) fn fleet_delay(settings: &PolicySettings, route: &Route, now: Duration, jitter: f64) -> Duration {
    let is_failing = route.consecutive_failures > 0;
    let began = if is_failing { route.failing_since } else { route.rejected_since };
    let since = now.saturating_sub(began).max(FLEET_SPAN_MIN).as_secs_f64();
    let relays = f64::from(settings.relay_count.saturating_sub(LARGE_FLEET));
    let rate = route.rate_limit.max(1.0);
    let is_repeated = route.consecutive_failures + 2 * route.consecutive_rejections > 1;
    let others = if is_repeated { relays.min(FLEET_LOAD * rate * since) } else { 0.0 };
    let share = slow_start_share(settings, slow_start_progress(settings, settings.overload_window).min(1.0));
    let bearable = (settings.overload_multiple * share * rate).max(0.01);
    Duration::from_secs_f64(others * (0.5 + jitter) / bearable).min(settings.slow_start_duration * 2)
}

/// How many messages of a call the slow start lets pass; the whole batch if it is over.
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
    // A call weighs little more for each further message; the first wants a whole token.
    let further = (route.slow_start_budget.tokens - 1.0) / FURTHER_MESSAGE_WEIGHT;
    if further < 0.0 { 0 } else { batch.min(1 + OVERDRAFT_MESSAGES + further as usize) }
}
