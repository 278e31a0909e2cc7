//! The interface between the decisions and the program that carries them out. Holds no decision.

use std::time::Duration;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A relay, counted from 0 among its peers.
    RelayId(u32);
    /// A message; never used twice.
    MessageId(u64);
    /// A destination.
    DestinationId(u32);
    /// One address of a destination; opaque.
    EndpointId(u64);
    /// A message class, by position in [`PolicySettings::classes`].
    ClassId(u16);
    /// A customer, by position in [`PolicySettings::tenant_quotas`].
    TenantId(u32);
    /// A place, by number.
    ZoneId(u16);
    /// A kind of destination, by position in [`PolicySettings::destination_kinds`].
    DestinationKindId(u16);
    /// Messages with the same key are delivered in the order in which they were submitted.
    OrderingKey(u64);
    /// The number of a message's attempt, from 0.
    AttemptNumber(u8);
}

/// What running a message twice would do, the harmless first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Idempotency {
    /// A second run does no harm.
    Idempotent,
    /// The message carries an idempotency key: repeats are dropped for `window` from the first attempt that
    /// may have run, at endpoints in `scope`.
    WithKey {
        /// For how long an endpoint recognises a repeat.
        window: Duration,
        /// Which endpoints recognise it.
        scope: DeduplicationScope,
    },
    /// A second run does harm: the message must not be sent again once it may have run.
    NotIdempotent,
}

impl Idempotency {
    /// For how long repeats are dropped, where they are.
    pub fn deduplication_window(self) -> Option<Duration> {
        if let Idempotency::WithKey { window, .. } = self { Some(window) } else { None }
    }

    /// True where a message that has run does no harm wherever it runs again.
    pub fn is_repeatable_anywhere(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllEndpoints, .. }
        )
    }
}

/// Which endpoints of a destination recognise a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeduplicationScope {
    /// All endpoints of the destination.
    AllEndpoints,
    /// Endpoints in the zone of the first attempt that may have run.
    SameZone,
}

/// How a message's priority weight falls after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Decay {
    /// In a straight line up to the deadline.
    #[default]
    Linear,
    /// By half in each further span of the latency objective.
    Halving,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint confirmed the delivery.
    Delivered,
    /// The endpoint answered with an error.
    Error,
    /// Rejected without being processed.
    Rejected {
        /// The `Retry-After` of the answer, or zero.
        retry_after: Duration,
    },
    /// Rejected without being processed, as the endpoint's connection limit is reached.
    ConnectionLimit,
    /// No answer within the attempt's time limit.
    TimedOut,
    /// The connection never came up.
    ConnectFailed,
    /// The connection was closed or reset before the answer was complete.
    Reset,
    /// The attempt was cancelled by the relay.
    Cancelled,
    /// Never left the relay.
    NotSent,
}

impl Outcome {
    /// True where the outcome proves that the attempt took no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected { .. } | Outcome::ConnectionLimit | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes messages.
    Ready,
    /// Leaves: takes no new messages.
    Draining,
    /// No longer on the list.
    Removed,
}

/// What is known of a message when it is submitted.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Its message class.
    pub class: ClassId,
    /// Whose message it is.
    pub tenant: TenantId,
    /// Where it goes.
    pub destination: DestinationId,
    /// The key by which its class keeps messages in order.
    pub key: Option<OrderingKey>,
    /// When its final answer is due at the latest.
    pub deadline: Duration,
    /// An earlier process of the relay accepted it.
    pub restored: bool,
}

/// A message class, as the settings describe it.
#[derive(Clone, Copy, Debug)]
pub struct MessageClass {
    /// The span from submission to the time by which a delivery earns its full weight.
    pub latency_objective: Duration,
    /// The span from submission to the deadline.
    pub deadline: Duration,
    /// What a delivery within the latency objective is worth, beside other classes.
    pub priority_weight: f64,
    /// The share of the priority weight left at the deadline.
    pub late_weight_share: f64,
    /// What running a message twice would do.
    pub idempotency: Idempotency,
    /// Messages with the same key are delivered in order.
    pub in_order: bool,
}

/// A kind of destination, as the settings describe it.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// Each endpoint is a route of its own, with its own limit and outages.
    pub independent_endpoints: bool,
    /// Messages in one call at most.
    pub max_batch: usize,
}

/// How the rate in the endpoint list is to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRate {
    /// As it stands.
    Exact,
    /// It may be off.
    Approximate,
    /// No rate is listed.
    #[default]
    Unknown,
}

/// The settings that the decisions read, fixed at startup.
#[derive(Clone, Debug, Default)]
pub struct PolicySettings {
    /// This relay.
    pub relay: RelayId,
    /// Seeds the jitter.
    pub seed: u64,
    /// How many relays send to the same destinations.
    pub relay_count: u32,
    /// The zone of this relay.
    pub zone: ZoneId,
    /// The message classes, by [`ClassId`].
    pub classes: Vec<MessageClass>,
    /// The kinds of destinations, by [`DestinationKindId`].
    pub destination_kinds: Vec<DestinationKind>,
    /// Each tenant's messages a second within its quota, over all relays, by [`TenantId`].
    pub tenant_quotas: Vec<f64>,
    /// How priority weights fall after the latency objective.
    pub decay: Decay,
    /// Calls in flight at most.
    pub max_calls_in_flight: usize,
    /// Messages held at most.
    pub max_queued: usize,
    /// Attempts for one message at most.
    pub max_attempts: u8,
    /// How the rate in the endpoint list is to be read.
    pub listed_rate: ListedRate,
    /// The endpoint list comes only when asked for.
    pub must_poll: bool,
    /// Where it does: how often a relay is to ask.
    pub poll_interval: Duration,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// The longest `Retry-After` that a client may be told.
    pub max_retry_after: Duration,
    /// How long after a drain was told new messages may still arrive.
    pub drain_grace: Duration,
    /// How long an attempt that may still be running holds off the next message of its key.
    pub order_hold_off: Duration,
    /// The share of its rate that a destination bears as it comes back from an outage.
    pub slow_start_share: f64,
    /// How long it takes until the destination bears its whole rate again.
    pub slow_start_duration: Duration,
    /// A destination in slow start fails again under this multiple of what it bears ...
    pub overload_multiple: f64,
    /// ... within this span.
    pub overload_window: Duration,
    /// What a call costs by zone of the endpoint, by [`ZoneId`].
    pub zone_fees: Vec<f64>,
    /// What a call to another zone costs.
    pub cross_zone_price: f64,
}

