//! Resolved scenario: numbered destinations, endpoints and routes, the times and targets of faults, and the settings
//! of relays.

use crate::Time;
use crate::random::{Purpose, SeededRandom};
use mountshift::interface::*;
use mountshift_invariants as invariants;
use mountshift_scenario as scenario;
use mountshift_scenario::{FaultTarget, Scenario, ScriptedFaultKind};
use std::time::Duration;

/// Minimum ratio of an approximate listed rate to the true rate; the maximum is 1.5.
const MIN_APPROXIMATE_RATE_FACTOR: f64 = 0.5;
/// Listed rate of endpoints whose true rate is not published, in calls per second.
const UNKNOWN_RATE: f64 = 1.0;
/// Maximum number of attempts that a relay's settings can express.
const MAX_ATTEMPTS: u32 = 255;

/// Destination with its group and its endpoints, by number.
pub(crate) struct Destination {
    pub(crate) group: usize,
    pub(crate) endpoints: Vec<u32>,
}

/// Configuration of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointSetup {
    pub(crate) destination: u32,
    pub(crate) group: usize,
    pub(crate) zone: u8,
    pub(crate) route: u32,
}

/// Fault with its times and targets.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedFault {
    pub(crate) kind: ScriptedFaultKind,
    pub(crate) starts_at: Time,
    pub(crate) ends_at: Time,
    pub(crate) level: f64,
    /// Message class that it affects, for kinds of faults that affect one.
    pub(crate) class: u16,
    pub(crate) endpoints: Vec<u32>,
    pub(crate) relays: Vec<u32>,
}

impl ResolvedFault {
    pub(crate) fn is_active(&self, now: Time) -> bool {
        self.starts_at <= now && now < self.ends_at
    }
}

/// Targets of a fault, in ascending order.
#[derive(Default)]
struct Targets {
    endpoints: Vec<u32>,
    relays: Vec<u32>,
}

/// Scenario with numbered destinations, endpoints and routes, and with its faults resolved.
pub(crate) struct World<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) random: SeededRandom,
    pub(crate) destinations: Vec<Destination>,
    pub(crate) endpoints: Vec<EndpointSetup>,
    pub(crate) faults: Vec<ResolvedFault>,
    route_count: u32,
    /// Number of the first destination of each group.
    first_destination: Vec<u32>,
}

