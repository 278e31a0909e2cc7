//! Rate limits: pacing to the listed rate, to rejections and to `Retry-After`.

use super::concurrency::CREDITS_CUT;
use super::slow_start::{
    COLD_BURST, COLD_FULL_SPAN, COLD_FULLS, COLD_FURTHER, COLD_ITEM, COLD_ROUGH, COLD_WAIT, CROWD,
};
use super::{DeliveryPolicy, ms};
use crate::interface::*;
use crate::state::{Breaker, RouteId};
use std::time::Duration;

const PACE_CUT: f64 = 0.7;
const PACE_CUT_EVERY: Duration = ms(300);
pub(super) const PACE_START: f64 = 1.3; // of an even portion, ...
pub(super) const PACE_START_BATCH: f64 = 0.95; // ... or this where calls take more messages as they wait
pub(super) const PACE_GROWTH: f64 = 0.2; // for each call of a second at the listed rate, while tokens run short
const PACE_LEAST: f64 = 0.5; // of an even portion
const PACE_FEW: f64 = 2.0; // calls a second, the least that counts as a portion among many relays
const PACE_BURST: f64 = 0.5; // seconds of the rate that may go at once, ...
const PACE_CALLS: f64 = 1.6; // ... and at least so many calls
pub(super) const ROUGH: f64 = 1.5; // a rough rate may be this much off
const FULL_PAUSE: Duration = ms(120); // after a refusal, doubled in a row: a shut one is asked seldom
const FULL_PAUSE_MOST: Duration = ms(2_000);
const CROWD_HALVINGS: u32 = 3;
pub(crate) const OWN_SPAN: u64 = 60; // seconds over which own calls stand in for a listed rate, ...
const OWN_LEAST: u64 = 10; // ... and at least so many

impl DeliveryPolicy {
    pub(super) fn refused(&mut self, route_id: RouteId, call: u64, to: EndpointId, wait: Duration) {
        let (now, chance) = (self.now, self.chance(to.0));
        // What goes beyond an even portion is lent: guards against a crowd that takes it back call by call,
        // too late where each makes a call in seconds and refused ones use the limit up. Harm: uneven load.
        let even = 1.0 / f64::from(self.settings.relay_count);
        let lent = self.routes.get(&route_id).is_some_and(|r| self.portion(r.rate) > even);
        let (least, most) = if lent { (even, even) } else { (PACE_LEAST * even, f64::INFINITY) };
        self.endpoints.entry(to).and_modify(|ep| ep.limit = (ep.limit * CREDITS_CUT).max(1.0));
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let since = if route.fulls == 0 { now } else { route.full_since };
        (route.full_since, route.fulls) = (since, route.fulls + 1);
        let crowd = DeliveryPolicy::crowd_delay(&self.settings, route, now, chance);
        let pause = (FULL_PAUSE * 2u32.pow(route.fulls.min(6) - 1)).min(FULL_PAUSE_MOST);
        // A crowd halves what it asks as well, each time: guards against a limit that was lowered and all
        // together, each at its share of the listed one, keep used up. Harm: a limit found again late.
        let crowd = crowd * 2u32.pow(route.fulls.min(CROWD_HALVINGS) - 1);
        route.pause_until = now + pause.max(crowd);
        if now.saturating_sub(route.pace_at) > PACE_CUT_EVERY {
            (route.pace, route.pace_at) = ((route.pace.min(most) * PACE_CUT).max(least), now);
        }
        let shut =
            route.retry_after_until < since && route.fulls >= COLD_FULLS && now - since >= COLD_FULL_SPAN;
        (shut || wait > COLD_WAIT).then(|| DeliveryPolicy::turn_cold(route, now + wait));
        self.end_trial(route_id, call, Breaker::Open(now + crowd));
    }

    /// Rule 6: every wait binds, whichever answer tells it and however late it comes.
    pub(super) fn retry_after(&mut self, to: EndpointId, wait: Duration) {
        let until = self.now + wait;
        let route_id = (self.endpoints.contains_key(&to) && wait > ms(0)).then(|| self.route_of(to));
        let route = route_id.and_then(|id| self.routes.get_mut(&id));
        route.into_iter().for_each(|r| r.retry_after_until = r.retry_after_until.max(until));
    }

