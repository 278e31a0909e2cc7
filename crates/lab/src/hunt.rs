//! Searches scripts of troubles for days that break a rule, or lose most against the policy that sees all, and
//! cuts the found day down to the fewest and shortest troubles that still do it.

use crate::chance::{Chance, What};
use crate::day::{Day, Play};
use crate::policy::Which;
use mountshift_scenario::{Amount, Scenario, Share, Span, Strikes, Trouble, TroubleKind};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;
use std::time::Duration;
use toml::Spanned;

/// Troubles of a drawn script at most.
const TROUBLES_MOST: usize = 4;
/// A shrunk day must keep this part of the loss.
const KEEPS: f64 = 0.8;
/// A trouble is not cut shorter than this.
const SHORTEST: Duration = Duration::from_millis(500);

/// What is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prey {
    /// Days that lose most against the top.
    Loss,
    /// Days that break a rule, whichever.
    Rules,
}

/// How bad a day is: rules broken count for more than any loss.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Badness {
    pub broken: u64,
    pub service: f64,
    pub top: f64,
}

impl Badness {
    pub fn loss(&self) -> f64 {
        self.top - self.service
    }

    fn rank(&self, prey: Prey) -> f64 {
        match prey {
            Prey::Loss => self.loss(),
            Prey::Rules => self.broken as f64 * 1e3 + self.loss() * 1e-3,
        }
    }
}

/// A day that was found.
#[derive(Clone, Debug)]
pub struct Found {
    pub scenario: Scenario,
    pub seed: u64,
    pub badness: Badness,
    pub tried: usize,
    /// Troubles before and after it was cut down.
    pub troubles: (usize, usize),
}

fn play(scenario: &Scenario, seed: u64, prey: Prey) -> Badness {
    let day = |which| Day::new(scenario, Play { which, seed, course: false }).play();
    let ours = day(Which::Mountshift);
    let top = if prey == Prey::Loss { day(Which::SeesAll).service } else { 1.0 };
    Badness { broken: ours.rules.iter().sum(), service: ours.service, top }
}

fn span(seconds: f64) -> Span {
    Span(Duration::from_millis((seconds * 1e3) as u64))
}

fn draw(base: &Scenario, rng: &mut ChaCha8Rng) -> Trouble {
    let length = base.length.as_ref().seconds();
    let kind = TroubleKind::ALL[rng.random_range(0..TroubleKind::ALL.len())];
    let from = rng.random_range(0.05..0.8) * length;
    let lasts = rng.random_range(0.05..0.5) * length;
    let knobs = kind.knobs();
    let group = |rng: &mut ChaCha8Rng| {
        let group = &base.groups[rng.random_range(0..base.groups.len())];
        match rng.random_range(0..3) {
            0 => format!("{}/{}", group.name.as_ref(), rng.random_range(0..group.count.get())),
            _ => group.name.as_ref().clone(),
        }
    };
    let relays = kind.strikes().0 == Strikes::Relays;
    let who = match rng.random_range(0..3) {
        0 if relays => format!("relay/{}", rng.random_range(0..base.relays.count.get())),
        _ if relays => "relays".to_string(),
        0 => "*".to_string(),
        _ => group(rng),
    };
    let every = rng.random_range(1.5..4.0);
    let level = if knobs.part {
        rng.random_range(0.1..1.0)
    } else if matches!(kind, TroubleKind::Slow | TroubleKind::HeavyTail | TroubleKind::ClockStep) {
        rng.random_range(2.0..15.0)
    } else {
        rng.random_range(0.2..0.9)
    };
    Trouble {
        kind,
        from: span(from),
        to: span(from + lasts),
        who: vec![who],
        share: rng.random_bool(0.4).then(|| Share(rng.random_range(0.2..0.9))),
        each: rng.random_bool(0.3),
        level: (knobs.part || knobs.level).then_some(Amount((level * 100.0_f64).round() / 100.0)),
        every: knobs.every.then_some(span(every)),
        lasts: knobs.every.then(|| span(every * rng.random_range(0.1..0.6))),
        lane: knobs.lane.then(|| base.classes[rng.random_range(0..base.classes.len())].name.clone()),
        off: if knobs.off { vec![group(rng)] } else { Vec::new() },
    }
}

fn with(base: &Scenario, troubles: &[Trouble]) -> Scenario {
    let troubles = troubles.iter().map(|t| Spanned::new(0..0, t.clone())).collect();
    Scenario { troubles, ..base.clone() }
}

/// Tries `budget` scripts on the world of `base`, in parallel, and cuts the worst down. None if nothing bad
/// was met.
pub fn hunt(
    base: &Scenario,
    prey: Prey,
    budget: usize,
    seed: u64,
    done: &(dyn Fn() + Sync),
) -> Option<Found> {
    let tried: Vec<(Badness, Vec<Trouble>, u64)> = (0..budget as u64)
        .into_par_iter()
        .map(|i| {
            let mut rng = Chance(seed).stream(What::Hunt, i);
            let n = rng.random_range(1..=TROUBLES_MOST);
            let troubles: Vec<Trouble> = (0..n).map(|_| draw(base, &mut rng)).collect();
            let day = u64::from(rng.random::<u32>());
            let badness = play(&with(base, &troubles), day, prey);
            done();
            (badness, troubles, day)
        })
        .collect();
    let worst = tried.into_iter().max_by(|a, b| a.0.rank(prey).total_cmp(&b.0.rank(prey)))?;
    let (badness, troubles, day) = worst;
    if prey == Prey::Rules && badness.broken == 0 {
        return None;
    }
    let before = troubles.len();
    let (troubles, badness) = shrink(base, troubles, badness, day, prey);
    let scenario = with(base, &troubles);
    Some(Found { scenario, seed: day, badness, tried: budget, troubles: (before, troubles.len()) })
}

/// Leaves out troubles, then shortens them, as long as the day stays bad.
fn shrink(
    base: &Scenario,
    mut troubles: Vec<Trouble>,
    mut badness: Badness,
    seed: u64,
    prey: Prey,
) -> (Vec<Trouble>, Badness) {
    let least = badness;
    let still = |b: &Badness| match prey {
        Prey::Loss => b.loss() >= KEEPS * least.loss(),
        Prey::Rules => b.broken > 0,
    };
    let mut i = 0;
    while i < troubles.len() && troubles.len() > 1 {
        let mut fewer = troubles.clone();
        fewer.remove(i);
        let b = play(&with(base, &fewer), seed, prey);
        if still(&b) { (troubles, badness) = (fewer, b) } else { i += 1 }
    }
    for i in 0..troubles.len() {
        // Halved from its end, then from its beginning.
        for end in [true, false] {
            loop {
                let t = &troubles[i];
                let half = (t.to.0 - t.from.0) / 2;
                if half < SHORTEST {
                    break;
                }
                let mut shorter = troubles.clone();
                if end {
                    shorter[i].to = Span(t.from.0 + half)
                } else {
                    shorter[i].from = Span(t.from.0 + half)
                }
                let b = play(&with(base, &shorter), seed, prey);
                if !still(&b) {
                    break;
                }
                (troubles, badness) = (shorter, b);
            }
        }
    }
    (troubles, badness)
}
