//! The circuit breaker of a route: consecutive failures open it, a successful trial closes it again.

use super::concurrency::{
    CONCURRENCY_LIMIT_DECREASE_FACTOR, CONCURRENCY_LIMIT_MAX, ENDPOINT_FAILURE_THRESHOLD,
};
use super::{pacing, slow_start};
use crate::interface::Outcome;
use crate::state::{Backoff, Breaker, CallResult, State};
use std::time::Duration;

/// Consecutive failures that open the breaker; fewer may be isolated resets or errors.
pub(super) const FAILURE_THRESHOLD: u32 = 5;
/// Window in which consecutive failures count; failures further apart are not one outage.
const FAILURE_WINDOW: Duration = Duration::from_secs(20);
/// Consecutive failures that open the breaker of a quiet destination; five would take too long to occur.
const QUIET_FAILURE_THRESHOLD: u32 = 3;
/// Time without a success, from the first failure on, after which a destination counts as quiet.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);
/// Delay before the first trial; also the time for which one failing endpoint of several is skipped.
pub(super) const RECOVERY_DELAY: Duration = Duration::from_millis(1_800);
/// Delay before a trial. Grows after each failed trial, so that a long outage gets few attempts; the maximum
/// bounds the time until a recovery is detected.
const TRIAL_WAIT: Backoff = Backoff { first: RECOVERY_DELAY, growth: 1.4, max: Duration::from_millis(4_500) };
/// Waiting messages per failure above which the trial delay does not grow, as messages outnumber trials.
const WAITING_MESSAGES_PER_FAILURE: u32 = 4;
/// Window, in seconds, for the share of failed calls; short, so that it shows a current outage.
pub(crate) const RECENT_RESULT_WINDOW_SECONDS: usize = 4;

/// Records the result of a call for its endpoint and its route.
pub(super) fn record_result(state: &mut State, call: &CallResult, elapsed: Duration, outcome: Outcome) {
    match outcome {
        Outcome::Delivered => record_success(state, call, elapsed),
        Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => {
            state.routes.end_trial(call.route, call.number, Breaker::HalfOpen(None));
        }
        _ if !call.is_first_result => {}
        Outcome::Rejected { retry_after } => pacing::record_rejection(state, call, retry_after),
        _ => record_failure(state, call),
    }
    if matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut | Outcome::Reset) {
        state.routes.confirm_failure(call.route);
    }
}

fn record_success(state: &mut State, call: &CallResult, elapsed: Duration) {
    if call.is_first_result {
        pacing::estimate_rate_limit(state, call.route);
    }
    let (now, relay_count) = (state.now, state.relay_count());
    state.endpoints.record_success(call.endpoint, now, elapsed, CONCURRENCY_LIMIT_MAX);
    let Some(route) = state.routes.get_mut(call.route) else { return };
    route.recent_results.add_flag(now, false);
    // In a large fleet or at a quiet route a single relay may see too few failures to open its breaker.
    // Without this slow start all relays would resume at the full rate.
    if route.failure_confirmed && now.saturating_sub(route.failing_since) >= QUIET_PERIOD {
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
        // A success of an earlier call: the destination is slow but works, so the trial may be sent at once.
        state.routes.set_breaker(call.route, Breaker::Open(now));
    }
}

/// Records a call that failed or is overdue.
pub(super) fn record_failure(state: &mut State, call: &CallResult) {
    let now = state.now;
    let skip_until = now + RECOVERY_DELAY;
    state.endpoints.record_failure(
        call.endpoint,
        CONCURRENCY_LIMIT_DECREASE_FACTOR,
        ENDPOINT_FAILURE_THRESHOLD,
        skip_until,
    );
    let jitter = state.jitter.draw(call.endpoint.0);
    let waiting = state.messages.count_without_call(call.route.destination);
    let Some(route) = state.routes.get_mut(call.route) else { return };
    route.record_failure(now, FAILURE_WINDOW);
    let fleet_delay = slow_start::fleet_delay(&state.settings, route, now, jitter);
    route.backoff_until = route.backoff_until.max(now + fleet_delay);
    let failures = route.consecutive_failures;
    let is_quiet = now.saturating_sub(route.failing_since) >= QUIET_PERIOD;
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

/// Returns the delay before the next trial. It grows with each failure while few messages wait: they
/// do not justify many trials.
fn recovery_delay(failures: u32, waiting: u32) -> Duration {
    let trials = if waiting > WAITING_MESSAGES_PER_FAILURE * failures { FAILURE_THRESHOLD } else { failures };
    TRIAL_WAIT.after(trials.saturating_sub(FAILURE_THRESHOLD))
}
