//! The invariant checker: reads a day's facts in order and finds breaches of the six rules, and every double
//! effect, with the history of the message that shows it. It is written from the rules' text alone and shares no
//! code with the decisions, so that one misreading can't hide in both.
//!
//! 1. every accepted message gets one final answer, in time, and nothing is sent after it
//! 2. no effect is done twice, and no two attempts of a message are in flight at once
//! 3. nothing goes to an endpoint that is draining or removed, once the grace is over
//! 4. a route in slow start isn't overloaded by those who saw its outage
//! 5. messages of one key go in the order of their submission
//! 6. a Retry-After is kept
//!
//! [`InvariantChecker`] takes the facts in and keeps the state that the rules share (`state`); each rule is a
//! module of its own (`rules`).
//!
//! Memory: a few hundred bytes for each message until it is settled, then a few for the rest of the day (a late
//! effect must still be known as the second).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checker {
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
                    self.submitted(
                        message,
                        Message::new(relay, class, destination, key, deadline, submission),
                    );
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

        fn attempt_ended(
            &mut self,
            message: u64,
            call: u64,
            relay: u32,
            outcome: AttemptOutcome,
            fact: Fact,
        ) {
            let Some(endpoint) = self.messages.get(&message).map(|state| state.endpoint_of(call)) else {
                return;
            };
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
}
mod fact;
mod parameters {
    //! What the checker is told of the rules: their thresholds, and what each message class demands.

    use crate::Time;

    /// What running a message twice would do.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Idempotency {
        /// Running it twice does no harm.
        Idempotent,
        /// Repeats are dropped by an idempotency key.
        WithKey {
            /// How long repeats are dropped, from the first attempt that may have run.
            window: Time,
            /// True where only the endpoints of one zone recognise a repeat, false where all of the destination do.
            by_zone: bool,
        },
        /// Running it twice does harm.
        NotIdempotent,
    }

    /// What the rules demand for a message class.
    #[derive(Clone, Copy, Debug)]
    pub struct MessageClass {
        /// What running a message of this class twice would do.
        pub idempotency: Idempotency,
        /// Messages of one key go in the order of their submission.
        pub in_order: bool,
    }

    /// The thresholds of the rules.
    #[derive(Clone, Debug)]
    pub struct RuleParameters {
        /// The message classes, by number.
        pub classes: Vec<MessageClass>,
        /// How far past its deadline a final answer still counts as in time.
        pub answer_slack: Time,
        /// After a restart or a stall a relay may be late with final answers for this long.
        pub restart_slack: Time,
        /// New attempts to a draining or removed endpoint are allowed for this long.
        pub drain_grace: Time,
        /// The next message of a key waits this long after an attempt that may still be running.
        pub order_hold_off: Time,
        /// The share of a route's capacity that it has just after an outage.
        pub slow_start_share: f64,
        /// How long a route takes from the end of an outage to its full capacity.
        pub slow_start_duration: Time,
        /// The multiple of its capacity at which a route in slow start breaks down.
        pub overload_multiple: f64,
        /// The window over which the load on a route in slow start is counted.
        pub overload_window: Time,
        /// Attempts that start this soon after a Retry-After was received are excused.
        pub retry_after_grace: Time,
    }
}
mod rules {
    //! The six rules, a module each. A module says what breaks its rule, from the shared state and the facts alone.

    pub(crate) mod drain {
        //! Rule 3: nothing is sent to an endpoint that is draining or removed once the grace is over, nor to one that the
        //! list never told of or that belongs to another destination.

        use crate::fact::seconds;
        use crate::state::endpoint::Endpoint;
        use crate::state::relay::Listing;
        use crate::verdict::{Finding, Rule};
        use crate::{ListedStatus, Time};

        /// Checks where an attempt goes. `endpoint` and `listing` are what is known of endpoint number `number`.
        pub(crate) fn check_attempt(
            number: u32,
            endpoint: Option<&Endpoint>,
            listing: Option<&Listing>,
            destination: u32,
            now: Time,
            drain_grace: Time,
        ) -> Option<Finding> {
            let (Some(endpoint), Some(listing)) = (endpoint, listing) else {
                let reason = format!("sent to endpoint {number}, which was never listed");
                return Some(Finding::new(Rule::Drain, reason));
            };
            if endpoint.destination != destination {
                let reason = format!("sent to endpoint {number} of destination {}", endpoint.destination);
                return Some(Finding::new(Rule::Drain, reason));
            }
            if listing.status != ListedStatus::Ready && now > listing.since + drain_grace {
                let (status, since) = (listing.status, seconds(now - listing.since));
                let reason = format!("sent to endpoint {number}, told as {status} {since:.3} s before");
                return Some(Finding::new(Rule::Drain, reason));
            }
            None
        }
    }
    pub(crate) mod final_answer {
        //! Rule 1: every accepted message gets one final answer, in time, and nothing is sent after it. What a restart
        //! finds accepted and untried is still tried.

