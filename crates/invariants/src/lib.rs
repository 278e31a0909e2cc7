//! The judge: reads a day's facts in order and finds breaches of the six rules, and every double effect, with
//! the history of the message that shows it. It is written from the rules' text alone and shares no code with
//! the decisions, so that one misreading can't hide in both.
//!
//! 1. every message that was taken has one end, in time, and nothing is sent after it
//! 2. no effect is done twice, and no two legs of a message are out at once
//! 3. nothing goes to an endpoint that is draining or gone, once the grace is over
//! 4. a cold route isn't pushed over by those who saw its outage
//! 5. messages of one key go in the order in which they were handed in
//! 6. a wait that was told is kept
//!
//! Memory: a few hundred bytes for each message until its end and all its legs are known, then a few for the
//! rest of the day (a late effect must still be known as the second).
#![forbid(unsafe_code)]

mod fact;

pub use fact::{AttemptOutcome, Fact, FinalAnswer, ListedStatus, Time};

use fact::seconds;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What running a message twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Repeats are dropped for `window` after the first attempt that may have run, by all endpoints of the
    /// destination or by those of one zone.
    WithKey {
        window: Time,
        by_zone: bool,
    },
    NotIdempotent,
}

/// What the rules say of a lane.
#[derive(Clone, Copy, Debug)]
pub struct MessageClass {
    pub idempotency: Idempotency,
    pub in_order: bool,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    pub classes: Vec<MessageClass>,
    /// How far past its deadline an end still counts.
    pub answer_slack: Time,
    /// After it is up again, or goes on after standing still, a relay may be late with ends for so long.
    pub restart_slack: Time,
    pub drain_grace: Time,
    pub order_hold_off: Time,
    pub slow_start_share: f64,
    pub slow_start_duration: Time,
    pub overload_multiple: f64,
    pub overload_window: Time,
    /// Legs that go out so soon after a wait was told are let through.
    pub retry_after_grace: Time,
}

/// The share of the load on a cold route that must come from relays that saw its outage.
const COLD_SEEN: f64 = 2.0 / 3.0;
/// An end so much before the deadline is no end by the deadline.
const EARLY: Time = 100_000;
/// Breaches that are kept with their stories; the rest are counted.
const STORIES_MOST: usize = 50;

/// What may come to a cold route over its budget and be put down to chance: calls come as they come, so a count
/// has a spread of its square root; one of those, and one call at least.
pub fn overload_slack(budget: f64) -> f64 {
    budget.max(1.0).sqrt()
}

/// A rule that was broken, and how.
#[derive(Clone, Debug)]
pub struct Breach {
    /// 1 to 6.
    pub rule: u8,
    pub at: Time,
    pub reason: String,
    /// The facts about its message, or the latest of its route, oldest first.
    pub history: Vec<(Time, Fact)>,
}

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The first breaches, in order.
    pub breaches: Vec<Breach>,
    /// How often each rule was broken, rule 1 first.
    pub breach_counts: [u64; 6],
    /// Messages that had an effect more than once, where that does no harm.
    pub harmless_repeats: u64,
    /// Routes that were pushed over while cold, whoever did it.
    pub overloaded_routes: u64,
    /// Messages that restarts found taken on and untried, and those of them that were ended with no call made
    /// though their time was not up.
    pub found_untried: u64,
    pub given_up_untried: u64,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        self.breach_counts.iter().all(|n| *n == 0)
    }
}

struct Endpoint {
    dst: u32,
    zone: u8,
    route: u32,
}

struct Leg {
    call: u64,
    at: Time,
    zone: u8,
    end: Option<AttemptOutcome>,
}

struct Message {
    relay: u32,
    lane: u16,
    dst: u32,
    key: u64,
    deadline: Time,
    taken: bool,
    /// A restart found it untried.
    found: bool,
    legs: Vec<Leg>,
    /// The relay of now knows that it is over.
    known_over: bool,
    /// Ends that were given or written, and if they have been taken.
    ended: bool,
    answered: bool,
    end_taken: bool,
    effects: u32,
    story: Vec<(Time, Fact)>,
}

impl Message {
    fn out(&self) -> bool {
        self.legs.iter().any(|l| l.end.is_none())
    }

