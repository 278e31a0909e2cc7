//! Discovery: the endpoint list, the delivery of its updates to relays, and the relays' polls.

use super::Day;
use super::events::Event;
use crate::Time;
use crate::host::RelayEvent;
use crate::random::Purpose;
use crate::world::ResolvedFault;
use mountshift::interface::EndpointStatus;
use mountshift_scenario::ScriptedFaultKind;

/// Shortest delay from a change of the endpoint list to its arrival at a relay.
const MIN_UPDATE_DELAY: Time = 50_000;
/// Longest delay from a change of the endpoint list to its arrival at a relay.
const MAX_UPDATE_DELAY: Time = 700_000;
/// Shortest time from a poll to its response.
const POLL_DELAY: Time = 5_000;

impl Day<'_> {
    /// Passes an update of the endpoint list to a relay, or postpones it until the end of a fault that delays it.
    pub(super) fn apply_list_update(&mut self, relay: u32, endpoint: u32, status: EndpointStatus) {
        if let Some(until) = self.update_delayed_until(relay, endpoint) {
            let event = Event::ListUpdate { relay, endpoint, status };
            self.schedule(until + MIN_UPDATE_DELAY, event);
            return;
        }
        let setup = self.servers[endpoint as usize].setup;
        let relay_state = &mut self.relays[relay as usize];
        // Where discovery has limited capacity, a relay receives updates only over its own watch.
        if self.world.scenario.relays.discovery.is_some() && !relay_state.watching {
            return;
        }
        relay_state.add_endpoint(&self.world, &setup, endpoint, status);
        if relay_state.up {
            relay_state.inbox.push(RelayEvent::EndpointListed { endpoint, status });
        }
    }

    /// Returns the latest end of the faults that delay an update, if there is any.
    fn update_delayed_until(&self, relay: u32, endpoint: u32) -> Option<Time> {
        if self.discovery_faults == 0 {
            return None;
        }
        let delays_update = |fault: &&ResolvedFault| {
            let watch_lost = fault.kind == ScriptedFaultKind::WatchLost && fault.relays.contains(&relay);
            let list_late = fault.kind == ScriptedFaultKind::ListLate && fault.endpoints.contains(&endpoint);
            (watch_lost || list_late) && fault.is_active(self.now)
        };
        self.world.faults.iter().filter(delays_update).map(|fault| fault.ends_at).max()
    }

    /// Changes an endpoint's entry in the endpoint list and sends the update to every relay with a delay of its own.
    pub(super) fn publish(&mut self, endpoint: u32, status: EndpointStatus) {
        let index = endpoint as usize;
        if self.endpoint_list.len() <= index {
            self.endpoint_list.resize(index + 1, EndpointStatus::Removed);
        }
        self.endpoint_list[index] = status;
        for relay in 0..self.relays.len() as u32 {
            let pair = u64::from(relay) << 32 | u64::from(endpoint);
            let drawn = self.world.random.uniform(Purpose::EndpointList, pair, self.now);
            let spread = (MAX_UPDATE_DELAY - MIN_UPDATE_DELAY) as f64;
            let delay = MIN_UPDATE_DELAY + (spread * drawn) as Time;
            self.schedule(self.now + delay, Event::ListUpdate { relay, endpoint, status });
        }
    }

    /// Schedules the response to a relay's poll; where discovery has limited capacity, polls wait in a queue.
    pub(super) fn poll_discovery(&mut self, relay: u32) {
        let Some(discovery) = self.world.scenario.relays.discovery else {
            self.schedule(self.now + POLL_DELAY, Event::PollAnswered { relay });
            return;
        };
        let time_per_poll = (1e6 / discovery.calls_per_second.0) as Time;
        let answered_at = self.discovery_busy_until.max(self.now) + time_per_poll;
        if answered_at > self.now + discovery.max_queue_wait.us() {
            self.schedule(self.now + POLL_DELAY, Event::PollFailed { relay });
            return;
        }
        self.discovery_busy_until = answered_at;
        if answered_at > self.now + discovery.timeout.us() {
            self.schedule(self.now + discovery.timeout.us(), Event::PollFailed { relay });
            return;
        }
        self.schedule(answered_at.max(self.now + POLL_DELAY), Event::PollAnswered { relay });
    }

    /// Passes the response to a poll to its relay: the full list, or an error while the relay's watch is lost.
    pub(super) fn handle_poll_answer(&mut self, relay: u32) {
        let watch_lost = |fault: &ResolvedFault| {
            let is_watch_fault = fault.kind == ScriptedFaultKind::WatchLost;
            is_watch_fault && fault.is_active(self.now) && fault.relays.contains(&relay)
        };
        let failed = self.world.faults.iter().any(watch_lost);
        let relay_state = &mut self.relays[relay as usize];
        if !relay_state.up {
            return;
        }
        if failed {
            relay_state.inbox.push(RelayEvent::PollFailed);
            return;
        }
        relay_state.watching = true;
        relay_state.inbox.push(RelayEvent::FullListBegins);
        for endpoint in 0..self.endpoint_list.len() as u32 {
            let status = self.endpoint_list[endpoint as usize];
            if status != EndpointStatus::Removed {
                let setup = self.servers[endpoint as usize].setup;
                let relay_state = &mut self.relays[relay as usize];
                relay_state.add_endpoint(&self.world, &setup, endpoint, status);
                relay_state.inbox.push(RelayEvent::EndpointListed { endpoint, status });
            }
        }
    }
}