        use crate::checker::InvariantChecker;
        use crate::fact::seconds;
        use crate::state::message::Message;
        use crate::verdict::{Finding, Rule};
        use crate::{FinalAnswer, Time};

        /// A final answer this long before the deadline was not forced by the deadline.
        const EARLY_ANSWER: Time = 100_000;

        /// Checks that an attempt does not follow a final answer.
        pub(crate) fn check_attempt(message: &Message) -> Option<Finding> {
            message.known_done.then(|| Finding::new(Rule::FinalAnswer, "sent after its end"))
        }

        impl InvariantChecker {
            /// An attempt started of a message that is not tracked: it was settled, or never submitted.
            pub(crate) fn attempt_of_untracked(&mut self, message: u64) {
                if self.settled.contains_key(&message) {
                    self.report(
                        Rule::FinalAnswer,
                        format!("message {message}: sent after its end"),
                        Vec::new(),
                    );
                }
            }

            /// A relay gave a final answer other than delivery.
            pub(crate) fn final_answer_given(&mut self, message: u64, relay: u32, answer: FinalAnswer) {
                if !self.messages.contains_key(&message) {
                    if self.settled.contains_key(&message) {
                        let reason = format!("message {message}: ended a second time");
                        self.report(Rule::FinalAnswer, reason, Vec::new());
                    }
                    return;
                }
                self.count_given_up(message);
                for finding in self.check_final_answer(message, relay, answer) {
                    self.report_message(message, finding);
                }
                if let Some(state) = self.messages.get_mut(&message) {
                    state.known_done = true;
                    state.final_answer_given = true;
                }
                self.leave_key_queue_if_over(message);
                self.settle(message);
            }

            fn check_final_answer(&self, message: u64, relay: u32, answer: FinalAnswer) -> Vec<Finding> {
                let Some(state) = self.messages.get(&message) else { return Vec::new() };
                let mut findings = Vec::new();
                if state.known_done {
                    findings.push(Finding::new(Rule::FinalAnswer, "ended a second time"));
                }
                if self.answer_is_late(state, relay) {
                    let late = seconds(self.now - state.deadline);
                    findings.push(Finding::new(
                        Rule::FinalAnswer,
                        format!("ended {late:.3} s after its deadline"),
                    ));
                }
                let idempotency = self.parameters.classes[usize::from(state.class)].idempotency;
                findings.extend(super::single_effect::check_final_answer(state, idempotency, answer));
                findings
            }

            /// The answer comes after its time, and neither a delivery, a restart nor a stall excuses it.
            fn answer_is_late(&self, message: &Message, relay: u32) -> bool {
                let up_since = self.relays.get(&relay).map_or(0, |relay| relay.up_since);
                let excused = up_since > 0 && self.now <= up_since + self.parameters.restart_slack;
                let in_time = self.now <= message.deadline + self.parameters.answer_slack;
                !in_time && !excused && !message.delivery_answered
            }

            /// Counts a message that a restart found untried and that is given up without an attempt.
            fn count_given_up(&mut self, message: u64) {
                let Some(state) = self.messages.get(&message) else { return };
                if !state.found_untried
                    || !state.attempts.is_empty()
                    || self.now + EARLY_ANSWER >= state.deadline
                {
                    return;
                }
                self.verdict.given_up_untried += 1;
                if self.first_given_up.is_empty() {
                    self.first_given_up = state.history.clone();
                }
            }

            /// Counts the messages that a restarted relay finds accepted and untried.
            pub(crate) fn count_found_untried(&mut self, relay: u32) {
                let Some(relay) = self.relays.get(&relay) else { return };
                for message in &relay.messages {
                    let Some(state) = self.messages.get_mut(message) else { continue };
                    if state.is_untried() && !state.found_untried {
                        state.found_untried = true;
                        self.verdict.found_untried += 1;
                    }
                }
            }

