//! Days played many times over: summaries with intervals, paired comparisons that say when two things can't be
//! told apart, and sweeps of one value. Serialized names are part of the output format and differ from the fields'
//! where those follow newer terms.

use crate::day::{Day, DayOptions};
use crate::error::LabError;
use crate::outcome::DayOutcome;
use crate::policy_kind::PolicyKind;
use crate::random::{Purpose, SeededRandom};
use mountshift_scenario::Scenario;
use rand::RngExt;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Resamples of a bootstrap.
const RESAMPLES: usize = 4_000;
/// The share of resamples inside the interval.
const CONFIDENCE: f64 = 0.95;
/// With fewer pairs than this no difference is claimed.
const MIN_PAIRS: usize = 5;
/// The least distance between floor and top at which a policy's place between them means something.
const MIN_SERVICE_RANGE: f64 = 0.02;

/// Plays a scenario with every policy on every seed, on all cores; `done` hears of each day that is over. The
/// course of the day is kept for the first seed where `keep_timeline` is set.
pub fn run(
    scenario: &Scenario,
    policies: &[PolicyKind],
    seeds: &[u64],
    keep_timeline: bool,
    done: &(dyn Fn(&DayOutcome) + Sync),
) -> Vec<DayOutcome> {
    let days = policies.iter().flat_map(|which| seeds.iter().map(|seed| (*which, *seed)));
    let days: Vec<(PolicyKind, u64)> = days.collect();
    let play = |(which, seed): (PolicyKind, u64)| {
        let is_kept = keep_timeline && Some(&seed) == seeds.first();
        let outcome = Day::new(scenario, DayOptions { policy: which, seed, keep_timeline: is_kept }).run();
        done(&outcome);
        outcome
    };
    days.into_par_iter().map(play).collect()
}

/// A mean and where it lies with 95% by bootstrap over seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// The mean of the values.
    pub mean: f64,
    /// The lower end of the interval.
    pub low: f64,
    /// The upper end of the interval.
    pub high: f64,
    /// The number of values.
    pub n: usize,
}

impl Estimate {
    /// Resamples with a random source of its own, the same each time. The interval is widened by the bootstrap's
    /// known shortfall for few values.
    pub fn of(values: &[f64]) -> Estimate {
        let n = values.len();
        if n == 0 {
            return Estimate::default();
        }
        let mean = mean_of(values);
        let mut rng = SeededRandom(n as u64).stream(Purpose::Bootstrap, 0);
        let mut resample = || (0..n).map(|_| values[rng.random_range(0..n)]).sum::<f64>() / n as f64;
        let mut means: Vec<f64> = (0..RESAMPLES).map(|_| resample()).collect();
        means.sort_by(f64::total_cmp);
        let widening = (n as f64 / (n as f64 - 1.0).max(1.0)).sqrt();
        let quantile = |share: f64| {
            let resampled = means[((RESAMPLES - 1) as f64 * share) as usize];
            mean + (resampled - mean) * widening
        };
        let tail = (1.0 - CONFIDENCE) / 2.0;
        Estimate { mean, low: quantile(tail), high: quantile((1.0 + CONFIDENCE) / 2.0), n }
    }
}

impl std::fmt::Display for Estimate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.4} [{:.4}, {:.4}]", self.mean, self.low, self.high)
    }
}

fn mean_of(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// One policy over all seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The policy's name.
    pub policy: String,
    /// Worth delivered over worth submitted.
    pub service: Estimate,
    /// The same over the worst ten seconds of each day.
    pub worst_window: Estimate,
    /// Where its service lies between the floor (0) and the top (1); none if the two lie too close to tell.
    #[serde(rename = "place")]
    pub relative_service: Option<f64>,
    /// The mean of attempts for each message.
    #[serde(rename = "legs_per_message")]
    pub attempts_per_message: f64,
    /// The mean of calls that reached an endpoint while its route was out.
    pub calls_into_outages: f64,
    /// The mean of routes that were overloaded during slow start.
    #[serde(rename = "fell_over")]
    pub overloaded_routes: f64,
    /// The mean of requests that took effect under more than one message id.
    #[serde(rename = "twins")]
    pub duplicates: f64,
    /// Days on which each rule was broken.
    #[serde(rename = "days_broken")]
    pub days_with_breaches: [usize; 6],
    /// The service of each message class.
    #[serde(rename = "lanes")]
    pub classes: BTreeMap<String, Estimate>,
}

