//! Scripted faults: their start and end, and their effects on endpoints, relays and the endpoint list.

use super::Day;
use super::events::Event;
use crate::Time;
use crate::host::RelayEvent;
use crate::world::ResolvedFault;
use mountshift::interface::EndpointStatus;
use mountshift_invariants::Fact;
use mountshift_scenario::ScriptedFaultKind;

impl Day<'_> {
    /// Begins or ends a scripted fault.
    pub(super) fn update_fault(&mut self, fault_id: usize, begins: bool) {
        let fault = self.world.faults[fault_id].clone();
        match fault.kind {
            ScriptedFaultKind::Kill | ScriptedFaultKind::Waves => self.update_kill(fault_id, &fault, begins),
            ScriptedFaultKind::Stall if begins => self.begin_stall(&fault),
            ScriptedFaultKind::Stall => {}
            ScriptedFaultKind::Cut => self.update_partition(fault_id, begins),
            ScriptedFaultKind::ClockStep => self.update_clock_step(&fault, begins),
            ScriptedFaultKind::WatchLost | ScriptedFaultKind::ListLate => {
                self.update_discovery_fault(&fault, begins);
            }
            ScriptedFaultKind::ListWrong => self.update_wrong_list(&fault, begins),
            ScriptedFaultKind::Drain | ScriptedFaultKind::Replace | ScriptedFaultKind::Readdress => {
                if begins {
                    self.begin_replacements(fault_id, &fault);
                } else {
                    self.end_replacements(fault_id, fault.kind);
                }
            }
            ScriptedFaultKind::ThrottleCount
            | ScriptedFaultKind::ThrottleRate
            | ScriptedFaultKind::ThrottleLies
            | ScriptedFaultKind::ThrottleSpends => self.update_throttle(fault_id, &fault, begins),
            _ => {
                for endpoint in fault.endpoints {
                    self.update_endpoint_fault(endpoint, fault_id, begins);
                }
            }
        }
    }

    fn update_kill(&mut self, fault_id: usize, fault: &ResolvedFault, begins: bool) {
        for relay in fault.relays.iter().copied() {
            if begins {
                self.kill_relay(relay, fault_id);
            } else if !self.relays[relay as usize].up {
                self.start_relay(relay);
            }
        }
    }

    fn begin_stall(&mut self, fault: &ResolvedFault) {
        for relay in fault.relays.iter().copied() {
            self.record(Fact::RelayStalled { relay, until: fault.ends_at });
            self.stall_relay(relay, fault.ends_at);
        }
    }

    /// Stalls a relay and schedules the timeouts of clients whose submissions it has not read yet.
    fn stall_relay(&mut self, relay: u32, until: Time) {
        let relay_state = &mut self.relays[relay as usize];
        relay_state.stalled_until = relay_state.stalled_until.max(until);
        let unread = relay_state.inbox.iter().filter_map(|event| match event {
            RelayEvent::Submitted { message, .. } => Some(*message),
            _ => None,
        });
        let unread: Vec<u64> = unread.collect();
        let timeout = self.now + self.world.scenario.clients.submit_timeout.us();
        for message in unread {
            self.schedule(timeout, Event::ClientTimeout { message });
        }
    }

    fn update_partition(&mut self, fault_id: usize, begins: bool) {
        self.partitions.retain(|active| *active != fault_id);
        if begins {
            self.partitions.push(fault_id);
        }
    }

    fn update_clock_step(&mut self, fault: &ResolvedFault, begins: bool) {
        let step = (fault.level * 1e6) as i64;
        for relay in &fault.relays {
            self.relays[*relay as usize].step_clock(if begins { step } else { -step });
        }
    }

    fn update_discovery_fault(&mut self, fault: &ResolvedFault, begins: bool) {
        if !begins {
            self.discovery_faults -= 1;
            return;
        }
        self.discovery_faults += 1;
        if fault.kind == ScriptedFaultKind::WatchLost && self.world.scenario.relays.watch {
            for relay in &fault.relays {
                self.relays[*relay as usize].inbox.push(RelayEvent::PollFailed);
            }
        }
    }

    fn update_wrong_list(&mut self, fault: &ResolvedFault, begins: bool) {
        let status = if begins { EndpointStatus::Removed } else { EndpointStatus::Ready };
        for endpoint in fault.endpoints.iter().copied() {
            self.publish(endpoint, status);
        }
    }

    fn update_throttle(&mut self, fault_id: usize, fault: &ResolvedFault, begins: bool) {
        let routes = fault.endpoints.iter().map(|endpoint| self.servers[*endpoint as usize].setup.route);
        let mut routes: Vec<u32> = routes.collect();
        routes.dedup();
        for route_id in routes {
            let route = &mut self.routes[route_id as usize];
            let group = self.servers[route.endpoints[0] as usize].setup.group;
            let rate = self.world.scenario.groups[group].rate.0;
            route.change_fault_limit(fault_id, fault, rate, begins, self.now);
        }
    }
}