            /// Restarts may give up at most half of what they found untried.
            pub(crate) fn check_given_up(&mut self) {
                let (found, given_up) = (self.verdict.found_untried, self.verdict.given_up_untried);
                if given_up * 2 > found {
                    let history = std::mem::take(&mut self.first_given_up);
                    let reason = format!("{given_up} of {found} untried messages given up after restarts");
                    self.report(Rule::FinalAnswer, reason, history);
                }
            }

            /// Reports accepted messages that have no final answer though their time is up.
            pub(crate) fn report_lost_messages(&mut self) {
                while let Some((due, message)) = self.due.first().copied()
                    && due < self.now
                {
                    self.due.pop_first();
                    let Some(state) = self.messages.get(&message) else { continue };
                    if state.delivery_answered || state.final_answer_given {
                        continue;
                    }
                    let relay = self.relays.entry(state.relay).or_default();
                    let excused_until = relay.up_since + self.parameters.restart_slack;
                    if relay.down {
                        // Nobody can answer it now; it is looked at again.
                        self.due.insert((self.now + self.parameters.restart_slack, message));
                    } else if relay.up_since > 0 && excused_until >= self.now {
                        self.due.insert((excused_until + 1, message));
                    } else {
                        self.report_lost(message, due);
                    }
                }
            }

            fn report_lost(&mut self, message: u64, due: Time) {
                let reason = format!("lost: no end by {:.3} s", seconds(due));
                self.report_message(message, Finding::new(Rule::FinalAnswer, reason));
                if let Some(state) = self.messages.get_mut(&message) {
                    state.final_answer_given = true;
                }
            }
        }
    }
    pub(crate) mod key_order {
        //! Rule 5: messages of one key go in the order of their submission, one at a time, and the next one waits out the
        //! hold-off after an attempt that may still be running.

        use crate::Time;
        use crate::checker::InvariantChecker;
        use crate::state::relay::KeyQueue;
        use crate::verdict::{Finding, Rule};

        /// Checks an attempt of a message against its key's queue.
        pub(crate) fn check_attempt(queue: &KeyQueue, message: u64, now: Time) -> Vec<Finding> {
            let mut findings = Vec::new();
            if let Some(first) = queue.messages.front()
                && *first != message
            {
                let reason = format!("sent before message {first} of its key is over");
                findings.push(Finding::new(Rule::KeyOrder, reason));
            }
            if now < queue.hold_off_until && queue.held_by != message {
                let reason = format!("sent while message {} of its key may be running", queue.held_by);
                findings.push(Finding::new(Rule::KeyOrder, reason));
            }
            findings
        }

        impl InvariantChecker {
            /// An attempt of a message may still be running: the other messages of its key wait.
            pub(crate) fn hold_off_key(&mut self, message: u64) {
                let until = self.now + self.parameters.order_hold_off;
                let Some(state) = self.messages.get(&message) else { return };
                let relay = self.relays.entry(state.relay).or_default();
                if let Some(queue) = relay.key_queues.get_mut(&state.key) {
                    queue.hold_off(message, until);
                }
            }

            /// Once no attempt is in flight and its final answer was received, a message is over for its key.
            pub(crate) fn leave_key_queue_if_over(&mut self, message: u64) {
                let over = self
                    .messages
                    .get(&message)
                    .is_some_and(|state| state.final_answer_received && !state.in_flight());
                if over {
                    self.leave_key_queue(message);
                }
            }

            /// Takes a message without an attempt in flight out of its key's queue.
            pub(crate) fn leave_key_queue(&mut self, message: u64) {
                let Some(state) = self.messages.get(&message) else { return };
                if state.key == 0 || state.in_flight() {
                    return;
                }
                let queues = &mut self.relays.entry(state.relay).or_default().key_queues;
                let Some(queue) = queues.get_mut(&state.key) else { return };
                queue.messages.retain(|other| *other != message);
                if queue.messages.is_empty() && queue.hold_off_until <= self.now {
                    queues.remove(&state.key);
                }
            }
        }
    }
    pub(crate) mod retry_after {
        //! Rule 6: a relay that received a Retry-After sends nothing over that route until it is over.

        use crate::Time;
        use crate::checker::InvariantChecker;
        use crate::fact::seconds;
        use crate::state::relay::RetryAfter;
        use crate::verdict::{Finding, Rule};

        /// Checks when an attempt starts against the Retry-After that binds its relay on its route. Attempts that start
        /// within `grace` of receiving it were decided before.
        pub(crate) fn check_attempt(binding: Option<&RetryAfter>, now: Time, grace: Time) -> Option<Finding> {
            let binding = binding?;
            if now <= binding.received_at + grace || now >= binding.until {
                return None;
            }
            let early = seconds(binding.until - now);
            Some(Finding::new(Rule::RetryAfter, format!("sent {early:.3} s before the wait there is over")))
        }

