//! Rate limits: a route is paced to this relay's share of its rate limit. The share falls with rejections and
//! grows with successes. After a rejection the route also backs off.

use super::{LARGE_FLEET, concurrency::CONCURRENCY_LIMIT_DECREASE_FACTOR, slow_start};
use crate::interface::*;
use crate::state::{Backoff, Breaker, CallResult, Route, RouteId, State, TokenBucket};
use std::time::Duration;

/// Initial share of a new route, as a multiple of the fair share: not all relays send to it at once.
const INITIAL_SHARE_FACTOR: f64 = 1.3;
/// Initial share of a new route that takes batches, as a multiple of the fair share: messages that wait share
/// a call, so waiting costs no calls.
const INITIAL_SHARE_FACTOR_BATCH: f64 = 0.95;
/// Factor by which a rejection reduces the share.
const RATE_SHARE_DECREASE_FACTOR: f64 = 0.7;
/// Minimum interval between two reductions of the share: rejections close together have the same cause.
const RATE_SHARE_DECREASE_INTERVAL: Duration = Duration::from_millis(300);
/// Increase of the paced rate, in calls per second, for each success while the budget is short; slow compared
/// to the decrease.
const RATE_INCREASE: f64 = 0.2;
/// Lower bound of a reduced share, as a multiple of the even share: other relays reduce theirs as well.
const RATE_SHARE_MIN: f64 = 0.5;
/// Lowest rate, in calls per second, of a fair share in a large fleet, whose traffic is uneven.
const LARGE_FLEET_RATE_MIN: f64 = 2.0;
/// Burst that the rate allows, in seconds of the rate.
const BURST_SECONDS: f64 = 0.5;
/// Minimum burst in calls; with a burst of one call a low rate would never be used in full.
const BURST_CALLS_MIN: f64 = 1.6;
/// Factor by which an inexact rate may be too low.
const INEXACT_RATE_FACTOR: f64 = 1.5;
/// Backoff after consecutive rejections: few calls while an endpoint rejects all, but one at least every 2 s.
const REJECTION_BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(120), growth: 2.0, max: Duration::from_secs(2) };
/// Consecutive rejections up to which a large fleet's delay doubles; otherwise too many calls coincide.
const FLEET_DELAY_DOUBLING_REJECTIONS: u32 = 3;
/// Consecutive rejections without `Retry-After` that count as an outage: a rate limit lets some calls pass.
const OUTAGE_REJECTIONS: u32 = 4;
/// Minimum duration of consecutive rejections, without a success between them, that count as an outage.
const OUTAGE_REJECTION_SPAN: Duration = Duration::from_millis(2_500);
/// `Retry-After` above which a rejection counts as an outage; rate limits send shorter ones.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Window, in seconds, of the successful calls from which an unknown rate limit is estimated.
pub(crate) const RATE_ESTIMATE_WINDOW_SECONDS: usize = 60;
/// Shortest span, in seconds, of a rate limit estimate; the first responses of a process are too few.
const RATE_ESTIMATE_SECONDS_MIN: u64 = 10;

/// Creates a route at its first listing, with the listed rate or 0.
pub(super) fn new_route(state: &State, listed_rate: f64, kind: DestinationKindId) -> Route {
    let shares = if state.batch_size(kind) > 1 { INITIAL_SHARE_FACTOR_BATCH } else { INITIAL_SHARE_FACTOR };
    let is_unknown = state.settings.listed_rate == ListedRate::Unknown;
    Route {
        rate_limit: if is_unknown { min_rate_estimate(&state.settings) } else { listed_rate },
        rate_share: fair_share(&state.settings, listed_rate) * shares,
        rate_budget: TokenBucket::new(listed_rate, state.now),
        ..Route::default()
    }
}

/// Returns a relay's fair share of the rate. In a large fleet it exceeds the even share of a low rate, as a
/// relay's traffic is uneven and the even share would delay messages for long.
fn fair_share(settings: &PolicySettings, rate: f64) -> f64 {
    let min_rate = if settings.relay_count > LARGE_FLEET { LARGE_FLEET_RATE_MIN } else { 0.0 };
    (min_rate / rate.max(1.0)).clamp(1.0 / f64::from(settings.relay_count), 1.0)
}

/// Returns the assumed rate limit before any is known: one call per second and relay, fewer in a large fleet.
fn min_rate_estimate(settings: &PolicySettings) -> f64 {
    f64::from(settings.relay_count.min(LARGE_FLEET))
}

/// Estimates the rate limit from this relay's successful calls if no rate is known. Without an estimate a
/// slow start would allow hardly any calls until its end.
pub(super) fn estimate_rate_limit(state: &mut State, id: RouteId) {
    let (now, relay_count) = (state.now, state.relay_count());
    let Some(route) = state.routes.get_mut(id) else { return };
    if state.settings.listed_rate != ListedRate::Unknown || route.rate_limit_reported {
        return;
    }
    route.successful_calls.add(now, 0.0);
    let span = now.as_secs().clamp(RATE_ESTIMATE_SECONDS_MIN, RATE_ESTIMATE_WINDOW_SECONDS as u64) as f64;
    let estimate = route.successful_calls.totals(now).count / span;
    route.rate_limit = (estimate * relay_count).max(min_rate_estimate(&state.settings));
}

