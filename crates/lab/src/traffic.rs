//! Requests of clients over a simulated day, generated in advance: arrivals do not depend on responses.

use crate::Time;
use crate::random::Purpose;
use crate::world::World;
use mountshift_scenario::{Arrivals, RecordedMessage, Scenario};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp, Poisson};

/// Time over which the requests of a burst are spread, in seconds.
const BURST_DURATION: f64 = 1.0;
/// Mean size of a burst if the scenario does not specify one.
const DEFAULT_BURST_SIZE: f64 = 8.0;

/// Notification that a client wants delivered; it can be submitted several times, each time as another message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) at: Time,
    pub(crate) class: u16,
    pub(crate) tenant: u32,
    pub(crate) destination: u32,
    /// Ordering key; 0 for none.
    pub(crate) key: u64,
}

/// Choice by weight; always the first option if the weights are invalid.
struct WeightedChoice(Option<WeightedAliasIndex<f64>>);

impl WeightedChoice {
    fn new(weights: Vec<f64>) -> WeightedChoice {
        WeightedChoice(WeightedAliasIndex::new(weights).ok())
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        self.0.as_ref().map_or(0, |index| index.sample(rng))
    }
}

/// Generates the requests of the day in the order of their times, or takes them from a recording.
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

/// Generator of requests from one random stream. The order of the draws determines every simulated day.
struct Generator<'w> {
    world: &'w World<'w>,
    rng: ChaCha8Rng,
    classes: WeightedChoice,
    tenants: WeightedChoice,
    groups: WeightedChoice,
    /// Choice of a destination within each group.
    destinations: Vec<WeightedChoice>,
    /// Mean size of a burst; 1 where requests arrive singly.
    mean_burst_size: f64,
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
            mean_burst_size: match scenario.traffic.arrivals {
                Arrivals::Bursts => {
                    scenario.traffic.burst_size.map_or(DEFAULT_BURST_SIZE, |size| size.0.max(1.0))
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
            let size = self.draw_burst_size();
            for _ in 0..size {
                let delay = if size > 1 { self.rng.random_range(0.0..BURST_DURATION) } else { 0.0 };
                let request = self.draw_request(destination, (at + delay).min(length));
                requests.push(request);
            }
        }
    }

    /// Draws the time to the next arrival or burst at the current rate, in seconds.
    fn draw_gap(&mut self, at: f64) -> f64 {
        let traffic = &self.world.scenario.traffic;
        let rate = traffic.rate.0 * peak_multiplier(self.world.scenario, at) / self.mean_burst_size;
        match traffic.arrivals {
            Arrivals::Even => 1.0 / rate,
            _ => Exp::new(rate).map_or(1.0 / rate, |distribution| distribution.sample(&mut self.rng)),
        }
    }

    fn draw_burst_size(&mut self) -> usize {
        if self.mean_burst_size <= 1.0 {
            return 1;
        }
        Poisson::new(self.mean_burst_size - 1.0)
            .map_or(1, |distribution| 1 + distribution.sample(&mut self.rng) as usize)
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

/// Returns the factor by which traffic peaks multiply the arrival rate at a time in seconds.
fn peak_multiplier(scenario: &Scenario, at: f64) -> f64 {
    let peaks = scenario.traffic.peaks.iter().map(std::convert::AsRef::as_ref);
    let active = peaks.filter(|peak| (peak.from.seconds()..peak.to.seconds()).contains(&at));
    active.map(|peak| peak.multiplier.0).product()
}

/// Returns an ordering key of a destination, which is never 0.
fn ordering_key(destination: u32, number: u64) -> u64 {
    (u64::from(destination) + 1) << 24 | (number + 1)
}
