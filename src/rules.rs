//! All decisions of one relay; the interface is `interface`. A host calls `step` with all that came in.
//! The ordinary path is the design's breaker (docs/design.md). Beside it stand six mechanisms:
//! 1. credits: each endpoint's limit in flight grows by one, is cut by a share; a send goes where one is left
//! 2. pacing to the listed rate and to pushbacks
//! 3. a cold ramp after an outage was seen
//! 4. time-outs learnt from answer times
//! 5. further legs by the message's value
//! 6. which parked message goes first and who is pushed back: value, target time, tenant share

mod carry;

use crate::interface::*;
use crate::state::*;
use mountshift_discovery::PollSchedule;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const WAKE: Duration = ms(20);
const MARGIN: Duration = ms(40); // before a deadline
const LIST_WAIT: Duration = ms(500); // nothing goes out on a list that may be old before discovery answers
// The breaker.
const THRESHOLD: u32 = 5; // consecutive failures that open it ...
const WINDOW: Duration = ms(20_000); // ... inside this window
const QUIET_RUN: u32 = 3; // at a quiet destination fewer do, if no success came for QUIET_SPAN
const QUIET_SPAN: Duration = ms(1_500);
const RECOVERY_DELAY: Duration = ms(1_800); // the first one; each failed trial makes it longer, ...
const RECOVERY_GROWTH: f64 = 1.4;
const RECOVERY_MOST: Duration = ms(4_500); // ... up to this, so that trials don't outnumber messages, ...
const TRIALS_PER_PARKED: u32 = 4; // ... unless this many times the run of failures wait
const CROWD_LOAD: f64 = 1.0; // share of the listed rate that others may ask since failures began, ...
const CROWD_SPAN: Duration = ms(4_000); // ... for so long at least
// 1 Credits.
const CREDITS_AT_START: f64 = 4.0;
const CREDITS_MOST: f64 = 24.0;
const CREDITS_CUT: f64 = 0.6;
const DEAD_ENDPOINT_RUN: u32 = 3; // failures in a row at one endpoint of several
const SLOT_SHARE: f64 = 2.0; // calls out to one destination, as a multiple of the free slots
const PICK_SLOW: f64 = 0.2; // points for an answer time as long as the span to the target time
const PICK_USED: f64 = 0.05; // points for credits all out; fees and prices count in points as told
const PICK_CHANCE: f64 = 0.01;
const CROWD: u32 = 6; // relays, from which their trials add up and even portions are too small, ...
const CROWD_TABLE: u32 = 16; // ... and from which their idle connections alone fill an endpoint's table, ...
const ROOM_SHOWN: u32 = 50; // ... unless so many calls in a row found room at endpoints of the kind
// 2 Pacing.
const PACE_CUT: f64 = 0.7;
const PACE_CUT_EVERY: Duration = ms(300);
const PACE_START: f64 = 1.3; // of an even portion, ...
const PACE_START_BATCH: f64 = 0.95; // ... or this where calls take more messages as they wait
const PACE_GROWTH: f64 = 0.2; // for each call of a second at the listed rate, while tokens run short
const PACE_LEAST: f64 = 0.5; // of an even portion
const PACE_FEW: f64 = 2.0; // calls a second, the least that counts as a portion among many relays
const PACE_BURST: f64 = 0.5; // seconds of the rate that may go at once, ...
const PACE_CALLS: f64 = 1.6; // ... and at least so many calls
const ROUGH: f64 = 1.5; // a rough rate may be this much off
const FULL_PAUSE: Duration = ms(120); // after a refusal, doubled in a row: a shut one is asked seldom
const FULL_PAUSE_MOST: Duration = ms(2_000);
const CROWD_HALVINGS: u32 = 3;
// 3 Cold ramp.
const COLD_ROUGH: f64 = 1.15; // a rough rate is taken for so much less
const COLD_ITEM: f64 = 0.25; // what each further message of a call weighs against the budget
const COLD_FURTHER: usize = 4; // further messages that may overdraw the budget
const COLD_BURST: f64 = 0.3; // of what the budget lets pass in the fall span
const COLD_SHARE: f64 = 0.6; // share of calls failed lately that counts as an outage, ...
const COLD_FAILED: f64 = 3.0; // ... of at least so many
const COLD_FULLS: u32 = 4; // refusals in a row, no wait told (guards against ramps after limits), ...
const COLD_FULL_SPAN: Duration = ms(2_500); // ... without a success for so long, that count as one
const COLD_WAIT: Duration = ms(1_500); // a told wait longer than this means shut
pub(crate) const OWN_SPAN: u64 = 60; // seconds over which own calls stand in for a listed rate, ...
const OWN_LEAST: u64 = 10; // ... and at least so many
// 4 Time-outs.
const TIMEOUT_LEAST: Duration = ms(600);
const TIMEOUT_MEANS: f64 = 6.0;
const TIMEOUT_PEAKS: f64 = 1.5;
const PATIENCE: f64 = 0.8; // of the time left, a leg is left out at least
const SLOTS_SPARE: usize = 8; // a slot in so many is kept free by recalling overdue legs
const CALL_TIMES: f64 = 0.5; // messages share a call if the shortest time left is this share of the longest
const ONCE_GRACE: u32 = 2; // times the learnt time-out before a one-chance leg is recalled
const TIMEOUT_UNKNOWN: f64 = 1.5; // of the span to the target time
const IDLE: Duration = ms(1_000); // an endpoint not used for so long has idle connections
const STALE_ENDS: f64 = 2.0; // calls on idle connections reset or unanswered, in half a minute, ...
const STALE_SHARE: f64 = 0.15; // ... and their share, from which idle connections are not trusted
// 5 Further legs.
const LEG_PAUSE: Duration = ms(250); // before a further leg, doubled with each
const FULL_SHARE_PAUSE: f64 = 8.0; // times the share of legs refused lately, so much longer after a refusal
const LEGS_LEAST: f64 = 2.0;
// 6 Ranking.
const OVER_SHARE: f64 = 0.05;
const SHARE_BURST: f64 = 2.0; // seconds of the quota
const HELD_MOST: f64 = 0.9; // share of the places held before parked messages are pushed back
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

    fn submitted(&mut self, id: MessageId, submission: Submission) {
        let Submission { class, tenant, destination, key, deadline, restored } = submission;
        let Some(row) = self.settings.classes.get(class.0 as usize) else { return };
        // A tenant that nobody knows has no share. What a restart finds was counted when it was handed in.
        let mut over_share =
            !self.settings.tenant_quotas.is_empty() && tenant.0 as usize >= self.settings.tenant_quotas.len();
        if let Some(tokens) = self.tenants.get_mut(tenant.0 as usize).filter(|_| !restored) {
            let quota = self.settings.tenant_quotas[tenant.0 as usize] / f64::from(self.settings.relay_count);
            tokens.refill(self.now, quota, quota * SHARE_BURST);
            over_share = tokens.left < 1.0;
            tokens.left = (tokens.left - 1.0).max(0.0);
        }
        let key = key.filter(|_| row.in_order);
        key.into_iter().for_each(|k| self.lines.entry(k).or_default().queue.push_back(id));
        let target = (deadline + row.latency_objective).saturating_sub(row.deadline);
        let fresh = Msg { class, destination, key, target, deadline, over_share, restored, ..Msg::default() };
        self.msgs.insert(id, fresh);
    }

    /// A leg from before a restart; without an outcome that proves the contrary it may have run.
    fn earlier_attempt(&mut self, id: MessageId, zone: ZoneId, at: Duration, may_have_run: bool) {
        let Some(msg) = self.msgs.get_mut(&id) else { return };
        (msg.legs, msg.ran) = (msg.legs.saturating_add(1), msg.ran + u32::from(may_have_run));
        msg.may_have_run = msg.may_have_run.or(may_have_run.then_some((at, zone)));
        if let Some(line) = msg.key.filter(|_| may_have_run).and_then(|k| self.lines.get_mut(&k)) {
            (line.rest_until, line.rest_by) = (self.now + self.settings.order_hold_off, Some(id));
        }
    }

    fn attempt_ended(
        &mut self,
        id: MessageId,
        to: EndpointId,
        waited: Duration,
        outcome: Outcome,
        over: bool,
    ) {
        let now = self.now;
        let no_room = outcome == Outcome::ConnectionLimit;
        let outcome = if no_room { Outcome::Rejected { retry_after: ms(0) } } else { outcome };
        let Some((msg, call_id)) = self.msgs.get_mut(&id).and_then(|m| m.out.take().map(|c| (m, c))) else {
            return;
        };
        let uncertain = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        msg.ran -= u32::from(outcome.never_ran());
        msg.may_have_run = msg.may_have_run.filter(|_| msg.ran > 0);
        msg.late += u32::from(outcome == Outcome::TimedOut);
        // Guards against legs burnt in a moment on what fails fast, or refused route after route.
        let times = 2f64.powi(i32::from(msg.legs.clamp(1, 6)) - 1);
        let (all, full, _) = self.fulls.totals(now, 30);
        let more = match outcome {
            Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut => times,
            Outcome::Rejected { .. } => times - 1.0 + times * FULL_SHARE_PAUSE * full / all.max(20.0),
            _ => 0.0,
        };
        msg.not_before = now + LEG_PAUSE.mul_f64(more);
        self.fulls.add(now, f64::from(u8::from(matches!(outcome, Outcome::Rejected { .. }))));
        let (key, ended) = (msg.key, msg.ended || over);
        // Rule 5: an attempt that may still be running holds back the rest of its key for a while.
        if let Some(line) = key.filter(|_| uncertain).and_then(|k| self.lines.get_mut(&k)) {
            (line.rest_until, line.rest_by) = (now + self.settings.order_hold_off, Some(id));
        }
        ended.then(|| self.closed(id));
        if let Outcome::Rejected { retry_after: wait } = outcome {
            self.retry_after(to, wait);
        }
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.left -= 1;
        let first = !std::mem::replace(&mut call.counted, true);
        let (route_id, full, idle) = (call.route, first && call.full, first && call.idle);
        idle.then(|| self.idle_ends.add(now, f64::from(u8::from(uncertain))));
        if call.left == 0 {
            self.calls.remove(&call_id);
            self.ended_at.push(to);
            if let Some(ep) = self.endpoints.get_mut(&to) {
                (ep.out, ep.used_at) = (ep.out.saturating_sub(1), now);
                let found = !no_room && outcome != Outcome::ConnectFailed;
                let row = self.found_room.entry(ep.kind).or_default();
                *row = if found { row.saturating_add(1) } else { 0 };
            }
        }
        let suspect = (first && (no_room || outcome == Outcome::ConnectFailed)) || (idle && uncertain);
        suspect.then(|| self.look_at_idle());
        match outcome {
            Outcome::Delivered => {
                first.then(|| self.call_answered(route_id));
                self.succeeded(route_id, call_id, to, waited, full);
            }
            Outcome::Cancelled | Outcome::NotSent => {
                self.end_trial(route_id, call_id, Breaker::HalfOpen(None))
            }
            _ if !first => {}
            Outcome::Rejected { retry_after: wait } => self.refused(route_id, call_id, to, wait),
            _ => self.failed(route_id, call_id, to),
        }
        if matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut | Outcome::Reset) {
            self.routes.entry(route_id).and_modify(|r| r.broken = r.run > 0);
        }
    }

    /// Rule 6: every wait binds, whichever answer tells it and however late it comes.
    fn retry_after(&mut self, to: EndpointId, wait: Duration) {
        let until = self.now + wait;
        let route_id = (self.endpoints.contains_key(&to) && wait > ms(0)).then(|| self.route_of(to));
        let route = route_id.and_then(|id| self.routes.get_mut(&id));
        route.into_iter().for_each(|r| r.retry_after_until = r.retry_after_until.max(until));
    }

    /// An answer told the limit, in calls a second of all relays together: late, and not exact.
    fn rate_limit_reported(&mut self, to: EndpointId, rate: f64) {
        let untold = self.settings.listed_rate == ListedRate::Unknown && self.endpoints.contains_key(&to);
        let route_id = (untold && rate > 0.0).then(|| self.route_of(to));
        let Some(route) = route_id.and_then(|id| self.routes.get_mut(&id)) else { return };
        (route.rate, route.told_rate) = (rate, true);
    }

    /// A whole list begins: what its entries don't name is gone.
    fn full_list_begins(&mut self) {
        self.endpoints.values_mut().for_each(|ep| ep.off_since = ep.off_since.or(Some(self.now)));
        self.off = self.endpoints.keys().copied().collect();
    }

    fn endpoint_listed(&mut self, listed: ListedEndpoint) {
        let ListedEndpoint { endpoint: id, destination: dst, zone, kind, status: says, rate } = listed;
        let (now, rate) = (self.now, if rate.is_finite() { rate.max(0.0) } else { 0.0 });
        let fresh = Endpoint { dst, zone, kind, limit: CREDITS_AT_START, ..Endpoint::default() };
        (!self.endpoints.contains_key(&id)).then(|| self.near.entry(dst).or_default().0.push(id));
        let ep = self.endpoints.entry(id).or_insert(fresh);
        ep.off_since = if says == EndpointStatus::Ready { None } else { ep.off_since.or(Some(now)) };
        if says == EndpointStatus::Ready {
            self.off.remove(&id)
        } else {
            self.off.insert(id)
        };
        let route_id = self.route_of(id);
        let pace = self.portion(rate) * if self.batch(kind) > 1 { PACE_START_BATCH } else { PACE_START };
        let untold = self.settings.listed_rate == ListedRate::Unknown;
        let start = if untold { f64::from(self.settings.relay_count.min(CROWD)) } else { rate };
        let fresh = Route { rate: start, pace, tokens: Tokens { left: rate, at: now }, ..Route::default() };
        let route = self.routes.entry(route_id).or_insert(fresh);
        route.rate = if rate > 0.0 && !untold { rate } else { route.rate };
    }

    /// The endpoint was out by hand and was restarted meanwhile: its route comes back cold (rule 4).
    fn endpoint_restarted(&mut self, id: EndpointId) {
        let route_id = self.endpoints.contains_key(&id).then(|| self.route_of(id));
        let now = self.now;
        route_id
            .and_then(|r| self.routes.get_mut(&r))
            .into_iter()
            .for_each(|r| DeliveryPolicy::turn_cold(r, now));
    }

    /// The list held at a start may be older than what discovery told since (rule 3): nothing goes out on it
    /// until discovery answers. Guards against sends to what was told as leaving when no process ran. Harm: a
    /// pause at a start with discovery down.
    fn list_may_be_stale(&mut self) {
        self.list_due = Some(self.now + LIST_WAIT);
    }

    fn list_received(&mut self) {
        (self.list_due, self.watch_failures) = (None, 0);
    }

    fn poll_failed(&mut self, told: Option<Duration>) {
        self.watch_failures += 1;
        let pause = self.asking().retry_pause(self.watch_failures, told, self.chance(0));
        self.watch_at = self.settings.must_poll.then_some(self.now + pause);
    }

    fn asking(&self) -> PollSchedule {
        PollSchedule { relay_count: self.settings.relay_count, poll_interval: self.settings.poll_interval }
    }

    /// An even portion. Guards against standstill among many relays: their own traffic is uneven.
    fn portion(&self, rate: f64) -> f64 {
        let few = if self.settings.relay_count > CROWD { PACE_FEW } else { 0.0 };
        (few / rate.max(1.0)).clamp(1.0 / f64::from(self.settings.relay_count), 1.0)
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

    fn set_breaker(&mut self, id: RouteId, to: Breaker) {
        let Some(route) = self.routes.get_mut(&id) else { return };
        if std::mem::discriminant(&route.breaker) != std::mem::discriminant(&to) {
            self.lines_to_log
                .push(format!("breaker of {}: {:?} -> {to:?}, run {}", id.0.0, route.breaker, route.run));
        }
        route.breaker = to;
    }

    /// Where no rate is told, the calls that this relay had answered stand for its part: guards against
    /// a cold ramp reckoned from nothing, which lets hardly a call pass until the route is warm.
    fn call_answered(&mut self, route_id: RouteId) {
        let untold = self.settings.listed_rate == ListedRate::Unknown;
        let Some(route) = self.routes.get_mut(&route_id).filter(|r| untold && !r.told_rate) else { return };
        route.answered.add(self.now, 0.0);
        let span = self.now.as_secs().clamp(OWN_LEAST, OWN_SPAN) as f64;
        let own = route.answered.totals(self.now, OWN_SPAN).0 / span;
        route.rate =
            (own * f64::from(self.settings.relay_count)).max(f64::from(self.settings.relay_count.min(CROWD)));
    }

    fn succeeded(&mut self, route_id: RouteId, call: u64, to: EndpointId, waited: Duration, full: bool) {
        let now = self.now;
        if let Some(ep) = self.endpoints.get_mut(&to) {
            ep.answers.add(now, waited.as_secs_f64());
            // All credits were out (one is back already): without the 2, a broken limit never grew again.
            let grown = if f64::from(ep.out) + 2.0 > ep.limit { 1.0 / ep.limit } else { 0.0 };
            (ep.run, ep.limit) = (0, (ep.limit + grown).min(CREDITS_MOST));
        }
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        route.ends.add(now, 0.0);
        // Guards against a crowd, or quiet routes, back at full pace as no relay saw enough to open.
        let back = route.broken && now.saturating_sub(route.run_since) >= QUIET_SPAN;
        back.then(|| DeliveryPolicy::turn_cold(route, now));
        (route.run, route.fulls, route.broken) = (0, 0, false);
        if full && route.tokens.left < 1.0 {
            // A crowd's answers tell late: where each gets few in a second it grows by less.
            let growth = PACE_GROWTH * (route.rate / f64::from(self.settings.relay_count)).min(1.0);
            route.pace = (route.pace + growth / route.rate.max(1.0)).min(ROUGH);
        }
        if route.breaker == Breaker::HalfOpen(Some(call)) {
            (route.slow_start_since, route.cold) = (Some(now), Tokens { left: 0.0, at: now });
            self.set_breaker(route_id, Breaker::Closed);
        } else if matches!(route.breaker, Breaker::Open(_)) {
            // A good answer to an earlier call: slow, not dead. The trial need not wait.
            self.set_breaker(route_id, Breaker::Open(now));
        }
    }

    fn failed(&mut self, route_id: RouteId, call: u64, to: EndpointId) {
        let now = self.now;
        if let Some(ep) = self.endpoints.get_mut(&to) {
            (ep.limit, ep.run) = ((ep.limit * CREDITS_CUT).max(1.0), ep.run + 1);
            ep.rest_until = if ep.run >= DEAD_ENDPOINT_RUN { now + RECOVERY_DELAY } else { ep.rest_until };
        }
        let chance = self.chance(to.0);
        let parked =
            self.msgs.values().filter(|m| m.destination == route_id.0 && m.out.is_none()).count() as u32;
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        route.ends.add(now, 1.0);
        if route.run == 0 || (route.breaker == Breaker::Closed && now > route.run_since + WINDOW) {
            (route.run, route.run_since) = (0, now);
        }
        route.run += 1;
        let crowd = DeliveryPolicy::crowd_delay(&self.settings, route, now, chance);
        route.pause_until = route.pause_until.max(now + crowd);
        // Longer and longer, unless many more wait than trials went: a quiet destination is not worth asking.
        let trials = if parked > TRIALS_PER_PARKED * route.run { THRESHOLD } else { route.run };
        let more = RECOVERY_GROWTH.powi(trials.saturating_sub(THRESHOLD).min(9) as i32);
        let delay = RECOVERY_DELAY.mul_f64(more).min(RECOVERY_MOST).max(crowd);
        let (all, bad, _) = route.ends.totals(now, 4);
        let quiet = route.run >= QUIET_RUN && now.saturating_sub(route.run_since) >= QUIET_SPAN;
        let opens = route.breaker == Breaker::Closed && (route.run >= THRESHOLD || quiet);
        let cold = opens || (bad >= COLD_FAILED && bad >= COLD_SHARE * all);
        cold.then(|| DeliveryPolicy::turn_cold(route, now));
        opens.then(|| self.set_breaker(route_id, Breaker::Open(now + delay)));
        self.end_trial(route_id, call, Breaker::Open(now + delay));
    }

    fn refused(&mut self, route_id: RouteId, call: u64, to: EndpointId, wait: Duration) {
        let (now, chance) = (self.now, self.chance(to.0));
        // What goes beyond an even portion is lent: guards against a crowd that takes it back call by call,
        // too late where each makes a call in seconds and refused ones use the limit up. Harm: uneven load.
        let even = 1.0 / f64::from(self.settings.relay_count);
        let lent = self.routes.get(&route_id).is_some_and(|r| self.portion(r.rate) > even);
        let (least, most) = if lent { (even, even) } else { (PACE_LEAST * even, f64::INFINITY) };
        self.endpoints.entry(to).and_modify(|ep| ep.limit = (ep.limit * CREDITS_CUT).max(1.0));
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let since = if route.fulls == 0 { now } else { route.full_since };
        (route.full_since, route.fulls) = (since, route.fulls + 1);
        let crowd = DeliveryPolicy::crowd_delay(&self.settings, route, now, chance);
        let pause = (FULL_PAUSE * 2u32.pow(route.fulls.min(6) - 1)).min(FULL_PAUSE_MOST);
        // A crowd halves what it asks as well, each time: guards against a limit that was lowered and all
        // together, each at its share of the listed one, keep used up. Harm: a limit found again late.
        let crowd = crowd * 2u32.pow(route.fulls.min(CROWD_HALVINGS) - 1);
        route.pause_until = now + pause.max(crowd);
        if now.saturating_sub(route.pace_at) > PACE_CUT_EVERY {
            (route.pace, route.pace_at) = ((route.pace.min(most) * PACE_CUT).max(least), now);
        }
        let shut =
            route.retry_after_until < since && route.fulls >= COLD_FULLS && now - since >= COLD_FULL_SPAN;
        (shut || wait > COLD_WAIT).then(|| DeliveryPolicy::turn_cold(route, now + wait));
        self.end_trial(route_id, call, Breaker::Open(now + crowd));
    }

    /// Guards against a crowd of relays that pushes over a cold destination (rule 4) or starves one that
    /// refuses: from the second bad end in a row on all who may ask share what it takes. Harm: late returns.
    fn crowd_delay(f: &PolicySettings, route: &Route, now: Duration, chance: f64) -> Duration {
        let began = if route.run > 0 { route.run_since } else { route.full_since };
        let since = now.saturating_sub(began).max(CROWD_SPAN).as_secs_f64();
        let (relays, rate) = (f64::from(f.relay_count.saturating_sub(CROWD)), route.rate.max(1.0));
        let others =
            if route.run + 2 * route.fulls > 1 { relays.min(CROWD_LOAD * rate * since) } else { 0.0 };
        let warm =
            (f.overload_window.as_secs_f64() / f.slow_start_duration.as_secs_f64().max(0.001)).min(1.0);
        let takes =
            (f.overload_multiple * (f.slow_start_share + (1.0 - f.slow_start_share) * warm) * rate).max(0.01);
        Duration::from_secs_f64(others * (0.5 + chance) / takes).min(f.slow_start_duration * 2)
    }

    fn turn_cold(route: &mut Route, since: Duration) {
        route.cold =
            route.slow_start_since.replace(since).map_or(Tokens { left: 0.0, at: since }, |_| route.cold);
    }

    fn end_trial(&mut self, route_id: RouteId, call: u64, next: Breaker) {
        let trial = self.routes.get(&route_id).is_some_and(|r| r.breaker == Breaker::HalfOpen(Some(call)));
        trial.then(|| self.set_breaker(route_id, next));
    }

    /// A leg past its learnt time-out counts as failed, though left out: guards against hosts that hang.
    fn count_overdue(&mut self) {
        let now = self.now;
        let overdue = self.calls.iter().filter(|(_, c)| !c.counted && c.sent + c.expect <= now);
        let late: Vec<_> = overdue.map(|(id, c)| (*id, c.route, c.to, c.idle)).collect();
        for (call, route, to, idle) in late {
            self.calls.entry(call).and_modify(|c| c.counted = true);
            idle.then(|| self.idle_ends.add(now, 1.0));
            idle.then(|| self.look_at_idle());
            self.failed(route, call, to);
        }
    }

    /// Guards against hung legs holding every slot: the oldest overdue are recalled, one-chance ones later.
    fn recall_overdue(&mut self, out: &mut dyn Actions) {
        let spare = self.settings.max_calls_in_flight.div_ceil(SLOTS_SPARE);
        let taken = self.calls.values().filter(|c| !c.recalled).count();
        let short = (taken + spare).saturating_sub(self.settings.max_calls_in_flight);
        let (wanted, mut recalled) = (if self.settings.may_cancel { short } else { 0 }, Vec::new());
        let overdue = |c: &Call| wanted > 0 && !c.recalled && self.now >= c.sent + c.expect;
        for (id, call) in self.calls.iter().filter(|(_, c)| overdue(c)) {
            let legs: Vec<_> = self.msgs.iter().filter(|(_, m)| m.out == Some(*id)).collect();
            let once = legs.iter().any(|(_, m)| self.row(m).idempotency == Idempotency::NotIdempotent);
            if recalled.len() < wanted && (!once || self.now >= call.sent + call.expect * ONCE_GRACE) {
                legs.iter().for_each(|(msg, m)| out.cancel(**msg, AttemptNumber(m.legs - 1)));
                recalled.push(*id);
            }
        }
        self.calls.iter_mut().filter(|(id, _)| recalled.contains(id)).for_each(|(_, c)| c.recalled = true);
    }

    /// Nothing more is sent for the message: it was withdrawn, or ended here.
    fn closed(&mut self, id: MessageId) {
        let Some(msg) = self.msgs.get_mut(&id) else { return };
        if msg.out.is_some() {
            msg.ended = true;
            return;
        }
        let line = msg.key.and_then(|key| self.lines.get_mut(&key));
        line.into_iter().for_each(|l| l.queue.retain(|m| *m != id));
        self.msgs.remove(&id);
    }

    /// Fails what can't be sent again or is out of time, even in a call that goes on for others.
    fn end_spent(&mut self, out: &mut dyn Actions) {
        let idle = |m: &Msg| m.deadline <= self.now + MARGIN || !self.may_go_again(m);
        let spent = |m: &Msg| if m.out.is_none() { idle(m) } else { m.deadline + WAKE < self.now };
        let ids = self.msgs.iter().filter(|(_, m)| !m.ended && spent(m)).map(|(id, _)| *id);
        for id in ids.collect::<Vec<_>>() {
            let at_once = out.fail(id);
            self.end(id, at_once);
        }
    }

    /// Ended here. On sockets it keeps its place in line until the end was taken: guards rule 5.
    fn end(&mut self, id: MessageId, at_once: bool) {
        self.msgs.entry(id).and_modify(|m| m.ended = true);
        at_once.then(|| self.closed(id));
    }

    fn row(&self, msg: &Msg) -> &MessageClass {
        &self.settings.classes[msg.class.0 as usize]
    }

    fn may_go_again(&self, msg: &Msg) -> bool {
        let row = self.row(msg);
        // A lane worth nothing is no measure: guards against no leg for it, and any number for the others.
        let least = self
            .settings
            .classes
            .iter()
            .map(|l| l.priority_weight)
            .filter(|v| *v > 0.0)
            .fold(f64::MAX, f64::min);
        let legs = LEGS_LEAST + (row.priority_weight / least).round();
        msg.legs < self.settings.max_attempts
            && f64::from(msg.ran) < legs
            && (row.idempotency == Idempotency::Idempotent
                || msg.may_have_run.is_none()
                || self.known(msg) > Some(MARGIN * 2))
    }

    /// For how long a repeat of what may have run is still known for one, where repeats are.
    fn known(&self, msg: &Msg) -> Option<Duration> {
        let until = self
            .row(msg)
            .idempotency
            .deduplication_window()
            .zip(msg.may_have_run)
            .map(|(memory, ran)| ran.0 + memory);
        until.map(|until| until.saturating_sub(self.now))
    }

    fn worth(&self, msg: &Msg) -> f64 {
        let row = self.row(msg);
        let late = self.now.saturating_sub(msg.target).as_secs_f64();
        let span = row.deadline.saturating_sub(row.latency_objective).as_secs_f64().max(0.001);
        let left = match self.settings.decay {
            Decay::Linear => 1.0 - (1.0 - row.late_weight_share) * (late / span).min(1.0),
            Decay::Halving => (0.5f64)
                .powf(late / row.latency_objective.as_secs_f64().max(0.001))
                .max(row.late_weight_share),
        };
        row.priority_weight * left * if msg.over_share { OVER_SHARE } else { 1.0 }
    }

    fn chance(&mut self, what: u64) -> f64 {
        self.count += 1;
        let mut hasher = DefaultHasher::new();
        (self.settings.seed, self.settings.relay, what, self.count).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Free slots go in turns over destinations with messages waiting, fewest calls out first.
    fn send_waiting(&mut self, out: &mut dyn Actions) {
        let mut waiting: BTreeMap<DestinationId, Vec<MessageId>> = BTreeMap::new();
        for (id, msg) in &self.msgs {
            if msg.out.is_none() && !msg.ended && msg.not_before <= self.now && self.in_turn(*id, msg) {
                waiting.entry(msg.destination).or_default().push(*id);
            }
        }
        let still = self.handing_over || self.list_due.is_some_and(|at| self.now < at);
        while !still && self.calls.len() < self.settings.max_calls_in_flight {
            let next = waiting.keys().min_by_key(|d| (self.calls_out(**d), self.near.get(d).map(|n| n.1)));
            let Some(dst) = next.copied() else { break };
            let mut list = waiting.remove(&dst).unwrap_or_default();
            if self.send_call(dst, &mut list, out) && !list.is_empty() {
                waiting.insert(dst, list);
            }
        }
    }

    fn calls_out(&self, dst: DestinationId) -> usize {
        self.calls.values().filter(|c| c.route.0 == dst).count()
    }

    fn in_turn(&self, id: MessageId, msg: &Msg) -> bool {
        let Some(line) = msg.key.and_then(|k| self.lines.get(&k)) else { return true };
        line.queue.front() == Some(&id) && (line.rest_until <= self.now || line.rest_by == Some(id))
    }

    /// How many messages a route takes now.
    fn room(&mut self, route_id: RouteId, batch: usize) -> usize {
        let now = self.now;
        let asking = self.calls.values().any(|c| c.route == route_id && !c.counted);
        let f = &self.settings;
        let Some(route) = self.routes.get_mut(&route_id) else { return 0 };
        // While failures run, one call at a time: most calls into silence went out before it opened.
        if now < route.retry_after_until || now < route.pause_until || (route.run + route.fulls > 0 && asking)
        {
            return 0;
        }
        let trial = match route.breaker {
            Breaker::Closed => false,
            Breaker::Open(until) if now < until => return 0,
            Breaker::Open(_) | Breaker::HalfOpen(None) => true,
            Breaker::HalfOpen(Some(_)) => return 0,
        };
        let rough = f.listed_rate == ListedRate::Approximate || route.told_rate;
        // Where nothing is told, own answers stand for the rate once one was refused: too few in a crowd.
        let own = route.pace_at > ms(0) && f.relay_count <= CROWD;
        if (f.listed_rate == ListedRate::Exact || rough || own) && route.rate > 0.0 {
            let most = if f.listed_rate == ListedRate::Exact { 1.0 } else { ROUGH };
            let rate = route.rate * route.pace.min(most);
            route.tokens.refill(now, rate, (rate * PACE_BURST).max(PACE_CALLS));
            if route.tokens.left < 1.0 {
                return 0;
            }
        }
        // Refused again with no wait told it may be shut: one message asks, not a batch that burns legs.
        let batch =
            if trial || route.fulls > 1 && route.retry_after_until < route.full_since { 1 } else { batch };
        let Some(since) = route.slow_start_since.filter(|_| !trial) else { return batch };
        let warm = now.saturating_sub(since).as_secs_f64() / f.slow_start_duration.as_secs_f64().max(0.001);
        if warm >= 1.0 {
            route.slow_start_since = None;
            return batch;
        }
        let share = f.slow_start_share + (1.0 - f.slow_start_share) * warm;
        let listed = if rough { route.rate / COLD_ROUGH } else { route.rate };
        let rate = f.overload_multiple * share * listed / f64::from(f.relay_count);
        route.cold.refill(now, rate, (COLD_BURST * rate * f.overload_window.as_secs_f64()).max(1.0));
        // A call weighs little more for each further message; the first wants a whole token.
        let further = (route.cold.left - 1.0) / COLD_ITEM;
        if further < 0.0 { 0 } else { batch.min(1 + COLD_FURTHER + further as usize) }
    }

    /// Sends one call to a destination, with as many of the messages as may travel in it.
    fn send_call(&mut self, dst: DestinationId, list: &mut Vec<MessageId>, out: &mut dyn Actions) -> bool {
        let now = self.now;
        let free = self.settings.max_calls_in_flight - self.calls.len();
        // Guards against slow or suspect destinations taking all slots. Harm: with few they open late.
        if self.calls_out(dst) as f64 >= SLOT_SHARE * free as f64 {
            return false;
        }
        let target = self.row(&self.msgs[&list[0]]).latency_objective.as_secs_f64();
        let mut options = Vec::new();
        let suspect = |c: &&Call| self.routes.get(&c.route).is_some_and(|r| r.run > 0);
        let suspects = self.calls.values().filter(suspect).count();
        let near = self.near.get(&dst).map(|near| near.0.clone()).unwrap_or_default();
        for id in near.iter().copied() {
            let ep = &self.endpoints[&id];
            let resting = near.len() > 1 && now < ep.rest_until;
            let route_id = self.route_of(id);
            // The trial takes no credit: legs left out on a hung host must not hold it up.
            let closed = self.routes[&route_id].breaker == Breaker::Closed;
            let spent = closed && f64::from(ep.out) + 1.0 > ep.limit;
            let held = closed && self.routes[&route_id].run > 0 && suspects >= free;
            let shut = ep.off_since.is_some() || spent || resting || held;
            let room = if shut { 0 } else { self.room(route_id, self.batch(ep.kind)) };
            if room == 0 {
                continue;
            }
            let ep = &self.endpoints[&id];
            let (n, sum, _) = ep.answers.totals(now, 24);
            let fee = route_id.1.and(self.settings.zone_fees.get(ep.zone.0 as usize)).copied().unwrap_or(0.0);
            let cross = if ep.zone == self.settings.zone { 0.0 } else { self.settings.cross_zone_price };
            let slow = if n > 0.0 { PICK_SLOW * (sum / n / target).min(2.0) } else { 0.0 };
            let cost = fee + cross + slow + PICK_USED * f64::from(ep.out) / ep.limit;
            let cost = cost + PICK_CHANCE * self.chance(id.0);
            options.push((cost, id, room));
        }
        if options.is_empty() {
            return false;
        }
        options.sort_by(|a, b| a.0.total_cmp(&b.0));
        // What is worth most now, with the line behind its key (guards against long ones), goes first.
        let line = |m: &Msg| m.key.and_then(|k| self.lines.get(&k)).map_or(1, |l| l.queue.len()) as f64;
        let rank = |m: &Msg| (!m.untried(), (-self.worth(m) * line(m) * 1e6) as i64, m.target);
        list.sort_by_cached_key(|id| rank(&self.msgs[id]));
        options.into_iter().any(|(_, to, room)| self.send_to(to, room, list, out))
    }

    fn send_to(
        &mut self,
        to: EndpointId,
        room: usize,
        list: &mut Vec<MessageId>,
        out: &mut dyn Actions,
    ) -> bool {
        let now = self.now;
        let route_id = self.route_of(to);
        let trial = self.routes[&route_id].breaker != Breaker::Closed;
        if trial {
            // A trial can strand a message that must not run twice: a safer one goes first.
            list.sort_by_key(|id| self.row(&self.msgs[id]).idempotency);
        }
        self.count += 1;
        let call = self.count;
        let learnt = self.learnt(to);
        let (mut sent, mut expect, mut least, mut most) = (0, Duration::ZERO, Duration::MAX, Duration::ZERO);
        list.retain(|id| {
            // A call ends at its shortest limit: guards against one with little time that cuts others off.
            let time = self.msgs[id].deadline.saturating_sub(now);
            // One whose time is long beside the learnt answer cuts nobody off: else what waited long keeps
            // out what is new, and each takes a call of its own where calls are few.
            let ample = learnt.is_some_and(|span| time.min(least).mul_f64(CALL_TIMES) >= span);
            let joins = sent == 0 || ample || least.min(time) >= most.max(time).mul_f64(CALL_TIMES);
            let span = if sent < room && joins { self.send(*id, to, call, out) } else { None };
            if span.is_some() {
                (least, most) = (least.min(time), most.max(time));
            }
            sent += usize::from(span.is_some());
            expect = expect.max(span.unwrap_or_default());
            span.is_none()
        });
        if sent == 0 {
            return false;
        }
        let (left, full) = (sent as u32, sent >= room);
        let ep = &self.endpoints[&to];
        let idle = ep.out == 0 && ep.used_at > Duration::ZERO && now > ep.used_at + IDLE;
        let made = Call { route: route_id, to, left, sent: now, expect, full, idle, ..Call::default() };
        self.calls.insert(call, made);
        self.near.entry(route_id.0).or_default().1 = call;
        self.endpoints.entry(to).and_modify(|ep| (ep.out, ep.used_at) = (ep.out + 1, now));
        if let Some(route) = self.routes.get_mut(&route_id) {
            route.tokens.left -= 1.0;
            route.cold.left -= 1.0 + COLD_ITEM * (sent as f64 - 1.0);
        }
        trial.then(|| self.set_breaker(route_id, Breaker::HalfOpen(Some(call))));
        true
    }

    /// The one place that every send passes: the six rules are enforced here.
    fn send(&mut self, id: MessageId, to: EndpointId, call: u64, out: &mut dyn Actions) -> Option<Duration> {
        let now = self.now;
        let msg = self.msgs.get(&id)?;
        let ep = self.endpoints.get(&to)?;
        let route = self.routes.get(&self.route_of(to))?;
        let row = *self.row(msg);
        let zonal =
            matches!(row.idempotency, Idempotency::WithKey { scope: DeduplicationScope::SameZone, .. });
        let same_group = !zonal || msg.may_have_run.is_none_or(|(_, zone)| zone == ep.zone);
        let one = !msg.ended && msg.deadline > now + MARGIN && msg.destination == ep.dst; // rule 1
        let two = msg.out.is_none() && self.may_go_again(msg) && same_group; // rule 2
        let four =
            route.slow_start_since.is_none() || route.cold.left > 0.0 || route.breaker != Breaker::Closed;
        let five = self.in_turn(id, msg); // rule 5
        if !(one && two && four && five && self.may_send_to(to, now)) {
            return None;
        }
        let (zone, span, left) = (ep.zone, self.timeout(to, &row, msg.late), msg.deadline - now);
        // A slow host keeps answering: an overdue leg counts at once, is cut later. Harm: late after silence.
        let patient = left.mul_f64(PATIENCE).max(span).min(left);
        let limit = if row.idempotency == Idempotency::NotIdempotent { left } else { patient };
        // Guards against a repeat behind the memory: its connection came up late, or it was held up.
        let limit = self.known(msg).map_or(limit, |left| limit.min(left.saturating_sub(MARGIN)));
        let msg = self.msgs.get_mut(&id)?;
        (msg.out, msg.legs, msg.ran) = (Some(call), msg.legs + 1, msg.ran + 1);
        msg.may_have_run = msg.may_have_run.or(Some((now, zone)));
        out.send(id, to, limit);
        Some(span)
    }

    /// Rules 3 and 6. A host asks again where a call begins late: both may have changed. The grace is not
    /// used, as discovery may have told long before its list was heard (it was down, or this process was).
    pub fn may_send_to(&self, to: EndpointId, now: Duration) -> bool {
        let Some(ep) = self.endpoints.get(&to) else { return false };
        ep.off_since.is_none() && now >= self.routes[&self.route_of(to)].retry_after_until
    }

    fn learnt(&self, to: EndpointId) -> Option<Duration> {
        let (n, sum, peak) = self.endpoints[&to].answers.totals(self.now, 24);
        let span = Duration::from_secs_f64((TIMEOUT_MEANS * sum / n.max(1.0)).max(TIMEOUT_PEAKS * peak));
        (n >= 3.0).then_some(span.max(TIMEOUT_LEAST))
    }

    fn timeout(&self, to: EndpointId, row: &MessageClass, late: u32) -> Duration {
        let span =
            self.learnt(to).unwrap_or(row.latency_objective.mul_f64(TIMEOUT_UNKNOWN).max(TIMEOUT_LEAST));
        span * 2u32.pow(late.min(4))
    }

    fn look_at_idle(&mut self) {
        self.ended_at.extend(self.endpoints.iter().filter(|(_, e)| e.used_at > Duration::ZERO).map(|e| e.0));
    }

    /// Guards against tables full of kept connections, and ones that died idle. Costs handshakes.
    fn leave_idle(&mut self, out: &mut dyn Actions) {
        let (all, bad, _) = self.idle_ends.totals(self.now, 30);
        let stale = bad >= STALE_ENDS && bad >= STALE_SHARE * all;
        for id in std::mem::take(&mut self.ended_at) {
            let ep = &self.endpoints[&id];
            // Known too late if a crowd waits for a refusal: those who keep theirs are the ones not refused.
            let tight = self.found_room.get(&ep.kind).is_none_or(|n| *n < ROOM_SHOWN);
            if ep.used_at > Duration::ZERO && (stale || (self.settings.relay_count > CROWD_TABLE && tight)) {
                self.endpoints.entry(id).and_modify(|ep| ep.used_at = Duration::ZERO);
                out.close_idle_connections(id);
            }
        }
    }

    /// Guards against tables that grow for good: forgets what is off and binds no rule; true if more is off.
    fn forget(&mut self, out: &mut dyn Actions) -> bool {
        let (now, f) = (self.now, &self.settings);
        let binds = |r: &Route| {
            now < r.retry_after_until || r.slow_start_since.is_some_and(|at| now < at + f.slow_start_duration)
        };
        let off = |e: &Endpoint| e.out == 0 && e.off_since.is_some_and(|at| now >= at + f.drain_grace);
        let known = self.off.iter().filter_map(|id| Some((*id, self.endpoints.get(id)?)));
        let unused = known.filter(|(_, e)| off(e)).map(|(id, e)| (id, e.dst));
        for (id, dst) in unused.collect::<Vec<_>>() {
            let (route_id, near) = (self.route_of(id), &mut self.near.entry(dst).or_default().0);
            let last = route_id.1.is_some() || near.len() == 1;
            if !(last && self.routes.get(&route_id).is_some_and(binds)) {
                near.retain(|e| *e != id);
                near.is_empty().then(|| self.near.remove(&dst));
                last.then(|| self.routes.remove(&route_id));
                self.endpoints.remove(&id);
                self.off.remove(&id);
                out.forget_endpoint(id);
            }
        }
        !self.off.is_empty()
    }

    /// Guards against parked messages that keep live traffic out: those of least worth are pushed back.
    fn make_room(&mut self, out: &mut dyn Actions) {
        let most = (self.settings.max_queued as f64 * HELD_MOST).max(1.0) as usize;
        let held = self.msgs.values().filter(|m| !m.ended).count();
        if held <= most {
            return;
        }
        // Rule 2: a pushback only where coming again is safe.
        let again = |m: &Msg| m.may_have_run.is_none() || self.row(m).idempotency.is_repeatable_anywhere();
        let mut idle: Vec<(f64, MessageId)> = (self.msgs.iter())
            .filter(|(_, m)| !m.ended && m.out.is_none() && again(m) && !m.untried())
            .map(|(id, m)| (self.worth(m), *id))
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in idle.into_iter().take(held - most) {
            let at_once = out.reject(id, self.settings.max_retry_after);
            self.end(id, at_once);
        }
    }
}
