//! Endpoints that are struck, and the outages of their routes.

use super::calls::{Call, Stage};
use super::events::Event;
use super::{AT_ONCE, Day};
use crate::Time;
use crate::chance::What;
use crate::servers::State;
use mountshift::interface::Outcome;
use mountshift_invariants::Fact;

/// An outage shorter than this leaves nothing cold: what was warm still is, and nobody can have learnt of it.
const COLD_LEAST: Time = 1_000_000;

impl Day<'_> {
    /// A trouble of an endpoint itself begins or ends.
    pub(super) fn afflict(&mut self, endpoint: u32, n: usize, on: bool) {
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
    pub(super) fn lose_work(&mut self, endpoint: u32) {
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
    pub(super) fn break_connections(&mut self, endpoint: u32, told: bool) {
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
    pub(super) fn look_at(&mut self, route_id: u32) {
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
            self.fact(Fact::OutageBegan { route: route_id });
        } else if now - route.out_since >= COLD_LEAST {
            route.cold_since = Some(now);
            self.fact(Fact::OutageOver { route: route_id });
        }
    }

    /// A cold route was sent more than it bears: it is down for the rest of the day.
    pub(super) fn fall_over(&mut self, route_id: u32) {
        self.fact(Fact::FellOver { route: route_id });
        self.routes[route_id as usize].fallen = true;
        for endpoint in self.routes[route_id as usize].endpoints.clone() {
            self.servers[endpoint as usize].state.refuses = true;
            self.break_connections(endpoint, true);
        }
    }
}
