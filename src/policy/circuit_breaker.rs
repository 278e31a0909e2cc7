//! The circuit breaker of a route: consecutive failures open it, the answer to one trial closes it again.

use super::concurrency::{DEAD_ENDPOINT_FAILURES, LIMIT_CUT, LIMIT_MAX};
use super::{pacing, slow_start};
use crate::interface::Outcome;
use crate::state::{Backoff, Breaker, CallResult, State};
use std::time::Duration;

/// So many failures in a row open: a reset or an error now and then is no outage ...
pub(super) const FAILURE_THRESHOLD: u32 = 5;
/// ... within this window: failures further apart are not one outage.
const FAILURE_WINDOW: Duration = Duration::from_secs(20);
/// At a quiet destination so few open, as five would take too long to come together ...
const QUIET_FAILURE_THRESHOLD: u32 = 3;
/// ... once no success came for so long.
const QUIET_SPAN: Duration = Duration::from_millis(1_500);
/// The delay before the first trial; also how long a dead endpoint of several is left out.
pub(super) const RECOVERY_DELAY: Duration = Duration::from_millis(1_800);
/// Each failed trial makes it longer: a long outage costs few attempts; a return is seen within 4.5 s.
const RECOVERY: Backoff = Backoff { first: RECOVERY_DELAY, growth: 1.4, max: Duration::from_millis(4_500) };
/// It stays short if more than so many messages wait for each failure: then trials don't outnumber messages.
const WAITING_PER_FAILURE: u32 = 4;
/// The span over which the share of failed calls is measured: short, as it shows an outage of now.
pub(crate) const RECENT_RESULT_SECONDS: usize = 4;

/// Counts the result of a call for its endpoint and its route.
pub(super) fn record_result(state: &mut State, call: &CallResult, elapsed: Duration, outcome: Outcome) {
    match outcome {
        Outcome::Delivered => call_succeeded(state, call, elapsed),
        Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => {
            state.routes.end_trial(call.route, call.number, Breaker::HalfOpen(None));
        }
        _ if !call.is_first_result => {}
        Outcome::Rejected { retry_after } => pacing::call_rejected(state, call, retry_after),
        _ => call_failed(state, call),
    }
    if matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut | Outcome::Reset) {
        state.routes.confirm_failure(call.route);
    }
}

fn call_succeeded(state: &mut State, call: &CallResult, elapsed: Duration) {
    if call.is_first_result {
        pacing::learn_own_rate(state, call.route);
    }
    let (now, relay_count) = (state.now, state.relay_count());
    state.endpoints.record_success(call.endpoint, now, elapsed, LIMIT_MAX);
    let Some(route) = state.routes.get_mut(call.route) else { return };
    route.recent_results.add_flag(now, false);
    // In a large fleet or at a quiet route no relay may see enough failures to open: without this all
    // come back at full rate.
    if route.failure_confirmed && now.saturating_sub(route.failing_since) >= QUIET_SPAN {
        route.start_slow_start(now);
    }
    route.record_success();
    if call.filled {
        pacing::grow_rate_share(route, relay_count);
    }
    if route.is_trial(call.number) {
        route.restart_slow_start(now);
        state.routes.set_breaker(call.route, Breaker::Closed);
    } else if matches!(route.breaker, Breaker::Open(_)) {
        // A good answer to an earlier call: slow, not dead. The trial need not wait.
        state.routes.set_breaker(call.route, Breaker::Open(now));
    }
}

/// A call failed, or is overdue.
pub(super) fn call_failed(state: &mut State, call: &CallResult) {
    let now = state.now;
    let hold_off_until = now + RECOVERY_DELAY;
    state.endpoints.record_failure(call.endpoint, LIMIT_CUT, DEAD_ENDPOINT_FAILURES, hold_off_until);
    let jitter = state.jitter.draw(call.endpoint.0);
    let waiting = state.messages.count_without_call(call.route.destination);
    let Some(route) = state.routes.get_mut(call.route) else { return };
    route.record_failure(now, FAILURE_WINDOW);
    let fleet_delay = slow_start::fleet_delay(&state.settings, route, now, jitter);
    route.backoff_until = route.backoff_until.max(now + fleet_delay);
    let failures = route.consecutive_failures;
    let is_quiet = now.saturating_sub(route.failing_since) >= QUIET_SPAN;
    let threshold = if is_quiet { QUIET_FAILURE_THRESHOLD } else { FAILURE_THRESHOLD };
    let opens = route.is_closed() && failures >= threshold;
    if opens || slow_start::is_outage(&route.recent_results.totals(now)) {
        route.start_slow_start(now);
    }
    let next = Breaker::Open(now + recovery_delay(failures, waiting).max(fleet_delay));
    if opens {
        state.routes.set_breaker(call.route, next);
    }
    state.routes.end_trial(call.route, call.number, next);
}

/// Longer and longer, unless many more messages wait than trials went: few are not worth many trials.
fn recovery_delay(failures: u32, waiting: u32) -> Duration {
    let trials = if waiting > WAITING_PER_FAILURE * failures { FAILURE_THRESHOLD } else { failures };
    RECOVERY.after(trials.saturating_sub(FAILURE_THRESHOLD))
}
