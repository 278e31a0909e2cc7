//! Searches scripts of troubles for days that break a rule, or lose most against the policy that sees all, and
//! cuts the found day down to the fewest and shortest troubles that still do it.

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

/// Troubles of a drawn script at most.
const MAX_TROUBLES: usize = 4;
/// A reduced day must keep this share of the loss.
const MIN_LOSS_KEPT: f64 = 0.8;
/// A trouble is not cut shorter than this.
const MIN_TROUBLE_LENGTH: Duration = Duration::from_millis(500);
/// The rank of a broken rule, far above that of any loss.
const BROKEN_RULE_RANK: f64 = 1e3;
/// The rank of a loss where rules are looked at: it only orders days that break the same number.
const LOSS_RANK: f64 = 1e-3;

/// What is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchGoal {
    /// Days that lose most against the top.
    Loss,
    /// Days that break a rule, whichever.
    Rules,
}

/// How bad a day is: rules broken count for more than any loss.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DaySeverity {
    /// How often rules were broken.
    pub breach_count: u64,
    /// The service of the project's decisions.
    pub service: f64,
    /// The service of the policy that sees all.
    pub omniscient_service: f64,
}

impl DaySeverity {
    /// Service lost against the top.
    pub fn loss(&self) -> f64 {
        self.omniscient_service - self.service
    }

    fn rank(&self, goal: SearchGoal) -> f64 {
        match goal {
            SearchGoal::Loss => self.loss(),
            SearchGoal::Rules => self.breach_count as f64 * BROKEN_RULE_RANK + self.loss() * LOSS_RANK,
        }
    }

    fn is_as_bad_as(&self, first: &DaySeverity, goal: SearchGoal) -> bool {
        match goal {
            SearchGoal::Loss => self.loss() >= MIN_LOSS_KEPT * first.loss(),
            SearchGoal::Rules => self.breach_count > 0,
        }
    }
}

/// A day that was found.
#[derive(Clone, Debug)]
pub struct SearchResult {
    /// The scenario with the troubles that are left.
    pub scenario: Scenario,
    /// The seed of the day.
    pub seed: u64,
    /// How bad it is.
    pub severity: DaySeverity,
    /// The number of scripts that were tried.
    pub scripts_tried: usize,
    /// Troubles before and after it was cut down.
    pub fault_counts: (usize, usize),
}

/// A script of troubles that was played.
struct Candidate {
    faults: Vec<ScriptedFault>,
    seed: u64,
    severity: DaySeverity,
}

/// Tries `budget` scripts on the world of `base`, in parallel, and cuts the worst down. None if nothing bad
/// was met.
pub fn hunt(
    base: &Scenario,
    goal: SearchGoal,
    budget: usize,
    seed: u64,
    done: &(dyn Fn() + Sync),
) -> Option<SearchResult> {
    let numbers = (0..budget as u64).into_par_iter();
    let candidates: Vec<Candidate> = numbers
        .map(|number| {
            let candidate = try_script(base, goal, seed, number);
            done();
            candidate
        })
        .collect();
    let worst =
        candidates.into_iter().max_by(|a, b| a.severity.rank(goal).total_cmp(&b.severity.rank(goal)))?;
    if goal == SearchGoal::Rules && worst.severity.breach_count == 0 {
        return None;
    }
    let before = worst.faults.len();
    let reduced = Reduction { base, goal, first: worst.severity, current: worst }.reduce();
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
    let count = rng.random_range(1..=MAX_TROUBLES);
    let faults: Vec<ScriptedFault> = (0..count).map(|_| draw_fault(base, &mut rng)).collect();
    let seed = u64::from(rng.random::<u32>());
    let severity = play(&with_faults(base, &faults), seed, goal);
    Candidate { faults, seed, severity }
}

fn play(scenario: &Scenario, seed: u64, goal: SearchGoal) -> DaySeverity {
    let day = |which| Day::new(scenario, DayOptions { policy: which, seed, keep_timeline: false }).run();
    let ours = day(PolicyKind::Mountshift);
    let top = if goal == SearchGoal::Loss { day(PolicyKind::Omniscient).service } else { 1.0 };
    DaySeverity {
        breach_count: ours.breach_counts.iter().sum(),
        service: ours.service,
        omniscient_service: top,
    }
}