        impl InvariantChecker {
            /// A relay received a Retry-After from an endpoint; it binds on the endpoint's whole route.
            pub(crate) fn retry_after_received(&mut self, relay: u32, endpoint: u32, retry_after: Time) {
                let now = self.now;
                let Some(route) = self.endpoints.get(&endpoint).map(|endpoint| endpoint.route) else {
                    return;
                };
                if retry_after == 0 {
                    return;
                }
                let bindings = &mut self.relays.entry(relay).or_default().retry_after;
                let mut binding = RetryAfter { received_at: now, until: now + retry_after };
                // Of two that overlap the one that ends later binds; what it excuses began with the first.
                if let Some(earlier) = bindings.get(&route)
                    && earlier.until > now
                {
                    binding.received_at = earlier.received_at;
                    binding.until = binding.until.max(earlier.until);
                }
                bindings.insert(route, binding);
            }
        }
    }
    pub(crate) mod single_effect {
        //! Rule 2: no message takes effect twice where that does harm, no two of its attempts are in flight at once, and
        //! nothing invites a second effect: no attempt, and no rejection that asks the client to submit it again.

        use crate::checker::InvariantChecker;
        use crate::fact::seconds;
        use crate::state::message::{Message, SettledMessage};
        use crate::verdict::{Finding, Rule};
        use crate::{FinalAnswer, Idempotency, Time};

        /// Checks an attempt against the earlier ones of its message. `zone` is that of the endpoint it goes to.
        pub(crate) fn check_attempt(
            message: &Message,
            idempotency: Idempotency,
            zone: u8,
            now: Time,
        ) -> Vec<Finding> {
            let mut findings = Vec::new();
            if message.in_flight() {
                findings.push(Finding::new(Rule::SingleEffect, "a second leg goes out beside the first"));
            }
            if let Some(reason) = harm_of_retry(message, idempotency, zone, now) {
                findings.push(Finding::new(Rule::SingleEffect, reason));
            }
            findings
        }

        /// Why another attempt could take effect a second time.
        fn harm_of_retry(message: &Message, idempotency: Idempotency, zone: u8, now: Time) -> Option<String> {
            let first_run = message.possible_run()?;
            match idempotency {
                Idempotency::Idempotent => None,
                Idempotency::NotIdempotent => {
                    Some("sent again, though it may have run and may not be repeated".into())
                }
                Idempotency::WithKey { window, .. } if now > first_run.at + window => {
                    Some(format!("sent again {:.3} s after it may have run", seconds(now - first_run.at)))
                }
                Idempotency::WithKey { by_zone, .. } => {
                    let unknown_there = by_zone && first_run.zone != zone;
                    unknown_there.then(|| "sent again to endpoints that can't know it".into())
                }
            }
        }

        /// Checks a final answer: a rejection asks for the message to come again, perhaps to other endpoints.
        pub(crate) fn check_final_answer(
            message: &Message,
            idempotency: Idempotency,
            answer: FinalAnswer,
        ) -> Option<Finding> {
            let may_come_again = match idempotency {
                Idempotency::Idempotent | Idempotency::WithKey { by_zone: false, .. } => true,
                Idempotency::WithKey { by_zone: true, .. } | Idempotency::NotIdempotent => {
                    message.possible_run().is_none()
                }
            };
            if may_come_again || answer == FinalAnswer::Failed {
                return None;
            }
            let reason = "pushed back, though it may have run and coming again would do harm";
            Some(Finding::new(Rule::SingleEffect, reason))
        }

        impl InvariantChecker {
            /// A message ran at an endpoint, which may be long after it was settled.
            pub(crate) fn executed(&mut self, message: u64, duplicate: bool) {
                if duplicate {
                    return;
                }
                let Some(SettledMessage { class, effects }) = self.count_effect(message) else { return };
                if effects < 2 {
                    return;
                }
                if self.parameters.classes[usize::from(class)].idempotency == Idempotency::Idempotent {
                    self.verdict.harmless_repeats += u64::from(effects == 2);
                } else {
                    let reason = format!("took effect {effects} times");
                    self.report_message(message, Finding::new(Rule::SingleEffect, reason));
                }
            }

