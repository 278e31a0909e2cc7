//! Slow start: a destination that comes back from an outage takes a part of its load first.

use super::{DeliveryPolicy, ms};
use crate::interface::*;
use crate::state::{Route, Tokens};
use std::time::Duration;

pub(super) const CROWD: u32 = 6; // relays, from which their trials add up and even portions are too small, ...
const CROWD_LOAD: f64 = 1.0; // share of the listed rate that others may ask since failures began, ...
const CROWD_SPAN: Duration = ms(4_000); // ... for so long at least
pub(super) const COLD_ROUGH: f64 = 1.15; // a rough rate is taken for so much less
pub(super) const COLD_ITEM: f64 = 0.25; // what each further message of a call weighs against the budget
pub(super) const COLD_FURTHER: usize = 4; // further messages that may overdraw the budget
pub(super) const COLD_BURST: f64 = 0.3; // of what the budget lets pass in the fall span
pub(super) const COLD_SHARE: f64 = 0.6; // share of calls failed lately that counts as an outage, ...
pub(super) const COLD_FAILED: f64 = 3.0; // ... of at least so many
pub(super) const COLD_FULLS: u32 = 4; // refusals in a row, no wait told (guards against ramps after limits), ...
pub(super) const COLD_FULL_SPAN: Duration = ms(2_500); // ... without a success for so long, that count as one
pub(super) const COLD_WAIT: Duration = ms(1_500); // a told wait longer than this means shut

impl DeliveryPolicy {
    pub(super) fn turn_cold(route: &mut Route, since: Duration) {
        route.cold =
            route.slow_start_since.replace(since).map_or(Tokens { left: 0.0, at: since }, |_| route.cold);
    }

    /// Guards against a crowd of relays that pushes over a cold destination (rule 4) or starves one that
    /// refuses: from the second bad end in a row on all who may ask share what it takes. Harm: late returns.
    pub(super) fn crowd_delay(f: &PolicySettings, route: &Route, now: Duration, chance: f64) -> Duration {
        let began = if route.run > 0 { route.run_since } else { route.full_since };
        let since = now.saturating_sub(began).max(CROWD_SPAN).as_secs_f64();
        let (relays, rate) = (f64::from(f.relay_count.saturating_sub(CROWD)), route.rate.max(1.0));
        let others =
            if route.run + 2 * route.fulls > 1 { relays.min(CROWD_LOAD * rate * since) } else { 0.0 };
        let warm =
            (f.overload_window.as_secs_f64() / f.slow_start_duration.as_secs_f64().max(0.001)).min(1.0);
        let takes =
            (f.overload_multiple * (f.slow_start_share + (1.0 - f.slow_start_share) * warm) * rate).max(0.01);
        Duration::from_secs_f64(others * (0.5 + chance) / takes).min(f.slow_start_duration * 2)
    }

    /// The endpoint was out by hand and was restarted meanwhile: its route comes back cold (rule 4).
    pub(super) fn endpoint_restarted(&mut self, id: EndpointId) {
        let route_id = self.endpoints.contains_key(&id).then(|| self.route_of(id));
        let now = self.now;
        route_id
            .and_then(|r| self.routes.get_mut(&r))
            .into_iter()
            .for_each(|r| DeliveryPolicy::turn_cold(r, now));
    }
}
