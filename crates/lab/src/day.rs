//! Plays one day: clients, relays, endpoints and the script of troubles, as events in virtual time.
//!
//! Relays share nothing, so those whose round is due at a tick play it in parallel; what they did is then
//! carried out in the order of their numbers, and the trace doesn't depend on the number of threads.

mod calls;
mod troubles;

use crate::Time;
use crate::chance::What;
use crate::host::{Act, Came, Relay};
use crate::outcome::{DayOutcome, breaches};
use crate::policy::{Policy, TrueState, Truth, Which};
use crate::servers::{Route, Server};
use crate::tally::Tally;
use crate::traffic::{self, Request};
use crate::world::{Place, World};
use mountshift::interface::{EndpointStatus, Outcome, PolicySettings};
use mountshift_invariants::{Fact, FinalAnswer, InvariantChecker};
use mountshift_scenario::{Scenario, TroubleKind};
use rayon::prelude::*;
use rustc_hash::FxHashMap;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::hash::Hasher;

/// From an endpoint's look at a call to an answer that needs no work.
const AT_ONCE: Time = 1_000;
/// A change of the list comes to a relay after a span between these.
const LIST_LEAST: Time = 50_000;
const LIST_MOST: Time = 700_000;
/// A call for the list is answered no sooner.
const ASKED: Time = 5_000;
/// A notice is answered after this span.
const NOTICE: Time = 1_000;
/// A client that finds a dead relay tries the next one after this span.
const REFUSED: Time = 50_000;
/// The day goes on so long after the last deadline.
const AFTERMATH: Time = 3_000_000;
/// Relays from which rounds are played in parallel.
const PARALLEL: usize = 8;

/// How a day is to be played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub which: Which,
    pub seed: u64,
    /// Keep the course of the day for a report.
    pub course: bool,
}

#[derive(Clone, Debug)]
enum Event {
    /// A request is handed in, for the first time or again.
    Submission(u32),
    Reach(u64),
    Finish(u64, u32),
    Answer(u64, Vec<(u64, Outcome, bool)>, Time),
    Limit(u64),
    Thaw(u32),
    StrikeOn(usize),
    StrikeOff(usize),
    Tell(u32, u32, EndpointStatus),
    Whole(u32),
    NoList(u32),
    Noticed(u64),
    Patience(u64),
    Second,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    OnItsWay,
    Queued,
    Running,
    Done,
}

struct Call {
    relay: u32,
    /// As it was addressed, and who got it.
    to: u32,
    at: u32,
    epoch: u32,
    legs: Vec<u64>,
    /// The relay still waits for it.
    open: bool,
    connected: bool,
    stage: Stage,
    /// When its last byte came.
    came: Time,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Client {
    Waits,
    Heard,
    GaveUp,
}

struct Msg {
    request: u32,
    relay: u32,
    client: Client,
    /// It took effect under this id.
    ran: bool,
    /// Its end is owed or taken, or nobody waits for one: its late effects are counted, nothing else.
    past: bool,
}

#[derive(Clone, Copy, Default)]
struct Wish {
    delivered: bool,
    /// Ids under which it took effect.
    effects: u32,
    tries: u32,
}

/// A day that can be played; facts may be watched as they come.
pub struct Day<'a> {
    world: World<'a>,
    play: Play,
    requests: Vec<Request>,
    wishes: Vec<Wish>,
    now: Time,
    heap: BinaryHeap<Reverse<(Time, u64, Slot)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    sequence: u64,
    relays: Vec<Relay>,
    servers: Vec<Server>,
    routes: Vec<Route>,
    calls: FxHashMap<u64, Call>,
    msgs: FxHashMap<u64, Msg>,
    /// Messages that are not past.
    live: u64,
    next_msg: u64,
    /// Idle connections: since when, and their endpoint's epoch.
    idle: FxHashMap<(u32, u32), Vec<(Time, u32)>>,
    /// Where repeats are known, by destination or zone: when a message first came, and if it has run since.
    memories: FxHashMap<(u64, u32), (Time, bool)>,
    /// Endpoints that stand for others: the list is told of them later.
    replaced: BTreeMap<usize, Vec<(u32, u32)>>,
    cuts: Vec<usize>,
    lists_held: u32,
    /// Until when discovery is at work on calls that it took.
    discovery_free: Time,
    /// What the list says of each endpoint.
    listing: Vec<EndpointStatus>,
    truth: Truth,
    judge: InvariantChecker,
    tally: Tally,
    digest: SipHasher13,
    legs: u64,
    watch: Option<Watch<'a>>,
    make: Make<'a>,
}