impl<'a> World<'a> {
    /// Resolves a scenario; equal seeds give equal worlds.
    pub(crate) fn new(scenario: &'a Scenario, seed: u64) -> World<'a> {
        let mut world = World {
            scenario,
            random: SeededRandom(seed),
            destinations: Vec::new(),
            endpoints: Vec::new(),
            faults: Vec::new(),
            route_count: 0,
            first_destination: Vec::new(),
        };
        for (group_id, group) in scenario.groups.iter().enumerate() {
            world.first_destination.push(world.destinations.len() as u32);
            for _ in 0..group.count.get() {
                world.add_destination(group_id, group);
            }
        }
        for (number, fault) in scenario.faults.iter().enumerate() {
            world.schedule_fault(number as u64, fault.as_ref());
        }
        world
    }

    /// Adds a destination on one route, or on one route per endpoint if its endpoints are independent.
    fn add_destination(&mut self, group_id: usize, group: &scenario::Group) {
        let destination = self.destinations.len() as u32;
        if !group.independent_endpoints {
            self.route_count += 1;
        }
        let mut endpoints = Vec::new();
        for index in 0..group.endpoints.get() {
            if group.independent_endpoints {
                self.route_count += 1;
            }
            let zone = ((destination + index) as usize % self.scenario.zones.len()) as u8;
            let route = self.route_count - 1;
            endpoints.push(self.endpoints.len() as u32);
            self.endpoints.push(EndpointSetup { destination, group: group_id, zone, route });
        }
        self.destinations.push(Destination { group: group_id, endpoints });
    }

    /// Returns the number of a destination, given its group and its position in it.
    pub(crate) fn destination(&self, group: usize, number: u32) -> u32 {
        self.first_destination[group] + number
    }

    /// Returns the number of the group with a name.
    pub(crate) fn group(&self, name: &str) -> usize {
        self.scenario.groups.iter().position(|g| g.name.as_ref() == name).unwrap_or_default()
    }

    /// Returns the name of a destination in the notation of scenario files.
    pub(crate) fn destination_name(&self, destination: u32) -> String {
        let group = self.destinations[destination as usize].group;
        let number = destination - self.first_destination[group];
        format!("{}/{}", self.scenario.groups[group].name.as_ref(), number)
    }

    /// Returns the number of calls per second that a route of a group can process outside slow start.
    pub(crate) fn capacity(&self, group: usize) -> f64 {
        let group = &self.scenario.groups[group];
        group.rate.0 * group.headroom.0
    }

    /// Returns the rate that the endpoint list gives for an endpoint.
    pub(crate) fn listed_rate(&self, endpoint: &EndpointSetup) -> f64 {
        let rate = self.scenario.groups[endpoint.group].rate.0;
        match self.scenario.relays.listed_rate {
            scenario::ListedRate::Exact => rate,
            scenario::ListedRate::Approximate => {
                let drawn = self.random.uniform(Purpose::EndpointList, u64::from(endpoint.route), 0);
                rate * (MIN_APPROXIMATE_RATE_FACTOR + drawn)
            }
            scenario::ListedRate::Unknown => UNKNOWN_RATE,
        }
    }

    /// Returns the zone of a relay.
    pub(crate) fn relay_zone(&self, relay: u32) -> u8 {
        (relay as usize % self.scenario.zones.len()) as u8
    }

    /// Resolves the target names of a scripted fault.
    fn targets(&self, names: &[String]) -> Targets {
        let mut targets = Targets::default();
        for target in names.iter().filter_map(|name| FaultTarget::parse(name).ok()) {
            match target {
                FaultTarget::All => targets.endpoints.extend(0..self.endpoints.len() as u32),
                FaultTarget::Relays => targets.relays.extend(0..self.scenario.relays.count.get()),
                FaultTarget::Relay(relay) => targets.relays.push(relay),
                FaultTarget::Group(name, number, endpoint) => {
                    let group = self.group(&name);
                    let numbers = 0..self.scenario.groups[group].count.get();
                    for number in numbers.filter(|n| number.is_none_or(|only| only == *n)) {
                        let destination = self.destination(group, number);
                        targets.endpoints.extend(self.endpoints_of(destination, endpoint));
                    }
                }
            }
        }
        targets.endpoints.sort_unstable();
        targets.endpoints.dedup();
        targets.relays.sort_unstable();
        targets.relays.dedup();
        targets
    }

    /// Returns the endpoints of a destination, or only the one at the index `only`.
    fn endpoints_of(&self, destination: u32, only: Option<u32>) -> Vec<u32> {
        let endpoints = &self.destinations[destination as usize].endpoints;
        match only {
            None => endpoints.clone(),
            Some(index) => endpoints.get(index as usize).copied().into_iter().collect(),
        }
    }

    /// Draws the targets of a fault, and splits a repeated fault into its occurrences.
    fn schedule_fault(&mut self, number: u64, script: &scenario::ScriptedFault) {
        let whole = self.draw_fault(number, script);
        let (Some(every), Some(lasts)) = (script.repeat_interval, script.occurrence_duration) else {
            self.faults.push(whole);
            return;
        };
        let starts = (whole.starts_at..whole.ends_at).step_by(every.us().max(1) as usize);
        for (index, starts_at) in starts.enumerate() {
            let ends_at = (starts_at + lasts.us()).min(whole.ends_at);
            let mut part = ResolvedFault { starts_at, ends_at, ..whole.clone() };
            if script.kind == ScriptedFaultKind::Waves {
                // Each occurrence affects the next relay.
                let Some(relay) = whole.relays.get(index).copied() else { break };
                part.relays = vec![relay];
            }
            self.faults.push(part);
        }
    }

    fn draw_fault(&self, number: u64, script: &scenario::ScriptedFault) -> ResolvedFault {
        let mut targets = self.targets(&script.targets);
        if let Some(share) = script.share {
            let is_affected =
                |id: u32| self.random.uniform(Purpose::FaultTargets, number, u64::from(id)) < share.0;
            targets.endpoints.retain(|endpoint| {
                // Endpoints are affected individually or together with all endpoints of their destination.
                let destination = self.endpoints[*endpoint as usize].destination;
                is_affected(if script.per_endpoint { *endpoint } else { destination })
            });
            targets.relays.retain(|relay| is_affected(*relay));
        }
        if script.kind == ScriptedFaultKind::Cut {
            targets.endpoints = self.targets(&script.cut_from).endpoints;
        }
        let classes = &self.scenario.classes;
        let class =
            script.class.as_ref().and_then(|name| classes.iter().position(|class| class.name == *name));
        ResolvedFault {
            kind: script.kind,
            starts_at: script.from.us(),
            ends_at: script.to.us(),
            level: script.level.map_or(0.0, |level| level.0),
            class: class.unwrap_or(0) as u16,
            endpoints: targets.endpoints,
            relays: targets.relays,
        }
    }

    /// Returns the settings of a starting relay; each start has its own seed.
    pub(crate) fn policy_settings(&self, relay: u32, start: u64) -> PolicySettings {
        let scenario = self.scenario;
        let relays = &scenario.relays;
        let rules = &scenario.rules;
        PolicySettings {
            relay: RelayId(relay),
            seed: self.random.derive_seed(Purpose::RelaySeed, u64::from(relay), start),
            relay_count: relays.count.get(),
            zone: ZoneId(self.relay_zone(relay).into()),
            classes: scenario.classes.iter().map(message_class).collect(),
            destination_kinds: scenario.groups.iter().map(destination_kind).collect(),
            tenant_quotas: scenario.tenants.iter().map(|tenant| tenant.quota.0).collect(),
            decay: match rules.decay {
                scenario::Decay::Linear => Decay::Linear,
                scenario::Decay::Halving => Decay::Halving,
            },
            max_calls_in_flight: relays.max_calls_in_flight.get() as usize,
            max_queued: relays.max_queued.get() as usize,
            max_attempts: rules.max_attempts.get().min(MAX_ATTEMPTS) as u8,
            listed_rate: match relays.listed_rate {
                scenario::ListedRate::Exact => ListedRate::Exact,
                scenario::ListedRate::Approximate => ListedRate::Approximate,
                scenario::ListedRate::Unknown => ListedRate::Unknown,
            },
            requires_polling: relays.watch,
            poll_interval: rules.poll_interval.0,
            may_cancel: relays.may_cancel,
            max_retry_after: rules.max_retry_after.0,
            drain_grace: rules.drain_grace.0,
            order_hold_off: rules.order_hold_off.0,
            slow_start_share: rules.slow_start_share.0,
            slow_start_duration: rules.slow_start_duration.0,
            overload_multiple: rules.overload_multiple.0,
            overload_window: rules.overload_window.0,
            zone_fees: vec![0.0; scenario.zones.len()],
            cross_zone_price: relays.cross_zone.0,
        }
    }

    /// Returns the parameters of the rules for the invariant checker, from the scenario and not from the settings of
    /// relays.
    pub(crate) fn rule_parameters(&self) -> invariants::RuleParameters {
        let scenario = self.scenario;
        let class = |class: &scenario::MessageClass| invariants::MessageClass {
            idempotency: match class.idempotency {
                scenario::Idempotency::Idempotent => invariants::Idempotency::Idempotent,
                scenario::Idempotency::NotIdempotent => invariants::Idempotency::NotIdempotent,
                scenario::Idempotency::WithKey => invariants::Idempotency::WithKey {
                    window: class.deduplication_window.map_or(0, mountshift_scenario::Span::us),
                    is_per_zone: deduplicates_per_zone(class),
                },
            },
            in_order: class.in_order,
        };
        invariants::RuleParameters {
            classes: scenario.classes.iter().map(class).collect(),
            answer_slack: 300_000,
            restart_slack: 1_500_000,
            drain_grace: scenario.rules.drain_grace.us(),
            order_hold_off: scenario.rules.order_hold_off.us(),
            slow_start_share: scenario.rules.slow_start_share.0,
            slow_start_duration: scenario.rules.slow_start_duration.us(),
            overload_multiple: scenario.rules.overload_multiple.0,
            overload_window: scenario.rules.overload_window.us(),
            retry_after_grace: 0,
        }
    }
}

fn destination_kind(group: &scenario::Group) -> DestinationKind {
    DestinationKind {
        independent_endpoints: group.independent_endpoints,
        max_batch: group.max_batch.get() as usize,
    }
}

fn message_class(class: &scenario::MessageClass) -> MessageClass {
    MessageClass {
        latency_objective: class.latency_objective.0,
        deadline: class.deadline.as_ref().0,
        priority_weight: class.priority_weight.0,
        late_weight_share: class.late_weight_share.0,
        idempotency: idempotency(class),
        in_order: class.in_order,
    }
}

fn idempotency(class: &scenario::MessageClass) -> Idempotency {
    match class.idempotency {
        scenario::Idempotency::Idempotent => Idempotency::Idempotent,
        scenario::Idempotency::NotIdempotent => Idempotency::NotIdempotent,
        scenario::Idempotency::WithKey => {
            let window = class.deduplication_window.map_or(Duration::ZERO, |window| window.0);
            let scope = if deduplicates_per_zone(class) {
                DeduplicationScope::SameZone
            } else {
                DeduplicationScope::AllEndpoints
            };
            Idempotency::WithKey { window, scope }
        }
    }
}

/// Returns whether idempotency keys are shared by the endpoints of one zone rather than by all endpoints of a
/// destination.
pub(crate) fn deduplicates_per_zone(class: &scenario::MessageClass) -> bool {
    class.deduplication_scope.as_ref().is_some_and(|g| *g.as_ref() == scenario::DeduplicationScope::SameZone)
}
