//! Endpoints that are taken out of service, and their replacements.

use super::Day;
use crate::route::Route;
use crate::servers::Server;
use crate::world::ResolvedFault;
use mountshift::interface::EndpointStatus;
use mountshift_scenario::ScriptedFaultKind;

/// An endpoint and its replacement.
pub(super) struct Replacement {
    old: u32,
    new: u32,
}

impl Day<'_> {
    /// Begins a fault that drains endpoints, replaces them, or gives their addresses to other endpoints.
    pub(super) fn begin_replacements(&mut self, fault_id: usize, fault: &ResolvedFault) {
        for old in fault.endpoints.iter().copied() {
            if self.servers[old as usize].removed {
                continue;
            }
            let new = self.add_replacement(old);
            self.replacements.entry(fault_id).or_default().push(Replacement { old, new });
            match fault.kind {
                ScriptedFaultKind::Drain => {
                    self.publish(old, EndpointStatus::Draining);
                    self.publish(new, EndpointStatus::Ready);
                }
                ScriptedFaultKind::Readdress => self.take_out_of_service(old, Some(new)),
                _ => self.take_out_of_service(old, None),
            }
        }
    }

    /// Ends a fault that replaces endpoints, and publishes the changes in the endpoint list.
    pub(super) fn end_replacements(&mut self, fault_id: usize, kind: ScriptedFaultKind) {
        for Replacement { old, new } in self.replacements.remove(&fault_id).unwrap_or_default() {
            if kind == ScriptedFaultKind::Drain {
                self.take_out_of_service(old, None);
            } else {
                self.publish(new, EndpointStatus::Ready);
            }
            self.publish(old, EndpointStatus::Removed);
        }
    }

    /// Adds an endpoint of the same group, on its own route if the group's endpoints have separate limits.
    fn add_replacement(&mut self, old: u32) -> u32 {
        let new = self.servers.len() as u32;
        let mut setup = self.servers[old as usize].setup;
        let group = &self.world.scenario.groups[setup.group];
        let mut endpoints_of_route = group.endpoints.get();
        if group.independent_endpoints {
            endpoints_of_route = 1;
            setup.route = self.routes.len() as u32;
            self.routes.push(Route::new(&self.world, setup.group));
        }
        self.servers.push(Server::new(&self.world, setup, endpoints_of_route));
        self.routes[setup.route as usize].endpoints.push(new);
        self.record_endpoint(new);
        new
    }

    fn take_out_of_service(&mut self, endpoint: u32, successor: Option<u32>) {
        self.break_connections(endpoint, true);
        let server = &mut self.servers[endpoint as usize];
        server.removed = true;
        server.successor = successor;
        let route = server.setup.route;
        self.update_outage(route);
    }
}
