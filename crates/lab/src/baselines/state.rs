//! The state that all baselines share, and the rules that all of them follow: one attempt at a time, order by key, no
//! attempt to a draining endpoint or before a Retry-After expires, and a final answer in time. All other decisions are
//! made by the baselines.

use mountshift::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Interval between the steps of a baseline that holds messages.
const WAKE_INTERVAL: Duration = Duration::from_millis(20);
/// Time before its deadline at which a message fails, so that the answer is sent in time: two wake intervals.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Time before the end of its window at which an idempotency key counts as expired, because a call needs time to
/// arrive.
const WINDOW_MARGIN: Duration = Duration::from_millis(1);

struct Message {
    submission: Submission,
    attempts: u8,
    /// Number of attempts that may have run.
    possible_runs: u32,
    in_flight: bool,
    /// Time and zone of the first attempt that may have run.
    first_possible_run: Option<(Duration, ZoneId)>,
    /// Whether the final answer is given or not needed; the message is kept until the answer is acknowledged or
    /// the attempt in flight ends.
    has_final_answer: bool,
}

impl Message {
    fn new(submission: Submission) -> Message {
        Message {
            submission,
            attempts: 0,
            possible_runs: 0,
            in_flight: false,
            first_possible_run: None,
            has_final_answer: false,
        }
    }

    fn record_possible_run(&mut self, at: Duration, zone: ZoneId) {
        self.possible_runs += 1;
        if self.first_possible_run.is_none() {
            self.first_possible_run = Some((at, zone));
        }
    }

    fn record_run(&mut self, run: RunState) {
        self.in_flight = false;
        if run == RunState::NeverRan {
            self.possible_runs -= 1;
        }
        if self.possible_runs == 0 {
            self.first_possible_run = None;
        }
    }

    /// Returns whether another attempt is safe.
    fn may_be_repeated(&self, idempotency: Idempotency, now: Duration) -> bool {
        match (idempotency, self.first_possible_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::WithKey { window, .. }, Some((since, _))) => now + WINDOW_MARGIN < since + window,
            (Idempotency::NotIdempotent, Some(_)) => false,
        }
    }

    /// Returns the only zone that recognizes a repeat, if the message may have run and its class deduplicates per zone.
    fn required_zone(&self, idempotency: Idempotency) -> Option<ZoneId> {
        match idempotency {
            Idempotency::WithKey { scope: DeduplicationScope::SameZone, .. } => {
                self.first_possible_run.map(|(_, zone)| zone)
            }
            _ => None,
        }
    }
}

struct Endpoint {
    destination: DestinationId,
    zone: ZoneId,
    kind: DestinationKindId,
    ready: bool,
    calls_in_flight: u32,
}

/// The end of an attempt.
struct EndedAttempt {
    endpoint: EndpointId,
    outcome: Outcome,
    run: RunState,
    closed: bool,
}

/// The messages of one ordering key.
#[derive(Default)]
struct KeyQueue {
    queue: VecDeque<MessageId>,
    /// End of the hold-off, during which an attempt of `hold_off_message` may still be running and other messages wait.
    hold_off_until: Duration,
    hold_off_message: Option<MessageId>,
}

impl KeyQueue {
    /// Returns whether it is the message's turn.
    fn allows(&self, message: MessageId, now: Duration) -> bool {
        let is_blocked = now < self.hold_off_until && self.hold_off_message != Some(message);
        self.queue.front() == Some(&message) && !is_blocked
    }
}

/// The scope of a Retry-After: a destination, or one of its endpoints where the destination's kind has independent
/// endpoints.
type Route = (DestinationId, Option<EndpointId>);

/// The state that all baselines share.
pub(super) struct BaselineState {
    pub now: Duration,
    settings: PolicySettings,
    messages: BTreeMap<MessageId, Message>,
    /// Messages without an attempt in flight or a final answer.
    idle: BTreeSet<MessageId>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints of each destination, in the order in which they were first listed.
    endpoints_of: BTreeMap<DestinationId, Vec<EndpointId>>,
    retry_after_until: BTreeMap<Route, Duration>,
    key_queues: BTreeMap<OrderingKey, KeyQueue>,
    calls_in_flight: usize,
    next_wake: Duration,
}

impl BaselineState {
    pub(super) fn new(settings: PolicySettings) -> BaselineState {
        BaselineState {
            now: Duration::ZERO,
            settings,
            messages: BTreeMap::new(),
            idle: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            endpoints_of: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            calls_in_flight: 0,
            next_wake: Duration::ZERO,
        }
    }

