//! The circuit breaker of a route: consecutive failures open it, a trial closes it again.

use super::concurrency::{CREDITS_CUT, CREDITS_MOST, DEAD_ENDPOINT_RUN};
use super::pacing::{PACE_GROWTH, ROUGH};
use super::slow_start::{COLD_FAILED, COLD_SHARE};
use super::{DeliveryPolicy, ms};
use crate::interface::*;
use crate::state::{Breaker, RouteId, Tokens};
use std::time::Duration;

pub(super) const THRESHOLD: u32 = 5; // consecutive failures that open it ...
const WINDOW: Duration = ms(20_000); // ... inside this window
const QUIET_RUN: u32 = 3; // at a quiet destination fewer do, if no success came for QUIET_SPAN
const QUIET_SPAN: Duration = ms(1_500);
const RECOVERY_DELAY: Duration = ms(1_800); // the first one; each failed trial makes it longer, ...
const RECOVERY_GROWTH: f64 = 1.4;
const RECOVERY_MOST: Duration = ms(4_500); // ... up to this, so that trials don't outnumber messages, ...
const TRIALS_PER_PARKED: u32 = 4; // ... unless this many times the run of failures wait

impl DeliveryPolicy {
    pub(super) fn set_breaker(&mut self, id: RouteId, to: Breaker) {
        let Some(route) = self.routes.get_mut(&id) else { return };
        if std::mem::discriminant(&route.breaker) != std::mem::discriminant(&to) {
            self.lines_to_log
                .push(format!("breaker of {}: {:?} -> {to:?}, run {}", id.0.0, route.breaker, route.run));
        }
        route.breaker = to;
    }

    pub(super) fn succeeded(
        &mut self,
        route_id: RouteId,
        call: u64,
        to: EndpointId,
        waited: Duration,
        full: bool,
    ) {
        let now = self.now;
        if let Some(ep) = self.endpoints.get_mut(&to) {
            ep.answers.add(now, waited.as_secs_f64());
            // All credits were out (one is back already): without the 2, a broken limit never grew again.
            let grown = if f64::from(ep.out) + 2.0 > ep.limit { 1.0 / ep.limit } else { 0.0 };
            (ep.run, ep.limit) = (0, (ep.limit + grown).min(CREDITS_MOST));
        }
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        route.ends.add(now, 0.0);
        // Guards against a crowd, or quiet routes, back at full pace as no relay saw enough to open.
        let back = route.broken && now.saturating_sub(route.run_since) >= QUIET_SPAN;
        back.then(|| DeliveryPolicy::turn_cold(route, now));
        (route.run, route.fulls, route.broken) = (0, 0, false);
        if full && route.tokens.left < 1.0 {
            // A crowd's answers tell late: where each gets few in a second it grows by less.
            let growth = PACE_GROWTH * (route.rate / f64::from(self.settings.relay_count)).min(1.0);
            route.pace = (route.pace + growth / route.rate.max(1.0)).min(ROUGH);
        }
        if route.breaker == Breaker::HalfOpen(Some(call)) {
            (route.slow_start_since, route.cold) = (Some(now), Tokens { left: 0.0, at: now });
            self.set_breaker(route_id, Breaker::Closed);
        } else if matches!(route.breaker, Breaker::Open(_)) {
            // A good answer to an earlier call: slow, not dead. The trial need not wait.
            self.set_breaker(route_id, Breaker::Open(now));
        }
    }

    pub(super) fn failed(&mut self, route_id: RouteId, call: u64, to: EndpointId) {
        let now = self.now;
        if let Some(ep) = self.endpoints.get_mut(&to) {
            (ep.limit, ep.run) = ((ep.limit * CREDITS_CUT).max(1.0), ep.run + 1);
            ep.rest_until = if ep.run >= DEAD_ENDPOINT_RUN { now + RECOVERY_DELAY } else { ep.rest_until };
        }
        let chance = self.chance(to.0);
        let parked =
            self.msgs.values().filter(|m| m.destination == route_id.0 && m.out.is_none()).count() as u32;
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        route.ends.add(now, 1.0);
        if route.run == 0 || (route.breaker == Breaker::Closed && now > route.run_since + WINDOW) {
            (route.run, route.run_since) = (0, now);
        }
        route.run += 1;
        let crowd = DeliveryPolicy::crowd_delay(&self.settings, route, now, chance);
        route.pause_until = route.pause_until.max(now + crowd);
        // Longer and longer, unless many more wait than trials went: a quiet destination is not worth asking.
        let trials = if parked > TRIALS_PER_PARKED * route.run { THRESHOLD } else { route.run };
        let more = RECOVERY_GROWTH.powi(trials.saturating_sub(THRESHOLD).min(9) as i32);
        let delay = RECOVERY_DELAY.mul_f64(more).min(RECOVERY_MOST).max(crowd);
        let (all, bad, _) = route.ends.totals(now, 4);
        let quiet = route.run >= QUIET_RUN && now.saturating_sub(route.run_since) >= QUIET_SPAN;
        let opens = route.breaker == Breaker::Closed && (route.run >= THRESHOLD || quiet);
        let cold = opens || (bad >= COLD_FAILED && bad >= COLD_SHARE * all);
        cold.then(|| DeliveryPolicy::turn_cold(route, now));
        opens.then(|| self.set_breaker(route_id, Breaker::Open(now + delay)));
        self.end_trial(route_id, call, Breaker::Open(now + delay));
    }

    pub(super) fn end_trial(&mut self, route_id: RouteId, call: u64, next: Breaker) {
        let trial = self.routes.get(&route_id).is_some_and(|r| r.breaker == Breaker::HalfOpen(Some(call)));
        trial.then(|| self.set_breaker(route_id, next));
    }
}
