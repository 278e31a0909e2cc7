//! The interface between the decisions and whatever carries them out. Holds no decision.

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
    MsgId(u64);
    /// A destination.
    DstId(u32);
    /// One address of a destination; opaque.
    EndpointId(u64);
    /// A row of the lane table.
    LaneId(u16);
    /// A customer, by place in the facts.
    TenantId(u32);
    /// A place, by number.
    ZoneId(u16);
    /// A kind of destination, by place in the facts.
    KindId(u16);
    /// What messages that keep their order are about.
    Key(u64);
    /// The number of a message's leg, from 0.
    LegNo(u8);
}

/// What running a message twice would do, the harmless first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    Retriable,
    /// Repeats are dropped for `memory` from the first leg that may have run, at endpoints of the group.
    Keyed {
        memory: Duration,
        group: Group,
    },
    NonRetriable,
}

impl Effect {
    /// For how long repeats are dropped, where they are.
    pub fn memory(self) -> Option<Duration> {
        if let Effect::Keyed { memory, .. } = self { Some(memory) } else { None }
    }

    /// True where a message that has run does no harm wherever it runs again.
    pub fn repeats_anywhere(self) -> bool {
        matches!(self, Effect::Retriable | Effect::Keyed { group: Group::All, .. })
    }
}

/// Which endpoints of a destination recognise a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    All,
    Zone,
}

/// How value falls after the target time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Decay {
    #[default]
    Linear,
    Halving,
}

/// How a leg ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Delivered,
    Error,
    /// Turned away unseen; with the wait told, or zero.
    Full(Duration),
    /// Turned away unseen as the endpoint's table of connections is full.
    NoRoom,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never left the relay.
    Moot,
}

impl Outcome {
    /// True where the outcome proves that the leg took no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full(_) | Outcome::NoRoom | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// What is told with a message that is handed in.
#[derive(Clone, Copy, Debug)]
pub struct HandIn {
    pub lane: LaneId,
    pub tenant: TenantId,
    pub dst: DstId,
    pub key: Option<Key>,
    pub deadline: Duration,
    /// An earlier process of the relay took it on.
    pub restored: bool,
}

/// Facts of a lane as told at startup.
#[derive(Clone, Copy, Debug)]
pub struct LaneFacts {
    /// The span from arrival to the target time.
    pub target: Duration,
    /// The span from arrival to the deadline.
    pub deadline: Duration,
    pub value: f64,
    /// The share of the value left at the deadline.
    pub late_share: f64,
    pub effect: Effect,
    pub in_order: bool,
}

/// Facts of a kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct KindFacts {
    /// Endpoints are routes apart, each with its own limit and outages.
    pub own_limits: bool,
    /// Messages in one call at most.
    pub batch: usize,
}

/// How the listed rate is to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRate {
    Exact,
    Rough,
    #[default]
    Untold,
}

/// Everything told at startup that the decisions read.
#[derive(Clone, Debug, Default)]
pub struct StartupFacts {
    pub relay: RelayId,
    pub seed: u64,
    pub relays: u32,
    pub zone: ZoneId,
    pub lanes: Vec<LaneFacts>,
    pub kinds: Vec<KindFacts>,
    /// Each tenant's messages a second within its share, over all relays.
    pub quotas: Vec<f64>,
    pub decay: Decay,
    pub slots: usize,
    pub max_held: usize,
    pub max_legs: u8,
    pub listed_rate: ListedRate,
    /// The list comes only when asked for.
    pub must_watch: bool,
    /// Where it does: how often a relay is to ask.
    pub ask_within: Duration,
    pub may_recall: bool,
    pub max_pause: Duration,
    pub drain_grace: Duration,
    pub order_pause: Duration,
    pub cold_from: f64,
    pub warm_after: Duration,
    pub fall_multiple: f64,
    pub fall: Duration,
    pub zone_fees: Vec<f64>,
    pub cross_zone_price: f64,
}

/// What a route leaves to the next process of the relay at an upgrade; spans since this process's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Carried {
    pub dst: DstId,
    /// The endpoint, where endpoints of the kind are routes apart.
    pub endpoint: Option<EndpointId>,
    /// A told wait binds until then; zero if none does.
    pub told_until: Duration,
    /// The breaker is open until then, due for a trial at zero; none if it is closed.
    pub open_until: Option<Duration>,
    /// The route came back cold then and is still ramped.
    pub cold_since: Option<Duration>,
}

/// Takes the decisions of a round, in order.
pub trait Writer {
    /// Send a leg; it ends as timed out after `limit`.
    fn send(&mut self, msg: MsgId, to: EndpointId, limit: Duration);
    /// End the message undelivered; the client may safely come again after `pause`. True if that ends it
    /// at once; else the host calls `over` when the end has been taken.
    fn push_back(&mut self, msg: MsgId, pause: Duration) -> bool;
    /// End the message as failed; returns as `push_back` does.
    fn fail(&mut self, msg: MsgId) -> bool;
    /// Stop waiting for a leg.
    fn recall(&mut self, msg: MsgId, leg: LegNo);
    /// Close the idle connections held to an endpoint.
    fn close_idle(&mut self, to: EndpointId);
    /// The endpoint is off the list, nothing is out to it and no rule needs it: keep nothing of it.
    fn forget(&mut self, endpoint: EndpointId);
    /// Call a round after this span.
    fn wake(&mut self, after: Duration);
    /// Ask for the list and its changes from now on.
    fn watch(&mut self);
    /// A line for on-call staff.
    fn log(&mut self, line: &str);
    /// What must outlive the process changed: this is all of it now. Hosts without upgrades keep nothing.
    fn carry(&mut self, _routes: &[Carried]) {}
}
