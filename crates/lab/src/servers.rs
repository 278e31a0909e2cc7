//! State of endpoints: workers, queues, connections and the effects of active faults.

use crate::Time;
use crate::world::{EndpointSetup, ResolvedFault, World};
use mountshift_scenario::ScriptedFaultKind;
use std::collections::VecDeque;

/// Error rate at which an endpoint counts as in outage.
const OUTAGE_ERROR_RATE: f64 = 0.5;

/// Heavy tail of service times: some calls with messages of a class take longer by a factor.
#[derive(Clone, Debug)]
pub(crate) struct HeavyTail {
    pub(crate) class: u16,
    pub(crate) factor: f64,
}

/// Combined effects of the active faults on an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct FaultEffects {
    /// Whether it refuses connections; its open connections have been reset.
    pub(crate) refuses: bool,
    /// Whether it is off the network without having closed its connections.
    pub(crate) vanished: bool,
    /// Time until which no bytes pass; 0 if bytes pass.
    pub(crate) silent_until: Time,
    /// Time until which it does no work; 0 if it works.
    pub(crate) frozen_until: Time,
    /// Whether it is frozen by a hang, which counts as an outage; a pause does not.
    pub(crate) hung: bool,
    /// Whether it rejects every call.
    pub(crate) rejects_all: bool,
    pub(crate) error_rate: f64,
    pub(crate) reset_rate: f64,
    /// Share of idle connections that are broken, undetected by their relay.
    pub(crate) stale_rate: f64,
    /// Factor by which work takes longer.
    pub(crate) slowdown: f64,
    pub(crate) heavy_tails: Vec<HeavyTail>,
    pub(crate) connection_table_full: bool,
}

impl Default for FaultEffects {
    fn default() -> FaultEffects {
        FaultEffects {
            refuses: false,
            vanished: false,
            silent_until: 0,
            frozen_until: 0,
            hung: false,
            rejects_all: false,
            error_rate: 0.0,
            reset_rate: 0.0,
            stale_rate: 0.0,
            slowdown: 1.0,
            heavy_tails: Vec::new(),
            connection_table_full: false,
        }
    }
}

impl FaultEffects {
    /// Combines the effects of the active faults, given by index.
    pub(crate) fn new(active: &[usize], faults: &[ResolvedFault]) -> FaultEffects {
        let mut effects = FaultEffects::default();
        for fault in active {
            effects.add(&faults[*fault]);
        }
        effects
    }

    fn add(&mut self, fault: &ResolvedFault) {
        match fault.kind {
            ScriptedFaultKind::Errors => self.error_rate = combine_rates(self.error_rate, fault.level),
            ScriptedFaultKind::Shut => self.rejects_all = true,
            ScriptedFaultKind::Refuse | ScriptedFaultKind::Crash => self.refuses = true,
            ScriptedFaultKind::Hang => {
                self.hung = true;
                self.frozen_until = self.frozen_until.max(fault.ends_at);
            }
            ScriptedFaultKind::Pauses => self.frozen_until = self.frozen_until.max(fault.ends_at),
            ScriptedFaultKind::Silent => self.silent_until = self.silent_until.max(fault.ends_at),
            ScriptedFaultKind::Vanish => self.vanished = true,
            ScriptedFaultKind::Slow => self.slowdown *= fault.level,
            ScriptedFaultKind::HeavyTail => {
                self.heavy_tails.push(HeavyTail { class: fault.class, factor: fault.level });
            }
            ScriptedFaultKind::Resets => self.reset_rate = combine_rates(self.reset_rate, fault.level),
            ScriptedFaultKind::Stale => self.stale_rate = combine_rates(self.stale_rate, fault.level),
            ScriptedFaultKind::TablesFull => self.connection_table_full = true,
            _ => {}
        }
    }

    /// Returns whether it counts as in outage: down, silent, hung, rejecting all calls or failing most of them.
    pub(crate) fn is_in_outage(&self) -> bool {
        self.refuses
            || self.vanished
            || self.silent_until > 0
            || self.hung
            || self.rejects_all
            || self.error_rate >= OUTAGE_ERROR_RATE
    }
}

/// Returns the probability that at least one of two independent events happens.
fn combine_rates(a: f64, b: f64) -> f64 {
    1.0 - (1.0 - a) * (1.0 - b)
}

/// State of an endpoint.
pub(crate) struct Server {
    pub(crate) setup: EndpointSetup,
    pub(crate) workers: u32,
    pub(crate) busy: u32,
    /// Ids of the calls that wait for a worker.
    pub(crate) queue: VecDeque<u64>,
    /// Ids of the calls that are being processed.
    pub(crate) running: Vec<u64>,
    pub(crate) connections: u32,
    /// Number of times that its connections were broken.
    pub(crate) epoch: u32,
    /// Whether it was permanently taken out of service.
    pub(crate) removed: bool,
    /// Endpoint that took over its address.
    pub(crate) successor: Option<u32>,
    pub(crate) active_faults: Vec<usize>,
    pub(crate) effects: FaultEffects,
}

impl Server {
    /// Creates an endpoint with as many workers as its share of the route's capacity requires.
    pub(crate) fn new(world: &World, setup: EndpointSetup, endpoints_of_route: u32) -> Server {
        let group = &world.scenario.groups[setup.group];
        // Mean of the log-normal distribution whose median is the response time.
        let mean_service_time = group.response_time.seconds()
            * (group.response_time_spread.0 * group.response_time_spread.0 / 2.0).exp();
        let capacity = world.capacity(setup.group) / f64::from(endpoints_of_route.max(1));
        Server {
            setup,
            workers: ((capacity * mean_service_time).ceil() as u32).max(1),
            busy: 0,
            queue: VecDeque::new(),
            running: Vec::new(),
            connections: 0,
            epoch: 0,
            removed: false,
            successor: None,
            active_faults: Vec::new(),
            effects: FaultEffects::default(),
        }
    }
}
