//! Days played many times over: summaries with intervals, paired comparisons that say when two things can't be
//! told apart, and sweeps of one value.

use crate::chance::{Chance, What};
use crate::day::{Day, Play};
use crate::outcome::DayOutcome;
use crate::policy::Which;
use mountshift_scenario::Scenario;
use rand::RngExt;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Resamples of a bootstrap, and the share of them inside the interval.
const RESAMPLES: usize = 4_000;
const INSIDE: f64 = 0.95;
/// With fewer pairs than this no difference is claimed.
const PAIRS_LEAST: usize = 5;

/// Plays a scenario with every policy on every seed, on all cores; `done` hears of each day that is over. The
/// course of the day is kept for the first seed where `course` is set.
pub fn run(
    scenario: &Scenario,
    policies: &[Which],
    seeds: &[u64],
    course: bool,
    done: &(dyn Fn(&DayOutcome) + Sync),
) -> Vec<DayOutcome> {
    let days = policies.iter().flat_map(|which| seeds.iter().map(|seed| (*which, *seed)));
    let days: Vec<(Which, u64)> = days.collect();
    let play = |(which, seed): (Which, u64)| {
        let keep = course && Some(&seed) == seeds.first();
        let outcome = Day::new(scenario, Play { which, seed, course: keep }).play();
        done(&outcome);
        outcome
    };
    days.into_par_iter().map(play).collect()
}

/// A mean and where it lies with 95% by bootstrap over seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    pub n: usize,
}

impl Estimate {
    /// Resamples with a chance of its own, the same each time. The spread is widened by the bootstrap's known
    /// shortfall for few values.
    pub fn of(values: &[f64]) -> Estimate {
        let n = values.len();
        if n == 0 {
            return Estimate::default();
        }
        let mean = values.iter().sum::<f64>() / n as f64;
        let mut rng = Chance(n as u64).stream(What::Bootstrap, 0);
        let mut resample = || (0..n).map(|_| values[rng.random_range(0..n)]).sum::<f64>() / n as f64;
        let mut means: Vec<f64> = (0..RESAMPLES).map(|_| resample()).collect();
        means.sort_by(f64::total_cmp);
        let wider = (n as f64 / (n as f64 - 1.0).max(1.0)).sqrt();
        let at = |q: f64| mean + (means[((RESAMPLES - 1) as f64 * q) as usize] - mean) * wider;
        Estimate { mean, low: at((1.0 - INSIDE) / 2.0), high: at((1.0 + INSIDE) / 2.0), n }
    }
}

impl std::fmt::Display for Estimate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.4} [{:.4}, {:.4}]", self.mean, self.low, self.high)
    }
}

/// One policy over all seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    pub policy: String,
    pub service: Estimate,
    pub worst_window: Estimate,
    /// Where it stands between the floor (0) and the top (1); none if the two lie too close to tell.
    pub place: Option<f64>,
    pub legs_per_message: f64,
    pub calls_into_outages: f64,
    pub fell_over: f64,
    pub twins: f64,
    /// Days on which each rule was broken.
    pub days_broken: [usize; 6],
    pub lanes: BTreeMap<String, Estimate>,
}

/// Floor and top are one try and the policy that sees all, where they were played.
pub fn summarise(days: &[DayOutcome]) -> Vec<Summary> {
    let mut by_policy: BTreeMap<&str, Vec<&DayOutcome>> = BTreeMap::new();
    days.iter().for_each(|d| by_policy.entry(&d.policy).or_default().push(d));
    let mean_of = |name: &str| {
        let days = by_policy.get(name)?;
        Some(days.iter().map(|d| d.service).sum::<f64>() / days.len() as f64)
    };
    let ends = mean_of(Which::OneTry.name()).zip(mean_of(Which::SeesAll.name()));
    let mut order: Vec<&str> = by_policy.keys().copied().collect();
    order.sort_by_key(|name| Which::ALL.iter().position(|w| w.name() == *name));
    let summary = |name: &str| {
        let days = &by_policy[name];
        let n = days.len() as f64;
        let estimate =
            |of: &dyn Fn(&DayOutcome) -> f64| Estimate::of(&days.iter().map(|d| of(d)).collect::<Vec<f64>>());
        let mean = |of: &dyn Fn(&DayOutcome) -> f64| days.iter().map(|d| of(d)).sum::<f64>() / n;
        let service = estimate(&|d| d.service);
        let lanes = days[0].lanes.iter().enumerate();
        Summary {
            policy: name.to_string(),
            place: ends.filter(|(floor, top)| top - floor > 0.02).map(|(f, t)| (service.mean - f) / (t - f)),
            service,
            worst_window: estimate(&|d| d.worst_window),
            legs_per_message: mean(&|d| d.legs as f64 / (d.messages as f64).max(1.0)),
            calls_into_outages: mean(&|d| d.calls_into_outages as f64),
            fell_over: mean(&|d| d.fell_over as f64),
            twins: mean(&|d| d.twins as f64),
            days_broken: std::array::from_fn(|rule| days.iter().filter(|d| d.rules[rule] > 0).count()),
            lanes: lanes.map(|(i, l)| (l.name.clone(), estimate(&|d| d.lanes[i].service))).collect(),
        }
    };
    order.into_iter().map(summary).collect()
}

