//! The endpoint side of calls: admission, queueing, work and its effects, and the answer.

use super::calls::Stage;
use super::events::Event;
use super::{ANSWER_DELAY, Day};
use crate::Time;
use crate::host::AttemptEnd;
use crate::random::Purpose;
use crate::servers::HeavyTail;
use crate::world::deduplicates_per_zone;
use mountshift::interface::Outcome;
use mountshift_invariants::Fact;
use mountshift_scenario::Idempotency;
use std::time::Duration;

/// Share of calls that a heavy tail affects, drawn by first request and endpoint.
const HEAVY_TAIL_SHARE: f64 = 0.05;
/// Share of queued calls that are executed although their relay has closed the connection.
const ABANDONED_WORK_SHARE: f64 = 0.5;
/// Share of failing calls that take effect nevertheless.
pub(super) const FAILED_EFFECT_SHARE: f64 = 0.5;
/// Longest delay from the end of a silence to the network's retransmission of a call, in microseconds.
const MAX_RETRANSMISSION_DELAY: f64 = 200_000.0;
/// Shortest service time of a call.
const MIN_SERVICE_TIME: Time = 100;
/// Smallest share of the full capacity with which service times are computed.
const MIN_CAPACITY_SHARE: f64 = 0.01;

/// Deduplication record of a message with an idempotency key.
pub(super) struct Deduplication {
    first_seen: Time,
    took_effect: bool,
}