    /// The first leg that may have run: when, and in which zone.
    fn may_have_run(&self) -> Option<(Time, u8)> {
        let ran = self.legs.iter().find(|l| l.end.is_none_or(|end| !end.never_ran()));
        ran.map(|l| (l.at, l.zone))
    }
}

#[derive(Default)]
struct Route {
    capacity: f64,
    out: bool,
    /// When it came back.
    cold_since: Option<Time>,
    /// Relays that learnt of a failure there while it was out, and when.
    seen: BTreeMap<u32, Time>,
    /// What reached it lately: when, how much, and if its sender had seen the outage.
    load: VecDeque<(Time, f64, bool)>,
    story: VecDeque<(Time, Fact)>,
    told: bool,
}

#[derive(Default)]
struct Relay {
    down: bool,
    up_since: Time,
    live: BTreeSet<u64>,
    told: FxHashMap<u32, (ListedStatus, Time)>,
    waits: FxHashMap<u32, (Time, Time)>,
    lines: FxHashMap<u64, Line>,
}

/// The messages of one key at one relay, oldest first, and until when all but one of them rest.
#[derive(Default)]
struct Line {
    queue: VecDeque<u64>,
    rest_until: Time,
    rest_by: u64,
}

/// Reads facts, in the order in which they happen.
pub struct InvariantChecker {
    parameters: RuleParameters,
    now: Time,
    endpoints: FxHashMap<u32, Endpoint>,
    messages: FxHashMap<u64, Message>,
    /// Messages that are done with: their lane and effects.
    retired: FxHashMap<u64, (u16, u32)>,
    routes: FxHashMap<u32, Route>,
    relays: FxHashMap<u32, Relay>,
    calls: FxHashMap<u64, (Time, u32)>,
    /// When messages are due at the latest.
    due: BTreeSet<(Time, u64)>,
    verdict: Verdict,
    /// The first message that was given up untried.
    given_up: Vec<(Time, Fact)>,
}

impl InvariantChecker {
    pub fn new(parameters: RuleParameters) -> InvariantChecker {
        InvariantChecker {
            parameters,
            now: 0,
            endpoints: FxHashMap::default(),
            messages: FxHashMap::default(),
            retired: FxHashMap::default(),
            routes: FxHashMap::default(),
            relays: FxHashMap::default(),
            calls: FxHashMap::default(),
            due: BTreeSet::new(),
            verdict: Verdict::default(),
            given_up: Vec::new(),
        }
    }

    /// Takes a fact in. Facts must come in the order of their times.
    pub fn observe(&mut self, at: Time, fact: Fact) {
        self.now = self.now.max(at);
        self.find_lost();
        if let Some(m) = fact.message().and_then(|msg| self.messages.get_mut(&msg)) {
            m.story.push((at, fact));
        }
        match fact {
            Fact::EndpointAdded { endpoint, destination: dst, zone, route, capacity } => {
                self.endpoints.insert(endpoint, Endpoint { dst, zone, route });
                self.routes.entry(route).or_default().capacity = f64::from(capacity);
            }
            Fact::Submitted { message: msg, relay, class: lane, destination: dst, key, deadline, .. } => {
                self.handed_in(msg, relay, lane, dst, key, deadline, fact);
            }
            Fact::Accepted { message: msg } => self.taken(msg),
            Fact::Withdrawn { message: msg } => self.disowned(msg),
            Fact::AttemptStarted { message: msg, call, relay, endpoint: to } => {
                self.leg(msg, call, relay, to)
            }
            Fact::CallReceived { call, relay, endpoint, weight } => {
                self.reached(call, relay, endpoint, f64::from(weight), fact);
            }
            Fact::Executed { message: msg, duplicate: repeat, .. } => self.ran(msg, repeat),
            Fact::DeliveryAnswered { message: msg, .. } => {
                self.with(msg, |m| m.answered = true);
                self.retire(msg);
            }
            Fact::AttemptEnded { message: msg, call, relay, outcome: end } => {
                self.leg_ended(msg, call, relay, end, fact)
            }
            Fact::RetryAfterReceived { relay, endpoint, retry_after: wait } => {
                self.wait_told(relay, endpoint, wait)
            }
            Fact::FinalAnswerGiven { message: msg, relay, answer: end } => self.ended(msg, relay, end),
            Fact::FinalAnswerReceived { message: msg } => {
                self.with(msg, |m| m.end_taken = true);
                self.leave_line(msg);
                self.retire(msg);
            }
            Fact::EndpointListed { relay, endpoint, status: listed } => {
                let now = self.now;
                let told = &mut self.relays.entry(relay).or_default().told;
                let since = told.get(&endpoint).filter(|t| t.0 != ListedStatus::Ready).map_or(now, |t| t.1);
                told.insert(endpoint, (listed, since));
            }
            Fact::OutageStarted { route } => {
                let r = self.routes.entry(route).or_default();
                (r.out, r.cold_since, r.told) = (true, None, false);
                r.seen.clear();
                r.load.clear();
                r.story.clear();
                r.story.push_back((at, fact));
            }
            Fact::OutageEnded { route } => {
                let r = self.routes.entry(route).or_default();
                (r.out, r.cold_since) = (false, Some(at));
                r.story.push_back((at, fact));
            }
            Fact::RouteOverloaded { route } => {
                self.verdict.overloaded_routes += 1;
                self.routes.entry(route).or_default().story.push_back((at, fact));
            }
            Fact::RelayDown { relay } => self.relay_down(relay),
            Fact::RelayUp { relay } => {
                let r = self.relays.entry(relay).or_default();
                (r.down, r.up_since) = (false, at);
                for msg in r.live.iter() {
                    let Some(m) = self.messages.get_mut(msg) else { continue };
                    let untried = m.taken && m.legs.is_empty() && !m.ended && !m.known_over && !m.found;
                    m.found |= untried;
                    self.verdict.found_untried += u64::from(untried);
                }
            }
            // What falls due meanwhile may be late as after a restart.
            Fact::RelayStalled { relay, until } => {
                let r = self.relays.entry(relay).or_default();
                r.up_since = r.up_since.max(until);
            }
        }
    }