/// Takes the rate limit from a response. It is late and inexact, so a listed one takes precedence.
pub(super) fn set_reported_rate(state: &mut State, endpoint: EndpointId, rate: f64) {
    let is_unknown = state.settings.listed_rate == ListedRate::Unknown;
    if let Some(route) = state.route_of_mut(endpoint).filter(|_| is_unknown && rate > 0.0) {
        route.rate_limit = rate;
        route.rate_limit_reported = true;
    }
}

/// Increases the share after a success while the budget was short.
pub(super) fn grow_rate_share(route: &mut Route, relay_count: f64) {
    if route.rate_budget.tokens < 1.0 {
        // Feedback is late in a large fleet: with few calls per second and relay, the increase is smaller.
        let growth = RATE_INCREASE * (route.rate_limit / relay_count).min(1.0);
        route.rate_share = (route.rate_share + growth / route.rate_limit.max(1.0)).min(INEXACT_RATE_FACTOR);
    }
}

pub(super) fn record_rejection(state: &mut State, call: &CallResult, retry_after: Duration) {
    let now = state.now;
    let jitter = state.jitter.draw(call.endpoint.0);
    state.endpoints.record_rejection(call.endpoint, CONCURRENCY_LIMIT_DECREASE_FACTOR);
    let Some(route) = state.routes.get_mut(call.route) else { return };
    route.record_rejection(now);
    if now.saturating_sub(route.rate_share_decreased_at) > RATE_SHARE_DECREASE_INTERVAL {
        decrease_rate_share(&state.settings, route, now);
    }
    let rejections = route.consecutive_rejections;
    // A large fleet also halves its rate each time: after a limit was lowered, relays that keep sending their
    // share of the listed rate would use it up. The price is that it returns to the limit late.
    let multiple = 2u32.pow(rejections.min(FLEET_DELAY_DOUBLING_REJECTIONS) - 1);
    let fleet_delay = slow_start::fleet_delay(&state.settings, route, now, jitter) * multiple;
    route.backoff_until = now + REJECTION_BACKOFF.after(rejections - 1).max(fleet_delay);
    if retry_after > OUTAGE_RETRY_AFTER || is_rejection_outage(route, now) {
        route.start_slow_start(now + retry_after);
    }
    state.routes.end_trial(call.route, call.number, Breaker::Open(now + fleet_delay));
}

/// Reduces the share after a rejection. In a large fleet the excess over the even share is dropped at once:
/// reducing it call by call is too late if a relay sends one every few seconds and rejected calls use up the
/// limit. The price is uneven load.
fn decrease_rate_share(settings: &PolicySettings, route: &mut Route, now: Duration) {
    let even_share = 1.0 / f64::from(settings.relay_count);
    let exceeds_even_share = fair_share(settings, route.rate_limit) > even_share;
    let max_share = if exceeds_even_share { even_share } else { f64::INFINITY };
    let min_share = if exceeds_even_share { even_share } else { RATE_SHARE_MIN * even_share };
    route.decrease_rate_share(now, max_share, RATE_SHARE_DECREASE_FACTOR, min_share);
}

fn is_rejection_outage(route: &Route, now: Duration) -> bool {
    let is_long = now - route.rejected_since >= OUTAGE_REJECTION_SPAN;
    is_long && route.consecutive_rejections >= OUTAGE_REJECTIONS && !route.has_retry_after_since_rejected()
}

/// Returns the number of messages that a call of the route may carry now.
pub(super) fn messages_allowed_now(state: &mut State, id: RouteId, batch: usize) -> usize {
    let now = state.now;
    let Some(route) = state.routes.get_mut(id) else { return 0 };
    // One call at a time after a failure: otherwise most calls to a silent host are sent before
    // the breaker opens.
    let has_failures = route.consecutive_failures + route.consecutive_rejections > 0;
    let must_wait = now < route.retry_after_until || now < route.backoff_until;
    if must_wait || (has_failures && state.calls.has_pending_result(id)) || !route.breaker.admits_call(now) {
        return 0;
    }
    if !has_rate_budget(&state.settings, route, now) {
        return 0;
    }
    if !route.is_closed() {
        return 1;
    }
    // Repeated rejections without `Retry-After` may be an outage: send one message, not attempts of a batch.
    let may_be_outage = route.consecutive_rejections > 1 && !route.has_retry_after_since_rejected();
    slow_start::capacity(&state.settings, route, now, if may_be_outage { 1 } else { batch })
}

fn has_rate_budget(settings: &PolicySettings, route: &mut Route, now: Duration) -> bool {
    let is_exact = settings.listed_rate == ListedRate::Exact;
    // With no known rate, the estimate paces after a rejection; in a large fleet it has too few responses.
    let was_rejected = route.rate_share_decreased_at > Duration::ZERO && settings.relay_count <= LARGE_FLEET;
    let is_paced = is_exact || route.is_rate_inexact(settings.listed_rate) || was_rejected;
    if !is_paced || route.rate_limit <= 0.0 {
        return true;
    }
    let rate = route.rate_limit * route.rate_share.min(if is_exact { 1.0 } else { INEXACT_RATE_FACTOR });
    route.rate_budget.refill(now, rate, (rate * BURST_SECONDS).max(BURST_CALLS_MIN));
    route.rate_budget.tokens >= 1.0
}