    /// Applies an input to the state.
    pub(super) fn apply(&mut self, input: Input) {
        match input {
            Input::Submitted { message, submission } => self.on_submitted(message, submission),
            Input::EarlierAttempt { message, zone, at, may_have_run } => {
                self.on_earlier_attempt(message, zone, at, may_have_run);
            }
            Input::FinalAnswerPending(message) => self.set_final_answer(message),
            Input::AttemptEnded { message, outcome, run, closed, endpoint, .. } => {
                self.on_attempt_ended(message, EndedAttempt { endpoint, outcome, run, closed });
            }
            Input::RetryAfter { endpoint, duration } => self.on_retry_after(endpoint, duration),
            Input::FullListBegins => self.on_full_list(),
            Input::EndpointListed(listed) => self.on_endpoint_listed(listed),
            Input::Closed(message) => self.on_closed(message),
            // The baselines neither poll nor keep state across restarts.
            Input::RateLimitReported { .. }
            | Input::ListReceived
            | Input::ListMayBeStale
            | Input::PollFailed { .. }
            | Input::EndpointRestarted(_)
            | Input::HandoverStarted
            | Input::RoutesRestored(_) => {}
        }
    }

    fn on_submitted(&mut self, message: MessageId, mut submission: Submission) {
        if !self.class(submission.class).in_order {
            submission.key = None;
        }
        if let Some(key) = submission.key {
            self.key_queues.entry(key).or_default().queue.push_back(message);
        }
        self.messages.insert(message, Message::new(submission));
        self.idle.insert(message);
    }

