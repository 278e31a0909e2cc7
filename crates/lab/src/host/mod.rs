//! A modelled relay: collects events between its steps, carries out the policy's actions, stores them in a spool and
//! restarts from it, as the real relay does.

mod clock;
mod dispatcher;
mod messages;
mod spool;

pub(crate) use messages::{AttemptEnd, RelayEffect, RelayEvent};

use crate::Time;
use crate::policy::{GroundTruth, Policy};
use crate::world::{EndpointSetup, World};
use clock::DecisionClock;
use dispatcher::{DispatcherState, KnownEndpoint};
use mountshift::interface::*;
use mountshift_invariants::Fact;
use spool::StoredMessage;

/// A modelled relay.
pub(crate) struct Relay {
    /// `None` while the process is down.
    policy: Option<Box<dyn Policy>>,
    dispatcher: DispatcherState,
    /// Events received since the last step.
    pub inbox: Vec<RelayEvent>,
    inputs: Vec<Input>,
    pub last_step_at: Time,
    pub up: bool,
    /// Whether the process has an established watch on the endpoint list.
    pub watching: bool,
    pub stalled_until: Time,
    start_count: u64,
}

impl Relay {
    pub(crate) fn new(world: &World, relay: u32, keep_log: bool) -> Relay {
        Relay {
            policy: None,
            dispatcher: DispatcherState::new(world, relay, keep_log),
            inbox: Vec::new(),
            inputs: Vec::new(),
            last_step_at: 0,
            up: false,
            watching: false,
            stalled_until: 0,
            start_count: 0,
        }
    }

    /// Starts the process with the last endpoint list and the contents of the spool, and runs its first step.
    pub(crate) fn start(
        &mut self,
        world: &World,
        build_policy: &dyn Fn(PolicySettings) -> Box<dyn Policy>,
        now: Time,
        truth: Option<&mut GroundTruth>,
    ) {
        let relay = self.dispatcher.relay;
        self.start_clock(now);
        self.dispatcher.calls.clear();
        self.dispatcher.wake_at = None;
        self.policy = Some(build_policy(world.policy_settings(relay, self.start_count)));
        self.start_count += 1;
        self.up = true;
        self.stalled_until = 0;
        self.dispatcher.record(Fact::RelayUp { relay });
        self.restore_endpoints();
        self.restore_messages();
        self.step(now, truth);
    }

    fn start_clock(&mut self, now: Time) {
        let unix = self.dispatcher.unix_clock.read(now);
        let attempts = self.dispatcher.spool.values().flat_map(|stored| &stored.attempts);
        let oldest = attempts.map(|attempt| attempt.sent_at).min();
        self.dispatcher.clock = DecisionClock::start(now, unix, oldest);
    }

    /// Passes the last endpoint list of the earlier process to the policy.
    fn restore_endpoints(&mut self) {
        self.inputs.extend([Input::FullListBegins, Input::ListReceived]);
        for (endpoint, known) in self.dispatcher.endpoints.clone() {
            self.dispatcher.push_endpoint(endpoint, known, &mut self.inputs);
        }
    }

    /// Passes the contents of the spool to the policy.
    fn restore_messages(&mut self) {
        for (message, stored) in self.dispatcher.spool.clone() {
            self.restore_message(message, stored);
        }
    }

    fn restore_message(&mut self, message: u64, stored: StoredMessage) {
        let id = MessageId(message);
        let deadline = self.dispatcher.clock.at_unix(stored.deadline);
        let submission = Submission { deadline, restored: true, ..stored.submission };
        self.inputs.push(Input::Submitted { message: id, submission });
        if let Some(answer) = stored.pending_answer {
            let relay = self.dispatcher.relay;
            self.dispatcher.record(Fact::FinalAnswerGiven { message, relay, answer });
            self.dispatcher.effects.push(RelayEffect::Notify { message, answer });
            self.inputs.push(Input::FinalAnswerPending(id));
        }
        for attempt in stored.attempts {
            self.inputs.push(Input::EarlierAttempt {
                message: id,
                zone: attempt.zone,
                at: self.dispatcher.clock.at_unix(attempt.sent_at),
                may_have_run: attempt.may_have_run,
            });
        }
    }

    pub(crate) fn enable_log(&mut self) {
        self.dispatcher.keep_log = true;
    }

    /// Adds an endpoint if the relay does not know it yet; a known entry is not changed.
    pub(crate) fn add_endpoint(
        &mut self,
        world: &World,
        setup: &EndpointSetup,
        endpoint: u32,
        status: EndpointStatus,
    ) {
        let known = KnownEndpoint {
            status,
            destination: setup.destination,
            zone: setup.zone,
            kind: setup.group as u16,
            rate: world.listed_rate(setup),
        };
        self.dispatcher.endpoints.entry(endpoint).or_insert(known);
    }

    /// Returns whether a step is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        let wakes = self.dispatcher.wake_at.is_some_and(|at| at <= now);
        self.up && now >= self.stalled_until && (wakes || !self.inbox.is_empty())
    }

    /// Returns the time of the next step that the policy requested, if the process is up.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        if !self.up {
            return None;
        }
        self.dispatcher.wake_at.map(|at| at.max(self.stalled_until))
    }

    /// Applies the received events, runs a step of the policy, and collects its effects.
    pub(crate) fn step(&mut self, now: Time, truth: Option<&mut GroundTruth>) {
        self.last_step_at = now;
        self.dispatcher.now = now;
        self.dispatcher.wake_at = self.dispatcher.wake_at.filter(|at| *at > now);
        for event in self.inbox.drain(..) {
            self.dispatcher.apply(event, &mut self.inputs);
        }
        let decision_time = self.dispatcher.clock.at(now);
        if let Some(policy) = self.policy.as_mut() {
            policy.step(decision_time, &mut self.inputs, truth, &mut self.dispatcher);
        }
        self.dispatcher.flush();
    }

    /// Takes the effects since the last call.
    pub(crate) fn take_effects(&mut self) -> Vec<RelayEffect> {
        std::mem::take(&mut self.dispatcher.effects)
    }

    /// Kills the process: all state is lost except the spool and the endpoint list.
    pub(crate) fn kill(&mut self) {
        self.policy = None;
        self.up = false;
        self.watching = false;
        self.inbox.clear();
        self.inputs.clear();
        self.dispatcher.calls.clear();
        self.dispatcher.unanswered.clear();
        self.dispatcher.wake_at = None;
    }

    pub(crate) fn step_clock(&mut self, by: i64) {
        self.dispatcher.unix_clock.step(by);
    }

    /// Returns the number of messages in the spool.
    pub(crate) fn spooled_messages(&self) -> usize {
        self.dispatcher.spool.len()
    }

    pub(crate) fn calls_in_flight(&self) -> usize {
        self.dispatcher.calls.len()
    }
}
