//! Rate limits: a route is paced to this relay's share of its rate limit. The share falls with rejections and
//! grows with answers; a rejection also backs off for a while.

use super::{LARGE_FLEET, concurrency::LIMIT_CUT, slow_start};
use crate::interface::*;
use crate::state::{Backoff, Breaker, CallResult, Route, RouteId, State, TokenBucket};
use std::time::Duration;

/// A new route starts above a fair share, as not all relays send to it at once, ...
const START_SHARES: f64 = 1.3;
/// ... or a little below where calls take more messages as they wait, so that waiting costs no calls.
const START_SHARES_BATCH: f64 = 0.95;
/// What a rejection leaves of the share, ...
const SHARE_CUT: f64 = 0.7;
/// ... once in so long: rejections that come together tell of one excess.
const SHARE_CUT_INTERVAL: Duration = Duration::from_millis(300);
/// Growth for each call of a second at the listed rate, while the budget runs short: slow beside the cut.
const SHARE_GROWTH: f64 = 0.2;
/// The least that cuts leave of a fair share: others cut theirs as well.
const SHARE_MIN: f64 = 0.5;
/// Calls a second, the least that counts as a share in a large fleet, whose traffic is uneven.
const LARGE_FLEET_SHARE_MIN: f64 = 2.0;
/// Seconds of the rate that may go at once, ...
const BURST_SECONDS: f64 = 0.5;
/// ... and at least so many calls: more than one, or a low rate is never used up.
const BURST_CALLS_MIN: f64 = 1.6;
/// An inexact rate may be so many times too low.
const INEXACT_RATE_FACTOR: f64 = 1.5;
/// The backoff after rejections in a row: a shut endpoint is asked seldom, yet at least every 2 s.
const REJECTION_BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(120), growth: 2.0, max: Duration::from_secs(2) };
/// A large fleet's delay is doubled until the third rejection in a row: else too many come together.
const FLEET_DELAY_DOUBLED_TO: u32 = 3;
/// Rejections in a row with no `Retry-After` that count as an outage: a limit alone lets some calls pass ...
const OUTAGE_REJECTIONS: u32 = 4;
/// ... if they come for so long without a success.
const OUTAGE_REJECTION_SPAN: Duration = Duration::from_millis(2_500);
/// A `Retry-After` longer than this tells of an outage: limits tell shorter ones.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Seconds over which own answers stand in for a listed rate, ...
pub(crate) const OWN_RATE_SECONDS: usize = 60;
/// ... and at least so many, as the first answers of a process are too few to tell.
const OWN_RATE_SECONDS_MIN: u64 = 10;

/// A route at its first listing, with the rate listed or 0.
pub(super) fn new_route(state: &State, listed_rate: f64, kind: DestinationKindId) -> Route {
    let shares = if state.batch_size(kind) > 1 { START_SHARES_BATCH } else { START_SHARES };
    let is_unknown = state.settings.listed_rate == ListedRate::Unknown;
    Route {
        rate_limit: if is_unknown { least_own_rate(&state.settings) } else { listed_rate },
        rate_share: fair_share(&state.settings, listed_rate) * shares,
        rate_budget: TokenBucket::new(listed_rate, state.now),
        ..Route::default()
    }
}

/// A fair share of the rate: in a large fleet more, as its own traffic is uneven and a low rate stands still.
fn fair_share(settings: &PolicySettings, rate: f64) -> f64 {
    let least = if settings.relay_count > LARGE_FLEET { LARGE_FLEET_SHARE_MIN } else { 0.0 };
    (least / rate.max(1.0)).clamp(1.0 / f64::from(settings.relay_count), 1.0)
}

/// Where nothing is told or learnt yet: a call a second of each relay, in a large fleet fewer.
fn least_own_rate(settings: &PolicySettings) -> f64 {
    f64::from(settings.relay_count.min(LARGE_FLEET))
}

/// Where no rate is told, this relay's answered calls stand for its part: a slow start reckoned from nothing
/// lets hardly a call pass until it is over.
pub(super) fn learn_own_rate(state: &mut State, id: RouteId) {
    let (now, relay_count) = (state.now, state.relay_count());
    let Some(route) = state.routes.get_mut(id) else { return };
    if state.settings.listed_rate != ListedRate::Unknown || route.rate_limit_reported {
        return;
    }
    route.answered_calls.add(now, 0.0);
    let span = now.as_secs().clamp(OWN_RATE_SECONDS_MIN, OWN_RATE_SECONDS as u64) as f64;
    let own_rate = route.answered_calls.totals(now).count / span;
    route.rate_limit = (own_rate * relay_count).max(least_own_rate(&state.settings));
}