            /// Counts an effect of a message that is known, and gives back its class and all its effects.
            fn count_effect(&mut self, message: u64) -> Option<SettledMessage> {
                if let Some(state) = self.messages.get_mut(&message) {
                    state.effects += 1;
                    return Some(SettledMessage { class: state.class, effects: state.effects });
                }
                let settled = self.settled.get_mut(&message)?;
                settled.effects += 1;
                Some(*settled)
            }
        }
    }
    pub(crate) mod slow_start {
        //! Rule 4: relays that saw a route's outage do not overload it while it is in slow start.

        use crate::checker::InvariantChecker;
        use crate::fact::seconds;
        use crate::state::route::{Arrival, Route};
        use crate::verdict::Rule;
        use crate::{AttemptOutcome, Fact, RuleParameters};

        /// The share of an overload that must come from relays that saw the outage for the rule to be broken; the rest
        /// could not know better.
        const MIN_WITNESS_SHARE: f64 = 2.0 / 3.0;

        /// How far the load on a route in slow start may exceed its budget by chance: the count of independent calls has
        /// a standard deviation of its square root. One such deviation is allowed, and one call at least.
        pub fn overload_slack(budget: f64) -> f64 {
            budget.max(1.0).sqrt()
        }

        /// The work that a route may get within the overload window, `progress` (0 to 1) into its slow start.
        fn budget(route: &Route, progress: f64, parameters: &RuleParameters) -> f64 {
            let share = parameters.slow_start_share + (1.0 - parameters.slow_start_share) * progress;
            let capacity = route.capacity * share;
            let takes = parameters.overload_multiple * capacity * parameters.overload_window as f64 / 1e6;
            takes + overload_slack(takes)
        }

        impl InvariantChecker {
            /// Notes a relay that learnt of a failure while the route was out.
            pub(crate) fn note_outage_witness(
                &mut self,
                relay: u32,
                endpoint: u32,
                call: u64,
                outcome: AttemptOutcome,
                fact: Fact,
            ) {
                // What the relay ended by itself tells it nothing of the route.
                if matches!(
                    outcome,
                    AttemptOutcome::Delivered | AttemptOutcome::NotSent | AttemptOutcome::Cancelled
                ) {
                    return;
                }
                let now = self.now;
                let sent_at = self.call_starts.get(&call).copied().unwrap_or(now);
                let Some(route) = self.endpoints.get(&endpoint).map(|endpoint| endpoint.route) else {
                    return;
                };
                if let Some(route) = self.routes.get_mut(&route)
                    && route.was_out(sent_at)
                {
                    route.add_witness(relay, now, fact);
                }
            }

            /// A call arrived at an endpoint: weighs the load on its route if that is in slow start.
            pub(crate) fn call_received(
                &mut self,
                call: u64,
                relay: u32,
                endpoint: u32,
                weight: f64,
                fact: Fact,
            ) {
                let now = self.now;
                let sent_at = self.call_starts.get(&call).copied().unwrap_or(now);
                let Some(route_number) = self.endpoints.get(&endpoint).map(|endpoint| endpoint.route) else {
                    return;
                };
                let Some(route) = self.routes.get_mut(&route_number) else { return };
                let Some(since) = route.slow_start_since else { return };
                let progress = (now - since) as f64 / self.parameters.slow_start_duration.max(1) as f64;
                if progress >= 1.0 {
                    route.slow_start_since = None;
                    return;
                }
                let from_witness = route.witnesses.get(&relay).is_some_and(|learnt_at| *learnt_at < sent_at);
                let window = self.parameters.overload_window;
                route.add_arrival(Arrival { at: now, weight, from_witness }, window, fact);
                let budget = budget(route, progress, &self.parameters);
                self.check_load(route_number, budget);
            }

            /// Reports a route whose load exceeds its budget, once for each slow start.
            fn check_load(&mut self, route_number: u32, budget: f64) {
                let Some(route) = self.routes.get_mut(&route_number) else { return };
                let load: f64 = route.arrivals.iter().map(|arrival| arrival.weight).sum();
                let from_witnesses = route.arrivals.iter().filter(|arrival| arrival.from_witness);
                let witness_load: f64 = from_witnesses.map(|arrival| arrival.weight).sum();
                if load <= budget || witness_load < MIN_WITNESS_SHARE * load || route.overload_reported {
                    return;
                }
                route.overload_reported = true;
                let history = route.history.iter().copied().collect();
                let reason = format!(
                    "route {route_number}: {load:.1} calls in {:.1} s on a cold route that takes {budget:.1}, \
             {witness_load:.1} of them from relays that saw its outage",
                    seconds(self.parameters.overload_window)
                );
                self.report(Rule::SlowStart, reason, history);
            }
        }
    }
}
mod state {
    //! What the rules share: the state of messages, endpoints, routes and relays as the facts tell it. No rule is
    //! decided here.

