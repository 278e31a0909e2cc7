//! What a played day came to, for people, programs and comparisons.

use mountshift_invariants::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One day under one policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DayOutcome {
    pub scenario: String,
    pub policy: String,
    pub seed: u64,
    /// Worth delivered over worth handed in, 0 to 1.
    pub service: f64,
    /// The same over the worst ten seconds of arrivals.
    pub worst_window: f64,
    pub lanes: Vec<PartOutcome>,
    pub tenants: Vec<PartOutcome>,
    pub requests: u64,
    pub messages: u64,
    pub legs: u64,
    /// Calls that reached an endpoint while its route was out.
    pub calls_into_outages: u64,
    /// How legs ended, by name.
    pub ends: BTreeMap<String, u64>,
    /// Ends given by relays.
    pub failed: u64,
    pub pushed_back: u64,
    /// Wishes of clients that took effect under more than one id.
    pub twins: u64,
    /// How often each rule was broken, rule 1 first.
    pub rules: [u64; 6],
    /// What was broken, in words, with the history that shows it.
    pub breaches: Vec<BreachOutcome>,
    pub fell_over: u64,
    pub connections: u64,
    /// Of all facts in their order: the same day played again gives the same.
    pub digest: String,
    /// What a report draws; left out of results that are kept for comparisons.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub course: Option<Course>,
}

impl DayOutcome {
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|n| *n == 0)
    }
}

/// A lane or a tenant.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PartOutcome {
    pub name: String,
    pub service: f64,
    pub requests: u64,
    pub delivered: u64,
    /// Milliseconds from the first hand-in to the delivery.
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BreachOutcome {
    pub rule: u8,
    pub at_s: f64,
    pub why: String,
    pub story: Vec<String>,
}

/// The course of a day, second by second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Course {
    /// By lane, by second of arrival: worth handed in, worth delivered.
    pub lanes: Vec<Vec<(f64, f64)>>,
    pub tenants: Vec<Vec<(f64, f64)>>,
    /// Messages held, calls out, over all relays.
    pub held: Vec<f64>,
    pub out: Vec<f64>,
    /// Legs and messages handed in.
    pub legs: Vec<f64>,
    pub messages: Vec<f64>,
    /// By destination that was struck: calls that reached it, and what it could work off.
    pub routes: Vec<RouteCourse>,
    /// Breakers: relay, destination, second, state.
    pub breakers: Vec<BreakerStep>,
    /// Troubles: kind, whom, from, to.
    pub troubles: Vec<TroubleSpan>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteCourse {
    pub name: String,
    pub reached: Vec<f64>,
    pub capacity: Vec<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BreakerStep {
    pub relay: u32,
    pub destination: String,
    pub at_s: f64,
    /// `closed`, `open` or `half-open`.
    pub state: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TroubleSpan {
    pub kind: String,
    pub whom: String,
    pub from_s: f64,
    pub to_s: f64,
}

pub(crate) fn breaches(verdict: &Verdict) -> Vec<BreachOutcome> {
    let line =
        |(at, fact): &(u64, mountshift_invariants::Fact)| format!("{:10.4} s  {fact}", *at as f64 / 1e6);
    let breach = |b: &mountshift_invariants::Breach| BreachOutcome {
        rule: b.rule,
        at_s: b.at as f64 / 1e6,
        why: b.reason.clone(),
        story: b.history.iter().map(line).collect(),
    };
    verdict.breaches.iter().map(breach).collect()
}
