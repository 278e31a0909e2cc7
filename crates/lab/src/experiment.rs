//! Experiments over many simulated days: summaries with confidence intervals, paired comparisons that state when a
//! difference is not significant, and changes of one value of a scenario. Serialized names are part of the output
//! format; some fields have other names in the code.

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

/// Number of resamples of a bootstrap.
const RESAMPLES: usize = 4_000;
/// Share of resamples inside the interval.
const CONFIDENCE: f64 = 0.95;
/// Minimum number of pairs from which a difference is claimed.
const MIN_PAIRS: usize = 5;
/// Minimum difference between the services of the reference policies for a meaningful relative service.
const MIN_SERVICE_RANGE: f64 = 0.02;

/// Simulates a scenario with every policy on every seed, on all cores, and calls `on_day_finished` after each day.
/// If `keep_timeline` is set, the timeline is kept for the first seed.
pub fn run(
    scenario: &Scenario,
    policies: &[PolicyKind],
    seeds: &[u64],
    keep_timeline: bool,
    on_day_finished: &(dyn Fn(&DayOutcome) + Sync),
) -> Vec<DayOutcome> {
    let days = policies.iter().flat_map(|policy| seeds.iter().map(|seed| (*policy, *seed)));
    let days: Vec<(PolicyKind, u64)> = days.collect();
    let simulate = |(policy, seed): (PolicyKind, u64)| {
        let keeps_timeline = keep_timeline && Some(&seed) == seeds.first();
        let outcome = Day::new(scenario, DayOptions { policy, seed, keep_timeline: keeps_timeline }).run();
        on_day_finished(&outcome);
        outcome
    };
    days.into_par_iter().map(simulate).collect()
}

/// Mean with its 95% confidence interval, by bootstrap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Mean of the values.
    pub mean: f64,
    /// Lower end of the interval.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
    /// Number of values.
    pub n: usize,
}

impl Estimate {
    /// Estimates the mean of `values`. The random source is seeded with their number, so that equal values give equal
    /// results. The interval is widened because a bootstrap over few values underestimates the spread.
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

/// Results of one policy over all seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the policy.
    pub policy: String,
    /// Worth delivered over worth submitted.
    pub service: Estimate,
    /// Service in the worst ten seconds of each day.
    pub worst_window: Estimate,
    /// Service relative to the single-attempt policy (0) and the omniscient policy (1); `None` if their services are
    /// too close or one of them was not simulated.
    #[serde(rename = "place")]
    pub relative_service: Option<f64>,
    /// Mean number of attempts per message.
    #[serde(rename = "legs_per_message")]
    pub attempts_per_message: f64,
    /// Mean number of calls per day that reached an endpoint while its route was in outage.
    pub calls_into_outages: f64,
    /// Mean number of routes per day that were overloaded during slow start.
    #[serde(rename = "fell_over")]
    pub overloaded_routes: f64,
    /// Mean number of requests per day that took effect under more than one message id.
    #[serde(rename = "twins")]
    pub duplicates: f64,
    /// Number of days on which each rule was broken, rule 1 first.
    #[serde(rename = "days_broken")]
    pub days_with_breaches: [usize; 6],
    /// Service of each message class.
    #[serde(rename = "lanes")]
    pub classes: BTreeMap<String, Estimate>,
}

/// Service of each of the two reference policies.
#[derive(Clone, Copy)]
struct ServiceRange {
    single_attempt: f64,
    omniscient: f64,
}

impl ServiceRange {
    fn relative_service(self, service: f64) -> Option<f64> {
        if self.omniscient - self.single_attempt > MIN_SERVICE_RANGE {
            Some((service - self.single_attempt) / (self.omniscient - self.single_attempt))
        } else {
            None
        }
    }
}

/// Summarises the days of each policy, in the order of [`PolicyKind::ALL`].
pub fn summarise(days: &[DayOutcome]) -> Vec<Summary> {
    let mut by_policy: BTreeMap<&str, Vec<&DayOutcome>> = BTreeMap::new();
    for day in days {
        by_policy.entry(&day.policy).or_default().push(day);
    }
    let range = service_range(&by_policy);
    let mut policies: Vec<&str> = by_policy.keys().copied().collect();
    policies.sort_by_key(|name| PolicyKind::ALL.iter().position(|policy| policy.name() == *name));
    policies.into_iter().map(|name| summary(name, &by_policy[name], range)).collect()
}