    pub(crate) mod endpoint {
        //! Endpoints, as they were set up.

        /// An endpoint of a destination.
        pub(crate) struct Endpoint {
            pub(crate) destination: u32,
            pub(crate) zone: u8,
            pub(crate) route: u32,
        }
    }
    pub(crate) mod message {
        //! A message from its submission until nothing more can happen to it.

        use crate::verdict::History;
        use crate::{AttemptOutcome, Fact, Time};

        /// An attempt to deliver a message.
        pub(crate) struct Attempt {
            pub(crate) call: u64,
            pub(crate) started_at: Time,
            pub(crate) endpoint: u32,
            /// The zone of its endpoint.
            pub(crate) zone: u8,
            /// None while it is in flight.
            pub(crate) outcome: Option<AttemptOutcome>,
        }

        /// The first attempt of a message that may have run.
        pub(crate) struct PossibleRun {
            pub(crate) at: Time,
            pub(crate) zone: u8,
        }

        /// A message that is not settled yet.
        pub(crate) struct Message {
            pub(crate) relay: u32,
            pub(crate) class: u16,
            pub(crate) destination: u32,
            /// 0 where its class keeps no order.
            pub(crate) key: u64,
            pub(crate) deadline: Time,
            pub(crate) accepted: bool,
            /// A restart found it accepted and untried.
            pub(crate) found_untried: bool,
            pub(crate) attempts: Vec<Attempt>,
            /// The relay's present process knows that the message is done.
            pub(crate) known_done: bool,
            /// A final answer other than delivery was given, or its absence was reported.
            pub(crate) final_answer_given: bool,
            /// The endpoint wrote its answer that the message is delivered.
            pub(crate) delivery_answered: bool,
            /// Whoever the final answer is owed to has it.
            pub(crate) final_answer_received: bool,
            pub(crate) effects: u32,
            pub(crate) history: History,
        }

        impl Message {
            /// A message that was just submitted.
            pub(crate) fn new(
                relay: u32,
                class: u16,
                destination: u32,
                key: u64,
                deadline: Time,
                submission: (Time, Fact),
            ) -> Message {
                Message {
                    relay,
                    class,
                    destination,
                    key,
                    deadline,
                    accepted: false,
                    found_untried: false,
                    attempts: Vec::new(),
                    known_done: false,
                    final_answer_given: false,
                    delivery_answered: false,
                    final_answer_received: false,
                    effects: 0,
                    history: vec![submission],
                }
            }

            /// An attempt has started and its relay has not learnt how it ended.
            pub(crate) fn in_flight(&self) -> bool {
                self.attempts.iter().any(|attempt| attempt.outcome.is_none())
            }

            /// The first attempt that may have run.
            pub(crate) fn possible_run(&self) -> Option<PossibleRun> {
                let may_have_run =
                    |attempt: &&Attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran());
                let first = self.attempts.iter().find(may_have_run)?;
                Some(PossibleRun { at: first.started_at, zone: first.zone })
            }

            /// Accepted, never attempted and without a final answer.
            pub(crate) fn is_untried(&self) -> bool {
                self.accepted && self.attempts.is_empty() && !self.final_answer_given && !self.known_done
            }

            /// Nothing but a late effect can happen to it any more.
            pub(crate) fn is_settled(&self) -> bool {
                let answer_is_through = self.final_answer_received || !self.final_answer_given;
                let client_knows = self.accepted || self.final_answer_received;
                !self.in_flight() && self.known_done && answer_is_through && client_knows
            }

            /// The endpoint that the latest attempt in a call went to.
            pub(crate) fn endpoint_of(&self, call: u64) -> Option<u32> {
                let attempt = self.attempts.iter().rev().find(|attempt| attempt.call == call)?;
                Some(attempt.endpoint)
            }

            /// Notes how the attempt in a call ended.
            pub(crate) fn end_attempt(&mut self, call: u64, outcome: AttemptOutcome) {
                let mut attempts = self.attempts.iter_mut();
                let ended = attempts.find(|attempt| attempt.call == call && attempt.outcome.is_none());
                if let Some(attempt) = ended {
                    attempt.outcome = Some(outcome);
                }
            }

