//! What outlives a process of the relay at an upgrade: told waits, breakers and cold ramps, by route.

use super::*;

impl Relay {
    /// Sends no new leg from now on: a process beside this one takes over all that this one holds. Ends
    /// that are due still come.
    pub fn hand_over(&mut self) {
        self.handing_over = true;
    }

    /// What an earlier process of this relay left, in this process's spans. Rule 6: its told waits bind
    /// here too; rule 4: a route it ramped stays cold. Routes not on the list yet are passed over.
    pub fn carry_in(&mut self, carried: &[Carried]) {
        for c in carried {
            let Some(route) = self.routes.get_mut(&(c.dst, c.endpoint)) else { continue };
            route.told_until = route.told_until.max(c.told_until);
            if let Some(until) = c.open_until.filter(|_| route.breaker == Breaker::Closed) {
                // A trial that was out there is not out here: the next message is the trial.
                (route.breaker, route.run, route.run_since) = (Breaker::Open(until), THRESHOLD, self.now);
            }
            c.cold_since.into_iter().for_each(|since| Relay::turn_cold(route, since));
        }
    }

    /// Tells the host all that must outlive this process, whenever that changed.
    pub(super) fn carry_out(&mut self, out: &mut dyn Writer) {
        let (now, warm) = (self.now, self.facts.warm_after);
        let carried: Vec<Carried> = (self.routes.iter())
            .filter_map(|(id, r)| {
                let told_until = if now < r.told_until { r.told_until } else { Duration::ZERO };
                let open_until = match r.breaker {
                    Breaker::Closed => None,
                    Breaker::Open(until) => Some(until),
                    Breaker::HalfOpen(_) => Some(Duration::ZERO),
                };
                let cold_since = r.cold_since.filter(|at| now < *at + warm);
                let any = told_until > Duration::ZERO || open_until.is_some() || cold_since.is_some();
                any.then_some(Carried { dst: id.0, endpoint: id.1, told_until, open_until, cold_since })
            })
            .collect();
        if carried != self.carried {
            out.carry(&carried);
            self.carried = carried;
        }
    }
}
