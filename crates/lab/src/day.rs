//! Simulates one day of clients, relays, endpoints and scripted faults as events in virtual time.
//!
//! Relays share no state, so the steps that are due at the same tick run in parallel. Their effects are then
//! performed in the order of the relay numbers, so the trace doesn't depend on the number of threads.

mod calls;
mod clients;
mod connections;
mod discovery;
mod endpoints;
mod events;
mod faults;
mod outages;
mod relays;
mod replacement;
mod trace;

use self::calls::Call;
use self::clients::{MessageState, RequestProgress};
use self::connections::IdleConnection;
use self::endpoints::Deduplication;
use self::events::{Event, EventQueue};
use self::replacement::Replacement;
use crate::Time;
use crate::host::Relay;
use crate::outcome::{DayOutcome, breaches};
use crate::policy::{GroundTruth, Policy};
use crate::policy_kind::PolicyKind;
use crate::route::Route;
use crate::servers::Server;
use crate::statistics::Statistics;
use crate::traffic::{self, Request};
use crate::world::{EndpointSetup, World};
use mountshift::interface::{EndpointStatus, PolicySettings};
use mountshift_invariants::{Fact, InvariantChecker};
use mountshift_scenario::Scenario;
use rustc_hash::FxHashMap;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::BTreeMap;

/// Time from a call's arrival at an endpoint to an answer that needs no work.
const ANSWER_DELAY: Time = 1_000;
/// Time for which the day continues after the last deadline, so that late final answers are recorded.
const TIME_AFTER_LAST_DEADLINE: Time = 3_000_000;
/// Interval between two samples of the timeline.
const SAMPLE_INTERVAL: Time = 1_000_000;

/// Options of a simulated day.
#[derive(Clone, Copy, Debug)]
pub struct DayOptions {
    /// The policy that makes the relays' decisions.
    pub policy: PolicyKind,
    /// The seed of all random draws.
    pub seed: u64,
    /// Whether to keep the timeline of the day for a report.
    pub keep_timeline: bool,
}

