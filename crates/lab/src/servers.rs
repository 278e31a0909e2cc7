//! Endpoints at work: their workers, queues and connections, and what troubles make of them.

use crate::Time;
use crate::world::{EndpointSetup, ResolvedFault, World};
use mountshift_scenario::ScriptedFaultKind;
use std::collections::VecDeque;

/// From this rate of errors on an endpoint counts as out.
const OUTAGE_ERROR_RATE: f64 = 0.5;

/// Messages of a class that take longer, now and then.
#[derive(Clone, Debug)]
pub(crate) struct HeavyTail {
    pub(crate) class: u16,
    pub(crate) factor: f64,
}

/// What the troubles of now make of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct FaultEffects {
    /// Connections are refused, and what was open breaks.
    pub(crate) refuses: bool,
    /// It is off the network without a word.
    pub(crate) vanished: bool,
    /// Until when no byte passes; 0 if bytes pass.
    pub(crate) silent_until: Time,
    /// Until when it stands still; 0 if it works.
    pub(crate) frozen_until: Time,
    /// It stands still for so long that it counts as out.
    pub(crate) hung: bool,
    /// It rejects every call.
    pub(crate) rejects_all: bool,
    pub(crate) error_rate: f64,
    pub(crate) reset_rate: f64,
    /// The share of kept connections that have died unnoticed.
    pub(crate) stale_rate: f64,
    /// The factor by which work takes longer.
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
    /// The joint effects of the active troubles, given by their numbers.
    pub(crate) fn new(active: &[usize], faults: &[ResolvedFault]) -> FaultEffects {
        let mut effects = FaultEffects::default();
        for fault in active {
            effects.add(&faults[*fault]);
        }
        effects
    }

    fn add(&mut self, fault: &ResolvedFault) {
        match fault.kind {
            ScriptedFaultKind::Errors => self.error_rate = either(self.error_rate, fault.level),
            ScriptedFaultKind::Shut => self.rejects_all = true,
            ScriptedFaultKind::Refuse | ScriptedFaultKind::Crash => self.refuses = true,
            ScriptedFaultKind::Hang => {
                self.hung = true;
                self.frozen_until = self.frozen_until.max(fault.ends);
            }
            ScriptedFaultKind::Pauses => self.frozen_until = self.frozen_until.max(fault.ends),
            ScriptedFaultKind::Silent => self.silent_until = self.silent_until.max(fault.ends),
            ScriptedFaultKind::Vanish => self.vanished = true,
            ScriptedFaultKind::Slow => self.slowdown *= fault.level,
            ScriptedFaultKind::HeavyTail => {
                self.heavy_tails.push(HeavyTail { class: fault.class, factor: fault.level });
            }
            ScriptedFaultKind::Resets => self.reset_rate = either(self.reset_rate, fault.level),
            ScriptedFaultKind::Stale => self.stale_rate = either(self.stale_rate, fault.level),
            ScriptedFaultKind::TablesFull => self.connection_table_full = true,
            _ => {}
        }
    }

    /// Down, silent, hung, rejecting all calls, or failing most of them.
    pub(crate) fn is_out(&self) -> bool {
        self.refuses
            || self.vanished
            || self.silent_until > 0
            || self.hung
            || self.rejects_all
            || self.error_rate >= OUTAGE_ERROR_RATE
    }
}

/// The probability that at least one of two independent events happens.
fn either(a: f64, b: f64) -> f64 {
    1.0 - (1.0 - a) * (1.0 - b)
}

/// An endpoint at work.
pub(crate) struct Server {
    pub(crate) setup: EndpointSetup,
    pub(crate) workers: u32,
    pub(crate) busy: u32,
    /// Calls that wait for a worker.
    pub(crate) queue: VecDeque<u64>,
    /// Calls that are worked on.
    pub(crate) running: Vec<u64>,
    pub(crate) connections: u32,
    /// Grows each time its connections break.
    pub(crate) epoch: u32,
    /// It was taken out of service for good.
    pub(crate) removed: bool,
    /// Another one that took its address over.
    pub(crate) successor: Option<u32>,
    pub(crate) active_faults: Vec<usize>,
    pub(crate) effects: FaultEffects,
}

impl Server {
    /// An endpoint with as many workers as its part of its route's capacity needs.
    pub(crate) fn new(world: &World, setup: EndpointSetup, endpoints_of_route: u32) -> Server {
        let group = &world.scenario.groups[setup.group];
        // The mean of what is drawn around the median.
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
