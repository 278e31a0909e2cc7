//! Searches random fault scripts for the day that breaks the most rules, or that loses the most service against the
//! omniscient policy. The faults of the day found are then removed and shortened as far as the result persists.

use crate::day::{Day, DayOptions};
use crate::policy_kind::PolicyKind;
use crate::random::{Purpose, SeededRandom};
use mountshift_scenario::{
    Amount, Group, Scenario, ScriptedFault, ScriptedFaultKind, Share, Span, TargetKind,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;
use std::time::Duration;
use toml::Spanned;

/// Maximum number of faults in a drawn script.
const MAX_FAULTS: usize = 4;
/// Share of the original loss that a reduced day must keep.
const MIN_LOSS_KEPT: f64 = 0.8;
/// Minimum duration to which a fault is shortened.
const MIN_FAULT_DURATION: Duration = Duration::from_millis(500);
/// Weight of a breach in a search for breaches, far above that of any loss.
const BREACH_WEIGHT: f64 = 1e3;
/// Weight of the loss in a search for breaches: it only orders days with the same number of breaches.
const LOSS_WEIGHT: f64 = 1e-3;

/// Goal of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchGoal {
    /// The day that loses the most service against the omniscient policy.
    Loss,
    /// The day with the most breaches of rules.
    Rules,
}

/// Severity of a day: its breaches and its lost service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DaySeverity {
    /// Number of breaches of all rules.
    pub breach_count: u64,
    /// Service of the project's decisions.
    pub service: f64,
    /// Service of the omniscient policy; 1 in a search for breaches.
    pub omniscient_service: f64,
}

impl DaySeverity {
    /// Returns the service lost against the omniscient policy.
    pub fn loss(&self) -> f64 {
        self.omniscient_service - self.service
    }

    fn rank(&self, goal: SearchGoal) -> f64 {
        match goal {
            SearchGoal::Loss => self.loss(),
            SearchGoal::Rules => self.breach_count as f64 * BREACH_WEIGHT + self.loss() * LOSS_WEIGHT,
        }
    }

    /// Returns whether the day still shows what was found in the `original` day.
    fn reproduces(&self, original: &DaySeverity, goal: SearchGoal) -> bool {
        match goal {
            SearchGoal::Loss => self.loss() >= MIN_LOSS_KEPT * original.loss(),
            SearchGoal::Rules => self.breach_count > 0,
        }
    }
}

/// Worst day found by a search, after its reduction.
#[derive(Clone, Debug)]
pub struct SearchResult {
    /// Scenario with the remaining faults.
    pub scenario: Scenario,
    /// Seed of the day.
    pub seed: u64,
    /// Severity of the day.
    pub severity: DaySeverity,
    /// Number of scripts that were tried.
    pub scripts_tried: usize,
    /// Number of faults before and after the reduction.
    pub fault_counts: (usize, usize),
}

/// Fault script with the severity of its simulated day.
struct Candidate {
    faults: Vec<ScriptedFault>,
    seed: u64,
    severity: DaySeverity,
}

/// Tries `budget` fault scripts on the scenario `base`, in parallel, and reduces the worst day. Calls
/// `on_script_tried` after each script. Returns `None` if no script was tried, or if the goal is breaches and there
/// were none.
pub fn find_worst_day(
    base: &Scenario,
    goal: SearchGoal,
    budget: usize,
    seed: u64,
    on_script_tried: &(dyn Fn() + Sync),
) -> Option<SearchResult> {
    let numbers = (0..budget as u64).into_par_iter();
    let candidates: Vec<Candidate> = numbers
        .map(|number| {
            let candidate = try_script(base, goal, seed, number);
            on_script_tried();
            candidate
        })
        .collect();
    let worst =
        candidates.into_iter().max_by(|a, b| a.severity.rank(goal).total_cmp(&b.severity.rank(goal)))?;
    if goal == SearchGoal::Rules && worst.severity.breach_count == 0 {
        return None;
    }
    let before = worst.faults.len();
    let reduced = Reduction { base, goal, original: worst.severity, current: worst }.reduce();
    Some(SearchResult {
        scenario: with_faults(base, &reduced.faults),
        seed: reduced.seed,
        severity: reduced.severity,
        scripts_tried: budget,
        fault_counts: (before, reduced.faults.len()),
    })
}

fn try_script(base: &Scenario, goal: SearchGoal, seed: u64, number: u64) -> Candidate {
    let mut rng = SeededRandom(seed).stream(Purpose::Search, number);
    let count = rng.random_range(1..=MAX_FAULTS);
    let faults: Vec<ScriptedFault> = (0..count).map(|_| draw_fault(base, &mut rng)).collect();
    let seed = u64::from(rng.random::<u32>());
    let severity = measure_severity(&with_faults(base, &faults), seed, goal);
    Candidate { faults, seed, severity }
}

/// Simulates a day with the project's decisions, and with the omniscient policy if the goal is the loss.
fn measure_severity(scenario: &Scenario, seed: u64, goal: SearchGoal) -> DaySeverity {
    let day = |policy| Day::new(scenario, DayOptions { policy, seed, keep_timeline: false }).run();
    let mountshift = day(PolicyKind::Mountshift);
    let omniscient_service = if goal == SearchGoal::Loss { day(PolicyKind::Omniscient).service } else { 1.0 };
    DaySeverity {
        breach_count: mountshift.breach_counts.iter().sum(),
        service: mountshift.service,
        omniscient_service,
    }
}