    /// An answer told the limit, in calls a second of all relays together: late, and not exact.
    pub(super) fn rate_limit_reported(&mut self, to: EndpointId, rate: f64) {
        let untold = self.settings.listed_rate == ListedRate::Unknown && self.endpoints.contains_key(&to);
        let route_id = (untold && rate > 0.0).then(|| self.route_of(to));
        let Some(route) = route_id.and_then(|id| self.routes.get_mut(&id)) else { return };
        (route.rate, route.told_rate) = (rate, true);
    }

    /// An even portion. Guards against standstill among many relays: their own traffic is uneven.
    pub(super) fn portion(&self, rate: f64) -> f64 {
        let few = if self.settings.relay_count > CROWD { PACE_FEW } else { 0.0 };
        (few / rate.max(1.0)).clamp(1.0 / f64::from(self.settings.relay_count), 1.0)
    }

    /// Where no rate is told, the calls that this relay had answered stand for its part: guards against
    /// a cold ramp reckoned from nothing, which lets hardly a call pass until the route is warm.
    pub(super) fn call_answered(&mut self, route_id: RouteId) {
        let untold = self.settings.listed_rate == ListedRate::Unknown;
        let Some(route) = self.routes.get_mut(&route_id).filter(|r| untold && !r.told_rate) else { return };
        route.answered.add(self.now, 0.0);
        let span = self.now.as_secs().clamp(OWN_LEAST, OWN_SPAN) as f64;
        let own = route.answered.totals(self.now, OWN_SPAN).0 / span;
        route.rate =
            (own * f64::from(self.settings.relay_count)).max(f64::from(self.settings.relay_count.min(CROWD)));
    }

    /// How many messages a route takes now.
    pub(super) fn room(&mut self, route_id: RouteId, batch: usize) -> usize {
        let now = self.now;
        let asking = self.calls.values().any(|c| c.route == route_id && !c.counted);
        let f = &self.settings;
        let Some(route) = self.routes.get_mut(&route_id) else { return 0 };
        // While failures run, one call at a time: most calls into silence went out before it opened.
        if now < route.retry_after_until || now < route.pause_until || (route.run + route.fulls > 0 && asking)
        {
            return 0;
        }
        let trial = match route.breaker {
            Breaker::Closed => false,
            Breaker::Open(until) if now < until => return 0,
            Breaker::Open(_) | Breaker::HalfOpen(None) => true,
            Breaker::HalfOpen(Some(_)) => return 0,
        };
        let rough = f.listed_rate == ListedRate::Approximate || route.told_rate;
        // Where nothing is told, own answers stand for the rate once one was refused: too few in a crowd.
        let own = route.pace_at > ms(0) && f.relay_count <= CROWD;
        if (f.listed_rate == ListedRate::Exact || rough || own) && route.rate > 0.0 {
            let most = if f.listed_rate == ListedRate::Exact { 1.0 } else { ROUGH };
            let rate = route.rate * route.pace.min(most);
            route.tokens.refill(now, rate, (rate * PACE_BURST).max(PACE_CALLS));
            if route.tokens.left < 1.0 {
                return 0;
            }
        }
        // Refused again with no wait told it may be shut: one message asks, not a batch that burns legs.
        let batch =
            if trial || route.fulls > 1 && route.retry_after_until < route.full_since { 1 } else { batch };
        let Some(since) = route.slow_start_since.filter(|_| !trial) else { return batch };
        let warm = now.saturating_sub(since).as_secs_f64() / f.slow_start_duration.as_secs_f64().max(0.001);
        if warm >= 1.0 {
            route.slow_start_since = None;
            return batch;
        }
        let share = f.slow_start_share + (1.0 - f.slow_start_share) * warm;
        let listed = if rough { route.rate / COLD_ROUGH } else { route.rate };
        let rate = f.overload_multiple * share * listed / f64::from(f.relay_count);
        route.cold.refill(now, rate, (COLD_BURST * rate * f.overload_window.as_secs_f64()).max(1.0));
        // A call weighs little more for each further message; the first wants a whole token.
        let further = (route.cold.left - 1.0) / COLD_ITEM;
        if further < 0.0 { 0 } else { batch.min(1 + COLD_FURTHER + further as usize) }
    }
}
