//! Relays: their steps, what comes of their actions, their starts and deaths.

use super::clients::ClientState;
use super::events::Event;
use super::trace::attempt_end_name;
use super::{Day, DayObservation};
use crate::Time;
use crate::host::{Relay, RelayEffect};
use crate::policy::{EndpointTruth, GroundTruth};
use crate::random::Purpose;
use crate::servers::Server;
use mountshift::interface::Outcome;
use mountshift_invariants::{Fact, FinalAnswer};
use rayon::prelude::*;

/// The platform acknowledges a notification after this span.
const NOTIFICATION_DELAY: Time = 1_000;
/// Number of relays from which steps are played in parallel; below it threads cost more than they save.
const PARALLEL_MIN: usize = 8;
/// A route that warms up counts with this share of its capacity at least, so that workers are never divided away.
const MIN_TRUE_SHARE: f64 = 0.05;

/// The point of its work at which a relay's process dies.
#[derive(Clone, Copy)]
enum KillPoint {
    BeforeStep,
    AfterSpoolWrite,
    BetweenSocketWrites,
}

impl KillPoint {
    const ALL: [KillPoint; 3] =
        [KillPoint::BeforeStep, KillPoint::AfterSpoolWrite, KillPoint::BetweenSocketWrites];

    /// How many outward actions of the step under way get out; none if no step is played.
    fn completed_actions(self) -> Option<usize> {
        match self {
            KillPoint::BeforeStep => None,
            KillPoint::AfterSpoolWrite => Some(0),
            KillPoint::BetweenSocketWrites => Some(2),
        }
    }
}

