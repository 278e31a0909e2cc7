//! The checker itself: takes facts in, keeps the shared state, and asks each rule what the fact breaks.

use crate::rules::{drain, final_answer, key_order, retry_after, single_effect};
use crate::state::endpoint::Endpoint;
use crate::state::message::{Attempt, Message, SettledMessage};
use crate::state::relay::Relay;
use crate::state::route::Route;
use crate::verdict::{Finding, History, Rule};
use crate::{AttemptOutcome, Breach, Fact, RuleParameters, Time, Verdict};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Reads the facts of a day in the order in which they happen, and collects breaches of the rules.
pub struct InvariantChecker {
    pub(crate) parameters: RuleParameters,
    pub(crate) now: Time,
    pub(crate) endpoints: FxHashMap<u32, Endpoint>,
    pub(crate) messages: FxHashMap<u64, Message>,
    pub(crate) settled: FxHashMap<u64, SettledMessage>,
    pub(crate) routes: FxHashMap<u32, Route>,
    pub(crate) relays: FxHashMap<u32, Relay>,
    /// When the calls of messages that are not settled started.
    pub(crate) call_starts: FxHashMap<u64, Time>,
    /// When accepted messages must have a final answer, with the slack.
    pub(crate) due: BTreeSet<(Time, u64)>,
    pub(crate) verdict: Verdict,
    /// The history of the first message that was found untried and given up.
    pub(crate) first_given_up: History,
}

impl InvariantChecker {
    /// A checker that has seen nothing.
    pub fn new(parameters: RuleParameters) -> InvariantChecker {
        InvariantChecker {
            parameters,
            now: 0,
            endpoints: FxHashMap::default(),
            messages: FxHashMap::default(),
            settled: FxHashMap::default(),
            routes: FxHashMap::default(),
            relays: FxHashMap::default(),
            call_starts: FxHashMap::default(),
            due: BTreeSet::new(),
            verdict: Verdict::default(),
            first_given_up: Vec::new(),
        }
    }

    /// Takes a fact in. Facts must come in the order of their times.
    pub fn observe(&mut self, at: Time, fact: Fact) {
        self.now = self.now.max(at);
        self.report_lost_messages();
        if let Some(message) = fact.message()
            && let Some(state) = self.messages.get_mut(&message)
        {
            state.history.push((at, fact));
        }
        if fact.message().is_some() {
            self.observe_message(fact);
        } else {
            self.observe_fleet(at, fact);
        }
    }

    /// Ends the day at a time by which every message must be settled, and tells what was found.
    pub fn finish(mut self, at: Time) -> Verdict {
        self.now = self.now.max(at);
        self.report_lost_messages();
        self.check_given_up();
        self.verdict
    }

    /// Facts about one message.
    fn observe_message(&mut self, fact: Fact) {
        match fact {
            Fact::Submitted { message, relay, class, destination, key, deadline, .. } => {
                let key = if self.keeps_order(class) { key } else { 0 };
                let submission = (self.now, fact);
                self.submitted(message, Message::new(relay, class, destination, key, deadline, submission));
            }
            Fact::Accepted { message } => self.accepted(message),
            Fact::Withdrawn { message } => self.withdrawn(message),
            Fact::AttemptStarted { message, call, relay, endpoint } => {
                self.attempt_started(message, call, relay, endpoint);
            }
            Fact::Executed { message, duplicate, .. } => self.executed(message, duplicate),
            Fact::DeliveryAnswered { message, .. } => self.delivery_answered(message),
            Fact::AttemptEnded { message, call, relay, outcome } => {
                self.attempt_ended(message, call, relay, outcome, fact);
            }
            Fact::FinalAnswerGiven { message, relay, answer } => {
                self.final_answer_given(message, relay, answer);
            }
            Fact::FinalAnswerReceived { message } => self.final_answer_received(message),
            _ => {}
        }
    }

