//! The checker: receives facts, keeps the shared state and applies the rules to each fact.

use crate::rules::{drain, final_answer, key_order, retry_after, single_effect};
use crate::state::endpoint::Endpoint;
use crate::state::message::{Attempt, Message, SettledMessage};
use crate::state::relay::Relay;
use crate::state::route::Route;
use crate::verdict::{Finding, History, Rule};
use crate::{AttemptOutcome, Breach, Fact, RuleParameters, Time, Verdict};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Reads the facts of a day in the order of their times and collects breaches of the rules.
pub struct InvariantChecker {
    pub(crate) parameters: RuleParameters,
    pub(crate) now: Time,
    pub(crate) endpoints: FxHashMap<u32, Endpoint>,
    pub(crate) messages: FxHashMap<u64, Message>,
    pub(crate) settled: FxHashMap<u64, SettledMessage>,
    pub(crate) routes: FxHashMap<u32, Route>,
    pub(crate) relays: FxHashMap<u32, Relay>,
    /// Start times of calls with messages that are not settled.
    pub(crate) call_starts: FxHashMap<u64, Time>,
    /// Accepted messages by the time when they must have a final answer, slack included.
    pub(crate) due: BTreeSet<(Time, u64)>,
    pub(crate) verdict: Verdict,
    /// History of the first message that was recovered unattempted and failed without an attempt.
    pub(crate) first_failed_unattempted: History,
}

