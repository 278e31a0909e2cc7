//! The relay side of calls: their start and their end. A call carries one attempt of each of its messages.

use super::Day;
use super::clients::ClientState;
use super::connections::IdleConnection;
use super::events::Event;
use crate::Time;
use crate::host::{AttemptEnd, RelayEvent};
use crate::random::Purpose;
use mountshift::interface::Outcome;
use mountshift_invariants::Fact;

/// Idle time below which a connection is never stale.
const MIN_STALE_IDLE: Time = 200_000;

/// Progress of a call at its endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    InTransit,
    Queued,
    Running,
    Done,
}

/// A call that its relay still waits for or that its endpoint has not finished.
pub(super) struct Call {
    pub(super) relay: u32,
    /// The endpoint that the call was addressed to.
    pub(super) addressed: u32,
    /// The endpoint that had this address when the call started and that receives the call.
    pub(super) endpoint: u32,
    /// The endpoint's epoch at the start of the call; the connection is broken if the endpoint's epoch has changed.
    pub(super) epoch: u32,
    pub(super) messages: Vec<u64>,
    /// Whether the relay still waits for the outcome.
    pub(super) open: bool,
    pub(super) connected: bool,
    pub(super) stage: Stage,
    /// Time at which the last byte of the call arrived at the endpoint.
    pub(super) arrived_at: Time,
}

impl Day<'_> {
    /// Starts a call of a relay, over an idle connection if the relay has one.
    pub(super) fn start_call(
        &mut self,
        relay: u32,
        call_id: u64,
        addressed: u32,
        messages: Vec<u64>,
        timeout: Time,
    ) {
        let endpoint = self.current_endpoint(addressed);
        let delay = self.network_delay(relay, endpoint);
        let epoch = self.servers[endpoint as usize].epoch;
        let idle_connection = self.take_idle_connection(relay, addressed, endpoint);
        let call = Call {
            relay,
            addressed,
            endpoint,
            epoch,
            messages,
            open: true,
            connected: idle_connection.is_some(),
            stage: Stage::InTransit,
            arrived_at: 0,
        };
        self.calls.insert(call_id, call);
        self.schedule(self.now + timeout.max(1), Event::CallTimeout { call: call_id });
        match idle_connection {
            None => self.connect(call_id, delay),
            Some(connection) if self.is_stale(connection, call_id, endpoint) => {
                self.fail_call(call_id, Outcome::Reset, 2 * delay);
            }
            Some(_) => self.schedule(self.now + delay, Event::CallArrives { call: call_id }),
        }
    }

    /// Returns the endpoint that now has the address of `addressed`.
    fn current_endpoint(&self, addressed: u32) -> u32 {
        let mut endpoint = addressed;
        while let Some(next) = self.servers[endpoint as usize].successor {
            endpoint = next;
        }
        endpoint
    }

    /// Draws whether an idle connection has been closed without notice.
    fn is_stale(&self, connection: IdleConnection, call_id: u64, endpoint: u32) -> bool {
        let probability = self.servers[endpoint as usize].effects.stale_rate;
        connection.since + MIN_STALE_IDLE < self.now
            && self.world.random.uniform(Purpose::StaleConnection, call_id, 0) < probability
    }

    /// Schedules the end of a call with the same undelivered outcome for all its messages.
    pub(super) fn fail_call(&mut self, call_id: u64, outcome: Outcome, delay: Time) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let ends = call
            .messages
            .iter()
            .map(|message| AttemptEnd { message: *message, outcome, closed: false })
            .collect();
        self.schedule(self.now + delay, Event::CallEnds { call: call_id, ends });
    }

    /// Records the delivery of an accepted message when the endpoint's answer is written to the network, or when a
    /// silence of the network ends and the answer reaches the relay. A delivery by the deadline counts in the
    /// statistics.
    pub(super) fn record_delivery(&mut self, call_id: u64, message_id: u64) {
        let Some(message) = self.messages.get(&message_id) else { return };
        if message.client != ClientState::Answered || message.closed {
            return;
        }
        let request_id = message.request as usize;
        if self.progress[request_id].delivered {
            return;
        }
        self.record(Fact::DeliveryAnswered { message: message_id, call: call_id });
        let request = self.requests[request_id];
        if self.now <= self.deadline(&request) {
            self.progress[request_id].delivered = true;
            self.statistics.record_delivery(&self.world, &request, self.now);
        }
    }

    /// Marks a call as finished at its endpoint.
    pub(super) fn finish_at_endpoint(&mut self, call_id: u64) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.stage = Stage::Done;
        if !call.open {
            self.calls.remove(&call_id);
        }
    }

    /// Passes the outcome of a call to its relay.
    pub(super) fn handle_call_end(&mut self, call_id: u64, ends: Vec<AttemptEnd>) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        if !call.open {
            return;
        }
        call.open = false;
        let relay = call.relay as usize;
        let stage = call.stage;
        let broken = ends.iter().any(|end| matches!(end.outcome, Outcome::Reset | Outcome::ConnectFailed));
        if broken {
            self.close_connection(call_id);
        } else {
            self.return_connection_to_pool(call_id);
        }
        for AttemptEnd { message, outcome, .. } in &ends {
            if *outcome == Outcome::Delivered {
                self.record_delivery(call_id, *message);
                self.close_message(*message);
            }
        }
        if stage == Stage::Done || (broken && stage == Stage::InTransit) {
            self.calls.remove(&call_id);
        }
        self.relays[relay].inbox.push(RelayEvent::CallEnded { call: call_id, ends, retry_after: 0 });
    }

    /// Returns the connection of an ended call to the pool of idle connections.
    fn return_connection_to_pool(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        if !call.connected || self.servers[call.endpoint as usize].epoch != call.epoch {
            return;
        }
        let connection = IdleConnection { since: self.now, epoch: call.epoch };
        self.idle_connections.entry((call.relay, call.addressed)).or_default().push(connection);
    }

    /// Ends a call whose timeout has expired.
    pub(super) fn handle_call_timeout(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        if !call.open {
            return;
        }
        let stalled_until = self.relays[call.relay as usize].stalled_until;
        if stalled_until > self.now {
            // A stalled relay handles the timeout once it resumes; an answer that arrived meanwhile is read first.
            self.schedule(stalled_until, Event::CallTimeout { call: call_id });
            return;
        }
        let outcome = if call.connected { Outcome::TimedOut } else { Outcome::ConnectFailed };
        self.close_call(call_id, outcome);
    }

    /// Ends a call from the relay's side.
    pub(super) fn close_call(&mut self, call_id: u64, outcome: Outcome) {
        let Some(call) = self.calls.get(&call_id) else { return };
        if !call.open {
            return;
        }
        let relay = call.relay as usize;
        let ends = call
            .messages
            .iter()
            .map(|message| AttemptEnd { message: *message, outcome, closed: false })
            .collect();
        self.abandon_call(call_id);
        self.relays[relay].inbox.push(RelayEvent::CallEnded { call: call_id, ends, retry_after: 0 });
    }

    /// Closes the connection of a call from the relay's side without reporting an outcome to the relay.
    pub(super) fn abandon_call(&mut self, call_id: u64) {
        self.close_connection(call_id);
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.open = false;
        if call.stage == Stage::Done {
            self.calls.remove(&call_id);
        }
    }
}