/// Returns the services of the reference policies if both were simulated.
fn service_range(by_policy: &BTreeMap<&str, Vec<&DayOutcome>>) -> Option<ServiceRange> {
    let service =
        |policy: PolicyKind| Some(mean_of(&values(by_policy.get(policy.name())?, |day| day.service)));
    Some(ServiceRange {
        single_attempt: service(PolicyKind::SingleAttempt)?,
        omniscient: service(PolicyKind::Omniscient)?,
    })
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
        relative_service: range.and_then(|range| range.relative_service(service.mean)),
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

/// Comparison of two sets of days, paired by scenario and seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Comparison {
    /// Service of side A.
    pub a: Estimate,
    /// Service of side B.
    pub b: Estimate,
    /// Mean of B minus A over the pairs.
    pub difference: Estimate,
    /// Mean difference in the worst window over the pairs.
    pub worst_window: Estimate,
    /// Conclusion in words.
    #[serde(rename = "says")]
    pub conclusion: String,
    /// Mean difference of each message class.
    #[serde(rename = "lanes")]
    pub classes: BTreeMap<String, Estimate>,
    /// Number of days with a broken rule, of A and of B.
    #[serde(rename = "days_broken")]
    pub days_with_breaches: (usize, usize),
}

/// Days of the two sides with the same scenario and seed.
struct Pair<'d> {
    a: &'d DayOutcome,
    b: &'d DayOutcome,
}

/// Compares days that were simulated with the same scenarios and seeds.
///
/// # Errors
/// If the two sides have no scenario and seed in common.
pub fn compare(a: &[DayOutcome], b: &[DayOutcome]) -> Result<Comparison, LabError> {
    let pairs = pair_up(a, b);
    let Some(first) = pairs.first() else { return Err(LabError::NoCommonDays) };
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
        days_with_breaches: (count_days_with_breaches(&days_a), count_days_with_breaches(&days_b)),
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

fn count_days_with_breaches(days: &[&DayOutcome]) -> usize {
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

/// Parses a scenario and changes one value. `path` names the value, as in `traffic.rate` or `trouble.0.level`; `value`
/// is written as in the file; errors name the scenario as `file`.
///
/// # Errors
/// If the path does not exist or the changed scenario is invalid. The message is one line.
pub fn with_value(text: &str, file: &str, path: &str, value: &str) -> Result<Scenario, LabError> {
    let syntax = |source| LabError::Syntax { file: file.to_string(), source };
    let mut whole: toml::Value = toml::from_str(text).map_err(syntax)?;
    let no_such_value = |step: &str| LabError::NoSuchValue {
        file: file.to_string(),
        path: path.to_string(),
        step: step.to_string(),
    };
    let target = value_at(&mut whole, path).map_err(no_such_value)?;
    *target = parse_value(value);
    let changed = toml::to_string(&whole)?;
    Scenario::from_text(&changed, &format!("{file} with {path} = {value}")).map_err(LabError::Scenario)
}

/// Parses a value as written in a file; text that is not valid TOML becomes a string.
fn parse_value(value: &str) -> toml::Value {
    let parsed = toml::from_str::<BTreeMap<String, toml::Value>>(&format!("v = {value}"));
    let value_alone = parsed.ok().and_then(|mut table| table.remove("v"));
    value_alone.unwrap_or_else(|| toml::Value::String(value.to_string()))
}

/// Finds the value at a path. If only the last step is missing from a table, the value is created.
///
/// # Errors
/// Returns the first step of the path that does not exist.
fn value_at<'v, 'p>(whole: &'v mut toml::Value, path: &'p str) -> Result<&'v mut toml::Value, &'p str> {
    let mut current = whole;
    let mut steps = path.split('.').peekable();
    while let Some(step) = steps.next() {
        let is_last = steps.peek().is_none();
        let next = match current {
            toml::Value::Table(table) => {
                if is_last {
                    table.entry(step).or_insert(toml::Value::Boolean(false));
                }
                table.get_mut(step)
            }
            toml::Value::Array(items) => step.parse::<usize>().ok().and_then(|index| items.get_mut(index)),
            _ => None,
        };
        current = next.ok_or(step)?;
    }
    Ok(current)
}