/// An answer told the rate limit: it comes late and is not exact, so a listed one is better.
pub(super) fn rate_limit_reported(state: &mut State, endpoint: EndpointId, rate: f64) {
    let is_unknown = state.settings.listed_rate == ListedRate::Unknown;
    if let Some(route) = state.route_of_mut(endpoint).filter(|_| is_unknown && rate > 0.0) {
        route.rate_limit = rate;
        route.rate_limit_reported = true;
    }
}

/// An answer came while the budget ran short: the share may be larger.
pub(super) fn grow_rate_share(route: &mut Route, relay_count: f64) {
    if route.rate_budget.tokens < 1.0 {
        // Answers tell late in a large fleet: where each relay gets few calls in a second it grows by less.
        let growth = SHARE_GROWTH * (route.rate_limit / relay_count).min(1.0);
        route.rate_share = (route.rate_share + growth / route.rate_limit.max(1.0)).min(INEXACT_RATE_FACTOR);
    }
}

pub(super) fn call_rejected(state: &mut State, call: &CallResult, retry_after: Duration) {
    let now = state.now;
    let jitter = state.jitter.draw(call.endpoint.0);
    state.endpoints.record_rejection(call.endpoint, LIMIT_CUT);
    let Some(route) = state.routes.get_mut(call.route) else { return };
    route.record_rejection(now);
    if now.saturating_sub(route.rate_share_cut_at) > SHARE_CUT_INTERVAL {
        cut_rate_share(&state.settings, route, now);
    }
    let rejections = route.consecutive_rejections;
    // A large fleet halves what it asks as well, each time: a limit that was lowered is else kept used up by
    // relays that each ask their share of the listed one. Finds a limit again late.
    let multiple = 2u32.pow(rejections.min(FLEET_DELAY_DOUBLED_TO) - 1);
    let fleet_delay = slow_start::fleet_delay(&state.settings, route, now, jitter) * multiple;
    route.backoff_until = now + REJECTION_BACKOFF.after(rejections - 1).max(fleet_delay);
    if retry_after > OUTAGE_RETRY_AFTER || is_shut(route, now) {
        route.start_slow_start(now + retry_after);
    }
    state.routes.end_trial(call.route, call.number, Breaker::Open(now + fleet_delay));
}

/// What a large fleet allows beyond an even share is lent and taken back at once: call by call is too late
/// where each relay makes a call in seconds and rejected ones use the limit up. Makes load uneven.
fn cut_rate_share(settings: &PolicySettings, route: &mut Route, now: Duration) {
    let even_share = 1.0 / f64::from(settings.relay_count);
    let is_lent = fair_share(settings, route.rate_limit) > even_share;
    let most = if is_lent { even_share } else { f64::INFINITY };
    let least = if is_lent { even_share } else { SHARE_MIN * even_share };
    route.cut_rate_share(now, most, SHARE_CUT, least);
}

fn is_shut(route: &Route, now: Duration) -> bool {
    let is_long = now - route.rejected_since >= OUTAGE_REJECTION_SPAN;
    is_long && route.consecutive_rejections >= OUTAGE_REJECTIONS && !route.has_retry_after_since_rejected()
}

/// How many messages a call of the route may carry now.
pub(super) fn messages_allowed_now(state: &mut State, id: RouteId, batch: usize) -> usize {
    let now = state.now;
    let Some(route) = state.routes.get_mut(id) else { return 0 };
    // While failures run, one call at a time: most calls into silence went out before the breaker opened.
    let is_suspect = route.consecutive_failures + route.consecutive_rejections > 0;
    let must_wait = now < route.retry_after_until || now < route.backoff_until;
    if must_wait || (is_suspect && state.calls.is_result_due(id)) || !route.breaker.admits_call(now) {
        return 0;
    }
    if !has_rate_budget(&state.settings, route, now) {
        return 0;
    }
    if !route.is_closed() {
        return 1;
    }
    // Rejected again with no `Retry-After` it may be shut: one message asks, not the attempts of a batch.
    let may_be_shut = route.consecutive_rejections > 1 && !route.has_retry_after_since_rejected();
    slow_start::capacity(&state.settings, route, now, if may_be_shut { 1 } else { batch })
}

fn has_rate_budget(settings: &PolicySettings, route: &mut Route, now: Duration) -> bool {
    let is_exact = settings.listed_rate == ListedRate::Exact;
    // Where nothing is told, own answers stand for the rate after a rejection: too few in a large fleet.
    let was_rejected = route.rate_share_cut_at > Duration::ZERO && settings.relay_count <= LARGE_FLEET;
    let is_paced = is_exact || route.is_rate_inexact(settings.listed_rate) || was_rejected;
    if !is_paced || route.rate_limit <= 0.0 {
        return true;
    }
    let rate = route.rate_limit * route.rate_share.min(if is_exact { 1.0 } else { INEXACT_RATE_FACTOR });
    route.rate_budget.refill(now, rate, (rate * BURST_SECONDS).max(BURST_CALLS_MIN));
    route.rate_budget.tokens >= 1.0
}
