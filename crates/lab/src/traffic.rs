//! What clients want delivered over the day, drawn ahead: no arrival waits for an answer.

use crate::Time;
use crate::random::Purpose;
use crate::world::World;
use mountshift_scenario::{Arrivals, RecordedMessage, Scenario};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp, Poisson};

/// The span over which the requests of a clump spread, in seconds.
const CLUMP_SPAN: f64 = 1.0;
/// The mean size of a clump where the scenario names none.
const DEFAULT_CLUMP_SIZE: f64 = 8.0;

/// Something that a client wants delivered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) at: Time,
    pub(crate) class: u16,
    pub(crate) tenant: u32,
    pub(crate) destination: u32,
    /// The ordering key; 0 for none.
    pub(crate) key: u64,
}

/// A choice by weight; always the first where the weights can't be used.
struct WeightedChoice(Option<WeightedAliasIndex<f64>>);

impl WeightedChoice {
    fn new(weights: Vec<f64>) -> WeightedChoice {
        WeightedChoice(WeightedAliasIndex::new(weights).ok())
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        self.0.as_ref().map_or(0, |index| index.sample(rng))
    }
}

/// All requests of the day, by their times.
pub(crate) fn draw(world: &World) -> Vec<Request> {
    let scenario = world.scenario;
    if scenario.traffic.replay.is_some() {
        return scenario.recorded_messages.iter().map(|recorded| replayed(world, recorded)).collect();
    }
    let mut requests = Generator::new(world).draw();
    requests.sort_by_key(|request| request.at);
    requests
}

fn replayed(world: &World, recorded: &RecordedMessage) -> Request {
    let class = world.scenario.classes.iter().position(|class| class.name == recorded.class);
    Request {
        at: (recorded.seconds * 1e6) as Time,
        class: class.unwrap_or(0) as u16,
        tenant: 0,
        destination: world.destination(world.group(&recorded.group), recorded.number),
        key: recorded.key,
    }
}

/// Draws requests in one stream; the order of the draws is part of each day.
struct Generator<'w> {
    world: &'w World<'w>,
    rng: ChaCha8Rng,
    classes: WeightedChoice,
    tenants: WeightedChoice,
    groups: WeightedChoice,
    /// By group: its destinations.
    destinations: Vec<WeightedChoice>,
    /// The mean size of a clump; 1 where requests arrive singly.
    clump_size: f64,
}

impl<'w> Generator<'w> {
    fn new(world: &'w World<'w>) -> Generator<'w> {
        let scenario = world.scenario;
        let exponent = scenario.traffic.zipf.0;
        let zipf = |count: u32| (1..=count).map(|rank| f64::from(rank).powf(-exponent)).collect();
        let destinations = scenario.groups.iter().map(|group| WeightedChoice::new(zipf(group.count.get())));
        Generator {
            world,
            rng: world.random.stream(Purpose::Traffic, 0),
            classes: WeightedChoice::new(scenario.classes.iter().map(|class| class.traffic.0).collect()),
            tenants: WeightedChoice::new(scenario.tenants.iter().map(|tenant| tenant.traffic.0).collect()),
            groups: WeightedChoice::new(scenario.groups.iter().map(|group| group.traffic.0).collect()),
            destinations: destinations.collect(),
            clump_size: match scenario.traffic.arrivals {
                Arrivals::Bursts => {
                    scenario.traffic.burst_size.map_or(DEFAULT_CLUMP_SIZE, |size| size.0.max(1.0))
                }
                _ => 1.0,
            },
        }
    }

    fn draw(mut self) -> Vec<Request> {
        let length = self.world.scenario.length.as_ref().seconds();
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            at += self.draw_gap(at);
            if at >= length {
                return requests;
            }
            let group = self.groups.draw(&mut self.rng);
            let number = self.destinations[group].draw(&mut self.rng) as u32;
            let destination = self.world.destination(group, number);
            let size = self.draw_clump_size();
            for _ in 0..size {
                let delay = if size > 1 { self.rng.random_range(0.0..CLUMP_SPAN) } else { 0.0 };
                let request = self.draw_request(destination, (at + delay).min(length));
                requests.push(request);
            }
        }
    }

    /// The gap to the next arrival or clump, at the rate of now, in seconds.
    fn draw_gap(&mut self, at: f64) -> f64 {
        let traffic = &self.world.scenario.traffic;
        let rate = traffic.rate.0 * rush_factor(self.world.scenario, at) / self.clump_size;
        match traffic.arrivals {
            Arrivals::Even => 1.0 / rate,
            _ => Exp::new(rate).map_or(1.0 / rate, |gaps| gaps.sample(&mut self.rng)),
        }
    }

    fn draw_clump_size(&mut self) -> usize {
        if self.clump_size <= 1.0 {
            return 1;
        }
        Poisson::new(self.clump_size - 1.0).map_or(1, |further| 1 + further.sample(&mut self.rng) as usize)
    }

    fn draw_request(&mut self, destination: u32, at_seconds: f64) -> Request {
        let scenario = self.world.scenario;
        let class = self.classes.draw(&mut self.rng) as u16;
        let tenant = self.tenants.draw(&mut self.rng) as u32;
        let number = self.rng.random_range(0..u64::from(scenario.traffic.keys.get()));
        let in_order = scenario.classes[usize::from(class)].in_order;
        let key = if in_order { ordering_key(destination, number) } else { 0 };
        Request { at: (at_seconds * 1e6) as Time, class, tenant, destination, key }
    }
}

/// The factor by which rushes raise the rate of arrivals at a time in seconds.
fn rush_factor(scenario: &Scenario, at: f64) -> f64 {
    let peaks = scenario.traffic.peaks.iter().map(std::convert::AsRef::as_ref);
    let active = peaks.filter(|peak| (peak.from.seconds()..peak.to.seconds()).contains(&at));
    active.map(|peak| peak.multiplier.0).product()
}

/// An ordering key of a destination, never 0.
fn ordering_key(destination: u32, number: u64) -> u64 {
    (u64::from(destination) + 1) << 24 | (number + 1)
}
