//! Calls as relays see them: how they start and how they end. A call carries one attempt of each of its messages.

use super::Day;
use super::clients::ClientState;
use super::connections::IdleConnection;
use super::events::Event;
use crate::Time;
use crate::host::{AttemptEnd, RelayEvent};
use crate::random::Purpose;
use mountshift::interface::Outcome;
use mountshift_invariants::Fact;

/// A kept connection that was idle for less than this can't have died unnoticed.
const MIN_STALE_IDLE: Time = 200_000;

/// How far an endpoint has come with a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    OnTheWay,
    Queued,
    Running,
    Done,
}

/// A call that its relay waits for or its endpoint is not done with.
pub(super) struct Call {
    pub(super) relay: u32,
    /// The endpoint that it was addressed to.
    pub(super) addressed: u32,
    /// The endpoint that has the address now and got the call.
    pub(super) endpoint: u32,
    /// The endpoint's epoch at the start of the call: its connection has broken if the two differ.
    pub(super) epoch: u32,
    pub(super) messages: Vec<u64>,
    /// The relay still waits for it.
    pub(super) open: bool,
    pub(super) connected: bool,
    pub(super) stage: Stage,
    /// When its last byte arrived.
    pub(super) arrived_at: Time,
}

impl Day<'_> {
    /// A relay starts a call, over a kept connection if it has one.
    pub(super) fn start_call(
        &mut self,
        relay: u32,
        call_id: u64,
        addressed: u32,
        messages: Vec<u64>,
        limit: Time,
    ) {
        let endpoint = self.current_endpoint(addressed);
        let delay = self.network_delay(relay, endpoint);
        let epoch = self.servers[endpoint as usize].epoch;
        let kept = self.take_idle_connection(relay, addressed, endpoint);
        let call = Call {
            relay,
            addressed,
            endpoint,
            epoch,
            messages,
            open: true,
            connected: kept.is_some(),
            stage: Stage::OnTheWay,
            arrived_at: 0,
        };
        self.calls.insert(call_id, call);
        self.schedule(self.now + limit.max(1), Event::CallTimeout { call: call_id });
        match kept {
            None => self.connect(call_id, delay),
            Some(connection) if self.has_died(connection, call_id, endpoint) => {
                self.fail_call(call_id, Outcome::Reset, 2 * delay);
            }
            Some(_) => self.schedule(self.now + delay, Event::CallArrives { call: call_id }),
        }
    }

    /// The endpoint that has an address now.
    fn current_endpoint(&self, addressed: u32) -> u32 {
        let mut endpoint = addressed;
        while let Some(next) = self.servers[endpoint as usize].successor {
            endpoint = next;
        }
        endpoint
    }

    fn has_died(&self, connection: IdleConnection, call_id: u64, endpoint: u32) -> bool {
        let probability = self.servers[endpoint as usize].effects.stale_rate;
        connection.since + MIN_STALE_IDLE < self.now
            && self.world.random.uniform(Purpose::StaleConnection, call_id, 0) < probability
    }

    /// The call ends at its relay without an answer, a while from now.
    pub(super) fn fail_call(&mut self, call_id: u64, outcome: Outcome, delay: Time) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let ends = call
            .messages
            .iter()
            .map(|message| AttemptEnd { message: *message, outcome, closed: false })
            .collect();
        self.schedule(self.now + delay, Event::CallEnds { call: call_id, ends });
    }

    /// The endpoint's answer is written to the network: the message is delivered, and its worth booked if its
    /// client knows it as accepted. Behind a silence that is when the answer comes through.
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

    /// The endpoint is done with a call.
    pub(super) fn endpoint_done(&mut self, call_id: u64) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.stage = Stage::Done;
        if !call.open {
            self.calls.remove(&call_id);
        }
    }

    /// The outcome of a call arrives at its relay.
    pub(super) fn call_ends(&mut self, call_id: u64, ends: Vec<AttemptEnd>) {
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
            self.keep_connection(call_id);
        }
        for AttemptEnd { message, outcome, .. } in &ends {
            if *outcome == Outcome::Delivered {
                self.record_delivery(call_id, *message);
                self.close_message(*message);
            }
        }
        if stage == Stage::Done || (broken && stage == Stage::OnTheWay) {
            self.calls.remove(&call_id);
        }
        self.relays[relay].inbox.push(RelayEvent::CallEnded { call: call_id, ends, retry_after: 0 });
    }

    /// Puts the connection of a call that is over back into the pool.
    fn keep_connection(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        if !call.connected || self.servers[call.endpoint as usize].epoch != call.epoch {
            return;
        }
        let connection = IdleConnection { since: self.now, epoch: call.epoch };
        self.idle_connections.entry((call.relay, call.addressed)).or_default().push(connection);
    }

    /// A relay has waited long enough for a call.
    pub(super) fn call_timeout(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        if !call.open {
            return;
        }
        let stalled_until = self.relays[call.relay as usize].stalled_until;
        if stalled_until > self.now {
            // It notices once it goes on; an answer that came meanwhile is read first.
            self.schedule(stalled_until, Event::CallTimeout { call: call_id });
            return;
        }
        let outcome = if call.connected { Outcome::TimedOut } else { Outcome::ConnectFailed };
        self.close_call(call_id, outcome);
    }

    /// A relay ends a call by itself.
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
        self.hang_up(call_id);
        self.relays[relay].inbox.push(RelayEvent::CallEnded { call: call_id, ends, retry_after: 0 });
    }

    /// The connection of a call is closed from the relay's side.
    pub(super) fn hang_up(&mut self, call_id: u64) {
        self.close_connection(call_id);
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.open = false;
        if call.stage == Stage::Done {
            self.calls.remove(&call_id);
        }
    }
}
