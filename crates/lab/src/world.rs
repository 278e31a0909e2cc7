//! A scenario drawn out: destinations, endpoints and routes by number, who is struck by which trouble, and what
//! relays are told at their start.

use crate::Time;
use crate::chance::{Chance, What};
use mountshift::interface::*;
use mountshift_invariants as judge;
use mountshift_scenario as scenario;
use mountshift_scenario::{Scenario, TroubleKind, Whom};
use std::time::Duration;

/// A destination of the world.
pub(crate) struct Destination {
    pub group: usize,
    pub endpoints: Vec<u32>,
}

/// An endpoint as it is set up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub dst: u32,
    pub group: usize,
    pub zone: u8,
    pub route: u32,
}

/// A trouble with its times and whom it strikes.
#[derive(Clone, Debug)]
pub(crate) struct Strike {
    pub kind: TroubleKind,
    pub from: Time,
    pub to: Time,
    pub level: f64,
    pub lane: u16,
    pub endpoints: Vec<u32>,
    pub relays: Vec<u32>,
}

pub(crate) struct World<'a> {
    pub scenario: &'a Scenario,
    pub chance: Chance,
    pub destinations: Vec<Destination>,
    pub places: Vec<Place>,
    pub routes: u32,
    pub strikes: Vec<Strike>,
    /// By group: what the list tells, and what a destination of it can work off.
    first_of: Vec<u32>,
}

