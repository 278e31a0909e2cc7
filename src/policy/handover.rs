//! What outlives a process of the relay at an upgrade: `Retry-After`, breakers and slow starts, by route.

use super::DeliveryPolicy;
use super::circuit_breaker::THRESHOLD;
use crate::interface::*;
use crate::state::Breaker;
use std::time::Duration;

impl DeliveryPolicy {
    /// Sends no new leg from now on: a process beside this one takes over all that this one holds. Ends
    /// that are due still come.
    pub(super) fn handover_started(&mut self) {
        self.handing_over = true;
    }

    /// What an earlier process of this relay left, in this process's spans. Rule 6: its told waits bind
    /// here too; rule 4: a route it ramped stays cold. Routes not on the list yet are passed over.
    pub(super) fn routes_restored(&mut self, carried: &[RouteSnapshot]) {
        for c in carried {
            let Some(route) = self.routes.get_mut(&(c.destination, c.endpoint)) else { continue };
            route.retry_after_until = route.retry_after_until.max(c.retry_after_until);
            if let Some(until) = c.open_until.filter(|_| route.breaker == Breaker::Closed) {
                // A trial that was out there is not out here: the next message is the trial.
                (route.breaker, route.run, route.run_since) = (Breaker::Open(until), THRESHOLD, self.now);
            }
            c.slow_start_since.into_iter().for_each(|since| DeliveryPolicy::turn_cold(route, since));
        }
    }

    /// Tells the host all that must outlive this process, whenever that changed.
    pub(super) fn persist_routes(&mut self, out: &mut dyn Actions) {
        let (now, warm) = (self.now, self.settings.slow_start_duration);
        let carried: Vec<RouteSnapshot> = (self.routes.iter())
            .filter_map(|(id, r)| {
                let retry_after_until =
                    if now < r.retry_after_until { r.retry_after_until } else { Duration::ZERO };
                let open_until = match r.breaker {
                    Breaker::Closed => None,
                    Breaker::Open(until) => Some(until),
                    Breaker::HalfOpen(_) => Some(Duration::ZERO),
                };
                let slow_start_since = r.slow_start_since.filter(|at| now < *at + warm);
                let any =
                    retry_after_until > Duration::ZERO || open_until.is_some() || slow_start_since.is_some();
                any.then_some(RouteSnapshot {
                    destination: id.0,
                    endpoint: id.1,
                    retry_after_until,
                    open_until,
                    slow_start_since,
                })
            })
            .collect();
        if carried != self.carried {
            out.persist_routes(&carried);
            self.carried = carried;
        }
    }
}