            /// Ends every attempt in flight the way a dead relay's connections do.
            pub(crate) fn reset_attempts(&mut self) {
                for attempt in &mut self.attempts {
                    attempt.outcome.get_or_insert(AttemptOutcome::Reset);
                }
            }
        }

        /// What is kept of a settled message: a late effect must still be known as the second.
        #[derive(Clone, Copy)]
        pub(crate) struct SettledMessage {
            pub(crate) class: u16,
            pub(crate) effects: u32,
        }
    }
    pub(crate) mod relay {
        //! A relay as seen from outside: what the endpoint list told it, what it must wait for, and its per-key queues.

        use crate::{ListedStatus, Time};
        use rustc_hash::FxHashMap;
        use std::collections::{BTreeSet, VecDeque};

        /// What the endpoint list last told of an endpoint.
        pub(crate) struct Listing {
            pub(crate) status: ListedStatus,
            /// Since when it has been ready, or not ready in one way or another.
            pub(crate) since: Time,
        }

        /// A Retry-After for a route.
        #[derive(Clone, Copy)]
        pub(crate) struct RetryAfter {
            pub(crate) received_at: Time,
            pub(crate) until: Time,
        }

        /// The messages of one key at one relay, oldest first.
        #[derive(Default)]
        pub(crate) struct KeyQueue {
            pub(crate) messages: VecDeque<u64>,
            /// Until then only `held_by` may be sent: an attempt of it may still be running.
            pub(crate) hold_off_until: Time,
            pub(crate) held_by: u64,
        }

        impl KeyQueue {
            /// Lets only this message be sent until then.
            pub(crate) fn hold_off(&mut self, message: u64, until: Time) {
                self.hold_off_until = until;
                self.held_by = message;
            }
        }

        /// A relay.
        #[derive(Default)]
        pub(crate) struct Relay {
            pub(crate) down: bool,
            /// When it last started again or goes on after a stall; 0 if it never stopped.
            pub(crate) up_since: Time,
            /// Its messages that are not settled.
            pub(crate) messages: BTreeSet<u64>,
            /// By endpoint.
            pub(crate) listings: FxHashMap<u32, Listing>,
            /// By route.
            pub(crate) retry_after: FxHashMap<u32, RetryAfter>,
            /// By key.
            pub(crate) key_queues: FxHashMap<u64, KeyQueue>,
        }

        impl Relay {
            /// Notes what the list told of an endpoint. The time of the first word that it is not ready counts.
            pub(crate) fn endpoint_listed(&mut self, endpoint: u32, status: ListedStatus, now: Time) {
                let previous = self.listings.get(&endpoint);
                let not_ready_since = previous
                    .filter(|listing| listing.status != ListedStatus::Ready)
                    .map(|listing| listing.since);
                let since = not_ready_since.unwrap_or(now);
                self.listings.insert(endpoint, Listing { status, since });
            }

            /// The process ended: what it had learnt is gone.
            pub(crate) fn stopped(&mut self) {
                self.down = true;
                self.listings.clear();
                self.retry_after.clear();
            }
        }
    }
    pub(crate) mod route {
        //! A route: its capacity, its outages, and the load that it gets in slow start.

        use crate::{Fact, Time};
        use std::collections::{BTreeMap, VecDeque};

        /// Facts that a route's history holds at most; a busy slow start would grow it without bound.
        const MAX_HISTORY: usize = 400;

        /// A call that arrived in slow start.
        pub(crate) struct Arrival {
            pub(crate) at: Time,
            pub(crate) weight: f64,
            /// Its relay had learnt of a failure during the outage before it sent the call.
            pub(crate) from_witness: bool,
        }

        /// A route.
        #[derive(Default)]
        pub(crate) struct Route {
            /// Calls a second that it serves while warm.
            pub(crate) capacity: f64,
            pub(crate) in_outage: bool,
            /// When its outage ended; none while it is out or warm.
            pub(crate) slow_start_since: Option<Time>,
            /// Relays that learnt of a failure there during the outage, and when.
            pub(crate) witnesses: BTreeMap<u32, Time>,
            pub(crate) arrivals: VecDeque<Arrival>,
            pub(crate) history: VecDeque<(Time, Fact)>,
            /// The overload of this slow start is reported.
            pub(crate) overload_reported: bool,
        }

        impl Route {
            /// An outage starts: what was known of the last one is over.
            pub(crate) fn start_outage(&mut self, at: Time, fact: Fact) {
                self.in_outage = true;
                self.slow_start_since = None;
                self.overload_reported = false;
                self.witnesses.clear();
                self.arrivals.clear();
                self.history.clear();
                self.history.push_back((at, fact));
            }

            /// The outage is over, and slow start begins.
            pub(crate) fn end_outage(&mut self, at: Time, fact: Fact) {
                self.in_outage = false;
                self.slow_start_since = Some(at);
                self.history.push_back((at, fact));
            }

            /// True where a call that was sent then met the outage.
            pub(crate) fn was_out(&self, sent_at: Time) -> bool {
                self.in_outage || self.slow_start_since.is_some_and(|since| sent_at < since)
            }

            /// Notes that a relay learnt of a failure during the outage.
            pub(crate) fn add_witness(&mut self, relay: u32, now: Time, fact: Fact) {
                self.witnesses.entry(relay).or_insert(now);
                self.history.push_back((now, fact));
            }

            /// Notes a call that arrived in slow start, and forgets those that arrived before the window.
            pub(crate) fn add_arrival(&mut self, arrival: Arrival, window: Time, fact: Fact) {
                let now = arrival.at;
                self.arrivals.push_back(arrival);
                self.history.push_back((now, fact));
                while self.history.len() > MAX_HISTORY {
                    self.history.pop_front();
                }
                while self.arrivals.front().is_some_and(|oldest| oldest.at + window < now) {
                    self.arrivals.pop_front();
                }
            }
        }
    }
}
mod verdict {
    //! What the checker found: breaches with the history that shows them, and counts.