    /// Ends the day at a time by which all must have ended, and tells what was found.
    pub fn finish(mut self, at: Time) -> Verdict {
        self.now = self.now.max(at);
        self.find_lost();
        let (found, given_up) = (self.verdict.found_untried, self.verdict.given_up_untried);
        // What a restart finds taken on and untried is still tried: over half of it given up is a broken rule 1.
        if given_up * 2 > found {
            let story = std::mem::take(&mut self.given_up);
            self.breach(1, format!("{given_up} of {found} untried messages given up after restarts"), story);
        }
        self.verdict
    }

    fn with(&mut self, msg: u64, change: impl FnOnce(&mut Message)) {
        if let Some(m) = self.messages.get_mut(&msg) {
            change(m);
        }
    }

    fn breach(&mut self, rule: u8, why: String, story: Vec<(Time, Fact)>) {
        self.verdict.breach_counts[usize::from(rule) - 1] += 1;
        if self.verdict.breaches.len() < STORIES_MOST {
            self.verdict.breaches.push(Breach { rule, at: self.now, reason: why, history: story });
        }
    }

    fn breach_of(&mut self, rule: u8, msg: u64, why: String) {
        let story = self.messages.get(&msg).map(|m| m.story.clone()).unwrap_or_default();
        self.breach(rule, format!("message {msg}: {why}"), story);
    }

    #[allow(clippy::too_many_arguments)]
    fn handed_in(&mut self, msg: u64, relay: u32, lane: u16, dst: u32, key: u64, deadline: Time, fact: Fact) {
        let story = vec![(self.now, fact)];
        let in_order = self.parameters.classes.get(usize::from(lane)).is_some_and(|l| l.in_order);
        let message = Message {
            relay,
            lane,
            dst,
            key: if in_order { key } else { 0 },
            deadline,
            taken: false,
            found: false,
            legs: Vec::new(),
            known_over: false,
            ended: false,
            answered: false,
            end_taken: false,
            effects: 0,
            story,
        };
        if self.messages.insert(msg, message).is_some() || self.retired.contains_key(&msg) {
            self.breach_of(1, msg, "its id was used before".into());
        }
        let r = self.relays.entry(relay).or_default();
        r.live.insert(msg);
        if in_order && key != 0 {
            r.lines.entry(key).or_default().queue.push_back(msg);
        }
    }

    fn taken(&mut self, msg: u64) {
        let Some(m) = self.messages.get_mut(&msg) else { return };
        m.taken = true;
        let due = m.deadline + self.parameters.answer_slack;
        self.due.insert((due, msg));
    }

