//! Relays: their steps, the effects of these steps, and the start and end of their processes.

use super::clients::ClientState;
use super::events::Event;
use super::trace::attempt_outcome_name;
use super::{Day, DayObservation};
use crate::Time;
use crate::host::{Relay, RelayEffect};
use crate::policy::{EndpointTruth, GroundTruth};
use crate::random::Purpose;
use crate::servers::Server;
use mountshift::interface::Outcome;
use mountshift_invariants::{Fact, FinalAnswer};
use rayon::prelude::*;

/// Delay after which the recipient acknowledges a notification.
const NOTIFICATION_DELAY: Time = 1_000;
/// Smallest number of due relays whose steps run in parallel; below it threads cost more than they save.
const MIN_PARALLEL_RELAYS: usize = 8;
/// Smallest share of capacity with which a route in slow start is shown to the omniscient policy, so that a part of
/// its workers always counts.
const MIN_SLOW_START_SHARE: f64 = 0.05;

/// The point within a step at which a relay's process is killed.
#[derive(Clone, Copy)]
enum KillPoint {
    BeforeStep,
    AfterSpoolWrite,
    BetweenSocketWrites,
}

impl KillPoint {
    const ALL: [KillPoint; 3] =
        [KillPoint::BeforeStep, KillPoint::AfterSpoolWrite, KillPoint::BetweenSocketWrites];

    /// Returns the number of outgoing effects that are completed before the kill, or `None` if the step doesn't run.
    fn completed_effects(self) -> Option<usize> {
        match self {
            KillPoint::BeforeStep => None,
            KillPoint::AfterSpoolWrite => Some(0),
            KillPoint::BetweenSocketWrites => Some(2),
        }
    }
}