/// The services of the policy that tries once and of the one that sees the true state of all.
#[derive(Clone, Copy)]
struct ServiceRange {
    floor: f64,
    top: f64,
}

impl ServiceRange {
    fn place(self, service: f64) -> Option<f64> {
        if self.top - self.floor > MIN_SERVICE_RANGE {
            Some((service - self.floor) / (self.top - self.floor))
        } else {
            None
        }
    }
}

/// Sums each policy's days up, in the order of [`PolicyKind::ALL`].
pub fn summarise(days: &[DayOutcome]) -> Vec<Summary> {
    let mut by_policy: BTreeMap<&str, Vec<&DayOutcome>> = BTreeMap::new();
    for day in days {
        by_policy.entry(&day.policy).or_default().push(day);
    }
    let range = service_range(&by_policy);
    let mut policies: Vec<&str> = by_policy.keys().copied().collect();
    policies.sort_by_key(|name| PolicyKind::ALL.iter().position(|which| which.name() == *name));
    policies.into_iter().map(|name| summary(name, &by_policy[name], range)).collect()
}

/// Floor and top, where both were played.
fn service_range(by_policy: &BTreeMap<&str, Vec<&DayOutcome>>) -> Option<ServiceRange> {
    let service = |which: PolicyKind| Some(mean_of(&values(by_policy.get(which.name())?, |day| day.service)));
    Some(ServiceRange { floor: service(PolicyKind::SingleAttempt)?, top: service(PolicyKind::Omniscient)? })
}

fn values(days: &[&DayOutcome], value: impl Fn(&DayOutcome) -> f64) -> Vec<f64> {
    days.iter().map(|day| value(day)).collect()
}

fn summary(name: &str, days: &[&DayOutcome], range: Option<ServiceRange>) -> Summary {
    let estimate = |value: &dyn Fn(&DayOutcome) -> f64| Estimate::of(&values(days, value));
    let mean = |value: &dyn Fn(&DayOutcome) -> f64| mean_of(&values(days, value));
    let service = estimate(&|day| day.service);
    let classes = days[0].classes.iter().enumerate();
    Summary {
        policy: name.to_string(),
        relative_service: range.and_then(|range| range.place(service.mean)),
        service,
        worst_window: estimate(&|day| day.worst_window),
        attempts_per_message: mean(&|day| day.attempts as f64 / (day.messages as f64).max(1.0)),
        calls_into_outages: mean(&|day| day.calls_into_outages as f64),
        overloaded_routes: mean(&|day| day.overloaded_routes as f64),
        duplicates: mean(&|day| day.duplicates as f64),
        days_with_breaches: std::array::from_fn(|rule| {
            days.iter().filter(|day| day.breach_counts[rule] > 0).count()
        }),
        classes: classes
            .map(|(index, class)| (class.name.clone(), estimate(&|day| day.classes[index].service)))
            .collect(),
    }
}

/// Two sets of days side by side, paired by scenario and seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Comparison {
    /// The service of side A.
    pub a: Estimate,
    /// The service of side B.
    pub b: Estimate,
    /// B less A, pair by pair.
    pub difference: Estimate,
    /// The same for the worst window.
    pub worst_window: Estimate,
    /// What may be concluded, in words.
    #[serde(rename = "says")]
    pub conclusion: String,
    /// By message class: the difference.
    #[serde(rename = "lanes")]
    pub classes: BTreeMap<String, Estimate>,
    /// Days with a broken rule, of A and of B.
    #[serde(rename = "days_broken")]
    pub days_with_breaches: (usize, usize),
}

/// Two days of the same scenario and seed.
struct Pair<'d> {
    a: &'d DayOutcome,
    b: &'d DayOutcome,
}