impl Day<'_> {
    /// Handles the arrival of a call's last byte at its endpoint.
    pub(super) fn handle_call_arrival(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let relay = call.relay;
        let endpoint = call.endpoint;
        let server = &self.servers[endpoint as usize];
        if !call.open {
            self.finish_at_endpoint(call_id);
            return;
        }
        if server.epoch != call.epoch {
            self.fail_call(call_id, Outcome::Reset, self.network_delay(relay, endpoint));
            return;
        }
        let silent_until = self.silent_until(relay, endpoint);
        if silent_until > self.now {
            let drawn = self.world.random.uniform(Purpose::AbandonedCall, call_id, 1);
            let retransmission = (drawn * MAX_RETRANSMISSION_DELAY) as Time;
            self.schedule(silent_until + retransmission, Event::CallArrives { call: call_id });
            return;
        }
        if server.effects.vanished || server.removed {
            // There is no answer; the relay's timeout ends the call.
            self.finish_at_endpoint(call_id);
            return;
        }
        self.record_call_arrival(call_id);
    }

    /// Records a call that arrived, and admits it unless it overloads the route.
    fn record_call_arrival(&mut self, call_id: u64) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.arrived_at = now;
        let relay = call.relay;
        let endpoint = call.endpoint;
        let further_messages = call.messages.len() as f64 - 1.0;
        let server = &self.servers[endpoint as usize];
        let route_id = server.setup.route;
        let weight =
            1.0 + self.world.scenario.groups[server.setup.group].batch_item_cost.0 * further_messages;
        self.statistics.record_arrival(route_id, now);
        self.record(Fact::CallReceived { call: call_id, relay, endpoint, weight: weight as f32 });
        let route = &mut self.routes[route_id as usize];
        if route.in_outage {
            self.statistics.calls_into_outages += 1;
        }
        if route.record_call(now, weight, &self.world) {
            self.overload_route(route_id);
            return;
        }
        self.admit_call(call_id, relay, endpoint);
    }

    /// Rejects a call, fails it, or adds it to the queue.
    fn admit_call(&mut self, call_id: u64, relay: u32, endpoint: u32) {
        let server = &self.servers[endpoint as usize];
        let error_rate = server.effects.error_rate;
        if server.effects.rejects_all {
            self.reject_call(call_id, 0);
            return;
        }
        let retry_after_draw = self.world.random.uniform(Purpose::WrongRetryAfter, call_id, 0);
        if let Err(retry_after) = self.routes[server.setup.route as usize].admit(self.now, retry_after_draw) {
            self.reject_call(call_id, retry_after);
            return;
        }
        if self.world.random.uniform(Purpose::Error, call_id, 0) < error_rate {
            if self.world.random.uniform(Purpose::FailedCallEffect, call_id, 0) < FAILED_EFFECT_SHARE {
                self.apply_effects(call_id);
            }
            let delay = ANSWER_DELAY + self.network_delay(relay, endpoint);
            self.fail_call(call_id, Outcome::Error, delay);
            self.finish_at_endpoint(call_id);
            return;
        }
        let server = &mut self.servers[endpoint as usize];
        if server.queue.len() as u32 >= self.world.scenario.groups[server.setup.group].queue_capacity {
            self.reject_call(call_id, 0);
            return;
        }
        server.queue.push_back(call_id);
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.stage = Stage::Queued;
        }
        self.start_queued_calls(endpoint);
    }

    fn reject_call(&mut self, call_id: u64, retry_after: Time) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let delay = ANSWER_DELAY + self.network_delay(call.relay, call.endpoint);
        let rejected = Outcome::Rejected { retry_after: Duration::from_micros(retry_after) };
        self.fail_call(call_id, rejected, delay);
        self.finish_at_endpoint(call_id);
    }

    /// Starts queued calls while workers are free.
    pub(super) fn start_queued_calls(&mut self, endpoint: u32) {
        loop {
            let server = &mut self.servers[endpoint as usize];
            let free = server.busy < server.workers && server.effects.frozen_until <= self.now;
            if !free || server.effects.refuses || server.effects.vanished || server.removed {
                return;
            }
            let Some(call_id) = server.queue.pop_front() else { return };
            let Some(call) = self.calls.get(&call_id) else { continue };
            let drawn = self.world.random.uniform(Purpose::AbandonedCall, call_id, 0);
            if !call.open && drawn >= ABANDONED_WORK_SHARE {
                self.finish_at_endpoint(call_id);
                continue;
            }
            self.start_work(call_id, endpoint);
        }
    }

    fn start_work(&mut self, call_id: u64, endpoint: u32) {
        let service_time = self.service_time(call_id, endpoint);
        let server = &mut self.servers[endpoint as usize];
        server.busy += 1;
        server.running.push(call_id);
        let epoch = server.epoch;
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.stage = Stage::Running;
        }
        self.schedule(self.now + service_time, Event::WorkFinished { call: call_id, epoch });
    }

    /// Returns the service time of a call that starts now.
    fn service_time(&self, call_id: u64, endpoint: u32) -> Time {
        let server = &self.servers[endpoint as usize];
        let group = &self.world.scenario.groups[server.setup.group];
        let messages = &self.calls[&call_id].messages;
        // Drawn by request and endpoint, so that another policy that sends the request there meets the same time.
        let first_message = messages.first().and_then(|message| self.messages.get(message));
        let first_request = first_message.map_or(call_id, |message| u64::from(message.request));
        let drawn = self.world.random.log_normal(
            Purpose::ServiceTime,
            group.response_time_spread.0,
            first_request,
            u64::from(endpoint),
        );
        let batch_factor = 1.0 + group.batch_item_cost.0 * (messages.len() as f64 - 1.0);
        let is_affected = self.world.random.uniform(Purpose::HeavyTail, first_request, u64::from(endpoint))
            < HEAVY_TAIL_SHARE;
        let factor_of = |tail: &HeavyTail| {
            if is_affected && self.carries_class(messages, tail.class) { tail.factor } else { 1.0 }
        };
        let tail_factor: f64 = server.effects.heavy_tails.iter().map(factor_of).product();
        let capacity_share = self.routes[server.setup.route as usize].capacity_share(self.now, &self.world);
        let seconds =
            group.response_time.seconds() * drawn * batch_factor * tail_factor * server.effects.slowdown
                / capacity_share.max(MIN_CAPACITY_SHARE);
        ((seconds * 1e6) as Time).max(MIN_SERVICE_TIME)
    }

    fn carries_class(&self, messages: &[u64], class: u16) -> bool {
        let of_class = |message: &u64| {
            let state = self.messages.get(message);
            state.is_some_and(|state| self.requests[state.request as usize].class == class)
        };
        messages.iter().any(of_class)
    }

    /// Executes the messages of a call, except those that the endpoint recognizes as duplicates.
    pub(super) fn apply_effects(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let endpoint = call.endpoint;
        let arrived_at = call.arrived_at;
        for message_id in call.messages.clone() {
            let Some(request) = self.messages.get(&message_id).map(|message| message.request) else {
                continue;
            };
            let duplicate = self.deduplicate(message_id, request, endpoint, arrived_at);
            if !duplicate {
                self.count_effect(message_id);
            }
            self.record(Fact::Executed { message: message_id, call: call_id, endpoint, duplicate });
        }
    }

    fn count_effect(&mut self, message_id: u64) {
        let Some(message) = self.messages.get_mut(&message_id) else { return };
        if !message.took_effect {
            message.took_effect = true;
            self.progress[message.request as usize].effects += 1;
        }
    }

    /// Returns whether the endpoint drops a message as a duplicate of a known idempotency key, and records the key if
    /// it is new.
    fn deduplicate(&mut self, message_id: u64, request: u32, endpoint: u32, arrived_at: Time) -> bool {
        let class = self.requests[request as usize].class;
        let class = &self.world.scenario.classes[usize::from(class)];
        if class.idempotency != Idempotency::WithKey {
            return false;
        }
        let server = &self.servers[endpoint as usize];
        let scope = if deduplicates_per_zone(class) {
            u32::from(server.setup.zone)
        } else {
            server.setup.destination
        };
        let window = class.deduplication_window.map_or(0, mountshift_scenario::Span::us);
        // The key is known from the first arrival on, but counts as executed only once the message took effect: a first
        // attempt that was lost in the queue must not suppress the second.
        let first_arrival = Deduplication { first_seen: arrived_at, took_effect: false };
        let known = self.deduplication.entry((message_id, scope)).or_insert(first_arrival);
        if !known.took_effect {
            known.took_effect = true;
            return false;
        }
        if arrived_at <= known.first_seen + window {
            return true;
        }
        known.first_seen = arrived_at;
        false
    }

    /// Finishes the work on a call: applies its effects and sends the answer.
    pub(super) fn finish_work(&mut self, call_id: u64, epoch: u32) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let endpoint = call.endpoint;
        let open = call.open;
        let server = &mut self.servers[endpoint as usize];
        if server.epoch != epoch || !server.running.contains(&call_id) {
            return;
        }
        if server.effects.frozen_until > self.now {
            // The endpoint is frozen and finishes the rest of the work once it resumes.
            let until = server.effects.frozen_until + ANSWER_DELAY;
            self.schedule(until, Event::WorkFinished { call: call_id, epoch });
            return;
        }
        server.busy -= 1;
        server.running.retain(|running| *running != call_id);
        self.apply_effects(call_id);
        if open {
            self.send_answer(call_id);
        }
        self.finish_at_endpoint(call_id);
        self.start_queued_calls(endpoint);
    }

    /// Sends the answer to a call, or resets its connection instead.
    fn send_answer(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let relay = call.relay;
        let endpoint = call.endpoint;
        let messages = call.messages.clone();
        let delay = self.network_delay(relay, endpoint);
        let reset_rate = self.servers[endpoint as usize].effects.reset_rate;
        if self.world.random.uniform(Purpose::Reset, call_id, 0) < reset_rate {
            self.fail_call(call_id, Outcome::Reset, delay);
            self.close_connection(call_id);
            return;
        }
        let silent_until = self.silent_until(relay, endpoint);
        if silent_until <= self.now {
            for message in &messages {
                self.record_delivery(call_id, *message);
            }
        }
        let written_at = silent_until.max(self.now);
        let ends = messages
            .into_iter()
            .map(|message| AttemptEnd { message, outcome: Outcome::Delivered, closed: true })
            .collect();
        self.schedule(written_at + delay, Event::CallEnds { call: call_id, ends });
    }
}