impl Day<'_> {
    /// Plays the steps of all relays that are due.
    pub(super) fn step_relays(&mut self) {
        if self.options.policy.is_omniscient() {
            self.step_relays_with_truth();
            return;
        }
        let now = self.now;
        let mut due: Vec<&mut Relay> = self.relays.iter_mut().filter(|relay| relay.due(now)).collect();
        if due.len() >= PARALLEL_MIN {
            due.par_iter_mut().for_each(|relay| relay.step(now, None));
        } else {
            for relay in &mut due {
                relay.step(now, None);
            }
        }
        for relay in 0..self.relays.len() {
            if self.relays[relay].last_round == now {
                self.perform_actions(relay as u32, usize::MAX);
            }
        }
    }

    /// One after another: each sees what those before it have sent.
    fn step_relays_with_truth(&mut self) {
        self.refresh_truth();
        for relay in 0..self.relays.len() {
            if self.relays[relay].due(self.now) {
                let mut truth = std::mem::take(&mut self.truth);
                self.relays[relay].step(self.now, Some(&mut truth));
                self.truth = truth;
                self.perform_actions(relay as u32, usize::MAX);
            }
        }
    }

    fn refresh_truth(&mut self) {
        let now = self.now;
        let world = &self.world;
        let routes = self.routes.iter_mut().map(|route| route.calls_allowed(now, world)).collect();
        let endpoints = self.servers.iter().map(|server| self.true_state(server)).collect();
        self.truth = GroundTruth { endpoints, route_allowances: routes };
    }

    fn true_state(&self, listed: &Server) -> EndpointTruth {
        // Who is reached is whoever has the address now.
        let mut server = listed;
        while let Some(next) = server.successor {
            server = &self.servers[next as usize];
        }
        let route = &self.routes[server.setup.route as usize];
        let serves = !server.removed && !server.effects.is_out() && !route.overloaded;
        let share = route.capacity_share(self.now, &self.world).max(MIN_TRUE_SHARE);
        let workers = f64::from(server.workers) * share;
        let free = workers - f64::from(server.busy) - server.queue.len() as f64;
        EndpointTruth {
            available: serves && server.effects.frozen_until <= self.now,
            route: server.setup.route,
            spare_capacity: free + 1.0,
            has_stale_connections: server.effects.stale_rate > 0.0,
        }
    }

    /// Starts a relay's process, with what its spool and its endpoint list hold.
    pub(super) fn start_relay(&mut self, relay: u32) {
        let sees_all = self.options.policy.is_omniscient();
        if sees_all {
            self.refresh_truth();
        }
        let mut truth = std::mem::take(&mut self.truth);
        let seen = if sees_all { Some(&mut truth) } else { None };
        self.relays[relay as usize].start(&self.world, &*self.policy_factory, self.now, seen);
        self.truth = truth;
        self.perform_actions(relay, usize::MAX);
    }

    /// Performs a relay's actions in their order. If its process dies meanwhile, only the first `completed` of
    /// those that leave the process get out.
    fn perform_actions(&mut self, relay: u32, completed: usize) {
        let mut begun = 0;
        for action in self.relays[relay as usize].take_effects() {
            if leaves_process(&action) {
                begun += 1;
            }
            // What was learnt was learnt; what was sent counts only if it got out.
            let gets_out = match &action {
                RelayEffect::Fact(fact) => is_observation(fact) || begun < completed,
                _ => begun <= completed,
            };
            if gets_out {
                self.perform(relay, action);
            }
        }
    }

    fn record_from_relay(&mut self, fact: Fact) {
        match fact {
            Fact::AttemptEnded { outcome: end, .. } => {
                *self.statistics.attempt_ends.entry(attempt_end_name(end)).or_default() += 1;
            }
            Fact::AttemptStarted { .. } => {
                self.attempts += 1;
                self.statistics.attempts.add(self.now, 1.0);
            }
            _ => {}
        }
        self.record(fact);
    }

    fn perform(&mut self, relay: u32, action: RelayEffect) {
        match action {
            RelayEffect::Fact(fact) => self.record_from_relay(fact),
            RelayEffect::StartCall { call, endpoint, messages, timeout } => {
                self.start_call(relay, call, endpoint, messages, timeout);
            }
            RelayEffect::AnswerClient { message, end } => self.answer_client(message, end),
            RelayEffect::Notify { message, end } => self.send_notification(message, end),
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

    /// Sends a final answer to the platform, which passes it on to the client at once and acknowledges it later.
    fn send_notification(&mut self, message: u64, end: FinalAnswer) {
        self.schedule(self.now + NOTIFICATION_DELAY, Event::NotificationAcknowledged { message });
        self.message_ended(message, end);
    }

    /// Ends a relay's process without notice.
    pub(super) fn kill_relay(&mut self, relay: u32, fault: usize) {
        if !self.relays[relay as usize].up {
            return;
        }
        self.play_interrupted_step(relay, fault);
        self.relays[relay as usize].kill();
        self.record(Fact::RelayDown { relay });
        self.drop_connections_of_relay(relay);
        self.time_out_clients_of_relay(relay);
    }

    fn play_interrupted_step(&mut self, relay: u32, fault: usize) {
        let count = KillPoint::ALL.len();
        let drawn = self.world.random.index(Purpose::KillPoint, count, fault as u64, u64::from(relay));
        let stalled = self.relays[relay as usize].stalled_until > self.now;
        if stalled || self.options.policy.is_omniscient() {
            return;
        }
        if let Some(completed) = KillPoint::ALL[drawn].completed_actions() {
            self.relays[relay as usize].step(self.now, None);
            self.perform_actions(relay, completed);
        }
    }

    fn drop_connections_of_relay(&mut self, relay: u32) {
        let calls = self.calls.iter().filter(|(_, call)| call.relay == relay);
        let mut calls: Vec<u64> = calls.map(|(id, _)| *id).collect();
        calls.sort_unstable();
        for call in calls {
            self.hang_up(call);
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
            self.client_timeout(message);
        }
    }
}

/// True for what other processes see: it gets out only if the relay lives long enough.
fn leaves_process(action: &RelayEffect) -> bool {
    matches!(
        action,
        RelayEffect::StartCall { .. } | RelayEffect::AnswerClient { .. } | RelayEffect::Notify { .. }
    )
}

/// True for facts that a relay has learnt from others, as opposed to those that it makes.
fn is_observation(fact: &Fact) -> bool {
    matches!(fact, Fact::AttemptEnded { .. } | Fact::RetryAfterReceived { .. })
}
