//! A relay of the model: collects what came between its steps, takes the policy's actions, keeps a spool in step
//! with them and starts again from it, in the way of the relay on sockets.

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
    /// None while the process is down.
    policy: Option<Box<dyn Policy>>,
    dispatcher: DispatcherState,
    /// What came since the last step.
    pub inbox: Vec<RelayEvent>,
    inputs: Vec<Input>,
    pub last_round: Time,
    pub up: bool,
    /// Its process has a watch that stands.
    pub watching: bool,
    pub stalled_until: Time,
    starts: u64,
}

impl Relay {
    pub(crate) fn new(world: &World, relay: u32, keep_log: bool) -> Relay {
        Relay {
            policy: None,
            dispatcher: DispatcherState::new(world, relay, keep_log),
            inbox: Vec::new(),
            inputs: Vec::new(),
            last_round: 0,
            up: false,
            watching: false,
            stalled_until: 0,
            starts: 0,
        }
    }

    /// Starts the process, with the endpoint list as it had it last and what the spool holds; plays its first
    /// step.
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
        self.policy = Some(build_policy(world.policy_settings(relay, self.starts)));
        self.starts += 1;
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

    /// Tells the policy of the endpoint list as an earlier process had it.
    fn restore_endpoints(&mut self) {
        self.inputs.extend([Input::FullListBegins, Input::ListReceived]);
        for (endpoint, known) in self.dispatcher.endpoints.clone() {
            self.dispatcher.list_endpoint(endpoint, known, &mut self.inputs);
        }
    }

    /// Tells the policy of what the spool holds.
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
        if let Some(end) = stored.pending_end {
            let relay = self.dispatcher.relay;
            self.dispatcher.record(Fact::FinalAnswerGiven { message, relay, answer: end });
            self.dispatcher.effects.push(RelayEffect::Notify { message, end });
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

    pub(crate) fn keep_log(&mut self) {
        self.dispatcher.keep_log = true;
    }

    /// Makes an endpoint known that this relay may not know yet; what it knows already stays.
    pub(crate) fn learn(
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

    /// True if a step is due.
    pub(crate) fn due(&self, now: Time) -> bool {
        let wakes = self.dispatcher.wake_at.is_some_and(|at| at <= now);
        self.up && now >= self.stalled_until && (wakes || !self.inbox.is_empty())
    }

    /// When it wakes by itself.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        if !self.up {
            return None;
        }
        self.dispatcher.wake_at.map(|at| at.max(self.stalled_until))
    }

    /// Takes in what came, has the policy decide, and lets its actions out.
    pub(crate) fn step(&mut self, now: Time, truth: Option<&mut GroundTruth>) {
        self.last_round = now;
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

    /// What was done since the last call.
    pub(crate) fn take_effects(&mut self) -> Vec<RelayEffect> {
        std::mem::take(&mut self.dispatcher.effects)
    }

    /// Ends the process, with all but its spool and the endpoint list as it had it.
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

    /// Messages in the spool.
    pub(crate) fn held(&self) -> usize {
        self.dispatcher.spool.len()
    }

    pub(crate) fn calls_in_flight(&self) -> usize {
        self.dispatcher.calls.len()
    }
}