/// What a route leaves to the next process of the relay at an upgrade; spans since this process's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteSnapshot {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where endpoints of the kind are independent.
    pub endpoint: Option<EndpointId>,
    /// A `Retry-After` binds until then; zero if none does.
    pub retry_after_until: Duration,
    /// The breaker is open until then, due for a trial at zero; none if it is closed.
    pub open_until: Option<Duration>,
    /// The route came back from an outage then and is still in slow start.
    pub slow_start_since: Option<Duration>,
}

/// An endpoint as the endpoint list describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whose address it is.
    pub destination: DestinationId,
    /// Where it stands.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: DestinationKindId,
    /// Whether it takes messages.
    pub status: EndpointStatus,
    /// The listed rate of its route, calls a second over all relays; 0 if none is listed.
    pub rate: f64,
}

/// What a host tells the decisions, in the order in which it happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message was accepted.
    Submitted {
        /// The message.
        message: MessageId,
        /// What is known of it.
        submission: Submission,
    },
    /// An attempt from before a restart; without an outcome that proves the contrary it may have run.
    EarlierAttempt {
        /// The message, submitted before.
        message: MessageId,
        /// Where it was sent.
        zone: ZoneId,
        /// When it was sent.
        at: Duration,
        /// False if its outcome proved that it took no effect.
        may_have_run: bool,
    },
    /// The message got its final answer before a restart, and the answer has not been taken yet.
    FinalAnswerPending(MessageId),
    /// The message was withdrawn, or its final answer was taken: nothing more is sent for it.
    Closed(MessageId),
    /// An attempt ended.
    AttemptEnded {
        /// The message.
        message: MessageId,
        /// Where it was sent.
        endpoint: EndpointId,
        /// How long it was in flight.
        waited: Duration,
        /// How it ended.
        outcome: Outcome,
        /// Nothing more is sent for the message.
        closed: bool,
    },
    /// Rule 6: a `Retry-After`, whichever answer tells it and however late it comes.
    RetryAfter {
        /// Who told it.
        endpoint: EndpointId,
        /// How long it binds, from now on.
        span: Duration,
    },
    /// An answer told a rate limit, in calls a second of all relays together: late, and not exact.
    RateLimitReported {
        /// Who told it.
        endpoint: EndpointId,
        /// Calls a second.
        rate: f64,
    },
    /// A full list begins: endpoints that the entries behind it don't name are removed.
    FullListBegins,
    /// An entry of the endpoint list or of a list update.
    EndpointListed(ListedEndpoint),
    /// Discovery answered.
    ListReceived,
    /// The list held at a start may be older than what discovery told since.
    ListMayBeStale,
    /// A call for the endpoint list failed.
    PollFailed {
        /// The `Retry-After` that discovery told.
        retry_after: Option<Duration>,
    },
    /// The endpoint was in maintenance and was restarted meanwhile.
    EndpointRestarted(EndpointId),
    /// A successor takes over all that this process holds: no attempt is sent from now on. Final answers that
    /// are due still come.
    HandoverStarted,
    /// What an earlier process of this relay left, in this process's spans.
    RoutesRestored(Vec<RouteSnapshot>),
}

/// Takes the decisions of a step, in order.
pub trait Actions {
    /// Sends an attempt; it ends as timed out after `limit`.
    fn send(&mut self, message: MessageId, endpoint: EndpointId, limit: Duration);
    /// Ends the message undelivered; the client may safely submit it again after `retry_after`. True if that
    /// ends it at once; else the message is closed by a later input, when the end has been taken.
    fn reject(&mut self, message: MessageId, retry_after: Duration) -> bool;
    /// Ends the message as failed; returns as `reject` does.
    fn fail(&mut self, message: MessageId) -> bool;
    /// Stops waiting for an attempt.
    fn cancel(&mut self, message: MessageId, attempt: AttemptNumber);
    /// Closes the idle connections held to an endpoint.
    fn close_idle_connections(&mut self, endpoint: EndpointId);
    /// The endpoint is off the list, nothing is in flight to it and no rule needs it: keep nothing of it.
    fn forget_endpoint(&mut self, endpoint: EndpointId);
    /// Calls for the next step after this span.
    fn wake_after(&mut self, span: Duration);
    /// Asks for the endpoint list and its updates from now on.
    fn poll_endpoints(&mut self);
    /// A line for on-call staff.
    fn log(&mut self, line: &str);
    /// What must outlive the process changed: this is all of it now. Hosts without upgrades keep nothing.
    fn persist_routes(&mut self, _routes: &[RouteSnapshot]) {}
}