    fn on_earlier_attempt(&mut self, id: MessageId, zone: ZoneId, at: Duration, may_have_run: bool) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.attempts += 1;
        if may_have_run {
            message.record_possible_run(at, zone);
            let key = message.submission.key;
            self.start_hold_off(key, id);
        }
    }

    fn on_attempt_ended(&mut self, id: MessageId, ended: EndedAttempt) {
        let EndedAttempt { endpoint, outcome, run, closed } = ended;
        let Some(message) = self.messages.get_mut(&id).filter(|message| message.in_flight) else { return };
        message.record_run(run);
        let key = message.submission.key;
        let is_over = message.has_final_answer || closed;
        self.calls_in_flight -= 1;
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            endpoint.calls_in_flight -= 1;
        }
        if run == RunState::MayBeRunning {
            self.start_hold_off(key, id);
        }
        if let Outcome::Rejected { retry_after } = outcome {
            self.on_retry_after(endpoint, retry_after);
        }
        if is_over {
            self.on_closed(id);
        } else {
            self.idle.insert(id);
        }
    }

    fn on_retry_after(&mut self, endpoint: EndpointId, duration: Duration) {
        let Some(route) = self.endpoints.get(&endpoint).map(|listed| self.route(endpoint, listed)) else {
            return;
        };
        let until = self.retry_after_until.entry(route).or_default();
        *until = (*until).max(self.now + duration);
    }

    /// Marks all endpoints as not ready; the entries of the list that follow mark the listed ones again.
    fn on_full_list(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.ready = false;
        }
    }

    fn on_endpoint_listed(&mut self, listed: ListedEndpoint) {
        let ListedEndpoint { endpoint: id, destination, zone, kind, status, .. } = listed;
        let endpoint = self.endpoints.entry(id).or_insert_with(|| {
            self.endpoints_of.entry(destination).or_default().push(id);
            Endpoint { destination, zone, kind, ready: false, calls_in_flight: 0 }
        });
        endpoint.ready = status == EndpointStatus::Ready;
    }

    fn on_closed(&mut self, id: MessageId) {
        self.idle.remove(&id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        if message.in_flight {
            message.has_final_answer = true;
            return;
        }
        let key = message.submission.key;
        if let Some(key_queue) = key.and_then(|key| self.key_queues.get_mut(&key)) {
            key_queue.queue.retain(|other| *other != id);
        }
        self.messages.remove(&id);
    }

    fn set_final_answer(&mut self, id: MessageId) {
        self.idle.remove(&id);
        if let Some(message) = self.messages.get_mut(&id) {
            message.has_final_answer = true;
        }
    }

    /// Starts the hold-off of a key for messages other than `message`, whose attempt may still be running.
    fn start_hold_off(&mut self, key: Option<OrderingKey>, message: MessageId) {
        let until = self.now + self.settings.order_hold_off;
        if let Some(key_queue) = key.and_then(|key| self.key_queues.get_mut(&key)) {
            key_queue.hold_off_until = until;
            key_queue.hold_off_message = Some(message);
        }
    }

    fn class(&self, class: ClassId) -> &MessageClass {
        &self.settings.classes[usize::from(class.0)]
    }

    fn class_of(&self, message: &Message) -> &MessageClass {
        self.class(message.submission.class)
    }

    fn kind(&self, kind: DestinationKindId) -> Option<&DestinationKind> {
        self.settings.destination_kinds.get(usize::from(kind.0))
    }

    fn route(&self, id: EndpointId, endpoint: &Endpoint) -> Route {
        let independent = self.kind(endpoint.kind).is_some_and(|kind| kind.independent_endpoints);
        (endpoint.destination, if independent { Some(id) } else { None })
    }

    /// Returns the destination of a message, if the message is held.
    pub(super) fn destination(&self, id: MessageId) -> Option<DestinationId> {
        self.messages.get(&id).map(|message| message.submission.destination)
    }

    /// Returns the time left until the message's deadline.
    pub(super) fn time_left(&self, id: MessageId) -> Duration {
        let deadline = self.messages.get(&id).map(|message| message.submission.deadline);
        deadline.unwrap_or_default().saturating_sub(self.now)
    }

    /// Returns the time up to which the message's delivery counts with its full weight.
    pub(super) fn latency_target(&self, id: MessageId) -> Duration {
        let Some(message) = self.messages.get(&id) else { return Duration::ZERO };
        let class = self.class_of(message);
        (message.submission.deadline + class.latency_objective).saturating_sub(class.deadline)
    }

    /// Returns the number of attempts in flight to an endpoint.
    pub(super) fn calls_in_flight(&self, id: EndpointId) -> u32 {
        self.endpoints.get(&id).map_or(0, |endpoint| endpoint.calls_in_flight)
    }

    /// Returns the largest number of messages in one call to an endpoint.
    pub(super) fn max_batch(&self, id: EndpointId) -> usize {
        let kind = self.endpoints.get(&id).map_or(DestinationKindId(0), |endpoint| endpoint.kind);
        self.kind(kind).map_or(1, |kind| kind.max_batch.max(1))
    }

    /// Returns whether the limit of calls in flight is reached.
    pub(super) fn is_at_call_limit(&self) -> bool {
        self.calls_in_flight >= self.settings.max_calls_in_flight
    }

    /// Returns the messages without an attempt in flight whose turn it is, oldest first.
    pub(super) fn waiting(&self) -> Vec<MessageId> {
        self.idle.iter().copied().filter(|message| self.is_in_turn(*message)).collect()
    }

    fn is_in_turn(&self, id: MessageId) -> bool {
        let key = self.messages.get(&id).and_then(|message| message.submission.key);
        let key_queue = key.and_then(|key| self.key_queues.get(&key));
        key_queue.is_none_or(|key_queue| key_queue.allows(id, self.now))
    }

    /// Returns the endpoints that the message may be sent to now.
    pub(super) fn permitted_endpoints(
        &self,
        id: MessageId,
        destination: DestinationId,
    ) -> impl Iterator<Item = EndpointId> + '_ {
        let message = self.messages.get(&id);
        let required_zone =
            message.and_then(|message| message.required_zone(self.class_of(message).idempotency));
        let listed = self.endpoints_of.get(&destination).into_iter().flatten().copied();
        listed.filter(move |endpoint| self.is_permitted(*endpoint, required_zone))
    }

    fn is_permitted(&self, id: EndpointId, required_zone: Option<ZoneId>) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return false };
        let retry_after_until = self.retry_after_until.get(&self.route(id, endpoint));
        let must_wait = retry_after_until.is_some_and(|until| *until > self.now);
        endpoint.ready && !must_wait && required_zone.is_none_or(|zone| zone == endpoint.zone)
    }

    /// Sends an attempt and records it.
    pub(super) fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Duration,
        actions: &mut dyn Actions,
    ) {
        let zone = self.endpoints.get(&endpoint).map_or(ZoneId(0), |listed| listed.zone);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.in_flight = true;
        message.attempts += 1;
        message.record_possible_run(self.now, zone);
        self.calls_in_flight += 1;
        self.idle.remove(&id);
        if let Some(listed) = self.endpoints.get_mut(&endpoint) {
            listed.calls_in_flight += 1;
        }
        actions.send(id, endpoint, timeout);
    }

    /// Fails messages whose deadline is near, that can't be sent again, or that the baseline abandons.
    pub(super) fn fail_exhausted(
        &mut self,
        actions: &mut dyn Actions,
        is_abandoned: impl Fn(MessageId) -> bool,
    ) {
        let is_exhausted = |id: MessageId, message: &Message| {
            let out_of_time = message.submission.deadline <= self.now + ANSWER_MARGIN;
            let may_send_again = message.attempts < self.settings.max_attempts
                && message.may_be_repeated(self.class_of(message).idempotency, self.now)
                && !is_abandoned(id);
            out_of_time || (!message.in_flight && !may_send_again)
        };
        let open = self.messages.iter().filter(|(_, message)| !message.has_final_answer);
        let exhausted = open.filter(|(id, message)| is_exhausted(**id, message)).map(|(id, _)| *id);
        for id in exhausted.collect::<Vec<MessageId>>() {
            let ends_at_once = actions.fail(id);
            self.set_final_answer(id);
            if ends_at_once {
                self.on_closed(id);
            }
        }
    }

    /// Requests the next step while messages are held, and drops key queues without messages and hold-off.
    pub(super) fn request_wake(&mut self, actions: &mut dyn Actions) {
        if !self.messages.is_empty() && self.next_wake <= self.now {
            self.next_wake = self.now + WAKE_INTERVAL;
            actions.wake_after(WAKE_INTERVAL);
        }
        let now = self.now;
        self.key_queues.retain(|_, key_queue| !key_queue.queue.is_empty() || key_queue.hold_off_until > now);
    }
}