/// An item that is passed to the observer of a day.
#[derive(Clone, Copy, Debug)]
pub enum DayObservation<'f> {
    /// A recorded fact.
    Fact(&'f Fact),
    /// The number of a relay and a line of its log.
    Log(u32, &'f str),
}

/// Callback that receives each observation of a day with its time.
pub type DayObserver<'a> = &'a mut dyn FnMut(Time, DayObservation<'_>);

/// Creates the policy of a relay that starts.
pub type PolicyFactory<'a> = Box<dyn Fn(PolicySettings) -> Box<dyn Policy> + 'a>;

/// A simulated day. An observer can receive its facts and log lines as they occur.
pub struct Day<'a> {
    world: World<'a>,
    options: DayOptions,
    now: Time,
    events: EventQueue,
    /// The clients' requests, sorted by time.
    requests: Vec<Request>,
    /// Progress of each request, by its position in `requests`.
    progress: Vec<RequestProgress>,
    /// Position of the first request that is not submitted yet.
    next_request: usize,
    relays: Vec<Relay>,
    servers: Vec<Server>,
    routes: Vec<Route>,
    calls: FxHashMap<u64, Call>,
    messages: FxHashMap<u64, MessageState>,
    /// Number of messages that are not closed.
    open_messages: u64,
    next_message: u64,
    /// Idle connections, by relay and addressed endpoint.
    idle_connections: FxHashMap<(u32, u32), Vec<IdleConnection>>,
    /// Deduplication records, by message and by the destination or zone that deduplicates it.
    deduplication: FxHashMap<(u64, u32), Deduplication>,
    /// Replaced endpoints, by fault; the endpoint list is updated when the fault ends.
    replacements: BTreeMap<usize, Vec<Replacement>>,
    /// Active faults that cut relays off from endpoints.
    partitions: Vec<usize>,
    /// Number of active faults that delay updates of the endpoint list.
    discovery_faults: u32,
    /// Time at which discovery has answered all polls that it has accepted.
    discovery_busy_until: Time,
    /// Listed status of each endpoint.
    endpoint_list: Vec<EndpointStatus>,
    truth: GroundTruth,
    checker: InvariantChecker,
    statistics: Statistics,
    digest: SipHasher13,
    attempts: u64,
    observer: Option<DayObserver<'a>>,
    policy_factory: PolicyFactory<'a>,
}

impl<'a> Day<'a> {
    /// Creates a day of a scenario, before its first event.
    pub fn new(scenario: &'a Scenario, options: DayOptions) -> Day<'a> {
        let world = World::new(scenario, options.seed);
        let requests = traffic::draw(&world);
        let routes = build_routes(&world);
        let relays =
            (0..scenario.relays.count.get()).map(|relay| Relay::new(&world, relay, options.keep_timeline));
        Day {
            options,
            now: 0,
            events: EventQueue::default(),
            progress: vec![RequestProgress::default(); requests.len()],
            next_request: 0,
            relays: relays.collect(),
            servers: build_servers(&world, &routes),
            routes,
            calls: FxHashMap::default(),
            messages: FxHashMap::default(),
            open_messages: 0,
            next_message: 0,
            idle_connections: FxHashMap::default(),
            deduplication: FxHashMap::default(),
            replacements: BTreeMap::new(),
            partitions: Vec::new(),
            discovery_faults: 0,
            discovery_busy_until: 0,
            endpoint_list: vec![EndpointStatus::Ready; world.endpoints.len()],
            truth: GroundTruth::default(),
            checker: InvariantChecker::new(world.rule_parameters()),
            statistics: Statistics::new(&world, &requests),
            digest: SipHasher13::new(),
            attempts: 0,
            observer: None,
            policy_factory: Box::new(move |settings| options.policy.build(settings)),
            requests,
            world,
        }
    }

    /// Passes every fact and every line of the relays' logs to an observer as it occurs.
    pub fn with_observer(mut self, observer: DayObserver<'a>) -> Day<'a> {
        for relay in &mut self.relays {
            relay.enable_log();
        }
        self.observer = Some(observer);
        self
    }

    /// Replaces the policy that the options name.
    pub fn with_policy(mut self, policy_factory: PolicyFactory<'a>) -> Day<'a> {
        self.policy_factory = policy_factory;
        self
    }

    /// Returns the number of a destination by its name, such as `banks/3`.
    pub fn destination(&self, name: &str) -> Option<u32> {
        let count = self.world.destinations.len() as u32;
        (0..count).find(|destination| self.world.destination_name(*destination) == name)
    }

    /// Simulates the day to its end.
    pub fn run(mut self) -> DayOutcome {
        self.set_up();
        let end = self.latest_end();
        while let Some(next) = self.next_time().filter(|next| *next <= end) {
            // Steps of relays are aligned to multiples of the step interval.
            let step_interval = self.world.scenario.relays.min_step_interval.us();
            let tick = (next.div_ceil(step_interval) * step_interval).max(self.now);
            self.handle_events_until(tick);
            self.now = tick;
            self.step_relays();
            if self.is_over() {
                break;
            }
        }
        self.into_outcome(end)
    }

    fn set_up(&mut self) {
        for endpoint in 0..self.servers.len() as u32 {
            self.record_endpoint(endpoint);
        }
        for fault in 0..self.world.faults.len() {
            let starts_at = self.world.faults[fault].starts_at;
            let ends_at = self.world.faults[fault].ends_at;
            self.schedule(starts_at, Event::FaultBegins { fault });
            self.schedule(ends_at, Event::FaultEnds { fault });
        }
        self.schedule(0, Event::Sample);
        for relay in 0..self.relays.len() {
            for endpoint in 0..self.servers.len() as u32 {
                let setup = self.world.endpoints[endpoint as usize];
                self.relays[relay].add_endpoint(&self.world, &setup, endpoint, EndpointStatus::Ready);
            }
            self.start_relay(relay as u32);
        }
    }

    fn record_endpoint(&mut self, endpoint: u32) {
        let server = &self.servers[endpoint as usize];
        let route = &self.routes[server.setup.route as usize];
        let fact = Fact::EndpointAdded {
            endpoint,
            destination: server.setup.destination,
            zone: server.setup.zone,
            route: server.setup.route,
            capacity: route.capacity as f32,
        };
        self.record(fact);
    }

    /// Returns the latest time at which the day ends.
    fn latest_end(&self) -> Time {
        let deadlines = self.world.scenario.classes.iter().map(|class| class.deadline.as_ref().us());
        self.length() + deadlines.max().unwrap_or(0) + TIME_AFTER_LAST_DEADLINE
    }

    fn length(&self) -> Time {
        self.world.scenario.length.as_ref().us()
    }

    /// Returns the time of the next request, event or step.
    fn next_time(&self) -> Option<Time> {
        let step = self.relays.iter().filter_map(Relay::next_wake).min();
        [self.next_arrival(), self.events.next_time(), step].into_iter().flatten().min()
    }

    fn next_arrival(&self) -> Option<Time> {
        self.requests.get(self.next_request).map(|request| request.at)
    }

    /// Handles requests and events in the order of their times; at equal times, requests come first.
    fn handle_events_until(&mut self, tick: Time) {
        loop {
            let arrival = self.next_arrival().filter(|at| *at <= tick);
            let event = self.events.next_time().filter(|at| *at <= tick);
            match (arrival, event) {
                (Some(arrival), event) if event.is_none_or(|event| arrival <= event) => {
                    self.now = arrival;
                    self.submit(self.next_request as u32);
                    self.next_request += 1;
                }
                (_, Some(_)) => self.handle_next_event(),
                _ => return,
            }
        }
    }

    /// Returns whether nothing remains to be simulated.
    fn is_over(&self) -> bool {
        let all_arrived = self.next_request == self.requests.len();
        let idle = self.open_messages == 0 && self.calls.is_empty() && all_arrived;
        idle && self.now > self.length() && self.relays.iter().all(|relay| relay.spooled_messages() == 0)
    }

    /// Samples the numbers of held messages and of calls in flight, and the capacities, for the timeline.
    fn record_sample(&mut self) {
        let queued: usize = self.relays.iter().map(Relay::spooled_messages).sum();
        let in_flight: usize = self.relays.iter().map(Relay::calls_in_flight).sum();
        self.statistics.queued.add(self.now, queued as f64);
        self.statistics.calls_in_flight.add(self.now, in_flight as f64);
        let now = self.now;
        let world = &self.world;
        let routes = &self.routes;
        self.statistics.sample_capacities(now, |route| {
            let route = &routes[route as usize];
            if route.in_outage || route.overloaded {
                0.0
            } else {
                route.capacity * route.capacity_share(now, world)
            }
        });
        if self.open_messages > 0 || now < self.length() {
            self.schedule(now + SAMPLE_INTERVAL, Event::Sample);
        }
    }

    fn into_outcome(mut self, end: Time) -> DayOutcome {
        let checker =
            std::mem::replace(&mut self.checker, InvariantChecker::new(self.world.rule_parameters()));
        let verdict = checker.finish(end);
        let digest = self.digest.finish128();
        let duplicates = self.progress.iter().filter(|progress| progress.effects > 1).count() as u64;
        DayOutcome {
            scenario: self.world.scenario.name.clone(),
            policy: self.options.policy.name().to_string(),
            seed: self.options.seed,
            service: self.statistics.service(),
            worst_window: self.statistics.worst_window(),
            classes: self.statistics.classes(&self.world),
            tenants: self.statistics.tenants(&self.world),
            requests: self.requests.len() as u64,
            messages: self.next_message,
            attempts: self.attempts,
            calls_into_outages: self.statistics.calls_into_outages,
            attempt_ends: self
                .statistics
                .attempt_ends
                .iter()
                .map(|(name, n)| (name.to_string(), *n))
                .collect(),
            failed: self.statistics.failed,
            rejected: self.statistics.rejected,
            duplicates,
            breach_counts: verdict.breach_counts,
            breaches: breaches(&verdict),
            overloaded_routes: verdict.overloaded_routes,
            connections: self.statistics.connections,
            digest: format!("{:016x}{:016x}", digest.h1, digest.h2),
            timeline: if self.options.keep_timeline {
                Some(self.statistics.timeline(&self.world))
            } else {
                None
            },
        }
    }
}

/// Builds the routes of a world with their endpoints.
fn build_routes(world: &World) -> Vec<Route> {
    let mut routes: Vec<Route> = Vec::new();
    for (endpoint, setup) in world.endpoints.iter().enumerate() {
        if routes.len() <= setup.route as usize {
            routes.push(Route::new(world, setup.group));
        }
        routes[setup.route as usize].endpoints.push(endpoint as u32);
    }
    routes
}

/// Builds the endpoints of a world, each with its share of its route's capacity.
fn build_servers(world: &World, routes: &[Route]) -> Vec<Server> {
    let server = |setup: &EndpointSetup| {
        let endpoints_of_route = routes[setup.route as usize].endpoints.len() as u32;
        Server::new(world, *setup, endpoints_of_route)
    };
    world.endpoints.iter().map(server).collect()
}