impl InvariantChecker {
    /// Creates a checker without any facts.
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
            first_failed_unattempted: Vec::new(),
        }
    }

    /// Processes a fact. Facts must be given in the order of their times.
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

    /// Ends the day at a time by which every message must be settled, and returns the results.
    pub fn finish(mut self, at: Time) -> Verdict {
        self.now = self.now.max(at);
        self.report_lost_messages();
        self.check_failed_unattempted();
        self.verdict
    }

    /// Processes a fact about a message.
    fn observe_message(&mut self, fact: Fact) {
        match fact {
            Fact::Submitted { message, relay, class, destination, key, deadline, .. } => {
                let key = if self.keeps_order(class) { key } else { 0 };
                let submission = (self.now, fact);
                self.record_submission(
                    message,
                    Message::new(relay, class, destination, key, deadline, submission),
                );
            }
            Fact::Accepted { message } => self.record_acceptance(message),
            Fact::Withdrawn { message } => self.record_withdrawal(message),
            Fact::AttemptStarted { message, call, relay, endpoint } => {
                self.record_attempt_start(message, call, relay, endpoint);
            }
            Fact::Executed { message, duplicate, .. } => self.record_execution(message, duplicate),
            Fact::DeliveryAnswered { message, .. } => self.record_delivery_answer(message),
            Fact::AttemptEnded { message, call, relay, outcome } => {
                self.record_attempt_end(message, call, relay, outcome, fact);
            }
            Fact::FinalAnswerGiven { message, relay, answer } => {
                self.record_final_answer(message, relay, answer);
            }
            Fact::FinalAnswerReceived { message } => self.record_final_answer_receipt(message),
            _ => {}
        }
    }

    /// Processes a fact about an endpoint, a route or a relay.
    fn observe_fleet(&mut self, at: Time, fact: Fact) {
        match fact {
            Fact::EndpointAdded { endpoint, destination, zone, route, capacity } => {
                self.endpoints.insert(endpoint, Endpoint { destination, zone, route });
                self.routes.entry(route).or_default().capacity = f64::from(capacity);
            }
            Fact::CallReceived { call, relay, endpoint, weight } => {
                self.record_call(call, relay, endpoint, f64::from(weight), fact);
            }
            Fact::RetryAfterReceived { relay, endpoint, retry_after } => {
                self.record_retry_after(relay, endpoint, retry_after);
            }
            Fact::EndpointListed { relay, endpoint, status } => {
                let now = self.now;
                self.relays.entry(relay).or_default().record_listing(endpoint, status, now);
            }
            Fact::EndpointTakenOut { relay, endpoint } => {
                self.relays.entry(relay).or_default().taken_out_at.entry(endpoint).or_insert(at);
            }
            Fact::EndpointPutBack { relay, endpoint } => {
                self.relays.entry(relay).or_default().taken_out_at.remove(&endpoint);
            }
            Fact::OutageStarted { route } => self.routes.entry(route).or_default().start_outage(at, fact),
            Fact::OutageEnded { route } => self.routes.entry(route).or_default().end_outage(at, fact),
            Fact::RouteOverloaded { route } => {
                self.verdict.overloaded_routes += 1;
                self.routes.entry(route).or_default().history.push_back((at, fact));
            }
            Fact::RelayDown { relay } => self.record_relay_exit(relay),
            Fact::RelayUp { relay } => self.record_relay_start(relay, at),
            Fact::RelayStalled { relay, until } => {
                // Messages due during the stall may be late, as after a restart.
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

    /// Records a breach by a message, with the message's history.
    pub(crate) fn report_message(&mut self, message: u64, finding: Finding) {
        let history = self.messages.get(&message).map(|state| state.history.clone()).unwrap_or_default();
        self.report(finding.rule, format!("message {message}: {}", finding.reason), history);
    }

    fn keeps_order(&self, class: u16) -> bool {
        self.parameters.classes.get(usize::from(class)).is_some_and(|class| class.in_order)
    }

    fn record_submission(&mut self, message: u64, state: Message) {
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

    fn record_acceptance(&mut self, message: u64) {
        let Some(state) = self.messages.get_mut(&message) else { return };
        state.accepted = true;
        let due = state.deadline + self.parameters.answer_slack;
        self.due.insert((due, message));
    }

    /// Stops tracking a message whose client will submit its request under another number.
    fn record_withdrawal(&mut self, message: u64) {
        self.leave_key_queue(message);
        if let Some(state) = self.messages.remove(&message) {
            self.relays.entry(state.relay).or_default().messages.remove(&message);
        }
    }

    fn record_attempt_start(&mut self, message: u64, call: u64, relay: u32, endpoint: u32) {
        if !self.messages.contains_key(&message) {
            self.check_untracked_attempt(message);
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

    /// Returns the breaches by an attempt that is not yet recorded for its message.
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
        if let Some(taken_out_at) = relay.taken_out_at.get(&number) {
            findings.extend(drain::check_out_of_service(number, *taken_out_at, now, grace));
        }
        let active = endpoint.and_then(|endpoint| relay.retry_after.get(&endpoint.route));
        findings.extend(retry_after::check_attempt(active, now, self.parameters.retry_after_grace));
        if let Some(queue) = relay.key_queues.get(&state.key) {
            findings.extend(key_order::check_attempt(queue, message, now));
        }
        findings
    }

    fn zone_of(&self, endpoint: u32) -> u8 {
        self.endpoints.get(&endpoint).map_or(0, |endpoint| endpoint.zone)
    }

    fn record_attempt_end(
        &mut self,
        message: u64,
        call: u64,
        relay: u32,
        outcome: AttemptOutcome,
        fact: Fact,
    ) {
        let Some(endpoint) = self.messages.get(&message).map(|state| state.endpoint_of(call)) else { return };
        if let Some(endpoint) = endpoint {
            if let AttemptOutcome::Rejected { retry_after } = outcome {
                self.record_retry_after(relay, endpoint, retry_after);
            }
            self.record_outage_witness(relay, endpoint, call, outcome, fact);
        }
        if let Some(state) = self.messages.get_mut(&message) {
            state.end_attempt(call, outcome);
            state.has_ended |= outcome == AttemptOutcome::Delivered;
        }
        if outcome.may_still_run() {
            self.start_key_hold_off(message);
        }
        if outcome == AttemptOutcome::Delivered {
            self.leave_key_queue(message);
        }
        self.leave_key_queue_if_finished(message);
        self.settle(message);
    }

    fn record_delivery_answer(&mut self, message: u64) {
        if let Some(state) = self.messages.get_mut(&message) {
            state.delivery_answered = true;
        }
        self.settle(message);
    }

    fn record_final_answer_receipt(&mut self, message: u64) {
        if let Some(state) = self.messages.get_mut(&message) {
            state.final_answer_received = true;
        }
        self.leave_key_queue(message);
        self.settle(message);
    }

    /// Discards most of the state of a message once nothing but a late effect can follow.
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

    /// Records the exit of a relay's process: its calls are reset and may have run, and only its spool remains.
    fn record_relay_exit(&mut self, relay: u32) {
        let relay = self.relays.entry(relay).or_default();
        relay.record_exit();
        let hold_off_until = self.now + self.parameters.order_hold_off;
        for message in &relay.messages {
            let Some(state) = self.messages.get_mut(message) else { continue };
            if !state.in_flight() {
                continue;
            }
            state.reset_attempts();
            if let Some(queue) = relay.key_queues.get_mut(&state.key) {
                queue.start_hold_off(*message, hold_off_until);
            }
        }
    }

    fn record_relay_start(&mut self, relay: u32, at: Time) {
        let state = self.relays.entry(relay).or_default();
        state.down = false;
        state.up_since = at;
        self.count_recovered_unattempted(relay);
    }
}