/// What somebody sees who watches a day.
#[derive(Clone, Copy, Debug)]
pub enum Seen<'f> {
    Fact(&'f Fact),
    /// A line of a relay's log.
    Log(u32, &'f str),
}

pub type Watch<'a> = &'a mut dyn FnMut(Time, Seen<'_>);

/// Makes what decides at a relay that starts.
pub type Make<'a> = Box<dyn Fn(PolicySettings) -> Box<dyn Policy> + 'a>;

type Slot = usize;

impl<'a> Day<'a> {
    pub fn new(scenario: &'a Scenario, play: Play) -> Day<'a> {
        let world = World::new(scenario, play.seed);
        let requests = traffic::draw(&world);
        let mut routes: Vec<Route> = Vec::new();
        let mut servers = Vec::new();
        for (i, place) in world.places.iter().enumerate() {
            if routes.len() <= place.route as usize {
                routes.push(Route::new(&world, place.group));
            }
            routes[place.route as usize].endpoints.push(i as u32);
        }
        for place in &world.places {
            let peers = routes[place.route as usize].endpoints.len() as u32;
            servers.push(Server::new(&world, place.dst, place.group, place.zone, place.route, peers));
        }
        let relays = (0..scenario.relays.count.get()).map(|me| Relay::new(&world, me, play.course)).collect();
        let judge = InvariantChecker::new(world.figures());
        let tally = Tally::new(&world, &requests);
        Day {
            wishes: vec![Wish::default(); requests.len()],
            requests,
            play,
            now: 0,
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            sequence: 0,
            relays,
            servers,
            routes,
            calls: FxHashMap::default(),
            msgs: FxHashMap::default(),
            live: 0,
            next_msg: 0,
            idle: FxHashMap::default(),
            memories: FxHashMap::default(),
            replaced: BTreeMap::new(),
            cuts: Vec::new(),
            lists_held: 0,
            discovery_free: 0,
            listing: vec![EndpointStatus::Ready; world.places.len()],
            truth: Truth::default(),
            judge,
            tally,
            digest: SipHasher13::new(),
            legs: 0,
            watch: None,
            make: Box::new(move |facts| play.which.make(facts)),
            world,
        }
    }

    /// Shows every fact, and every line of the relays' logs, to somebody as it comes.
    pub fn watched(mut self, watch: Watch<'a>) -> Day<'a> {
        self.relays.iter_mut().for_each(Relay::keep_log);
        self.watch = Some(watch);
        self
    }

    /// Has relays decide by something else than the policy named.
    pub fn with_policy(mut self, make: Make<'a>) -> Day<'a> {
        self.make = make;
        self
    }

    /// The number of a destination by its name, as `banks/3`.
    pub fn destination(&self, name: &str) -> Option<u32> {
        (0..self.world.destinations.len() as u32).find(|dst| self.world.name(*dst) == name)
    }

    /// Plays the day to its end.
    pub fn play(mut self) -> DayOutcome {
        self.begin();
        let gap = self.world.scenario.relays.min_step_interval.us();
        let last_deadline = self.world.scenario.classes.iter().map(|l| l.deadline.as_ref().us()).max();
        let length = self.world.scenario.length.as_ref().us();
        let end = length + last_deadline.unwrap_or(0) + AFTERMATH;
        let mut arrived = 0;
        loop {
            // The next thing that happens, on the grid of rounds.
            let arrival = self.requests.get(arrived).map(|r| r.at);
            let event = self.heap.peek().map(|e| e.0.0);
            let wakes = self.relays.iter().filter_map(Relay::wakes).min();
            let next = [arrival, event, wakes].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else { break };
            let tick = (next.div_ceil(gap) * gap).max(self.now);
            loop {
                let arrival = self.requests.get(arrived).map(|r| r.at).filter(|at| *at <= tick);
                let event = self.heap.peek().map(|e| e.0.0).filter(|at| *at <= tick);
                match (arrival, event) {
                    (Some(a), e) if e.is_none_or(|e| a <= e) => {
                        self.now = a;
                        self.hand_in(arrived as u32);
                        arrived += 1;
                    }
                    (_, Some(_)) => self.pop(),
                    _ => break,
                }
            }
            self.now = tick;
            self.rounds();
            let idle = self.live == 0 && self.calls.is_empty() && arrived == self.requests.len();
            if idle && self.now > length && self.relays.iter().all(|r| r.held() == 0) {
                break;
            }
        }
        self.outcome(end)
    }

    fn outcome(mut self, end: Time) -> DayOutcome {
        let verdict =
            std::mem::replace(&mut self.judge, InvariantChecker::new(self.world.figures())).finish(end);
        let digest = self.digest.finish128();
        let twins = self.wishes.iter().filter(|w| w.effects > 1).count() as u64;
        DayOutcome {
            scenario: self.world.scenario.name.clone(),
            policy: self.play.which.name().to_string(),
            seed: self.play.seed,
            service: self.tally.service(),
            worst_window: self.tally.worst_window(),
            lanes: self.tally.lanes(&self.world),
            tenants: self.tally.tenants(&self.world),
            requests: self.requests.len() as u64,
            messages: self.next_msg,
            legs: self.legs,
            calls_into_outages: self.tally.calls_into_outages,
            ends: self.tally.ends.iter().map(|(name, n)| (name.to_string(), *n)).collect(),
            failed: self.tally.failed,
            pushed_back: self.tally.pushed_back,
            twins,
            rules: verdict.breach_counts,
            breaches: breaches(&verdict),
            fell_over: verdict.overloaded_routes,
            connections: self.tally.connections,
            digest: format!("{:016x}{:016x}", digest.h1, digest.h2),
            course: if self.play.course { Some(self.tally.course(&self.world)) } else { None },
        }
    }

    fn fact(&mut self, fact: Fact) {
        // What tells two traces apart: when, what kind, about whom, and what it says.
        self.digest.write_u64(self.now);
        let mut words = [0u64; 4];
        match fact {
            Fact::AttemptStarted { message: msg, call, relay, endpoint: to } => {
                words = [1, msg, call, u64::from(relay) << 32 | u64::from(to)]
            }
            Fact::CallReceived { call, endpoint, .. } => words = [2, call, u64::from(endpoint), 0],
            Fact::Executed { message: msg, call, duplicate: repeat, .. } => {
                words = [3, msg, call, u64::from(repeat)]
            }
            Fact::AttemptEnded { message: msg, call, outcome: end, .. } => {
                let (code, wait) = match end {
                    mountshift_invariants::AttemptOutcome::Rejected { retry_after: wait } => (0, wait),
                    other => (1 + end_number(other), 0),
                };
                words = [4, msg, call, code << 56 | wait];
            }
            Fact::FinalAnswerGiven { message: msg, answer: end, .. } => {
                words = [
                    5,
                    msg,
                    if let FinalAnswer::Rejected { retry_after: pause } = end { pause + 1 } else { 0 },
                    0,
                ];
            }
            other => words[1] = other.message().unwrap_or(u64::MAX),
        }
        words.iter().for_each(|w| self.digest.write_u64(*w));
        if let Some(watch) = self.watch.as_mut() {
            watch(self.now, Seen::Fact(&fact));
        }
        self.judge.observe(self.now, fact);
    }

    fn at(&mut self, at: Time, event: Event) {
        let slot = match self.free.pop() {
            Some(slot) => {
                self.events[slot] = Some(event);
                slot
            }
            None => {
                self.events.push(Some(event));
                self.events.len() - 1
            }
        };
        self.sequence += 1;
        self.heap.push(Reverse((at.max(self.now), self.sequence, slot)));
    }

    fn pop(&mut self) {
        let Some(Reverse((at, _, slot))) = self.heap.pop() else { return };
        self.now = at;
        self.free.push(slot);
        let Some(event) = self.events[slot].take() else { return };
        match event {
            Event::Submission(request) => self.hand_in(request),
            Event::Reach(call) => self.reach(call),
            Event::Finish(call, epoch) => self.finish(call, epoch),
            Event::Answer(call, ends, wait) => self.answer(call, ends, wait),
            Event::Limit(call) => self.limit(call),
            Event::Thaw(endpoint) => self.start_queued(endpoint),
            Event::StrikeOn(n) => self.strike(n, true),
            Event::StrikeOff(n) => self.strike(n, false),
            Event::Tell(relay, endpoint, says) => self.tell(relay, endpoint, says),
            Event::Whole(relay) => self.whole(relay),
            Event::NoList(relay) => self.relays[relay as usize].inbox.push(Came::WatchFailed),
            Event::Noticed(msg) => self.noticed(msg),
            Event::Patience(msg) => self.patience(msg),
            Event::Second => self.second(),
        }
    }

    fn begin(&mut self) {
        for i in 0..self.servers.len() as u32 {
            self.set_up(i);
        }
        for n in 0..self.world.strikes.len() {
            let (from, to) = (self.world.strikes[n].from, self.world.strikes[n].to);
            self.at(from, Event::StrikeOn(n));
            self.at(to, Event::StrikeOff(n));
        }
        self.at(0, Event::Second);
        for me in 0..self.relays.len() {
            for i in 0..self.servers.len() as u32 {
                let place = self.world.places[i as usize];
                self.relays[me].learn(&self.world, &place, i, EndpointStatus::Ready);
            }
            self.start(me as u32);
        }
    }

    fn set_up(&mut self, endpoint: u32) {
        let (dst, zone, route) = {
            let s = &self.servers[endpoint as usize];
            (s.dst, s.zone, s.route)
        };
        let capacity = self.routes[route as usize].capacity as f32;
        self.fact(Fact::EndpointAdded { endpoint, destination: dst, zone, route, capacity });
    }

    fn second(&mut self) {
        let held: usize = self.relays.iter().map(Relay::held).sum();
        let out: usize = self.relays.iter().map(Relay::calls_out).sum();
        Tally::count(&mut self.tally.held, self.now, held as f64);
        Tally::count(&mut self.tally.out, self.now, out as f64);
        let (routes, world, now) = (&self.routes, &self.world, self.now);
        let able = |route: u32| {
            let r = &routes[route as usize];
            if r.out || r.fallen { 0.0 } else { r.capacity * r.share(now, world) }
        };
        self.tally.capacities(now, able);
        let more = self.live > 0 || self.now < self.world.scenario.length.as_ref().us();
        if more {
            self.at(self.now + 1_000_000, Event::Second);
        }
    }

    // Clients.

    fn hand_in(&mut self, n: u32) {
        let r = self.requests[n as usize];
        let deadline = r.at + self.world.scenario.classes[usize::from(r.lane)].deadline.as_ref().us();
        if self.now >= deadline || self.wishes[n as usize].delivered {
            return;
        }
        let tries = self.wishes[n as usize].tries;
        self.wishes[n as usize].tries += 1;
        // Messages of a key come to one relay while it runs; others to any.
        let who = if r.key != 0 { r.key } else { u64::from(n) << 20 | u64::from(tries) };
        let all = self.relays.len();
        let first = self.world.chance.of(What::Front, all, who, 0);
        let Some(relay) = (0..all).map(|i| (first + i) % all).find(|i| self.relays[*i].up) else {
            self.at(self.now + REFUSED, Event::Submission(n));
            return;
        };
        let (msg, relay) = (self.next_msg, relay as u32);
        self.next_msg += 1;
        self.msgs.insert(msg, Msg { request: n, relay, client: Client::Waits, ran: false, past: false });
        self.live += 1;
        Tally::count(&mut self.tally.messages, self.now, 1.0);
        let (lane, tenant, dst, key) = (r.lane, r.tenant, r.dst, r.key);
        self.fact(Fact::Submitted {
            message: msg,
            request: u64::from(n),
            relay,
            class: lane,
            destination: dst,
            key,
            deadline,
        });
        let host = &mut self.relays[relay as usize];
        host.inbox.push(Came::Message { msg, lane, tenant, dst, key, deadline });
        if host.stalled_until > self.now {
            self.at(self.now + self.world.scenario.clients.submit_timeout.us(), Event::Patience(msg));
        }
    }

    /// A client that has heard nothing hands its message in elsewhere.
    fn patience(&mut self, msg: u64) {
        let Some(m) = self.msgs.get_mut(&msg).filter(|m| m.client == Client::Waits) else { return };
        m.client = Client::GaveUp;
        let request = m.request;
        self.fact(Fact::Withdrawn { message: msg });
        self.pass(msg);
        self.at(self.now + REFUSED, Event::Submission(request));
    }

    /// Nothing more is owed under this id.
    fn pass(&mut self, msg: u64) {
        if let Some(m) = self.msgs.get_mut(&msg).filter(|m| !m.past) {
            m.past = true;
            self.live -= 1;
        }
    }

    /// The client heard what became of its message.
    fn heard(&mut self, msg: u64, end: Option<FinalAnswer>) {
        let Some(m) = self.msgs.get_mut(&msg) else { return };
        if m.client == Client::GaveUp {
            if end.is_none() {
                let relay = m.relay;
                self.relays[relay as usize].inbox.push(Came::Gone(msg));
            }
            return;
        }
        m.client = Client::Heard;
        match end {
            None => self.fact(Fact::Accepted { message: msg }),
            Some(end) => {
                self.fact(Fact::FinalAnswerReceived { message: msg });
                self.ended(msg, end);
            }
        }
    }

    /// A message ended undelivered: its client may come again.
    fn ended(&mut self, msg: u64, end: FinalAnswer) {
        let Some(request) = self.msgs.get(&msg).filter(|m| !m.past).map(|m| m.request) else { return };
        self.pass(msg);
        let clients = &self.world.scenario.clients;
        match end {
            FinalAnswer::Failed => self.tally.failed += 1,
            FinalAnswer::Rejected { retry_after: pause } => {
                self.tally.pushed_back += 1;
                let comes =
                    self.world.chance.part(What::Again, u64::from(request), msg) < clients.retry_share.0;
                let pause = if pause > 0 { pause } else { clients.default_retry_delay.us() };
                let pause = pause.min(self.world.scenario.rules.max_retry_after.us()).max(1_000);
                if comes {
                    self.at(self.now + pause, Event::Submission(request));
                }
            }
        }
    }

    fn noticed(&mut self, msg: u64) {
        let Some(m) = self.msgs.get(&msg) else { return };
        let relay = m.relay as usize;
        self.fact(Fact::FinalAnswerReceived { message: msg });
        self.relays[relay].inbox.push(Came::Noticed(msg));
    }

    // Relays.

    fn rounds(&mut self) {
        let now = self.now;
        if self.play.which.sees_all() {
            self.see_all();
            for me in 0..self.relays.len() {
                if self.relays[me].due(now) {
                    let mut truth = std::mem::take(&mut self.truth);
                    self.relays[me].round(now, Some(&mut truth));
                    self.truth = truth;
                    self.carry_out(me as u32, usize::MAX);
                }
            }
            return;
        }
        let mut due: Vec<&mut Relay> = self.relays.iter_mut().filter(|r| r.due(now)).collect();
        if due.len() >= PARALLEL {
            due.par_iter_mut().for_each(|r| r.round(now, None));
        } else {
            due.iter_mut().for_each(|r| r.round(now, None));
        }
        for me in 0..self.relays.len() {
            if self.relays[me].last_round == now {
                self.carry_out(me as u32, usize::MAX);
            }
        }
    }

    fn see_all(&mut self) {
        let (now, world) = (self.now, &self.world);
        let routes: Vec<f64> = self.routes.iter_mut().map(|r| r.room(now, world)).collect();
        let state = |s: &Server| {
            // Who is reached is whoever has the address now.
            let mut s = s;
            while let Some(next) = s.successor {
                s = &self.servers[next as usize];
            }
            let route = &self.routes[s.route as usize];
            let well = !s.gone && !s.state.out() && !route.fallen && s.state.frozen_until <= now;
            let room = f64::from(s.workers) * route.share(now, world).max(0.05)
                - f64::from(s.busy)
                - s.queue.len() as f64;
            TrueState { well, route: s.route, room: room + 1.0, stale: s.state.stale > 0.0 }
        };
        let endpoints = self.servers.iter().map(state).collect();
        self.truth = Truth { endpoints, routes };
    }

    fn start(&mut self, me: u32) {
        let which = self.play.which;
        if which.sees_all() {
            self.see_all();
        }
        let mut truth = std::mem::take(&mut self.truth);
        let seen = which.sees_all().then_some(&mut truth);
        self.relays[me as usize].start(&self.world, &*self.make, self.now, seen);
        self.truth = truth;
        self.carry_out(me, usize::MAX);
    }

    /// Carries out what a relay did; of its calls and answers only the first `most`, if it dies meanwhile.
    fn carry_out(&mut self, me: u32, most: usize) {
        let mut done = 0;
        let mut seen_to_go = true;
        for act in self.relays[me as usize].acts() {
            let outward = matches!(act, Act::Call { .. } | Act::Answer { .. } | Act::Notice { .. });
            done += usize::from(outward);
            if outward && done > most {
                seen_to_go = false;
            }
            match act {
                // What was learnt was learnt; what went out counts only if it went.
                Act::Fact(fact @ (Fact::AttemptEnded { .. } | Fact::RetryAfterReceived { .. })) => {
                    if let Fact::AttemptEnded { outcome: end, .. } = fact {
                        *self.tally.ends.entry(end_name(end)).or_default() += 1;
                    }
                    self.fact(fact);
                }
                Act::Fact(Fact::AttemptStarted { message: msg, call, relay, endpoint: to }) => {
                    if most == usize::MAX || done < most {
                        self.legs += 1;
                        Tally::count(&mut self.tally.legs, self.now, 1.0);
                        self.fact(Fact::AttemptStarted { message: msg, call, relay, endpoint: to });
                    }
                }
                Act::Fact(fact) => {
                    if most == usize::MAX || done < most {
                        self.fact(fact);
                    }
                }
                _ if !seen_to_go => {}
                Act::Call { call, to, legs, limit } => self.call(me, call, to, legs, limit),
                Act::Answer { msg, end } => self.heard(msg, end),
                Act::Notice { msg, end } => self.notice(msg, end),
                Act::Close { call } => self.close(call, Outcome::Cancelled),
                Act::CloseIdle { endpoint } => self.close_idle(me, endpoint),
                Act::Watch => self.ask(me),
                Act::Log(line) => {
                    if let Some(watch) = self.watch.as_mut() {
                        watch(self.now, Seen::Log(me, &line));
                    }
                    self.tally.log(&self.world, me, self.now, &line);
                }
            }
        }
    }

    fn notice(&mut self, msg: u64, end: FinalAnswer) {
        // The platform passes it on at once; its answer takes a while.
        self.at(self.now + NOTICE, Event::Noticed(msg));
        self.ended(msg, end);
    }

    fn kill(&mut self, me: u32, strike: usize) {
        if !self.relays[me as usize].up {
            return;
        }
        // At what point of its work it dies: before a round, behind the spool's write, in the middle of the
        // writes to the sockets.
        let point = self.world.chance.of(What::Kill, 3, strike as u64, u64::from(me));
        if point > 0 && self.relays[me as usize].stalled_until <= self.now && !self.play.which.sees_all() {
            let now = self.now;
            self.relays[me as usize].round(now, None);
            let most = if point == 1 { 0 } else { 2 };
            self.carry_out(me, most);
        }
        self.relays[me as usize].kill();
        self.fact(Fact::RelayDown { relay: me });
        let mut mine: Vec<u64> = self.calls.iter().filter(|(_, c)| c.relay == me).map(|(n, _)| *n).collect();
        mine.sort_unstable();
        for call in mine {
            self.hang_up(call);
        }
        let mut pools: Vec<(u32, u32)> = self.idle.keys().filter(|k| k.0 == me).copied().collect();
        pools.sort_unstable();
        for (_, endpoint) in pools {
            self.close_idle(me, endpoint);
        }
        let waits = |m: &Msg| m.relay == me && m.client == Client::Waits;
        let mut waiting: Vec<u64> = self.msgs.iter().filter(|(_, m)| waits(m)).map(|(n, _)| *n).collect();
        waiting.sort_unstable();
        for msg in waiting {
            self.patience(msg);
        }
    }

    // The list.

    fn tell(&mut self, relay: u32, endpoint: u32, says: EndpointStatus) {
        // A watch that is lost and a list that lies silent hold everything back until they are over.
        let held = |s: &crate::world::Strike| {
            let of_relay = s.kind == TroubleKind::WatchLost && s.relays.contains(&relay);
            let of_list = s.kind == TroubleKind::ListLate && s.endpoints.contains(&endpoint);
            (of_relay || of_list) && s.from <= self.now && self.now < s.to
        };
        if self.lists_held > 0 {
            let until = self.world.strikes.iter().filter(|s| held(s)).map(|s| s.to).max();
            if let Some(until) = until {
                self.at(until + LIST_LEAST, Event::Tell(relay, endpoint, says));
                return;
            }
        }
        let place = self.place(endpoint);
        let host = &mut self.relays[relay as usize];
        // Where discovery is short of room a relay hears only what its own watch brings.
        if self.world.scenario.relays.discovery.is_some() && !host.watching {
            return;
        }
        host.learn(&self.world, &place, endpoint, says);
        if host.up {
            host.inbox.push(Came::Listed { endpoint, says });
        }
    }

    fn place(&self, endpoint: u32) -> Place {
        let s = &self.servers[endpoint as usize];
        Place { dst: s.dst, group: s.group, zone: s.zone, route: s.route }
    }

    /// Tells every relay, each a little later.
    fn list(&mut self, endpoint: u32, says: EndpointStatus) {
        if self.listing.len() <= endpoint as usize {
            self.listing.resize(endpoint as usize + 1, EndpointStatus::Removed);
        }
        self.listing[endpoint as usize] = says;
        for relay in 0..self.relays.len() as u32 {
            let part =
                self.world.chance.part(What::List, u64::from(relay) << 32 | u64::from(endpoint), self.now);
            let later = LIST_LEAST + ((LIST_MOST - LIST_LEAST) as f64 * part) as Time;
            self.at(self.now + later, Event::Tell(relay, endpoint, says));
        }
    }

    /// A call for the list, answered in its turn where discovery is short of room.
    fn ask(&mut self, relay: u32) {
        let Some(d) = self.world.scenario.relays.discovery else {
            return self.at(self.now + ASKED, Event::Whole(relay));
        };
        let answered = self.discovery_free.max(self.now) + (1e6 / d.calls_per_second.0) as Time;
        if answered > self.now + d.max_queue_wait.us() {
            return self.at(self.now + ASKED, Event::NoList(relay));
        }
        self.discovery_free = answered;
        if answered > self.now + d.timeout.us() {
            return self.at(self.now + d.timeout.us(), Event::NoList(relay));
        }
        self.at(answered.max(self.now + ASKED), Event::Whole(relay));
    }

    /// The answer to a relay that asked for the list.
    fn whole(&mut self, relay: u32) {
        let lost = |s: &crate::world::Strike| {
            let on = s.from <= self.now && self.now < s.to;
            on && s.kind == TroubleKind::WatchLost && s.relays.contains(&relay)
        };
        let failed = self.world.strikes.iter().any(lost);
        if !self.relays[relay as usize].up {
            return;
        }
        if failed {
            self.relays[relay as usize].inbox.push(Came::WatchFailed);
            return;
        }
        self.relays[relay as usize].watching = true;
        self.relays[relay as usize].inbox.push(Came::Whole);
        for endpoint in 0..self.listing.len() as u32 {
            let says = self.listing[endpoint as usize];
            if says != EndpointStatus::Removed {
                let place = self.place(endpoint);
                let host = &mut self.relays[relay as usize];
                host.learn(&self.world, &place, endpoint, says);
                host.inbox.push(Came::Listed { endpoint, says });
            }
        }
    }
}

fn end_number(end: mountshift_invariants::AttemptOutcome) -> u64 {
    use mountshift_invariants::AttemptOutcome as E;
    match end {
        E::Delivered => 0,
        E::Error => 1,
        E::Rejected { .. } => 2,
        E::TimedOut => 3,
        E::ConnectFailed => 4,
        E::Reset => 5,
        E::Cancelled => 6,
        E::NotSent => 7,
    }
}

fn end_name(end: mountshift_invariants::AttemptOutcome) -> &'static str {
    ["delivered", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"]
        [end_number(end) as usize]
}