/// Compares days that were played on the same scenarios and seeds.
///
/// # Errors
/// If no two days can be paired.
pub fn compare(a: &[DayOutcome], b: &[DayOutcome]) -> Result<Comparison, LabError> {
    let pairs = pair_up(a, b);
    let Some(first) = pairs.first() else { return Err(LabError::NothingToPair) };
    let differences = |value: &dyn Fn(&DayOutcome) -> f64| {
        let differences: Vec<f64> = pairs.iter().map(|pair| value(pair.b) - value(pair.a)).collect();
        Estimate::of(&differences)
    };
    let difference = differences(&|day| day.service);
    let classes = first.a.classes.iter().map(|class| {
        let estimate = differences(&|day| class_service(day, &class.name));
        (class.name.clone(), estimate)
    });
    let days_a: Vec<&DayOutcome> = pairs.iter().map(|pair| pair.a).collect();
    let days_b: Vec<&DayOutcome> = pairs.iter().map(|pair| pair.b).collect();
    Ok(Comparison {
        a: Estimate::of(&values(&days_a, |day| day.service)),
        b: Estimate::of(&values(&days_b, |day| day.service)),
        worst_window: differences(&|day| day.worst_window),
        conclusion: conclusion(&difference),
        classes: classes.collect(),
        days_with_breaches: (count_broken(&days_a), count_broken(&days_b)),
        difference,
    })
}

fn pair_up<'d>(a: &'d [DayOutcome], b: &'d [DayOutcome]) -> Vec<Pair<'d>> {
    let key = |day: &DayOutcome| (day.scenario.clone(), day.seed);
    let others: BTreeMap<(String, u64), &DayOutcome> = b.iter().map(|day| (key(day), day)).collect();
    a.iter().filter_map(|day| others.get(&key(day)).map(|other| Pair { a: day, b: other })).collect()
}

fn class_service(day: &DayOutcome, name: &str) -> f64 {
    let class = day.classes.iter().find(|class| class.name == name);
    class.map_or(f64::NAN, |class| class.service)
}

fn count_broken(days: &[&DayOutcome]) -> usize {
    days.iter().filter(|day| !day.has_no_breaches()).count()
}

fn conclusion(difference: &Estimate) -> String {
    if difference.n < MIN_PAIRS {
        format!("can't be told apart: {} pairs are too few", difference.n)
    } else if difference.low > 0.0 {
        format!("B serves better, by {difference}")
    } else if difference.high < 0.0 {
        format!("A serves better; B less A is {difference}")
    } else {
        format!("can't be told apart: the interval of the difference, {difference}, holds zero")
    }
}

/// The scenario with one value changed: `path` as in `traffic.rate` or `trouble.0.level`, `value` as it would
/// stand in the file.
///
/// # Errors
/// If there is no such place, or the changed scenario is refused; one line.
pub fn with_value(text: &str, shown: &str, path: &str, value: &str) -> Result<Scenario, LabError> {
    let syntax = |source| LabError::Syntax { shown: shown.to_string(), source };
    let mut whole: toml::Value = toml::from_str(text).map_err(syntax)?;
    let no_such_value = |step: &str| LabError::NoSuchValue {
        shown: shown.to_string(),
        path: path.to_string(),
        step: step.to_string(),
    };
    let place = value_at(&mut whole, path).map_err(no_such_value)?;
    *place = parse_value(value);
    let changed = toml::to_string(&whole)?;
    Scenario::from_text(&changed, &format!("{shown} with {path} = {value}")).map_err(LabError::Scenario)
}

/// A value as it would stand in a file; what is no TOML is a string.
fn parse_value(value: &str) -> toml::Value {
    let parsed = toml::from_str::<BTreeMap<String, toml::Value>>(&format!("v = {value}"));
    let value_alone = parsed.ok().and_then(|mut table| table.remove("v"));
    value_alone.unwrap_or_else(|| toml::Value::String(value.to_string()))
}

/// The value at a path, created where only its last step is missing from a table.
///
/// # Errors
/// The step of the path that leads nowhere.
fn value_at<'v, 'p>(whole: &'v mut toml::Value, path: &'p str) -> Result<&'v mut toml::Value, &'p str> {
    let mut place = whole;
    let mut steps = path.split('.').peekable();
    while let Some(step) = steps.next() {
        let is_last = steps.peek().is_none();
        let next = match place {
            toml::Value::Table(table) => {
                if is_last {
                    table.entry(step).or_insert(toml::Value::Boolean(false));
                }
                table.get_mut(step)
            }
            toml::Value::Array(items) => step.parse::<usize>().ok().and_then(|index| items.get_mut(index)),
            _ => None,
        };
        place = next.ok_or(step)?;
    }
    Ok(place)
}
