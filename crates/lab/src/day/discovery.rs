//! The list of endpoints, as relays hear of it.

use super::Day;
use super::events::Event;
use crate::Time;
use crate::chance::What;
use crate::host::Came;
use crate::world::Place;
use mountshift::interface::EndpointStatus;
use mountshift_scenario::TroubleKind;

/// A change of the list comes to a relay after a span between these.
const LIST_LEAST: Time = 50_000;

const LIST_MOST: Time = 700_000;

/// A call for the list is answered no sooner.
const ASKED: Time = 5_000;

impl Day<'_> {
    pub(super) fn tell(&mut self, relay: u32, endpoint: u32, says: EndpointStatus) {
        // A watch that is lost and a list that lies silent hold everything back until they are over.
        let held = |s: &crate::world::Strike| {
            let of_relay = s.kind == TroubleKind::WatchLost && s.relays.contains(&relay);
            let of_list = s.kind == TroubleKind::ListLate && s.endpoints.contains(&endpoint);
            (of_relay || of_list) && s.from <= self.now && self.now < s.to
        };
        if self.lists_held > 0 {
            let until = self.world.strikes.iter().filter(|s| held(s)).map(|s| s.to).max();
            if let Some(until) = until {
                self.at(until + LIST_LEAST, Event::Tell(relay, endpoint, says));
                return;
            }
        }
        let place = self.place(endpoint);
        let host = &mut self.relays[relay as usize];
        // Where discovery is short of room a relay hears only what its own watch brings.
        if self.world.scenario.relays.discovery.is_some() && !host.watching {
            return;
        }
        host.learn(&self.world, &place, endpoint, says);
        if host.up {
            host.inbox.push(Came::Listed { endpoint, says });
        }
    }

    pub(super) fn place(&self, endpoint: u32) -> Place {
        let s = &self.servers[endpoint as usize];
        Place { dst: s.dst, group: s.group, zone: s.zone, route: s.route }
    }

    /// Tells every relay, each a little later.
    pub(super) fn list(&mut self, endpoint: u32, says: EndpointStatus) {
        if self.listing.len() <= endpoint as usize {
            self.listing.resize(endpoint as usize + 1, EndpointStatus::Removed);
        }
        self.listing[endpoint as usize] = says;
        for relay in 0..self.relays.len() as u32 {
            let part =
                self.world.chance.part(What::List, u64::from(relay) << 32 | u64::from(endpoint), self.now);
            let later = LIST_LEAST + ((LIST_MOST - LIST_LEAST) as f64 * part) as Time;
            self.at(self.now + later, Event::Tell(relay, endpoint, says));
        }
    }

    /// A call for the list, answered in its turn where discovery is short of room.
    pub(super) fn ask(&mut self, relay: u32) {
        let Some(d) = self.world.scenario.relays.discovery else {
            return self.at(self.now + ASKED, Event::Whole(relay));
        };
        let answered = self.discovery_free.max(self.now) + (1e6 / d.calls.0) as Time;
        if answered > self.now + d.queued.us() {
            return self.at(self.now + ASKED, Event::NoList(relay));
        }
        self.discovery_free = answered;
        if answered > self.now + d.within.us() {
            return self.at(self.now + d.within.us(), Event::NoList(relay));
        }
        self.at(answered.max(self.now + ASKED), Event::Whole(relay));
    }

    /// The answer to a relay that asked for the list.
    pub(super) fn whole(&mut self, relay: u32) {
        let lost = |s: &crate::world::Strike| {
            let on = s.from <= self.now && self.now < s.to;
            on && s.kind == TroubleKind::WatchLost && s.relays.contains(&relay)
        };
        let failed = self.world.strikes.iter().any(lost);
        if !self.relays[relay as usize].up {
            return;
        }
        if failed {
            self.relays[relay as usize].inbox.push(Came::WatchFailed);
            return;
        }
        self.relays[relay as usize].watching = true;
        self.relays[relay as usize].inbox.push(Came::Whole);
        for endpoint in 0..self.listing.len() as u32 {
            let says = self.listing[endpoint as usize];
            if says != EndpointStatus::Removed {
                let place = self.place(endpoint);
                let host = &mut self.relays[relay as usize];
                host.learn(&self.world, &place, endpoint, says);
                host.inbox.push(Came::Listed { endpoint, says });
            }
        }
    }
}
