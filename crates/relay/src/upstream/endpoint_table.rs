//! Table of the known endpoints by id, as the endpoint list describes them.
//!
//! Assigns the ids, in the order in which new names appear; no id is assigned twice. Makes no decisions.

use crate::discovery::EndpointEntry;
use mountshift::interface::{DestinationId, DestinationKindId, EndpointId, EndpointStatus, ZoneId};
use mountshift_discovery::Phase;
use mountshift_settings::SocketSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// An endpoint as last listed. One that left the list keeps its other properties, with the status removed.
#[derive(Clone)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    pub(crate) name: Rc<str>,
    pub(crate) zone: ZoneId,
    pub(crate) kind: DestinationKindId,
    pub(crate) destination: DestinationId,
    pub(crate) status: EndpointStatus,
    /// Listed rate in calls per second, if the list has one.
    pub(crate) rate: f64,
}

/// Result of applying a list entry.
pub(crate) struct TableUpdate {
    pub(crate) endpoint: EndpointId,
    /// Whether the endpoint has a new address, or has been removed from the list.
    pub(crate) has_left_address: bool,
}

/// Table of the known endpoints.
#[derive(Default)]
pub(crate) struct EndpointTable {
    /// Last id that was assigned.
    last_id: u64,
    ids: BTreeMap<Rc<str>, EndpointId>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that were removed from the table while in maintenance, as last listed: needed when an operator puts
    /// the endpoint back.
    in_maintenance: BTreeMap<Rc<str>, Endpoint>,
    /// Number of endpoints of each destination, including those in maintenance.
    destinations: BTreeMap<DestinationId, usize>,
    zones: Vec<String>,
    destination_kinds: Vec<String>,
}

impl EndpointTable {
    pub(crate) fn new(settings: &SocketSettings) -> EndpointTable {
        EndpointTable {
            zones: settings.zones.clone(),
            destination_kinds: settings.destination_kinds.clone(),
            ..EndpointTable::default()
        }
    }

    /// Marks the endpoints without an entry in a full list as removed, including those in maintenance. The policy infers
    /// these removals from the list itself; here they apply to what an operator puts back later.
    pub(crate) fn remove_absent(&mut self, full_list: &[EndpointEntry]) {
        let listed: BTreeSet<&str> = full_list.iter().map(|entry| entry.id.as_str()).collect();
        let known = self.endpoints.values_mut().chain(self.in_maintenance.values_mut());
        for absent in known.filter(|endpoint| !listed.contains(&*endpoint.name)) {
            absent.status = EndpointStatus::Removed;
        }
    }

    /// Releases the entry's name if the known endpoint of this name has another destination, zone or kind, and returns
    /// the id of that endpoint. It keeps its id and is removed; the entry describes a different endpoint and gets a new
    /// id.
    pub(crate) fn retire_replaced_endpoint(&mut self, entry: &EndpointEntry) -> Option<EndpointId> {
        let id = *self.ids.get(entry.id.as_str())?;
        let known = self.endpoints.get(&id)?;
        let is_same = known.destination == DestinationId(entry.destination)
            && self.zone_name(known.zone) == entry.zone
            && known.kind == self.destination_kind_id(&entry.kind);
        if is_same {
            return None;
        }
        self.ids.remove(entry.id.as_str());
        if let Some(retired) = self.endpoints.get_mut(&id) {
            retired.status = EndpointStatus::Removed;
        }
        Some(id)
    }

    /// Applies an entry of the list.
    pub(crate) fn update(&mut self, entry: &EndpointEntry) -> TableUpdate {
        let name: Rc<str> = Rc::from(entry.id.as_str());
        let id = match self.ids.get(&name) {
            Some(id) => *id,
            None => self.assign_id(&name),
        };
        let status = match entry.phase {
            Phase::Ready => EndpointStatus::Ready,
            Phase::Draining => EndpointStatus::Draining,
            Phase::Gone => EndpointStatus::Removed,
        };
        let returned = self.in_maintenance.remove(&name);
        let endpoint = Endpoint {
            address: entry.address,
            name,
            zone: self.zone_id(&entry.zone),
            kind: self.destination_kind_id(&entry.kind),
            destination: DestinationId(entry.destination),
            status,
            rate: entry.rate,
        };
        self.count_destination(endpoint.destination);
        let previous = self.endpoints.insert(id, endpoint);
        for replaced in returned.iter().chain(&previous) {
            self.uncount_destination(replaced.destination);
        }
        let has_moved = previous.is_some_and(|previous| previous.address != entry.address);
        TableUpdate { endpoint: id, has_left_address: has_moved || entry.phase == Phase::Gone }
    }

    fn assign_id(&mut self, name: &Rc<str>) -> EndpointId {
        self.last_id += 1;
        let id = EndpointId(self.last_id);
        self.ids.insert(name.clone(), id);
        id
    }

    /// Returns whether the destination has an endpoint, including those in maintenance and those that left the list but
    /// are still in the table.
    pub(crate) fn has_destination(&self, destination: DestinationId) -> bool {
        self.destinations.contains_key(&destination)
    }

    fn count_destination(&mut self, destination: DestinationId) {
        *self.destinations.entry(destination).or_default() += 1;
    }

    fn uncount_destination(&mut self, destination: DestinationId) {
        if let Some(count) = self.destinations.get_mut(&destination) {
            *count -= 1;
            if *count == 0 {
                self.destinations.remove(&destination);
            }
        }
    }

    /// Removes an endpoint, so that the table doesn't grow with every endpoint ever listed. An endpoint in maintenance
    /// is kept apart as last listed, until it is put back or listed again.
    pub(crate) fn forget(&mut self, id: EndpointId, in_maintenance: bool) -> Option<Endpoint> {
        let endpoint = self.endpoints.remove(&id)?;
        self.uncount_destination(endpoint.destination);
        let owns_name = self.ids.get(&endpoint.name) == Some(&id);
        if !owns_name {
            return Some(endpoint);
        }
        self.ids.remove(&endpoint.name);
        if in_maintenance {
            self.count_destination(endpoint.destination);
            let replaced = self.in_maintenance.insert(endpoint.name.clone(), endpoint.clone());
            if let Some(replaced) = replaced {
                self.uncount_destination(replaced.destination);
            }
        }
        Some(endpoint)
    }

    /// Restores an endpoint that was removed while in maintenance, as last listed and under a new id.
    pub(crate) fn restore_from_maintenance(&mut self, name: &str) -> Option<EndpointId> {
        let endpoint = self.in_maintenance.remove(name)?;
        let id = self.assign_id(&endpoint.name);
        self.endpoints.insert(id, endpoint);
        Some(id)
    }

    pub(crate) fn id_of(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Returns the id of a zone. Each name that is not in the settings gets an id of its own: if two such zones shared
    /// one, a repeat that only one of them deduplicates could be sent to the other (rule 2).
    pub(crate) fn zone_id(&mut self, name: &str) -> ZoneId {
        let index = if let Some(index) = self.zones.iter().position(|zone| zone == name) {
            index
        } else {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        };
        ZoneId(index as u16)
    }

    pub(crate) fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(zone.0 as usize).map_or("", String::as_str)
    }

    fn destination_kind_id(&self, name: &str) -> DestinationKindId {
        let index = self.destination_kinds.iter().position(|kind| kind == name);
        DestinationKindId(index.map_or(u16::MAX, |index| index as u16))
    }
}

#[cfg(test)]
#[path = "endpoint_table_tests.rs"]
mod tests;
