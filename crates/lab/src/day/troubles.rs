//! The script of troubles: what begins and ends, and what that does to endpoints, relays and the list.

use super::Day;
use super::events::Event;
use crate::host::Came;
use mountshift::interface::EndpointStatus;
use mountshift_invariants::Fact;
use mountshift_scenario::TroubleKind;

impl Day<'_> {
    pub(super) fn strike(&mut self, n: usize, on: bool) {
        let strike = self.world.strikes[n].clone();
        match strike.kind {
            TroubleKind::Kill | TroubleKind::Waves => {
                for relay in strike.relays {
                    if on {
                        self.kill(relay, n);
                    } else if !self.relays[relay as usize].up {
                        self.start(relay);
                    }
                }
            }
            TroubleKind::Stall => {
                for relay in strike.relays {
                    if on {
                        self.fact(Fact::RelayStands { relay, until: strike.to });
                        let host = &mut self.relays[relay as usize];
                        host.stalled_until = host.stalled_until.max(strike.to);
                        let patience = self.now + self.world.scenario.clients.patience.us();
                        let asks = |m: &&Came| matches!(m, Came::Message { .. });
                        let waiting: Vec<Came> = host.inbox.iter().filter(asks).cloned().collect();
                        for came in waiting {
                            if let Came::Message { msg, .. } = came {
                                self.at(patience, Event::Patience(msg));
                            }
                        }
                    }
                }
            }
            TroubleKind::Cut => {
                self.cuts.retain(|c| *c != n);
                if on {
                    self.cuts.push(n);
                }
            }
            TroubleKind::ClockStep => {
                let by = (strike.level * 1e6) as i64;
                for relay in strike.relays {
                    self.relays[relay as usize].step_clock(if on { by } else { -by });
                }
            }
            TroubleKind::WatchLost | TroubleKind::ListLate => {
                self.lists_held = if on { self.lists_held + 1 } else { self.lists_held - 1 };
                if on && strike.kind == TroubleKind::WatchLost && self.world.scenario.relays.watch {
                    for relay in strike.relays {
                        self.relays[relay as usize].inbox.push(Came::WatchFailed);
                    }
                }
            }
            TroubleKind::ListWrong => {
                for endpoint in strike.endpoints {
                    self.list(endpoint, if on { EndpointStatus::Removed } else { EndpointStatus::Ready });
                }
            }
            TroubleKind::Drain | TroubleKind::Replace | TroubleKind::Readdress => {
                self.replace(n, &strike, on)
            }
            TroubleKind::ThrottleCount
            | TroubleKind::ThrottleRate
            | TroubleKind::ThrottleLies
            | TroubleKind::ThrottleSpends => {
                let mut routes: Vec<u32> =
                    strike.endpoints.iter().map(|e| self.servers[*e as usize].route).collect();
                routes.dedup();
                for route in routes {
                    let first = self.routes[route as usize].endpoints[0];
                    let rate = self.world.scenario.groups[self.servers[first as usize].group].rate.0;
                    self.routes[route as usize].throttle(n, &strike, rate, on, self.now);
                }
            }
            _ => {
                for endpoint in strike.endpoints {
                    self.afflict(endpoint, n, on);
                }
            }
        }
    }
}