    /// Facts about endpoints, routes and relays.
    fn observe_fleet(&mut self, at: Time, fact: Fact) {
        match fact {
            Fact::EndpointAdded { endpoint, destination, zone, route, capacity } => {
                self.endpoints.insert(endpoint, Endpoint { destination, zone, route });
                self.routes.entry(route).or_default().capacity = f64::from(capacity);
            }
            Fact::CallReceived { call, relay, endpoint, weight } => {
                self.call_received(call, relay, endpoint, f64::from(weight), fact);
            }
            Fact::RetryAfterReceived { relay, endpoint, retry_after } => {
                self.retry_after_received(relay, endpoint, retry_after);
            }
            Fact::EndpointListed { relay, endpoint, status } => {
                let now = self.now;
                self.relays.entry(relay).or_default().endpoint_listed(endpoint, status, now);
            }
            Fact::OutageStarted { route } => self.routes.entry(route).or_default().start_outage(at, fact),
            Fact::OutageEnded { route } => self.routes.entry(route).or_default().end_outage(at, fact),
            Fact::RouteOverloaded { route } => {
                self.verdict.overloaded_routes += 1;
                self.routes.entry(route).or_default().history.push_back((at, fact));
            }
            Fact::RelayDown { relay } => self.relay_down(relay),
            Fact::RelayUp { relay } => self.relay_up(relay, at),
            Fact::RelayStalled { relay, until } => {
                // What falls due meanwhile may be late as after a restart.
                let relay = self.relays.entry(relay).or_default();
                relay.up_since = relay.up_since.max(until);
            }
            _ => {}
        }
    }

    /// Records a breach.
    pub(crate) fn report(&mut self, rule: Rule, reason: String, history: History) {
        self.verdict.record(Breach { rule: rule.number(), at: self.now, reason, history });
    }

    /// Records a breach that a message shows, with the message's history.
    pub(crate) fn report_message(&mut self, message: u64, finding: Finding) {
        let history = self.messages.get(&message).map(|state| state.history.clone()).unwrap_or_default();
        self.report(finding.rule, format!("message {message}: {}", finding.reason), history);
    }

    fn keeps_order(&self, class: u16) -> bool {
        self.parameters.classes.get(usize::from(class)).is_some_and(|class| class.in_order)
    }

    fn submitted(&mut self, message: u64, state: Message) {
        let (relay, key) = (state.relay, state.key);
        let replaced = self.messages.insert(message, state);
        if replaced.is_some() || self.settled.contains_key(&message) {
            self.report_message(message, Finding::new(Rule::FinalAnswer, "its id was used before"));
        }
        let relay = self.relays.entry(relay).or_default();
        relay.messages.insert(message);
        if key != 0 {
            relay.key_queues.entry(key).or_default().messages.push_back(message);
        }
    }

    fn accepted(&mut self, message: u64) {
        let Some(state) = self.messages.get_mut(&message) else { return };
        state.accepted = true;
        let due = state.deadline + self.parameters.answer_slack;
        self.due.insert((due, message));
    }

    /// The client will submit its request under another number; what is done under this one counts for nothing.
    fn withdrawn(&mut self, message: u64) {
        self.leave_key_queue(message);
        if let Some(state) = self.messages.remove(&message) {
            self.relays.entry(state.relay).or_default().messages.remove(&message);
        }
    }

    fn attempt_started(&mut self, message: u64, call: u64, relay: u32, endpoint: u32) {
        if !self.messages.contains_key(&message) {
            self.attempt_of_untracked(message);
            return;
        }
        for finding in self.check_attempt(message, relay, endpoint) {
            self.report_message(message, finding);
        }
        let zone = self.zone_of(endpoint);
        let now = self.now;
        if let Some(state) = self.messages.get_mut(&message) {
            state.attempts.push(Attempt { call, started_at: now, endpoint, zone, outcome: None });
        }
        self.call_starts.insert(call, now);
    }

