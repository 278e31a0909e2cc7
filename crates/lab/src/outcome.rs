//! Results of a simulated day, for reports, other programs and comparisons. Serialized names are part of the output
//! format; some fields have other names in the code.

use mountshift_invariants::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Results of one day with one policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DayOutcome {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of all random values.
    pub seed: u64,
    /// Worth delivered over worth submitted, 0 to 1. The worth of a request is the priority weight of its message
    /// class; late delivery reduces it.
    pub service: f64,
    /// Service of the requests that arrived in the worst ten seconds.
    pub worst_window: f64,
    /// Results of each message class.
    #[serde(rename = "lanes")]
    pub classes: Vec<PartOutcome>,
    /// Results of each tenant.
    pub tenants: Vec<PartOutcome>,
    /// Number of requests of clients; a request can be submitted several times.
    pub requests: u64,
    /// Number of submissions of requests.
    pub messages: u64,
    /// Number of attempts to deliver messages.
    #[serde(rename = "legs")]
    pub attempts: u64,
    /// Number of calls that reached an endpoint while its route was in outage.
    pub calls_into_outages: u64,
    /// Number of attempts by outcome.
    #[serde(rename = "ends")]
    pub attempt_ends: BTreeMap<String, u64>,
    /// Number of messages that relays reported as failed.
    pub failed: u64,
    /// Number of messages that relays rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// Number of requests that took effect under more than one message id.
    #[serde(rename = "twins")]
    pub duplicates: u64,
    /// Number of breaches of each rule, rule 1 first.
    #[serde(rename = "rules")]
    pub breach_counts: [u64; 6],
    /// Breaches with their reasons and the facts that show them.
    pub breaches: Vec<BreachOutcome>,
    /// Number of routes that were overloaded during slow start.
    #[serde(rename = "fell_over")]
    pub overloaded_routes: u64,
    /// Number of connections opened.
    pub connections: u64,
    /// Hash of all facts in their order; another run of the same day gives the same value.
    pub digest: String,
    /// Timeline for a report; omitted from results that are saved for comparisons.
    #[serde(rename = "course", default, skip_serializing_if = "Option::is_none")]
    pub timeline: Option<DayTimeline>,
}

impl DayOutcome {
    /// Returns whether no rule was broken.
    pub fn has_no_breaches(&self) -> bool {
        self.breach_counts.iter().all(|n| *n == 0)
    }
}

/// Results of a message class or a tenant.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PartOutcome {
    /// Name in the scenario.
    pub name: String,
    /// Worth delivered over worth submitted, 0 to 1.
    pub service: f64,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests delivered before their deadlines.
    pub delivered: u64,
    /// Median time from the first submission to the delivery, in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile of that time, in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
}

/// Breach of a rule.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BreachOutcome {
    /// Number of the rule.
    pub rule: u8,
    /// Time in seconds of the day.
    pub at_s: f64,
    /// Description of the breach.
    #[serde(rename = "why")]
    pub reason: String,
    /// History that shows the breach, one line per fact.
    #[serde(rename = "story")]
    pub history: Vec<String>,
}

/// Timeline of a day with one value per second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DayTimeline {
    /// Worth submitted and worth delivered, by message class and second of arrival.
    #[serde(rename = "lanes")]
    pub classes: Vec<Vec<(f64, f64)>>,
    /// Worth submitted and worth delivered, by tenant and second of arrival.
    pub tenants: Vec<Vec<(f64, f64)>>,
    /// Number of messages held by all relays.
    #[serde(rename = "held")]
    pub queued: Vec<f64>,
    /// Number of calls in flight from all relays.
    #[serde(rename = "out")]
    pub calls_in_flight: Vec<f64>,
    /// Number of attempts started.
    #[serde(rename = "legs")]
    pub attempts: Vec<f64>,
    /// Number of messages submitted.
    #[serde(rename = "messages")]
    pub submissions: Vec<f64>,
    /// Load of the routes whose endpoints are targets of faults.
    pub routes: Vec<RouteTimeline>,
    /// State changes of circuit breakers.
    pub breakers: Vec<BreakerStep>,
    /// Faults of the scenario.
    #[serde(rename = "troubles")]
    pub faults: Vec<FaultSpan>,
}

/// Load of a route with one value per second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteTimeline {
    /// Name of the destination.
    pub name: String,
    /// Number of calls that reached the route.
    #[serde(rename = "reached")]
    pub calls: Vec<f64>,
    /// Number of calls that the route could process.
    pub capacity: Vec<f64>,
}

/// State change of a circuit breaker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BreakerStep {
    /// Number of the relay.
    pub relay: u32,
    /// Name of the destination whose calls the breaker controls.
    pub destination: String,
    /// Time in seconds of the day.
    pub at_s: f64,
    /// New state: `closed`, `open` or `half-open`.
    pub state: String,
}

/// Fault of the scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultSpan {
    /// Kind of fault, in the notation of scenario files.
    pub kind: String,
    /// Targets, in the notation of scenario files.
    #[serde(rename = "whom")]
    pub targets: String,
    /// Start in seconds of the day.
    pub from_s: f64,
    /// End in seconds of the day.
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
