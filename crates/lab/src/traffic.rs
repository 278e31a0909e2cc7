//! What clients want delivered over the day, drawn ahead: no arrival waits for an answer.

use crate::Time;
use crate::chance::What;
use crate::world::World;
use mountshift_scenario::Arrivals;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp, Poisson};

/// The spread of a clump's messages over time.
const CLUMP_SPAN: f64 = 1.0;

/// One wish of a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub at: Time,
    pub lane: u16,
    pub tenant: u32,
    pub dst: u32,
    /// 0 for none.
    pub key: u64,
}

/// A choice by weight; evenly where the weights can't be used.
struct Choice(Option<WeightedAliasIndex<f64>>);

impl Choice {
    fn new(weights: Vec<f64>) -> Choice {
        Choice(WeightedAliasIndex::new(weights).ok())
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        self.0.as_ref().map_or(0, |index| index.sample(rng))
    }
}

fn key(dst: u32, number: u64) -> u64 {
    (u64::from(dst) + 1) << 24 | (number + 1)
}

/// All requests of the day, by their times.
pub(crate) fn draw(world: &World) -> Vec<Request> {
    let s = world.scenario;
    if s.traffic.replay.is_some() {
        let row = |r: &mountshift_scenario::Recorded| Request {
            at: (r.seconds * 1e6) as Time,
            lane: s.classes.iter().position(|l| l.name == r.lane).unwrap_or(0) as u16,
            tenant: 0,
            dst: world.destination(world.group(&r.destinations), r.number),
            key: r.key,
        };
        return s.recorded.iter().map(row).collect();
    }
    let mut rng = world.chance.stream(What::Traffic, 0);
    let lanes = Choice::new(s.classes.iter().map(|l| l.traffic.0).collect());
    let tenants = Choice::new(s.tenants.iter().map(|t| t.traffic.0).collect());
    let groups = Choice::new(s.groups.iter().map(|g| g.traffic.0).collect());
    let uneven = |count: u32| (1..=count).map(|i| f64::from(i).powf(-s.traffic.zipf.0)).collect();
    let within: Vec<Choice> = s.groups.iter().map(|g| Choice::new(uneven(g.count.get()))).collect();
    let length = s.length.as_ref().seconds();
    let clump = match s.traffic.arrivals {
        Arrivals::Clumps => s.traffic.clump.map_or(8.0, |c| c.0.max(1.0)),
        _ => 1.0,
    };
    let rush = |at: f64| {
        let on = |r: &&mountshift_scenario::Rush| (r.from.seconds()..r.to.seconds()).contains(&at);
        s.traffic.rush.iter().map(|r| r.as_ref()).filter(on).map(|r| r.times.0).product::<f64>()
    };
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        // The gap to the next arrival or clump, at the rate of now.
        let rate = s.traffic.rate.0 * rush(at) / clump;
        at += match s.traffic.arrivals {
            Arrivals::Even => 1.0 / rate,
            _ => Exp::new(rate).map_or(1.0 / rate, |d| d.sample(&mut rng)),
        };
        if at >= length {
            break;
        }
        let group = groups.draw(&mut rng);
        let dst = world.destination(group, within[group].draw(&mut rng) as u32);
        let size = if clump > 1.0 {
            Poisson::new(clump - 1.0).map_or(1, |d| 1 + d.sample(&mut rng) as usize)
        } else {
            1
        };
        for _ in 0..size {
            let later = if size > 1 { rng.random_range(0.0..CLUMP_SPAN) } else { 0.0 };
            let lane = lanes.draw(&mut rng) as u16;
            let tenant = tenants.draw(&mut rng) as u32;
            let number = rng.random_range(0..u64::from(s.traffic.keys.get()));
            let key = if s.classes[usize::from(lane)].in_order { key(dst, number) } else { 0 };
            let at = (at + later).min(length);
            requests.push(Request { at: (at * 1e6) as Time, lane, tenant, dst, key });
        }
    }
    requests.sort_by_key(|r| r.at);
    requests
}
