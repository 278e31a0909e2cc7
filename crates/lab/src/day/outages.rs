//! Endpoint faults: their effects on connections and work, and the outages of routes that result.

use super::calls::Stage;
use super::endpoints::FAILED_EFFECT_SHARE;
use super::events::Event;
use super::{ANSWER_DELAY, Day};
use crate::Time;
use crate::random::Purpose;
use crate::servers::FaultEffects;
use mountshift::interface::Outcome;
use mountshift_invariants::Fact;

/// Shortest outage that a slow start follows; after a shorter one caches are still warm, and no relay can have
/// noticed it.
const MIN_OUTAGE_BEFORE_SLOW_START: Time = 1_000_000;

impl Day<'_> {
    /// Begins or ends a fault that affects an endpoint itself.
    pub(super) fn update_endpoint_fault(&mut self, endpoint: u32, fault: usize, begins: bool) {
        let server = &mut self.servers[endpoint as usize];
        server.active_faults.retain(|active| *active != fault);
        if begins {
            server.active_faults.push(fault);
        }
        let after = FaultEffects::new(&server.active_faults, &self.world.faults);
        let before = std::mem::replace(&mut server.effects, after.clone());
        let route = server.setup.route;
        let starts_refusing = after.refuses && !before.refuses;
        let reappears = before.vanished && !after.vanished;
        if starts_refusing || reappears {
            self.break_connections(endpoint, starts_refusing);
        } else if after.vanished && !before.vanished {
            self.discard_work(endpoint);
        }
        self.update_outage(route);
        if after.frozen_until > self.now {
            self.schedule(after.frozen_until, Event::EndpointResumes { endpoint });
        } else {
            self.start_queued_calls(endpoint);
        }
    }

    /// Discards the queued and running calls of an endpoint; a part of the running calls takes effect first.
    fn discard_work(&mut self, endpoint: u32) {
        let server = &mut self.servers[endpoint as usize];
        server.busy = 0;
        let running = std::mem::take(&mut server.running);
        let queued = std::mem::take(&mut server.queue);
        for call in running {
            if self.world.random.uniform(Purpose::FailedCallEffect, call, 1) < FAILED_EFFECT_SHARE {
                self.apply_effects(call);
            }
            self.finish_at_endpoint(call);
        }
        for call in queued {
            self.finish_at_endpoint(call);
        }
    }

    /// Breaks all connections of an endpoint; if `announced`, relays receive a reset at once.
    pub(super) fn break_connections(&mut self, endpoint: u32, announced: bool) {
        self.discard_work(endpoint);
        let server = &mut self.servers[endpoint as usize];
        server.epoch += 1;
        server.connections = 0;
        let connected = self.calls.iter().filter(|(_, call)| call.endpoint == endpoint && call.connected);
        let mut calls: Vec<u64> = connected.map(|(id, _)| *id).collect();
        calls.sort_unstable();
        for call_id in calls {
            let call = &self.calls[&call_id];
            let relay = call.relay;
            if call.stage == Stage::InTransit {
                continue;
            }
            // A host that is back responds with a reset when data arrives on an old connection.
            let noticed = if announced { self.network_delay(relay, endpoint) } else { ANSWER_DELAY };
            let silence = self.silent_until(relay, endpoint).saturating_sub(self.now);
            self.fail_call(call_id, Outcome::Reset, noticed + silence);
        }
    }

    /// Begins or ends the outage of a route after a change at one of its endpoints.
    pub(super) fn update_outage(&mut self, route_id: u32) {
        let now = self.now;
        let all_in_outage = self.all_endpoints_in_outage(route_id);
        let route = &mut self.routes[route_id as usize];
        if all_in_outage == route.in_outage || route.overloaded {
            return;
        }
        route.in_outage = all_in_outage;
        if all_in_outage {
            route.slow_start_since = None;
            route.outage_since = now;
            self.record(Fact::OutageStarted { route: route_id });
        } else if now - route.outage_since >= MIN_OUTAGE_BEFORE_SLOW_START {
            route.slow_start_since = Some(now);
            self.record(Fact::OutageEnded { route: route_id });
        }
    }

    /// Returns whether the route has endpoints in service and all of them are in outage.
    fn all_endpoints_in_outage(&self, route_id: u32) -> bool {
        let endpoints = &self.routes[route_id as usize].endpoints;
        let servers = endpoints.iter().map(|endpoint| &self.servers[*endpoint as usize]);
        let mut in_service = servers.filter(|server| !server.removed).peekable();
        in_service.peek().is_some() && in_service.all(|server| server.effects.is_in_outage())
    }

    /// Takes a route down for the rest of the day, after it received more calls than it can handle in slow start.
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
