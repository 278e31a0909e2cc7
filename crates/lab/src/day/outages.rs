//! Troubles of endpoints: what they do to connections and work, and the outages of routes that follow.

use super::calls::Stage;
use super::endpoints::FAILED_EFFECT_SHARE;
use super::events::Event;
use super::{ANSWER_DELAY, Day};
use crate::Time;
use crate::random::Purpose;
use crate::servers::FaultEffects;
use mountshift::interface::Outcome;
use mountshift_invariants::Fact;

/// An outage shorter than this starts no slow start: caches are still warm, and nobody can have learnt of it.
const MIN_OUTAGE_BEFORE_SLOW_START: Time = 1_000_000;

impl Day<'_> {
    /// A trouble of an endpoint itself begins or ends.
    pub(super) fn change_endpoint_fault(&mut self, endpoint: u32, fault: usize, begins: bool) {
        let server = &mut self.servers[endpoint as usize];
        server.active_faults.retain(|active| *active != fault);
        if begins {
            server.active_faults.push(fault);
        }
        let after = FaultEffects::new(&server.active_faults, &self.world.faults);
        let before = std::mem::replace(&mut server.effects, after.clone());
        let route = server.setup.route;
        let dies = after.refuses && !before.refuses;
        let returns = before.vanished && !after.vanished;
        if dies || returns {
            self.break_connections(endpoint, dies);
        } else if after.vanished && !before.vanished {
            self.lose_work(endpoint);
        }
        self.update_outage(route);
        if after.frozen_until > self.now {
            self.schedule(after.frozen_until, Event::EndpointResumes { endpoint });
        } else {
            self.start_queued_calls(endpoint);
        }
    }

    /// What an endpoint worked on is lost, some of it after it took effect.
    fn lose_work(&mut self, endpoint: u32) {
        let server = &mut self.servers[endpoint as usize];
        server.busy = 0;
        let running = std::mem::take(&mut server.running);
        let queued = std::mem::take(&mut server.queue);
        for call in running {
            if self.world.random.uniform(Purpose::FailedCallEffect, call, 1) < FAILED_EFFECT_SHARE {
                self.apply_effects(call);
            }
            self.endpoint_done(call);
        }
        for call in queued {
            self.endpoint_done(call);
        }
    }

    /// All connections of an endpoint break; relays notice at once if it says so (`announced`).
    pub(super) fn break_connections(&mut self, endpoint: u32, announced: bool) {
        self.lose_work(endpoint);
        let server = &mut self.servers[endpoint as usize];
        server.epoch += 1;
        server.connections = 0;
        let connected = self.calls.iter().filter(|(_, call)| call.endpoint == endpoint && call.connected);
        let mut calls: Vec<u64> = connected.map(|(id, _)| *id).collect();
        calls.sort_unstable();
        for call_id in calls {
            let call = &self.calls[&call_id];
            let relay = call.relay;
            if call.stage == Stage::OnTheWay {
                continue;
            }
            // A machine that is back tells of old connections when it is next written to.
            let noticed = if announced { self.network_delay(relay, endpoint) } else { ANSWER_DELAY };
            let silence = self.silent_until(relay, endpoint).saturating_sub(self.now);
            self.fail_call(call_id, Outcome::Reset, noticed + silence);
        }
    }

    /// Looks whether a route's outage begins or ends with a change at one of its endpoints.
    pub(super) fn update_outage(&mut self, route_id: u32) {
        let now = self.now;
        let out = self.all_endpoints_out(route_id);
        let route = &mut self.routes[route_id as usize];
        if out == route.in_outage || route.overloaded {
            return;
        }
        route.in_outage = out;
        if out {
            route.slow_start_since = None;
            route.outage_since = now;
            self.record(Fact::OutageStarted { route: route_id });
        } else if now - route.outage_since >= MIN_OUTAGE_BEFORE_SLOW_START {
            route.slow_start_since = Some(now);
            self.record(Fact::OutageEnded { route: route_id });
        }
    }

    /// True if the route has endpoints in service and none of them serves.
    fn all_endpoints_out(&self, route_id: u32) -> bool {
        let endpoints = &self.routes[route_id as usize].endpoints;
        let servers = endpoints.iter().map(|endpoint| &self.servers[*endpoint as usize]);
        let mut in_service = servers.filter(|server| !server.removed).peekable();
        in_service.peek().is_some() && in_service.all(|server| server.effects.is_out())
    }

    /// A route in slow start was sent more than it bears: it is down for the rest of the day.
    pub(super) fn overload_route(&mut self, route_id: u32) {
        self.record(Fact::RouteOverloaded { route: route_id });
        let route = &mut self.routes[route_id as usize];
        route.overloaded = true;
        for endpoint in route.endpoints.clone() {
            self.servers[endpoint as usize].effects.refuses = true;
            self.break_connections(endpoint, true);
        }
    }
}