fn with_faults(base: &Scenario, faults: &[ScriptedFault]) -> Scenario {
    let faults = faults.iter().map(|fault| Spanned::new(0..0, fault.clone())).collect();
    Scenario { faults, ..base.clone() }
}

fn span(seconds: f64) -> Span {
    Span(Duration::from_millis((seconds * 1e3) as u64))
}

/// Draws a fault. The order of the draws determines which scripts a seed tries.
fn draw_fault(base: &Scenario, rng: &mut ChaCha8Rng) -> ScriptedFault {
    let length = base.length.as_ref().seconds();
    let kind = ScriptedFaultKind::ALL[rng.random_range(0..ScriptedFaultKind::ALL.len())];
    let from = rng.random_range(0.05..0.8) * length;
    let duration = rng.random_range(0.05..0.5) * length;
    let required = kind.required_fields();
    let target = draw_targets(base, kind, rng);
    let repeat_seconds = rng.random_range(1.5..4.0);
    let level = draw_level(kind, rng);
    let has_level = required.level_fraction || required.level;
    ScriptedFault {
        kind,
        from: span(from),
        to: span(from + duration),
        targets: vec![target],
        share: if rng.random_bool(0.4) { Some(Share(rng.random_range(0.2..0.9))) } else { None },
        per_endpoint: rng.random_bool(0.3),
        level: if has_level { Some(Amount((level * 100.0_f64).round() / 100.0)) } else { None },
        repeat_interval: if required.repetition { Some(span(repeat_seconds)) } else { None },
        occurrence_duration: if required.repetition {
            Some(span(repeat_seconds * rng.random_range(0.1..0.6)))
        } else {
            None
        },
        class: if required.class { Some(draw_class(base, rng)) } else { None },
        cut_from: if required.cut_from { vec![draw_group(base, rng)] } else { Vec::new() },
    }
}

fn draw_level(kind: ScriptedFaultKind, rng: &mut ChaCha8Rng) -> f64 {
    if kind.required_fields().level_fraction {
        rng.random_range(0.1..1.0)
    } else if matches!(
        kind,
        ScriptedFaultKind::Slow | ScriptedFaultKind::HeavyTail | ScriptedFaultKind::ClockStep
    ) {
        rng.random_range(2.0..15.0)
    } else {
        rng.random_range(0.2..0.9)
    }
}

/// Draws the targets of a fault, in the notation of scenario files.
fn draw_targets(base: &Scenario, kind: ScriptedFaultKind, rng: &mut ChaCha8Rng) -> String {
    let targets_relays = kind.target_kind_and_description().0 == TargetKind::Relays;
    match rng.random_range(0..3) {
        0 if targets_relays => format!("relay/{}", rng.random_range(0..base.relays.count.get())),
        _ if targets_relays => "relays".to_string(),
        0 => "*".to_string(),
        _ => draw_group(base, rng),
    }
}

/// Draws a group, or one destination of it, in the notation of scenario files.
fn draw_group(base: &Scenario, rng: &mut ChaCha8Rng) -> String {
    let group: &Group = &base.groups[rng.random_range(0..base.groups.len())];
    match rng.random_range(0..3) {
        0 => format!("{}/{}", group.name.as_ref(), rng.random_range(0..group.count.get())),
        _ => group.name.as_ref().clone(),
    }
}

fn draw_class(base: &Scenario, rng: &mut ChaCha8Rng) -> String {
    base.classes[rng.random_range(0..base.classes.len())].name.clone()
}

/// Half of a fault's duration that is removed.
#[derive(Clone, Copy)]
enum RemovedHalf {
    Second,
    First,
}

/// Removes and shortens the faults of a candidate as long as the day reproduces the original result.
struct Reduction<'s> {
    base: &'s Scenario,
    goal: SearchGoal,
    /// Severity of the day before the reduction.
    original: DaySeverity,
    current: Candidate,
}

impl Reduction<'_> {
    fn reduce(mut self) -> Candidate {
        self.remove_faults();
        for index in 0..self.current.faults.len() {
            self.shorten(index, RemovedHalf::Second);
            self.shorten(index, RemovedHalf::First);
        }
        self.current
    }

    fn remove_faults(&mut self) {
        let mut index = 0;
        while index < self.current.faults.len() && self.current.faults.len() > 1 {
            let mut fewer = self.current.faults.clone();
            fewer.remove(index);
            if !self.accept_if_reproduced(fewer) {
                index += 1;
            }
        }
    }

    /// Halves a fault's duration as often as the result persists.
    fn shorten(&mut self, index: usize, removed: RemovedHalf) {
        loop {
            let fault = &self.current.faults[index];
            let half = (fault.to.0 - fault.from.0) / 2;
            if half < MIN_FAULT_DURATION {
                return;
            }
            let middle = Span(fault.from.0 + half);
            let mut shorter = self.current.faults.clone();
            match removed {
                RemovedHalf::Second => shorter[index].to = middle,
                RemovedHalf::First => shorter[index].from = middle,
            }
            if !self.accept_if_reproduced(shorter) {
                return;
            }
        }
    }

    /// Simulates the day with other faults, keeps them if the result persists, and returns whether it does.
    fn accept_if_reproduced(&mut self, faults: Vec<ScriptedFault>) -> bool {
        let severity = measure_severity(&with_faults(self.base, &faults), self.current.seed, self.goal);
        if !severity.reproduces(&self.original, self.goal) {
            return false;
        }
        self.current.faults = faults;
        self.current.severity = severity;
        true
    }
}
