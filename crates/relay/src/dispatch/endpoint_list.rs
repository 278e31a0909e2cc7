//! Takes lists of endpoints in, and what the operators change of them.

use super::state::DispatcherState;
use crate::discovery::{EndpointEntry, EndpointList};
use log::info;
use mountshift::interface::*;
use mountshift_discovery::{ListEntry, ListHeader};
use mountshift_maintenance::Change;

impl DispatcherState {
    pub(super) fn on_endpoint_list(&mut self, mut list: EndpointList, inputs: &mut Vec<Input>) {
        self.apply_drain_record(&mut list);
        if list.is_full {
            inputs.push(Input::FullListBegins);
        }
        for member in &list.entries {
            self.maintenance.borrow_mut().listed(&member.id);
            let (id, says, moved) = self.endpoints.learn(member);
            let says = self.status_under_maintenance(&member.id, says);
            if moved {
                self.idle_connections.close(id);
            }
            let Some(e) = self.endpoints.get(id) else { continue };
            let (dst, zone, kind, rate) = (e.dst, e.zone, e.kind, member.size);
            inputs.push(Input::EndpointListed(ListedEndpoint {
                endpoint: id,
                destination: dst,
                zone,
                kind,
                status: says,
                rate,
            }));
        }
    }

    /// Guards rule 3 against lists that are older than what was told: an endpoint told as leaving stays so,
    /// beyond this process too, until it is newly listed.
    fn apply_drain_record(&mut self, list: &mut EndpointList) {
        let source = list.source.to_string();
        let now_ms = self.clock.unix_ms(self.now);
        let head = ListHeader { source: &source, revision: list.revision, whole: list.is_full, now_ms };
        fn entry(m: &EndpointEntry) -> ListEntry<'_> {
            ListEntry { id: &m.id, phase: m.phase, up_since_ms: m.up_since_ms }
        }
        let entries: Vec<ListEntry> = list.entries.iter().map(entry).collect();
        let (phases, old) = self.drain_record.take(&head, &entries);
        if old > 0 {
            info!(
                "list {}: {old} entries say ready of endpoints told as leaving; they stay so",
                list.revision
            );
        }
        list.entries.iter_mut().zip(phases).for_each(|(m, phase)| m.phase = phase);
        self.files.write_drain_record(&mut self.drain_record);
    }

    /// An endpoint out by hand is draining for this relay, whatever the list says (rule 3).
    fn status_under_maintenance(&self, name: &str, status: EndpointStatus) -> EndpointStatus {
        if status == EndpointStatus::Ready && self.maintenance.borrow().is_out(name) {
            EndpointStatus::Draining
        } else {
            status
        }
    }

    pub(super) fn on_maintenance_changed(&mut self, change: Change, inputs: &mut Vec<Input>) {
        let (Change::EndpointOut(name) | Change::EndpointBack(name)) = &change else { return };
        self.files.write_maintenance(&self.maintenance.borrow());
        // Guards against an endpoint that the decisions forgot while it was out: put back, it is known again.
        let known = self.endpoints.id_of(name);
        let revived = known.is_none() && matches!(change, Change::EndpointBack(_));
        let Some(id) = known.or_else(|| revived.then(|| self.endpoints.revive(name)).flatten()) else {
            return;
        };
        let Some(e) = self.endpoints.get(id) else { return };
        let (dst, zone, kind, rate, says) =
            (e.dst, e.zone, e.kind, e.rate, self.status_under_maintenance(name, e.listed));
        inputs.push(Input::EndpointListed(ListedEndpoint {
            endpoint: id,
            destination: dst,
            zone,
            kind,
            status: says,
            rate,
        }));
        if matches!(change, Change::EndpointBack(_)) {
            inputs.push(Input::EndpointRestarted(id));
        }
    }
}
