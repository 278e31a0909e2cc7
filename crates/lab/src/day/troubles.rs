//! The script of troubles: what begins and ends, and what that does to endpoints, relays and the list.

use super::{AT_ONCE, Call, Day, Event, Stage};
use crate::Time;
use crate::chance::What;
use crate::host::Came;
use crate::servers::{Route, Server, State};
use crate::world::Strike;
use mountshift::interface::{EndpointStatus, Outcome};
use mountshift_invariants::Fact;
use mountshift_scenario::TroubleKind;

/// An outage shorter than this leaves nothing cold: what was warm still is, and nobody can have learnt of it.
const COLD_LEAST: Time = 1_000_000;

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
                        self.fact(Fact::RelayStalled { relay, until: strike.to });
                        let host = &mut self.relays[relay as usize];
                        host.stalled_until = host.stalled_until.max(strike.to);
                        let patience = self.now + self.world.scenario.clients.submit_timeout.us();
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

    /// A trouble of an endpoint itself begins or ends.
    fn afflict(&mut self, endpoint: u32, n: usize, on: bool) {
        let server = &mut self.servers[endpoint as usize];
        server.active.retain(|a| *a != n);
        if on {
            server.active.push(n);
        }
        let before = server.state.clone();
        server.state = State::new(&server.active, &self.world.strikes);
        let after = server.state.clone();
        let dies = after.refuses && !before.refuses;
        let back = before.vanished && !after.vanished;
        if dies || back {
            self.break_connections(endpoint, dies);
        } else if after.vanished && !before.vanished {
            self.lose_work(endpoint);
        }
        let route = self.servers[endpoint as usize].route;
        self.look_at(route);
        if after.frozen_until > self.now {
            self.at(after.frozen_until, Event::Thaw(endpoint));
        } else {
            self.start_queued(endpoint);
        }
    }

    /// What an endpoint worked on is lost, half of it done.
    fn lose_work(&mut self, endpoint: u32) {
        let server = &mut self.servers[endpoint as usize];
        server.busy = 0;
        let (running, queued) = (std::mem::take(&mut server.running), std::mem::take(&mut server.queue));
        for n in running {
            if self.world.chance.part(What::HalfRan, n, 1) < 0.5 {
                self.run(n);
            }
            self.done(n);
        }
        queued.into_iter().for_each(|n| self.done(n));
    }

    /// All connections of an endpoint break.
    fn break_connections(&mut self, endpoint: u32, told: bool) {
        self.lose_work(endpoint);
        let server = &mut self.servers[endpoint as usize];
        server.epoch += 1;
        server.connections = 0;
        let theirs = |c: &Call| c.at == endpoint && c.connected;
        let mut calls: Vec<u64> = self.calls.iter().filter(|(_, c)| theirs(c)).map(|(n, _)| *n).collect();
        calls.sort_unstable();
        for n in calls {
            let (relay, at) = (self.calls[&n].relay, endpoint);
            let reached = self.calls[&n].stage != Stage::OnItsWay;
            // A machine that is back tells of old connections when it is next written to.
            let later = if told { self.way(relay, at) } else { AT_ONCE };
            let silent = self.silent_until(relay, at).saturating_sub(self.now);
            if reached {
                self.broken(n, Outcome::Reset, later + silent);
            }
        }
    }

    /// Looks if a route's outage begins or ends with a change at one of its endpoints.
    fn look_at(&mut self, route_id: u32) {
        let route = &self.routes[route_id as usize];
        let mut live =
            route.endpoints.iter().map(|e| &self.servers[*e as usize]).filter(|s| !s.gone).peekable();
        let out = live.peek().is_some() && live.all(|s| s.state.out());
        if out == route.out || route.fallen {
            return;
        }
        let now = self.now;
        let route = &mut self.routes[route_id as usize];
        route.out = out;
        if out {
            (route.cold_since, route.out_since) = (None, now);
            self.fact(Fact::OutageStarted { route: route_id });
        } else if now - route.out_since >= COLD_LEAST {
            route.cold_since = Some(now);
            self.fact(Fact::OutageEnded { route: route_id });
        }
    }

    /// A cold route was sent more than it bears: it is down for the rest of the day.
    pub(super) fn fall_over(&mut self, route_id: u32) {
        self.fact(Fact::RouteOverloaded { route: route_id });
        self.routes[route_id as usize].fallen = true;
        for endpoint in self.routes[route_id as usize].endpoints.clone() {
            self.servers[endpoint as usize].state.refuses = true;
            self.break_connections(endpoint, true);
        }
    }

    /// Endpoints are taken out of service, others stand in their place.
    fn replace(&mut self, n: usize, strike: &Strike, on: bool) {
        let kind = strike.kind;
        if on {
            for old in strike.endpoints.iter().copied() {
                if self.servers[old as usize].gone {
                    continue;
                }
                let mut place = self.place(old);
                let group = &self.world.scenario.groups[place.group];
                let (new, apart) = (self.servers.len() as u32, group.independent_endpoints);
                let peers = if apart { 1 } else { group.endpoints.get() };
                if apart {
                    place.route = self.routes.len() as u32;
                    self.routes.push(Route::new(&self.world, place.group));
                }
                let server = Server::new(&self.world, place.dst, place.group, place.zone, place.route, peers);
                self.servers.push(server);
                self.routes[place.route as usize].endpoints.push(new);
                self.set_up(new);
                self.replaced.entry(n).or_default().push((old, new));
                match kind {
                    TroubleKind::Drain => {
                        self.list(old, EndpointStatus::Draining);
                        self.list(new, EndpointStatus::Ready);
                    }
                    TroubleKind::Readdress => self.leave(old, Some(new)),
                    _ => self.leave(old, None),
                }
            }
            return;
        }
        for (old, new) in self.replaced.remove(&n).unwrap_or_default() {
            if kind == TroubleKind::Drain {
                self.leave(old, None);
            } else {
                self.list(new, EndpointStatus::Ready);
            }
            self.list(old, EndpointStatus::Removed);
        }
    }

    fn leave(&mut self, old: u32, successor: Option<u32>) {
        self.break_connections(old, true);
        let server = &mut self.servers[old as usize];
        (server.gone, server.successor) = (true, successor);
        let route = server.route;
        self.look_at(route);
    }
}