    /// Its client will hand the wish in under another id; what is done under this one counts for nothing.
    fn disowned(&mut self, msg: u64) {
        self.leave_line(msg);
        if let Some(m) = self.messages.remove(&msg) {
            self.relays.entry(m.relay).or_default().live.remove(&msg);
        }
    }

    fn leg(&mut self, msg: u64, call: u64, relay: u32, to: u32) {
        let now = self.now;
        let Some(m) = self.messages.get(&msg) else {
            if self.retired.contains_key(&msg) {
                self.breach(1, format!("message {msg}: sent after its end"), Vec::new());
            }
            return;
        };
        let mut found: Vec<(u8, String)> = Vec::new();
        if m.known_over {
            found.push((1, "sent after its end".into()));
        }
        if m.out() {
            found.push((2, "a second leg goes out beside the first".into()));
        }
        let zone = self.endpoints.get(&to).map_or(0, |e| e.zone);
        match (self.parameters.classes[usize::from(m.lane)].idempotency, m.may_have_run()) {
            (Idempotency::NotIdempotent, Some(_)) => {
                found.push((2, "sent again, though it may have run and may not be repeated".into()));
            }
            (Idempotency::WithKey { window: memory, .. }, Some((since, _))) if now > since + memory => {
                found.push((2, format!("sent again {:.3} s after it may have run", seconds(now - since))));
            }
            (Idempotency::WithKey { by_zone: true, .. }, Some((_, first))) if first != zone => {
                found.push((2, "sent again to endpoints that can't know it".into()));
            }
            _ => {}
        }
        let r = self.relays.entry(relay).or_default();
        match (self.endpoints.get(&to), r.told.get(&to)) {
            (None, _) | (_, None) => {
                found.push((3, format!("sent to endpoint {to}, which was never listed")))
            }
            (Some(e), _) if e.dst != m.dst => {
                found.push((3, format!("sent to endpoint {to} of destination {}", e.dst)));
            }
            (_, Some((listed, since)))
                if *listed != ListedStatus::Ready && now > since + self.parameters.drain_grace =>
            {
                let late = seconds(now - since);
                found.push((3, format!("sent to endpoint {to}, told as {listed} {late:.3} s before")));
            }
            _ => {}
        }
        let route = self.endpoints.get(&to).map_or(u32::MAX, |e| e.route);
        if let Some((told, until)) = r.waits.get(&route)
            && now > told + self.parameters.retry_after_grace
            && now < *until
        {
            found.push((6, format!("sent {:.3} s before the wait there is over", seconds(until - now))));
        }
        let line = r.lines.get(&m.key).filter(|_| m.key != 0);
        if let Some(line) = line {
            let before = line.queue.iter().take_while(|other| **other != msg).next();
            if let Some(before) = before {
                found.push((5, format!("sent before message {before} of its key is over")));
            }
            if now < line.rest_until && line.rest_by != msg {
                let by = line.rest_by;
                found.push((5, format!("sent while message {by} of its key may be running")));
            }
        }
        found.into_iter().for_each(|(rule, why)| self.breach_of(rule, msg, why));
        self.with(msg, |m| m.legs.push(Leg { call, at: now, zone, end: None }));
        self.calls.insert(call, (now, relay));
    }

    fn leg_ended(&mut self, msg: u64, call: u64, relay: u32, end: AttemptOutcome, fact: Fact) {
        let now = self.now;
        let sent = self.calls.get(&call).map_or(now, |c| c.0);
        let endpoint = self.messages.get(&msg).and_then(|m| {
            m.story.iter().rev().find_map(|(_, f)| match f {
                Fact::AttemptStarted { call: c, endpoint: to, .. } if *c == call => Some(*to),
                _ => None,
            })
        });
        if let Some(endpoint) = endpoint {
            if let AttemptOutcome::Rejected { retry_after: wait } = end {
                self.wait_told(relay, endpoint, wait);
            }
            let route = self.endpoints.get(&endpoint).map_or(u32::MAX, |e| e.route);
            if let Some(r) = self.routes.get_mut(&route).filter(|_| end != AttemptOutcome::Delivered) {
                let lasted = r.out || r.cold_since.is_some_and(|back| sent < back);
                if lasted && !matches!(end, AttemptOutcome::NotSent | AttemptOutcome::Cancelled) {
                    r.seen.entry(relay).or_insert(now);
                    r.story.push_back((now, fact));
                }
            }
        }
        let order_hold_off = self.parameters.order_hold_off;
        let Some(m) = self.messages.get_mut(&msg) else { return };
        if let Some(leg) = m.legs.iter_mut().find(|l| l.call == call && l.end.is_none()) {
            leg.end = Some(end);
        }
        m.known_over |= end == AttemptOutcome::Delivered;
        let (key, of) = (m.key, m.relay);
        if end.may_still_run() {
            let line = self.relays.entry(of).or_default().lines.get_mut(&key);
            line.into_iter().for_each(|l| (l.rest_until, l.rest_by) = (now + order_hold_off, msg));
        }
        if end == AttemptOutcome::Delivered {
            self.leave_line(msg);
        }
        self.leave_line_if_over(msg);
        self.retire(msg);
    }

