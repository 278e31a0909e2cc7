//! Handles endpoint lists and maintenance commands: converts entries to inputs of the policy, and keeps endpoint states
//! that an older list must not undo.

use super::state::DispatcherState;
use crate::discovery::{EndpointEntry, EndpointList};
use log::info;
use mountshift::interface::*;
use mountshift_discovery::{EffectivePhases, ListEntry, ListHeader};
use mountshift_maintenance::Change;

impl DispatcherState {
    /// Applies a list or an update.
    pub(super) fn on_endpoint_list(&mut self, mut list: EndpointList, inputs: &mut Vec<Input>) {
        self.apply_drain_record(&mut list);
        if list.is_full {
            inputs.push(Input::FullListBegins);
            self.endpoints.remove_absent(&list.entries);
        }
        for entry in &list.entries {
            self.maintenance.borrow_mut().record_listed_endpoint(&entry.id);
            // An endpoint gets only messages of its own destination (rule 1).
            if let Some(retired) = self.endpoints.retire_replaced_endpoint(entry) {
                self.idle_connections.close_endpoint(retired);
                inputs.extend(self.listed_endpoint(retired).map(Input::EndpointListed));
            }
            let update = self.endpoints.update(entry);
            if update.has_left_address {
                self.idle_connections.close_endpoint(update.endpoint);
            }
            inputs.extend(self.listed_endpoint(update.endpoint).map(Input::EndpointListed));
        }
    }

    /// Overrides the phases of endpoints that discovery reported as draining or removed: they stay so, also after a
    /// restart, until they are listed anew (rule 3). A list that is older than that report must not undo it.
    fn apply_drain_record(&mut self, list: &mut EndpointList) {
        let source = list.source.to_string();
        let now_ms = self.clock.unix_ms(self.now);
        let header = ListHeader { source: &source, revision: list.revision, is_full: list.is_full, now_ms };
        let entries: Vec<ListEntry> = list.entries.iter().map(drain_record_entry).collect();
        let EffectivePhases { phases, overridden_ready_count } = self.drain_record.apply(&header, &entries);
        if overridden_ready_count > 0 {
            let revision = list.revision;
            info!(
                "list {revision}: {overridden_ready_count} endpoints are listed as ready but recorded as draining or \
                removed; the record takes precedence"
            );
        }
        for (entry, phase) in list.entries.iter_mut().zip(phases) {
            entry.phase = phase;
        }
        self.files.write_drain_record(&mut self.drain_record);
    }

    /// Returns the status that the policy gets: an endpoint in maintenance is draining for this relay even if it is
    /// listed as ready (rule 3).
    fn status_under_maintenance(&self, name: &str, status: EndpointStatus) -> EndpointStatus {
        if status == EndpointStatus::Ready && self.maintenance.borrow().is_in_maintenance(name) {
            EndpointStatus::Draining
        } else {
            status
        }
    }

    /// Returns an endpoint as an input of the policy, with the status in effect.
    fn listed_endpoint(&self, endpoint: EndpointId) -> Option<ListedEndpoint> {
        let known = self.endpoints.get(endpoint)?;
        Some(ListedEndpoint {
            endpoint,
            destination: known.destination,
            zone: known.zone,
            kind: known.kind,
            status: self.status_under_maintenance(&known.name, known.status),
            rate: known.rate,
        })
    }

    /// Adds inputs for the endpoint that a stored command names.
    pub(super) fn on_maintenance_changed(&mut self, change: Change, inputs: &mut Vec<Input>) {
        let (name, is_back) = match &change {
            Change::EndpointOut(name) => (name, false),
            Change::EndpointBack(name) => (name, true),
            Change::None | Change::Standby | Change::Active => return,
        };
        let command = if is_back { "put back" } else { "taken out" };
        let endpoint = self.endpoint_in_maintenance(name, is_back);
        let listed = endpoint.and_then(|id| self.listed_endpoint(id));
        let known = endpoint.and_then(|id| self.endpoints.get(id));
        let (Some(listed), Some(known)) = (listed, known) else {
            info!("endpoint {name} is {command}: it is not known");
            return;
        };
        let (listed_status, status) = (known.status.name(), listed.status.name());
        info!("endpoint {name} is {command}: listed as {listed_status}, treated as {status}");
        inputs.push(Input::EndpointListed(listed));
        if is_back {
            inputs.push(Input::EndpointRestarted(listed.endpoint));
        }
    }

    /// Returns the endpoint of this name. An endpoint that was removed from the table while in maintenance gets a new
    /// id when it is put back.
    fn endpoint_in_maintenance(&mut self, name: &str, is_back: bool) -> Option<EndpointId> {
        let known = self.endpoints.id_of(name);
        if known.is_none() && is_back { self.endpoints.restore_from_maintenance(name) } else { known }
    }
}

fn drain_record_entry(entry: &EndpointEntry) -> ListEntry<'_> {
    ListEntry { id: &entry.id, phase: entry.phase, up_since_ms: entry.up_since_ms }
}
