//! What is known of endpoints.

use crate::discovery::EndpointEntry;
use mountshift::interface::*;
use mountshift_discovery::Phase;
use mountshift_settings::SocketSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// What is known of an endpoint.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub name: Rc<str>,
    pub zone: ZoneId,
    pub kind: DestinationKindId,
    pub dst: DestinationId,
    /// What the list said last, and its rate.
    pub listed: EndpointStatus,
    pub rate: f64,
}

/// The endpoints by id; ids are given out in the order in which names come up, none of them twice.
#[derive(Default)]
pub struct Endpoints {
    count: u64,
    ids: BTreeMap<Rc<str>, EndpointId>,
    known: BTreeMap<EndpointId, Endpoint>,
    /// Forgotten while out by hand, as last listed: guards against an endpoint put back that nobody knows.
    resting: BTreeMap<Rc<str>, Endpoint>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Endpoints {
    pub fn new(settings: &SocketSettings) -> Endpoints {
        Endpoints {
            zones: settings.zones.clone(),
            kinds: settings.destination_kinds.clone(),
            ..Endpoints::default()
        }
    }

    /// Takes an entry of the list in; gives its id, what the list says, and if it has moved or gone.
    pub fn learn(&mut self, member: &EndpointEntry) -> (EndpointId, EndpointStatus, bool) {
        let name: Rc<str> = Rc::from(member.id.as_str());
        let id = *self.ids.entry(name.clone()).or_insert_with(|| {
            self.count += 1;
            EndpointId(self.count)
        });
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let zone = self.zone(&member.zone);
        let kind = DestinationKindId(place(&self.kinds, &member.kind).map_or(u16::MAX, |k| k as u16));
        let (address, dst) = (member.address, DestinationId(member.dst));
        let listed = match member.phase {
            Phase::Ready => EndpointStatus::Ready,
            Phase::Draining => EndpointStatus::Draining,
            Phase::Gone => EndpointStatus::Removed,
        };
        let rate = member.size;
        self.resting.remove(&name);
        let old = self.known.insert(id, Endpoint { address, name, zone, kind, dst, listed, rate });
        let moved = old.is_some_and(|old| old.address != address) || member.phase == Phase::Gone;
        (id, listed, moved)
    }

    /// True if the list has held an endpoint of the destination lately, or holds one that is out by hand.
    pub fn lists(&self, dst: DestinationId) -> bool {
        self.known.values().chain(self.resting.values()).any(|e| e.dst == dst)
    }

    /// Guards against tables that grow with every endpoint that ever was. One that is out by hand is kept
    /// aside (`resting`) as it was last listed, until it is put back or listed again.
    pub fn forget(&mut self, id: EndpointId, resting: bool) -> Option<Endpoint> {
        let gone = self.known.remove(&id)?;
        self.ids.remove(&gone.name);
        resting.then(|| self.resting.insert(gone.name.clone(), gone.clone()));
        Some(gone)
    }

    /// An endpoint put back after it was forgotten while out: known again, under a new id, as last listed.
    pub fn revive(&mut self, name: &str) -> Option<EndpointId> {
        let endpoint = self.resting.remove(name)?;
        self.count += 1;
        let id = EndpointId(self.count);
        self.ids.insert(endpoint.name.clone(), id);
        self.known.insert(id, endpoint);
        Some(id)
    }

    pub fn id_of(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.known.get(&id)
    }

    /// A place by name; a name that the settings don't hold is a place of its own. Guards against two such places
    /// taken for one: a repeat that one of them knows would go to the other (rule 2).
    pub fn zone(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|z| z == name);
        ZoneId(known.unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        }) as u16)
    }

    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(zone.0 as usize).map_or("", String::as_str)
    }
}