    fn wait_told(&mut self, relay: u32, endpoint: u32, wait: Time) {
        let now = self.now;
        let Some(route) = self.endpoints.get(&endpoint).map(|e| e.route).filter(|_| wait > 0) else { return };
        let waits = &mut self.relays.entry(relay).or_default().waits;
        // Of two waits that overlap the one that ends later binds; what it excuses began with the first.
        let old = waits.get(&route).copied().filter(|(_, until)| *until > now);
        let told = old.map_or(now, |o| o.0);
        waits.insert(route, (told, (now + wait).max(old.map_or(0, |o| o.1))));
    }

    fn ended(&mut self, msg: u64, relay: u32, end: FinalAnswer) {
        let now = self.now;
        let Some(m) = self.messages.get(&msg) else {
            if self.retired.contains_key(&msg) {
                self.breach(1, format!("message {msg}: ended a second time"), Vec::new());
            }
            return;
        };
        let mut found: Vec<(u8, String)> = Vec::new();
        if m.known_over {
            found.push((1, "ended a second time".into()));
        }
        if m.found && m.legs.is_empty() && now + EARLY < m.deadline {
            self.verdict.given_up_untried += 1;
            if self.given_up.is_empty() {
                self.given_up = m.story.clone();
            }
        }
        let late = m.deadline + self.parameters.answer_slack;
        let excused = self.relays.get(&relay).map_or(0, |r| r.up_since);
        if now > late && (excused == 0 || now > excused + self.parameters.restart_slack) && !m.answered {
            found.push((1, format!("ended {:.3} s after its deadline", seconds(now - m.deadline))));
        }
        let lane = self.parameters.classes[usize::from(m.lane)].idempotency;
        let again = match lane {
            Idempotency::Idempotent | Idempotency::WithKey { by_zone: false, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NotIdempotent => m.may_have_run().is_none(),
        };
        if matches!(end, FinalAnswer::Rejected { .. }) && !again {
            found.push((2, "pushed back, though it may have run and coming again would do harm".into()));
        }
        found.into_iter().for_each(|(rule, why)| self.breach_of(rule, msg, why));
        self.with(msg, |m| (m.known_over, m.ended) = (true, true));
        self.leave_line_if_over(msg);
        self.retire(msg);
    }

    fn ran(&mut self, msg: u64, repeat: bool) {
        let (lane, effects) = if let Some(m) = self.messages.get_mut(&msg) {
            m.effects += u32::from(!repeat);
            (m.lane, m.effects)
        } else if let Some(gone) = self.retired.get_mut(&msg) {
            gone.1 += u32::from(!repeat);
            *gone
        } else {
            return;
        };
        if repeat || effects < 2 {
            return;
        }
        if self.parameters.classes[usize::from(lane)].idempotency == Idempotency::Idempotent {
            self.verdict.harmless_repeats += u64::from(effects == 2);
        } else {
            self.breach_of(2, msg, format!("took effect {effects} times"));
        }
    }

    /// A message is over for its key once no leg is out and its end has been taken.
    fn leave_line_if_over(&mut self, msg: u64) {
        let over = self.messages.get(&msg).is_some_and(|m| m.end_taken && !m.out());
        if over {
            self.leave_line(msg);
        }
    }

    fn leave_line(&mut self, msg: u64) {
        let Some(m) = self.messages.get(&msg).filter(|m| m.key != 0 && !m.out()) else { return };
        let lines = &mut self.relays.entry(m.relay).or_default().lines;
        if let Some(line) = lines.get_mut(&m.key) {
            line.queue.retain(|other| *other != msg);
            if line.queue.is_empty() && line.rest_until <= self.now {
                lines.remove(&m.key);
            }
        }
    }

    /// Keeps little of a message that is done with.
    fn retire(&mut self, msg: u64) {
        let done =
            |m: &Message| !m.out() && m.known_over && (m.end_taken || !m.ended) && (m.taken || m.end_taken);
        let Some(m) = self.messages.get(&msg).filter(|m| done(m)) else { return };
        let (relay, due) = (m.relay, m.deadline + self.parameters.answer_slack);
        self.retired.insert(msg, (m.lane, m.effects));
        for leg in &m.legs {
            self.calls.remove(&leg.call);
        }
        self.due.remove(&(due, msg));
        self.relays.entry(relay).or_default().live.remove(&msg);
        self.messages.remove(&msg);
    }

    /// Messages that were taken and have no end although their time is up.
    fn find_lost(&mut self) {
        while let Some((at, msg)) = self.due.first().copied().filter(|(at, _)| *at < self.now) {
            self.due.pop_first();
            let Some(m) = self.messages.get(&msg) else { continue };
            if m.answered || m.ended {
                continue;
            }
            let relay = self.relays.entry(m.relay).or_default();
            let excused = relay.up_since + self.parameters.restart_slack;
            if relay.down {
                // Nobody can end it now; it is looked at again.
                self.due.insert((self.now + self.parameters.restart_slack, msg));
            } else if relay.up_since > 0 && excused >= self.now {
                self.due.insert((excused + 1, msg));
            } else {
                self.breach_of(1, msg, format!("lost: no end by {:.3} s", seconds(at)));
                self.with(msg, |m| m.ended = true);
            }
        }
    }

    /// Its calls broke with it: they may have run, and it knows of nothing but what its spool tells.
    fn relay_down(&mut self, relay: u32) {
        let (now, pause) = (self.now, self.parameters.order_hold_off);
        let r = self.relays.entry(relay).or_default();
        r.down = true;
        r.told.clear();
        r.waits.clear();
        for msg in r.live.iter() {
            let Some(m) = self.messages.get_mut(msg) else { continue };
            if m.out() {
                m.legs
                    .iter_mut()
                    .filter(|l| l.end.is_none())
                    .for_each(|l| l.end = Some(AttemptOutcome::Reset));
                let line = r.lines.get_mut(&m.key);
                line.into_iter().for_each(|l| (l.rest_until, l.rest_by) = (now + pause, *msg));
            }
        }
    }

    fn reached(&mut self, call: u64, relay: u32, endpoint: u32, weight: f64, fact: Fact) {
        let (now, f) = (self.now, &self.parameters);
        let Some(route_id) = self.endpoints.get(&endpoint).map(|e| e.route) else { return };
        let sent = self.calls.get(&call).map_or(now, |c| c.0);
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let Some(since) = route.cold_since else { return };
        let warm = (now - since) as f64 / f.slow_start_duration.max(1) as f64;
        if warm >= 1.0 {
            route.cold_since = None;
            return;
        }
        let seen = route.seen.get(&relay).is_some_and(|at| *at < sent);
        route.load.push_back((now, weight, seen));
        route.story.push_back((now, fact));
        while route.story.len() > 400 {
            route.story.pop_front();
        }
        while route.load.front().is_some_and(|l| l.0 + f.overload_window < now) {
            route.load.pop_front();
        }
        let capacity = route.capacity * (f.slow_start_share + (1.0 - f.slow_start_share) * warm);
        let takes = f.overload_multiple * capacity * f.overload_window as f64 / 1e6;
        let budget = takes + overload_slack(takes);
        let all: f64 = route.load.iter().map(|l| l.1).sum();
        let by_seen: f64 = route.load.iter().filter(|l| l.2).map(|l| l.1).sum();
        if all > budget && by_seen >= COLD_SEEN * all && !route.told {
            route.told = true;
            let story = route.story.iter().copied().collect();
            let why = format!(
                "route {route_id}: {all:.1} calls in {:.1} s on a cold route that takes {budget:.1}, {by_seen:.1} of \
                 them from relays that saw its outage",
                seconds(f.overload_window)
            );
            self.breach(4, why, story);
        }
    }
}