    use crate::{Fact, Time};

    /// Breaches that are kept with their histories; further ones are only counted, so that a bad day needs no
    /// unbounded memory.
    pub(crate) const MAX_KEPT_BREACHES: usize = 50;

    /// Facts with their times, oldest first.
    pub(crate) type History = Vec<(Time, Fact)>;

    /// The six rules, by the numbers that reports give them.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub(crate) enum Rule {
        FinalAnswer = 1,
        SingleEffect = 2,
        Drain = 3,
        SlowStart = 4,
        KeyOrder = 5,
        RetryAfter = 6,
    }

    impl Rule {
        /// The number, 1 to 6.
        pub(crate) fn number(self) -> u8 {
            self as u8
        }
    }

    /// A rule that something broke, and how.
    pub(crate) struct Finding {
        pub(crate) rule: Rule,
        pub(crate) reason: String,
    }

    impl Finding {
        pub(crate) fn new(rule: Rule, reason: impl Into<String>) -> Finding {
            Finding { rule, reason: reason.into() }
        }
    }

    /// A rule that was broken, how, and what led to it.
    #[derive(Clone, Debug)]
    pub struct Breach {
        /// The rule's number, 1 to 6.
        pub rule: u8,
        /// When it was broken.
        pub at: Time,
        /// How it was broken, in a sentence.
        pub reason: String,
        /// The facts about the message, or the latest ones of the route, oldest first.
        pub history: Vec<(Time, Fact)>,
    }

    /// What a day came to.
    #[derive(Clone, Debug, Default)]
    pub struct Verdict {
        /// The first breaches, in order.
        pub breaches: Vec<Breach>,
        /// How often each rule was broken, rule 1 first.
        pub breach_counts: [u64; 6],
        /// Messages that took effect more than once where that does no harm.
        pub harmless_repeats: u64,
        /// Routes that broke down in slow start, whoever caused it.
        pub overloaded_routes: u64,
        /// Messages that restarts found accepted and untried.
        pub found_untried: u64,
        /// Those of them that were given a final answer without an attempt though their time was not up.
        pub given_up_untried: u64,
    }

    impl Verdict {
        /// True where no rule was broken.
        pub fn kept(&self) -> bool {
            self.breach_counts.iter().all(|count| *count == 0)
        }

        /// Counts a breach, and keeps it while there is room.
        pub(crate) fn record(&mut self, breach: Breach) {
            self.breach_counts[usize::from(breach.rule) - 1] += 1;
            if self.breaches.len() < MAX_KEPT_BREACHES {
                self.breaches.push(breach);
            }
        }
    }
}

pub use checker::InvariantChecker;
pub use fact::{AttemptOutcome, Fact, FinalAnswer, ListedStatus, Time};
pub use parameters::{Idempotency, MessageClass, RuleParameters};
pub use rules::slow_start::overload_slack;
pub use verdict::{Breach, Verdict};