/// Two sets of days side by side, paired by scenario and seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Comparison {
    pub a: Estimate,
    pub b: Estimate,
    /// B less A, pair by pair.
    pub difference: Estimate,
    pub worst_window: Estimate,
    pub says: String,
    /// By lane: the difference.
    pub lanes: BTreeMap<String, Estimate>,
    pub days_broken: (usize, usize),
}

/// Compares days that were played on the same scenarios and seeds.
///
/// # Errors
/// If no two days can be paired.
pub fn compare(a: &[DayOutcome], b: &[DayOutcome]) -> Result<Comparison, String> {
    let of = |d: &DayOutcome| (d.scenario.clone(), d.seed);
    let theirs: BTreeMap<(String, u64), &DayOutcome> = b.iter().map(|d| (of(d), d)).collect();
    let pairs: Vec<(&DayOutcome, &DayOutcome)> =
        a.iter().filter_map(|d| theirs.get(&of(d)).map(|other| (d, *other))).collect();
    let Some((first, _)) = pairs.first() else {
        return Err("no scenario and seed was played on both sides".into());
    };
    let differences =
        |of: &dyn Fn(&DayOutcome) -> f64| -> Vec<f64> { pairs.iter().map(|(a, b)| of(b) - of(a)).collect() };
    let difference = Estimate::of(&differences(&|d| d.service));
    let says = if pairs.len() < PAIRS_LEAST {
        format!("can't be told apart: {} pairs are too few", pairs.len())
    } else if difference.low > 0.0 {
        format!("B serves better, by {difference}")
    } else if difference.high < 0.0 {
        format!("A serves better; B less A is {difference}")
    } else {
        format!("can't be told apart: the interval of the difference, {difference}, holds zero")
    };
    let lane =
        |name: &str, d: &DayOutcome| d.lanes.iter().find(|l| l.name == name).map_or(f64::NAN, |l| l.service);
    let lanes =
        first.lanes.iter().map(|l| (l.name.clone(), Estimate::of(&differences(&|d| lane(&l.name, d)))));
    let broken = |days: Vec<&DayOutcome>| days.into_iter().filter(|d| !d.kept()).count();
    Ok(Comparison {
        a: Estimate::of(&pairs.iter().map(|p| p.0.service).collect::<Vec<f64>>()),
        b: Estimate::of(&pairs.iter().map(|p| p.1.service).collect::<Vec<f64>>()),
        worst_window: Estimate::of(&differences(&|d| d.worst_window)),
        says,
        lanes: lanes.collect(),
        days_broken: (
            broken(pairs.iter().map(|p| p.0).collect()),
            broken(pairs.iter().map(|p| p.1).collect()),
        ),
        difference,
    })
}

/// The scenario with one value changed: `path` as in `traffic.rate` or `trouble.0.level`, `value` as it would
/// stand in the file.
///
/// # Errors
/// If there is no such place, or the changed scenario is refused; one line.
pub fn with_value(text: &str, shown: &str, path: &str, value: &str) -> Result<Scenario, String> {
    let mut whole: toml::Value = toml::from_str(text).map_err(|e| format!("{shown}: {}", e.message()))?;
    let parsed: toml::Value = toml::from_str::<BTreeMap<String, toml::Value>>(&format!("v = {value}"))
        .ok()
        .and_then(|mut v| v.remove("v"))
        .unwrap_or_else(|| toml::Value::String(value.to_string()));
    let mut place = &mut whole;
    let steps: Vec<&str> = path.split('.').collect();
    for (i, step) in steps.iter().enumerate() {
        let last = i + 1 == steps.len();
        let next = match place {
            toml::Value::Table(table) => {
                if last {
                    table.entry(*step).or_insert_with(|| parsed.clone());
                }
                table.get_mut(*step)
            }
            toml::Value::Array(items) => step.parse::<usize>().ok().and_then(|n| items.get_mut(n)),
            _ => None,
        };
        place = next.ok_or_else(|| format!("{shown}: there is no {path}: nothing at {step:?}"))?;
    }
    *place = parsed;
    let changed = toml::to_string(&whole).map_err(|e| e.to_string())?;
    Ok(Scenario::from_text(&changed, &format!("{shown} with {path} = {value}"))?)
}