impl Day<'_> {
    /// Runs the steps of all relays that are due.
    pub(super) fn step_relays(&mut self) {
        if self.options.policy.is_omniscient() {
            self.step_relays_with_truth();
            return;
        }
        let now = self.now;
        let mut due: Vec<&mut Relay> = self.relays.iter_mut().filter(|relay| relay.is_due(now)).collect();
        if due.len() >= MIN_PARALLEL_RELAYS {
            due.par_iter_mut().for_each(|relay| relay.step(now, None));
        } else {
            for relay in &mut due {
                relay.step(now, None);
            }
        }
        for relay in 0..self.relays.len() {
            if self.relays[relay].last_step_at == now {
                self.perform_effects(relay as u32, usize::MAX);
            }
        }
    }

    /// Runs due steps one after another. Each step subtracts the capacity that it uses from the ground truth for the
    /// relays after it.
    fn step_relays_with_truth(&mut self) {
        self.refresh_truth();
        for relay in 0..self.relays.len() {
            if self.relays[relay].is_due(self.now) {
                let mut truth = std::mem::take(&mut self.truth);
                self.relays[relay].step(self.now, Some(&mut truth));
                self.truth = truth;
                self.perform_effects(relay as u32, usize::MAX);
            }
        }
    }

    fn refresh_truth(&mut self) {
        let now = self.now;
        let world = &self.world;
        let routes = self.routes.iter_mut().map(|route| route.calls_allowed(now, world)).collect();
        let endpoints = self.servers.iter().map(|server| self.endpoint_truth(server)).collect();
        self.truth = GroundTruth { endpoints, route_allowances: routes };
    }

    fn endpoint_truth(&self, listed: &Server) -> EndpointTruth {
        // A call reaches the endpoint that has the address now.
        let mut server = listed;
        while let Some(next) = server.successor {
            server = &self.servers[next as usize];
        }
        let route = &self.routes[server.setup.route as usize];
        let serves = !server.removed && !server.effects.is_in_outage() && !route.overloaded;
        let share = route.capacity_share(self.now, &self.world).max(MIN_SLOW_START_SHARE);
        let workers = f64::from(server.workers) * share;
        let free = workers - f64::from(server.busy) - server.queue.len() as f64;
        EndpointTruth {
            available: serves && server.effects.frozen_until <= self.now,
            route: server.setup.route,
            spare_capacity: free + 1.0,
            has_stale_connections: server.effects.stale_rate > 0.0,
        }
    }

    /// Starts a relay's process with the contents of its spool and its last endpoint list.
    pub(super) fn start_relay(&mut self, relay: u32) {
        let is_omniscient = self.options.policy.is_omniscient();
        if is_omniscient {
            self.refresh_truth();
        }
        let mut truth = std::mem::take(&mut self.truth);
        let visible_truth = if is_omniscient { Some(&mut truth) } else { None };
        self.relays[relay as usize].start(&self.world, &*self.policy_factory, self.now, visible_truth);
        self.truth = truth;
        self.perform_effects(relay, usize::MAX);
    }

    /// Performs a relay's effects in their order. If its process is killed during the step, only the first `completed`
    /// outgoing effects are performed.
    fn perform_effects(&mut self, relay: u32, completed: usize) {
        let mut outgoing = 0;
        for effect in self.relays[relay as usize].take_effects() {
            if is_outgoing(&effect) {
                outgoing += 1;
            }
            // Observed facts are always recorded, other facts only if the next outgoing effect is performed.
            let is_performed = match &effect {
                RelayEffect::Fact(fact) => is_observation(fact) || outgoing < completed,
                _ => outgoing <= completed,
            };
            if is_performed {
                self.perform_effect(relay, effect);
            }
        }
    }

    fn record_from_relay(&mut self, fact: Fact) {
        match fact {
            Fact::AttemptEnded { outcome, .. } => {
                *self.statistics.attempt_ends.entry(attempt_outcome_name(outcome)).or_default() += 1;
            }
            Fact::AttemptStarted { .. } => {
                self.attempts += 1;
                self.statistics.attempts.add(self.now, 1.0);
            }
            _ => {}
        }
        self.record(fact);
    }

    fn perform_effect(&mut self, relay: u32, effect: RelayEffect) {
        match effect {
            RelayEffect::Fact(fact) => self.record_from_relay(fact),
            RelayEffect::StartCall { call, endpoint, messages, timeout } => {
                self.start_call(relay, call, endpoint, messages, timeout);
            }
            RelayEffect::AnswerClient { message, answer } => self.answer_client(message, answer),
            RelayEffect::Notify { message, answer } => self.send_notification(message, answer),
            RelayEffect::CloseCall { call } => self.close_call(call, Outcome::Cancelled),
            RelayEffect::CloseIdleConnections { endpoint } => self.close_idle_connections(relay, endpoint),
            RelayEffect::PollEndpoints => self.poll_discovery(relay),
            RelayEffect::Log(line) => self.record_log_line(relay, &line),
        }
    }

    fn record_log_line(&mut self, relay: u32, line: &str) {
        if let Some(observer) = self.observer.as_mut() {
            observer(self.now, DayObservation::Log(relay, line));
        }
        self.statistics.read_log_line(&self.world, relay, self.now, line);
    }

    /// Sends a final answer as a notification, which the recipient passes to the client at once and acknowledges later.
    fn send_notification(&mut self, message: u64, answer: FinalAnswer) {
        self.schedule(self.now + NOTIFICATION_DELAY, Event::NotificationAcknowledged { message });
        self.end_message(message, answer);
    }

    /// Kills a relay's process without warning, at a drawn point of a step.
    pub(super) fn kill_relay(&mut self, relay: u32, fault: usize) {
        if !self.relays[relay as usize].up {
            return;
        }
        self.run_interrupted_step(relay, fault);
        self.relays[relay as usize].kill();
        self.record(Fact::RelayDown { relay });
        self.drop_connections_of_relay(relay);
        self.time_out_clients_of_relay(relay);
    }

    fn run_interrupted_step(&mut self, relay: u32, fault: usize) {
        let count = KillPoint::ALL.len();
        let drawn = self.world.random.index(Purpose::KillPoint, count, fault as u64, u64::from(relay));
        let stalled = self.relays[relay as usize].stalled_until > self.now;
        if stalled || self.options.policy.is_omniscient() {
            return;
        }
        if let Some(completed) = KillPoint::ALL[drawn].completed_effects() {
            self.relays[relay as usize].step(self.now, None);
            self.perform_effects(relay, completed);
        }
    }

    fn drop_connections_of_relay(&mut self, relay: u32) {
        let calls = self.calls.iter().filter(|(_, call)| call.relay == relay);
        let mut calls: Vec<u64> = calls.map(|(id, _)| *id).collect();
        calls.sort_unstable();
        for call in calls {
            self.abandon_call(call);
        }
        let pools = self.idle_connections.keys().filter(|pool| pool.0 == relay);
        let mut pools: Vec<(u32, u32)> = pools.copied().collect();
        pools.sort_unstable();
        for (_, endpoint) in pools {
            self.close_idle_connections(relay, endpoint);
        }
    }

    fn time_out_clients_of_relay(&mut self, relay: u32) {
        let waiting = self
            .messages
            .iter()
            .filter(|(_, message)| message.relay == relay && message.client == ClientState::Waiting);
        let mut waiting: Vec<u64> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for message in waiting {
            self.handle_client_timeout(message);
        }
    }
}

/// Returns whether an effect is visible to other processes.
fn is_outgoing(effect: &RelayEffect) -> bool {
    matches!(
        effect,
        RelayEffect::StartCall { .. } | RelayEffect::AnswerClient { .. } | RelayEffect::Notify { .. }
    )
}

/// Returns whether a fact reports something that a relay received, as opposed to its own decisions.
fn is_observation(fact: &Fact) -> bool {
    matches!(fact, Fact::AttemptEnded { .. } | Fact::RetryAfterReceived { .. })
}
