//! Endpoints that are replaced by others.

use super::Day;
use crate::servers::{Route, Server};
use crate::world::Strike;
use mountshift::interface::EndpointStatus;
use mountshift_scenario::TroubleKind;

impl Day<'_> {
    /// Endpoints are taken out of service, others stand in their place.
    pub(super) fn replace(&mut self, n: usize, strike: &Strike, on: bool) {
        let kind = strike.kind;
        if on {
            for old in strike.endpoints.iter().copied() {
                if self.servers[old as usize].gone {
                    continue;
                }
                let mut place = self.place(old);
                let group = &self.world.scenario.groups[place.group];
                let (new, apart) = (self.servers.len() as u32, group.own_limits);
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

    pub(super) fn leave(&mut self, old: u32, successor: Option<u32>) {
        self.break_connections(old, true);
        let server = &mut self.servers[old as usize];
        (server.gone, server.successor) = (true, successor);
        let route = server.route;
        self.look_at(route);
    }
}
