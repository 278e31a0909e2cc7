//! The laboratory's commands.

mod compare;
mod hunt;
mod list;
mod run;
mod sweep;
mod trace;

use crate::Went;
use clap::{Args, Subcommand, ValueEnum};
use compare::{Compare, compare};
use hunt::{Hunt, search};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use list::{List, list};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy_kind::PolicyKind;
use run::{Run, play};
use std::io::IsTerminal;
use std::path::Path;
use sweep::{Sweep, sweep};
use trace::{Trace, trace};

#[derive(Subcommand)]
pub enum Lab {
    /// Play a scenario on many seeds and say what service came of it
    Run(Run),
    /// Set two sides of the same days side by side: results, scenarios or constants of the decisions
    Compare(Compare),
    /// Play a scenario with one value changed again and again
    Sweep(Sweep),
    /// Search scripts of troubles for days that break a rule or lose most, and cut the worst down
    Hunt(Hunt),
    /// Tell the story of one message, one wish of a client or one destination
    Trace(Trace),
    /// The scenarios of a folder, and all kinds of trouble
    List(List),
}

#[derive(Args)]
struct Days {
    /// How many seeds, from the first one on
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Which policies; the project's decisions alone if none is named
    #[arg(long, value_delimiter = ',')]
    policies: Vec<Policy>,
    /// All policies, with floor and top
    #[arg(long)]
    all: bool,
    /// Results as JSON on standard output
    #[arg(long)]
    json: bool,
}

/// A policy by its name.
#[derive(Clone, Copy)]
struct Policy(PolicyKind);

impl ValueEnum for Policy {
    fn value_variants<'a>() -> &'a [Policy] {
        &[
            Policy(PolicyKind::Mountshift),
            Policy(PolicyKind::SingleAttempt),
            Policy(PolicyKind::Backoff),
            Policy(PolicyKind::RetryBudget),
            Policy(PolicyKind::CircuitBreaker),
            Policy(PolicyKind::LeastInFlight),
            Policy(PolicyKind::Omniscient),
        ]
    }

    fn to_possible_value(&self) -> Option<clap::builder::PossibleValue> {
        Some(clap::builder::PossibleValue::new(self.0.name()))
    }
}

impl Days {
    fn policies(&self) -> Vec<PolicyKind> {
        match (self.all, self.policies.is_empty()) {
            (true, _) => PolicyKind::ALL.to_vec(),
            (_, true) => vec![PolicyKind::Mountshift],
            _ => self.policies.iter().map(|p| p.0).collect(),
        }
    }

    fn seeds(&self) -> Vec<u64> {
        (self.first_seed..self.first_seed + self.seeds.max(1)).collect()
    }
}

/// A bar where a person watches.
fn bar(steps: u64) -> ProgressBar {
    let target = if std::io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(steps), target);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} days, {elapsed} of about {duration}");
    style.into_iter().for_each(|style| bar.set_style(style));
    bar
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

pub fn run(what: Lab) -> Result<Went, String> {
    match what {
        Lab::Run(args) => play(args),
        Lab::Compare(args) => compare(args),
        Lab::Sweep(args) => sweep(args),
        Lab::Hunt(args) => search(args),
        Lab::Trace(args) => trace(args),
        Lab::List(args) => list(args),
    }
}

fn went(days: &[DayOutcome]) -> Went {
    let ours = |d: &&DayOutcome| d.policy == PolicyKind::Mountshift.name();
    if days.iter().filter(ours).all(DayOutcome::kept) { Went::Well } else { Went::Broke }
}