    /// What an attempt breaks, before it counts as one of its message's attempts.
    fn check_attempt(&mut self, message: u64, relay: u32, number: u32) -> Vec<Finding> {
        let (now, zone) = (self.now, self.zone_of(number));
        let Some(state) = self.messages.get(&message) else { return Vec::new() };
        let relay = self.relays.entry(relay).or_default();
        let endpoint = self.endpoints.get(&number);
        let idempotency = self.parameters.classes[usize::from(state.class)].idempotency;
        let mut findings = Vec::new();
        findings.extend(final_answer::check_attempt(state));
        findings.extend(single_effect::check_attempt(state, idempotency, zone, now));
        let listing = relay.listings.get(&number);
        let grace = self.parameters.drain_grace;
        findings.extend(drain::check_attempt(number, endpoint, listing, state.destination, now, grace));
        let binding = endpoint.and_then(|endpoint| relay.retry_after.get(&endpoint.route));
        findings.extend(retry_after::check_attempt(binding, now, self.parameters.retry_after_grace));
        if let Some(queue) = relay.key_queues.get(&state.key) {
            findings.extend(key_order::check_attempt(queue, message, now));
        }
        findings
    }

    fn zone_of(&self, endpoint: u32) -> u8 {
        self.endpoints.get(&endpoint).map_or(0, |endpoint| endpoint.zone)
    }

    fn attempt_ended(&mut self, message: u64, call: u64, relay: u32, outcome: AttemptOutcome, fact: Fact) {
        let Some(endpoint) = self.messages.get(&message).map(|state| state.endpoint_of(call)) else { return };
        if let Some(endpoint) = endpoint {
            if let AttemptOutcome::Rejected { retry_after } = outcome {
                self.retry_after_received(relay, endpoint, retry_after);
            }
            self.note_outage_witness(relay, endpoint, call, outcome, fact);
        }
        if let Some(state) = self.messages.get_mut(&message) {
            state.end_attempt(call, outcome);
            state.known_done |= outcome == AttemptOutcome::Delivered;
        }
        if outcome.may_still_run() {
            self.hold_off_key(message);
        }
        if outcome == AttemptOutcome::Delivered {
            self.leave_key_queue(message);
        }
        self.leave_key_queue_if_over(message);
        self.settle(message);
    }

    fn delivery_answered(&mut self, message: u64) {
        if let Some(state) = self.messages.get_mut(&message) {
            state.delivery_answered = true;
        }
        self.settle(message);
    }

    fn final_answer_received(&mut self, message: u64) {
        if let Some(state) = self.messages.get_mut(&message) {
            state.final_answer_received = true;
        }
        self.leave_key_queue(message);
        self.settle(message);
    }

    /// Keeps little of a message to which nothing but a late effect can happen any more.
    pub(crate) fn settle(&mut self, message: u64) {
        if !self.messages.get(&message).is_some_and(Message::is_settled) {
            return;
        }
        let Some(state) = self.messages.remove(&message) else { return };
        self.settled.insert(message, SettledMessage { class: state.class, effects: state.effects });
        for attempt in &state.attempts {
            self.call_starts.remove(&attempt.call);
        }
        self.due.remove(&(state.deadline + self.parameters.answer_slack, message));
        self.relays.entry(state.relay).or_default().messages.remove(&message);
    }

    /// The relay's calls broke with it: they may have run, and it knows nothing but what its spool tells.
    fn relay_down(&mut self, relay: u32) {
        let relay = self.relays.entry(relay).or_default();
        relay.stopped();
        let hold_off_until = self.now + self.parameters.order_hold_off;
        for message in &relay.messages {
            let Some(state) = self.messages.get_mut(message) else { continue };
            if !state.in_flight() {
                continue;
            }
            state.reset_attempts();
            if let Some(queue) = relay.key_queues.get_mut(&state.key) {
                queue.hold_off(*message, hold_off_until);
            }
        }
    }

    fn relay_up(&mut self, relay: u32, at: Time) {
        let state = self.relays.entry(relay).or_default();
        state.down = false;
        state.up_since = at;
        self.count_found_untried(relay);
    }
}
