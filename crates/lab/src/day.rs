//! Plays one day: clients, relays, endpoints and the script of troubles, as events in virtual time.
//!
//! Relays share nothing, so those whose round is due at a tick play it in parallel; what they did is then
//! carried out in the order of their numbers, and the trace doesn't depend on the number of threads.

mod calls;
mod clients;
mod connections;
mod discovery;
mod endpoints;
mod events;
mod outages;
mod relays;
mod replacement;
mod trace;
mod troubles;

use self::calls::Call;
use self::clients::{Msg, Wish};
use self::events::{Event, Slot};
use crate::Time;
use crate::host::Relay;
use crate::outcome::{DayOutcome, breaches};
use crate::policy::{Policy, Truth, Which};
use crate::servers::{Route, Server};
use crate::tally::Tally;
use crate::traffic::{self, Request};
use crate::world::World;
use mountshift::interface::{EndpointStatus, PolicySettings};
use mountshift_invariants::{Fact, Judge};
use mountshift_scenario::Scenario;
use rustc_hash::FxHashMap;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// From an endpoint's look at a call to an answer that needs no work.
const AT_ONCE: Time = 1_000;
/// The day goes on so long after the last deadline.
const AFTERMATH: Time = 3_000_000;

/// How a day is to be played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub which: Which,
    pub seed: u64,
    /// Keep the course of the day for a report.
    pub course: bool,
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
    judge: Judge,
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
        let judge = Judge::new(world.figures());
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
        let gap = self.world.scenario.relays.round_gap.us();
        let last_deadline = self.world.scenario.lanes.iter().map(|l| l.deadline.as_ref().us()).max();
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
        let verdict = std::mem::replace(&mut self.judge, Judge::new(self.world.figures())).finish(end);
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
            rules: verdict.count,
            breaches: breaches(&verdict),
            fell_over: verdict.fell_over,
            connections: self.tally.connections,
            digest: format!("{:016x}{:016x}", digest.h1, digest.h2),
            course: if self.play.course { Some(self.tally.course(&self.world)) } else { None },
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
        self.fact(Fact::Endpoint { endpoint, dst, zone, route, capacity });
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
}
