//! What a played day came to, for people, programs and comparisons. Serialized names are part of the output
//! format and differ from the fields' where those follow newer terms.

use mountshift_invariants::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One day under one policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DayOutcome {
    /// The scenario's name.
    pub scenario: String,
    /// The policy's name.
    pub policy: String,
    /// The seed of everything random.
    pub seed: u64,
    /// Worth delivered over worth submitted, 0 to 1.
    pub service: f64,
    /// The same over the worst ten seconds of arrivals.
    pub worst_window: f64,
    /// By message class.
    #[serde(rename = "lanes")]
    pub classes: Vec<PartOutcome>,
    /// By tenant.
    pub tenants: Vec<PartOutcome>,
    /// What clients wanted delivered.
    pub requests: u64,
    /// Submissions of requests.
    pub messages: u64,
    /// Attempts to deliver messages.
    #[serde(rename = "legs")]
    pub attempts: u64,
    /// Calls that reached an endpoint while its route was out.
    pub calls_into_outages: u64,
    /// How attempts ended, by name.
    #[serde(rename = "ends")]
    pub attempt_ends: BTreeMap<String, u64>,
    /// Messages that relays gave up.
    pub failed: u64,
    /// Messages that relays rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// Requests that took effect under more than one message id.
    #[serde(rename = "twins")]
    pub duplicates: u64,
    /// How often each rule was broken, rule 1 first.
    #[serde(rename = "rules")]
    pub breach_counts: [u64; 6],
    /// What was broken, in words, with the history that shows it.
    pub breaches: Vec<BreachOutcome>,
    /// Routes that were overloaded during slow start.
    #[serde(rename = "fell_over")]
    pub overloaded_routes: u64,
    /// Connections opened.
    pub connections: u64,
    /// Of all facts in their order: the same day played again gives the same.
    pub digest: String,
    /// What a report draws; left out of results that are kept for comparisons.
    #[serde(rename = "course", default, skip_serializing_if = "Option::is_none")]
    pub timeline: Option<DayTimeline>,
}

impl DayOutcome {
    /// True if no rule was broken.
    pub fn has_no_breaches(&self) -> bool {
        self.breach_counts.iter().all(|n| *n == 0)
    }
}

/// A message class or a tenant.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PartOutcome {
    /// Its name in the scenario.
    pub name: String,
    /// Worth delivered over worth submitted, 0 to 1.
    pub service: f64,
    /// What clients wanted delivered.
    pub requests: u64,
    /// Requests delivered before their deadlines.
    pub delivered: u64,
    /// The median of milliseconds from the first submission to the delivery.
    pub p50_ms: f64,
    /// The same, for nine tenths of deliveries.
    pub p90_ms: f64,
    /// The same, for 99 in 100 deliveries.
    pub p99_ms: f64,
}

/// A broken rule.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BreachOutcome {
    /// The rule's number.
    pub rule: u8,
    /// When, in seconds of the day.
    pub at_s: f64,
    /// What was done against the rule.
    #[serde(rename = "why")]
    pub reason: String,
    /// The history that shows it, a line for each fact.
    #[serde(rename = "story")]
    pub history: Vec<String>,
}

/// The course of a day, second by second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DayTimeline {
    /// By message class, by second of arrival: worth submitted, worth delivered.
    #[serde(rename = "lanes")]
    pub classes: Vec<Vec<(f64, f64)>>,
    /// The same by tenant.
    pub tenants: Vec<Vec<(f64, f64)>>,
    /// Messages that all relays hold.
    #[serde(rename = "held")]
    pub queued: Vec<f64>,
    /// Calls of all relays that are in flight.
    #[serde(rename = "out")]
    pub calls_in_flight: Vec<f64>,
    /// Attempts that went out.
    #[serde(rename = "legs")]
    pub attempts: Vec<f64>,
    /// Messages submitted.
    #[serde(rename = "messages")]
    pub submissions: Vec<f64>,
    /// By destination that was struck: calls that reached it, and what it could work off.
    pub routes: Vec<RouteTimeline>,
    /// Breakers: relay, destination, second, state.
    pub breakers: Vec<BreakerStep>,
    /// Troubles: kind, whom, from, to.
    #[serde(rename = "troubles")]
    pub faults: Vec<FaultSpan>,
}

/// The load of a route, second by second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteTimeline {
    /// The destination's name.
    pub name: String,
    /// Calls that reached it.
    #[serde(rename = "reached")]
    pub calls: Vec<f64>,
    /// Calls that it could work off.
    pub capacity: Vec<f64>,
}

/// A change of a circuit breaker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BreakerStep {
    /// The relay that has the breaker.
    pub relay: u32,
    /// The name of the destination that it guards.
    pub destination: String,
    /// When, in seconds of the day.
    pub at_s: f64,
    /// `closed`, `open` or `half-open`.
    pub state: String,
}

/// A trouble of the scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultSpan {
    /// What it is, as scenario files call it.
    pub kind: String,
    /// Whom it strikes, as scenario files name them.
    #[serde(rename = "whom")]
    pub targets: String,
    /// When it begins, in seconds of the day.
    pub from_s: f64,
    /// When it ends, in seconds of the day.
    pub to_s: f64,
}

pub(crate) fn breaches(verdict: &Verdict) -> Vec<BreachOutcome> {
    let line =
        |(at, fact): &(u64, mountshift_invariants::Fact)| format!("{:10.4} s  {fact}", *at as f64 / 1e6);
    let breach = |b: &mountshift_invariants::Breach| BreachOutcome {
        rule: b.rule,
        at_s: b.at as f64 / 1e6,
        reason: b.reason.clone(),
        history: b.history.iter().map(line).collect(),
    };
    verdict.breaches.iter().map(breach).collect()
}
