//! All decisions of one relay; the interface is `interface`. A host calls `step` with all that came in.
//! The ordinary path is the design's breaker (docs/design.md). Beside it stand the mechanisms in the modules
//! below.

mod admission;
mod circuit_breaker;
mod concurrency;
mod discovery;
mod handover;
mod idle_connections;
pub(crate) mod pacing;
mod retry;
mod safety;
mod selection;
mod slow_start;
mod timeouts;

use crate::interface::*;
use crate::state::*;
use admission::SHARE_BURST;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const WAKE: Duration = ms(20);

#[derive(Default)]
pub struct DeliveryPolicy {
    settings: PolicySettings,
    now: Duration,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    off: BTreeSet<EndpointId>, // guards against a walk over all endpoints in every round
    near: BTreeMap<DestinationId, (Vec<EndpointId>, u64)>, // and its last call
    routes: BTreeMap<RouteId, Route>,
    msgs: BTreeMap<MessageId, Msg>,
    lines: BTreeMap<OrderingKey, Line>,
    calls: BTreeMap<u64, Call>,
    tenants: Vec<Tokens>,
    idle_ends: Ring<30>,
    fulls: Ring<30>,
    found_room: BTreeMap<DestinationKindId, u32>, // calls in a row
    ended_at: Vec<EndpointId>,
    count: u64,
    watch_at: Option<Duration>,
    watch_failures: u32, // in a row
    wake_at: Option<Duration>,
    lines_to_log: Vec<String>,
    handing_over: bool, // a process beside this one takes over: no new leg
    list_due: Option<Duration>,
    carried: Vec<RouteSnapshot>, // as last told
}

impl DeliveryPolicy {
    pub fn new(settings: PolicySettings) -> DeliveryPolicy {
        let tenants =
            settings.tenant_quotas.iter().map(|q| Tokens { left: q * SHARE_BURST, at: Duration::ZERO });
        let mut relay = DeliveryPolicy { tenants: tenants.collect(), settings, ..DeliveryPolicy::default() };
        let first = relay.asking().first_pause(relay.chance(0));
        relay.watch_at = relay.settings.must_poll.then_some(first);
        relay
    }

    /// Takes in all that came since the last step, then decides.
    pub fn step(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>, out: &mut dyn Actions) {
        self.now = now;
        for input in inputs {
            self.apply(input);
        }
        self.count_overdue();
        self.recall_overdue(out);
        self.end_spent(out);
        self.leave_idle(out);
        self.send_waiting(out);
        self.make_room(out);
        self.lines.retain(|_, l| !l.queue.is_empty() || l.rest_until > now);
        self.watch_at.take_if(|at| *at <= now).into_iter().for_each(|_| out.poll_endpoints());
        self.lines_to_log.drain(..).for_each(|line| out.log(&line));
        self.persist_routes(out);
        let busy = self.forget(out) || self.msgs.len() + self.calls.len() > 0 || self.watch_at.is_some();
        if busy && self.wake_at.is_none_or(|at| at <= now) {
            self.wake_at = Some(now + WAKE);
            out.wake_after(WAKE);
        }
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::Submitted { message, submission } => self.submitted(message, submission),
            Input::EarlierAttempt { message, zone, at, may_have_run } => {
                self.earlier_attempt(message, zone, at, may_have_run);
            }
            Input::FinalAnswerPending(message) => self.end(message, false),
            Input::Closed(message) => self.closed(message),
            Input::AttemptEnded { message, endpoint, waited, outcome, closed } => {
                self.attempt_ended(message, endpoint, waited, outcome, closed);
            }
            Input::RetryAfter { endpoint, span } => self.retry_after(endpoint, span),
            Input::RateLimitReported { endpoint, rate } => self.rate_limit_reported(endpoint, rate),
            Input::FullListBegins => self.full_list_begins(),
            Input::EndpointListed(listed) => self.endpoint_listed(listed),
            Input::ListReceived => self.list_received(),
            Input::ListMayBeStale => self.list_may_be_stale(),
            Input::PollFailed { retry_after } => self.poll_failed(retry_after),
            Input::EndpointRestarted(endpoint) => self.endpoint_restarted(endpoint),
            Input::HandoverStarted => self.handover_started(),
            Input::RoutesRestored(routes) => self.routes_restored(&routes),
        }
    }

    fn row(&self, msg: &Msg) -> &MessageClass {
        &self.settings.classes[msg.class.0 as usize]
    }

    fn batch(&self, kind: DestinationKindId) -> usize {
        self.settings.destination_kinds.get(kind.0 as usize).map_or(1, |k| k.max_batch.max(1))
    }

    fn route_of(&self, id: EndpointId) -> RouteId {
        let ep = &self.endpoints[&id];
        let apart =
            self.settings.destination_kinds.get(ep.kind.0 as usize).is_some_and(|k| k.independent_endpoints);
        (ep.dst, apart.then_some(id))
    }

    fn chance(&mut self, what: u64) -> f64 {
        self.count += 1;
        let mut hasher = DefaultHasher::new();
        (self.settings.seed, self.settings.relay, what, self.count).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