fn with_faults(base: &Scenario, faults: &[ScriptedFault]) -> Scenario {
    let faults = faults.iter().map(|fault| Spanned::new(0..0, fault.clone())).collect();
    Scenario { faults, ..base.clone() }
}

fn span(seconds: f64) -> Span {
    Span(Duration::from_millis((seconds * 1e3) as u64))
}

/// Draws a trouble. The order of the draws decides which scripts a seed tries.
fn draw_fault(base: &Scenario, rng: &mut ChaCha8Rng) -> ScriptedFault {
    let length = base.length.as_ref().seconds();
    let kind = ScriptedFaultKind::ALL[rng.random_range(0..ScriptedFaultKind::ALL.len())];
    let from = rng.random_range(0.05..0.8) * length;
    let lasts = rng.random_range(0.05..0.5) * length;
    let required = kind.required_fields();
    let target = draw_targets(base, kind, rng);
    let every = rng.random_range(1.5..4.0);
    let level = draw_level(kind, rng);
    let has_level = required.level_fraction || required.level;
    ScriptedFault {
        kind,
        from: span(from),
        to: span(from + lasts),
        targets: vec![target],
        share: if rng.random_bool(0.4) { Some(Share(rng.random_range(0.2..0.9))) } else { None },
        per_endpoint: rng.random_bool(0.3),
        level: if has_level { Some(Amount((level * 100.0_f64).round() / 100.0)) } else { None },
        repeat_interval: if required.repetition { Some(span(every)) } else { None },
        occurrence_duration: if required.repetition {
            Some(span(every * rng.random_range(0.1..0.6)))
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

/// Relays, or endpoints by group, as scenario files name them.
fn draw_targets(base: &Scenario, kind: ScriptedFaultKind, rng: &mut ChaCha8Rng) -> String {
    let strikes_relays = kind.target_kind_and_description().0 == TargetKind::Relays;
    match rng.random_range(0..3) {
        0 if strikes_relays => format!("relay/{}", rng.random_range(0..base.relays.count.get())),
        _ if strikes_relays => "relays".to_string(),
        0 => "*".to_string(),
        _ => draw_group(base, rng),
    }
}

/// A group, or now and then one destination of it.
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

/// The end of a trouble that is cut off.
#[derive(Clone, Copy)]
enum CutAt {
    End,
    Beginning,
}

/// Cuts a candidate down, as long as the day stays bad.
struct Reduction<'s> {
    base: &'s Scenario,
    goal: SearchGoal,
    /// How bad the day was as it was found.
    first: DaySeverity,
    current: Candidate,
}

impl Reduction<'_> {
    fn reduce(mut self) -> Candidate {
        self.remove_faults();
        for index in 0..self.current.faults.len() {
            self.shorten(index, CutAt::End);
            self.shorten(index, CutAt::Beginning);
        }
        self.current
    }

    fn remove_faults(&mut self) {
        let mut index = 0;
        while index < self.current.faults.len() && self.current.faults.len() > 1 {
            let mut fewer = self.current.faults.clone();
            fewer.remove(index);
            if !self.accept_if_bad(fewer) {
                index += 1;
            }
        }
    }

    /// Halves a trouble again and again.
    fn shorten(&mut self, index: usize, cut: CutAt) {
        loop {
            let fault = &self.current.faults[index];
            let half = (fault.to.0 - fault.from.0) / 2;
            if half < MIN_TROUBLE_LENGTH {
                return;
            }
            let middle = Span(fault.from.0 + half);
            let mut shorter = self.current.faults.clone();
            match cut {
                CutAt::End => shorter[index].to = middle,
                CutAt::Beginning => shorter[index].from = middle,
            }
            if !self.accept_if_bad(shorter) {
                return;
            }
        }
    }

    /// Plays the day with other troubles and keeps them if it is about as bad; true if it is.
    fn accept_if_bad(&mut self, faults: Vec<ScriptedFault>) -> bool {
        let severity = play(&with_faults(self.base, &faults), self.current.seed, self.goal);
        if !severity.is_as_bad_as(&self.first, self.goal) {
            return false;
        }
        self.current.faults = faults;
        self.current.severity = severity;
        true
    }
}