impl<'a> World<'a> {
    pub fn new(scenario: &'a Scenario, seed: u64) -> World<'a> {
        let mut world = World {
            scenario,
            chance: Chance(seed),
            destinations: Vec::new(),
            places: Vec::new(),
            routes: 0,
            strikes: Vec::new(),
            first_of: Vec::new(),
        };
        for (group, g) in scenario.groups.iter().enumerate() {
            world.first_of.push(world.destinations.len() as u32);
            for _ in 0..g.count.get() {
                let dst = world.destinations.len() as u32;
                world.routes += u32::from(!g.independent_endpoints);
                let mut endpoints = Vec::new();
                for i in 0..g.endpoints.get() {
                    world.routes += u32::from(g.independent_endpoints);
                    let zone = ((dst + i) as usize % scenario.zones.len()) as u8;
                    endpoints.push(world.places.len() as u32);
                    world.places.push(Place { dst, group, zone, route: world.routes - 1 });
                }
                world.destinations.push(Destination { group, endpoints });
            }
        }
        for (n, trouble) in scenario.troubles.iter().enumerate() {
            world.strike(n as u64, trouble.as_ref());
        }
        world
    }

    /// The number of a group's destination.
    pub fn destination(&self, group: usize, number: u32) -> u32 {
        self.first_of[group] + number
    }

    pub fn group(&self, name: &str) -> usize {
        self.scenario.groups.iter().position(|g| g.name.as_ref() == name).unwrap_or_default()
    }

    /// What a destination is called in scenario files.
    pub fn name(&self, dst: u32) -> String {
        let group = self.destinations[dst as usize].group;
        format!("{}/{}", self.scenario.groups[group].name.as_ref(), dst - self.first_of[group])
    }

    /// Calls a second that a route works off while warm.
    pub fn capacity(&self, group: usize) -> f64 {
        let g = &self.scenario.groups[group];
        g.rate.0 * g.headroom.0
    }

    /// What the list tells of a destination's rate.
    pub fn listed_rate(&self, place: &Place) -> f64 {
        let rate = self.scenario.groups[place.group].rate.0;
        match self.scenario.relays.listed_rate {
            scenario::ListedRate::Exact => rate,
            scenario::ListedRate::Approximate => {
                rate * (0.5 + self.chance.part(What::List, u64::from(place.route), 0)).max(0.5)
            }
            scenario::ListedRate::Unknown => 1.0,
        }
    }

    pub fn relay_zone(&self, relay: u32) -> u8 {
        (relay as usize % self.scenario.zones.len()) as u8
    }

    fn named(&self, who: &[String]) -> (Vec<u32>, Vec<u32>) {
        let (mut endpoints, mut relays) = (Vec::new(), Vec::new());
        for whom in who.iter().filter_map(|text| Whom::read(text).ok()) {
            match whom {
                Whom::All => endpoints.extend(0..self.places.len() as u32),
                Whom::Relays => relays.extend(0..self.scenario.relays.count.get()),
                Whom::Relay(n) => relays.push(n),
                Whom::Group(name, which, endpoint) => {
                    let group = self.group(&name);
                    let all = 0..self.scenario.groups[group].count.get();
                    for n in all.filter(|n| which.is_none_or(|w| w == *n)) {
                        let of = &self.destinations[self.destination(group, n) as usize].endpoints;
                        let fits = |i: usize| endpoint.is_none_or(|e| e as usize == i);
                        endpoints.extend(of.iter().enumerate().filter(|(i, _)| fits(*i)).map(|(_, e)| *e));
                    }
                }
            }
        }
        endpoints.sort_unstable();
        endpoints.dedup();
        relays.sort_unstable();
        relays.dedup();
        (endpoints, relays)
    }

    fn strike(&mut self, n: u64, t: &scenario::Trouble) {
        let (mut endpoints, mut relays) = self.named(&t.who);
        if let Some(share) = t.share {
            let drawn = |what: u64| self.chance.part(What::Troubles, n, what) < share.0;
            let places = &self.places;
            endpoints
                .retain(|e| drawn(if t.each { u64::from(*e) } else { u64::from(places[*e as usize].dst) }));
            relays.retain(|r| drawn(u64::from(*r)));
        }
        let lane =
            t.lane.as_ref().and_then(|l| self.scenario.classes.iter().position(|lane| lane.name == *l));
        let (from, to) = (t.from.us(), t.to.us());
        let level = t.level.map_or(0.0, |l| l.0);
        if t.kind == TroubleKind::Cut {
            endpoints = self.named(&t.off).0;
        }
        let whole =
            Strike { kind: t.kind, from, to, level, lane: lane.unwrap_or(0) as u16, endpoints, relays };
        let (Some(every), Some(lasts)) = (t.every, t.lasts) else {
            self.strikes.push(whole);
            return;
        };
        let starts = (from..to).step_by(every.us().max(1) as usize);
        for (i, start) in starts.enumerate() {
            let mut part = Strike { from: start, to: (start + lasts.us()).min(to), ..whole.clone() };
            if t.kind == TroubleKind::Waves {
                // One relay after another.
                let Some(relay) = whole.relays.get(i).copied() else { break };
                part.relays = vec![relay];
            }
            self.strikes.push(part);
        }
    }

    /// The settings of a relay at its start.
    pub fn policy_settings(&self, relay: u32, start: u64) -> PolicySettings {
        let s = self.scenario;
        let kind = |g: &scenario::Group| DestinationKind {
            independent_endpoints: g.independent_endpoints,
            max_batch: g.max_batch.get() as usize,
        };
        let class = |l: &scenario::MessageClass| MessageClass {
            latency_objective: l.latency_objective.0,
            deadline: l.deadline.as_ref().0,
            priority_weight: l.priority_weight.0,
            late_weight_share: l.late_weight_share.0,
            idempotency: match l.idempotency {
                scenario::Idempotency::Idempotent => Idempotency::Idempotent,
                scenario::Idempotency::NotIdempotent => Idempotency::NotIdempotent,
                scenario::Idempotency::WithKey => Idempotency::WithKey {
                    window: l.deduplication_window.map_or(Duration::ZERO, |m| m.0),
                    scope: if by_zone(l) {
                        DeduplicationScope::SameZone
                    } else {
                        DeduplicationScope::AllEndpoints
                    },
                },
            },
            in_order: l.in_order,
        };
        PolicySettings {
            relay: RelayId(relay),
            seed: self.chance.seed(What::Relay, u64::from(relay), start),
            relay_count: s.relays.count.get(),
            zone: ZoneId(self.relay_zone(relay).into()),
            classes: s.classes.iter().map(class).collect(),
            destination_kinds: s.groups.iter().map(kind).collect(),
            tenant_quotas: s.tenants.iter().map(|t| t.quota.0).collect(),
            decay: match s.rules.decay {
                scenario::Decay::Linear => Decay::Linear,
                scenario::Decay::Halving => Decay::Halving,
            },
            max_calls_in_flight: s.relays.max_calls_in_flight.get() as usize,
            max_queued: s.relays.max_queued.get() as usize,
            max_attempts: s.rules.max_attempts.get().min(255) as u8,
            listed_rate: match s.relays.listed_rate {
                scenario::ListedRate::Exact => ListedRate::Exact,
                scenario::ListedRate::Approximate => ListedRate::Approximate,
                scenario::ListedRate::Unknown => ListedRate::Unknown,
            },
            must_poll: s.relays.watch,
            poll_interval: s.rules.poll_interval.0,
            may_cancel: s.relays.may_cancel,
            max_retry_after: s.rules.max_retry_after.0,
            drain_grace: s.rules.drain_grace.0,
            order_hold_off: s.rules.order_hold_off.0,
            slow_start_share: s.rules.slow_start_share.0,
            slow_start_duration: s.rules.slow_start_duration.0,
            overload_multiple: s.rules.overload_multiple.0,
            overload_window: s.rules.overload_window.0,
            zone_fees: vec![0.0; s.zones.len()],
            cross_zone_price: s.relays.cross_zone.0,
        }
    }

    /// The rules' figures for the judge, read from the scenario and not from what relays are told.
    pub fn figures(&self) -> judge::RuleParameters {
        let s = self.scenario;
        let lane = |l: &scenario::MessageClass| judge::MessageClass {
            idempotency: match l.idempotency {
                scenario::Idempotency::Idempotent => judge::Idempotency::Idempotent,
                scenario::Idempotency::NotIdempotent => judge::Idempotency::NotIdempotent,
                scenario::Idempotency::WithKey => judge::Idempotency::WithKey {
                    window: l.deduplication_window.map_or(0, |m| m.us()),
                    by_zone: by_zone(l),
                },
            },
            in_order: l.in_order,
        };
        judge::RuleParameters {
            classes: s.classes.iter().map(lane).collect(),
            answer_slack: 300_000,
            restart_slack: 1_500_000,
            drain_grace: s.rules.drain_grace.us(),
            order_hold_off: s.rules.order_hold_off.us(),
            slow_start_share: s.rules.slow_start_share.0,
            slow_start_duration: s.rules.slow_start_duration.us(),
            overload_multiple: s.rules.overload_multiple.0,
            overload_window: s.rules.overload_window.us(),
            retry_after_grace: 0,
        }
    }
}

pub(crate) fn by_zone(lane: &scenario::MessageClass) -> bool {
    lane.deduplication_scope.as_ref().is_some_and(|g| *g.as_ref() == scenario::DeduplicationScope::SameZone)
}
