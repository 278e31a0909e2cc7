//! The laboratory's commands.

mod compare;
mod hunt;
mod list;
mod run;
mod sweep;
mod trace;

use crate::Verdict;
use crate::error::CliError;
use clap::{Args, Subcommand, ValueEnum};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_scenario::Scenario;
use std::path::Path;

#[derive(Subcommand)]
pub(crate) enum LabCommand {
    /// Play a scenario on many seeds and say what service came of it
    Run(run::RunArguments),
    /// Set two sides of the same days side by side: results, scenarios or constants of the decisions
    Compare(compare::CompareArguments),
    /// Play a scenario with one value changed again and again
    Sweep(sweep::SweepArguments),
    /// Search scripts of troubles for days that break a rule or lose most, and cut the worst down
    Hunt(hunt::HuntArguments),
    /// Tell the story of one message, one wish of a client or one destination
    Trace(trace::TraceArguments),
    /// The scenarios of a folder, and all kinds of trouble
    List(list::ListArguments),
}

/// Carries a command of the laboratory out.
pub(crate) fn run(command: LabCommand) -> Result<Verdict, CliError> {
    match command {
        LabCommand::Run(arguments) => run::run(&arguments),
        LabCommand::Compare(arguments) => compare::run(&arguments),
        LabCommand::Sweep(arguments) => sweep::run(&arguments),
        LabCommand::Hunt(arguments) => hunt::run(&arguments),
        LabCommand::Trace(arguments) => trace::run(&arguments),
        LabCommand::List(arguments) => list::run(&arguments),
    }
}

/// Which days are played.
#[derive(Args)]
struct DayArguments {
    /// How many seeds, from the first one on
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Which policies; the project's decisions alone if none is named
    #[arg(long, value_delimiter = ',')]
    policies: Vec<PolicyArgument>,
    /// All policies, with floor and top
    #[arg(long)]
    all: bool,
    /// Results as JSON on standard output
    #[arg(long)]
    json: bool,
}

impl DayArguments {
    fn policies(&self) -> Vec<PolicyKind> {
        if self.all {
            return PolicyKind::ALL.to_vec();
        }
        if self.policies.is_empty() {
            return vec![PolicyKind::Mountshift];
        }
        self.policies.iter().map(|argument| argument.0).collect()
    }

    fn seeds(&self) -> Vec<u64> {
        (self.first_seed..self.first_seed + self.seeds.max(1)).collect()
    }
}

/// A policy by its name.
#[derive(Clone, Copy)]
struct PolicyArgument(PolicyKind);

impl ValueEnum for PolicyArgument {
    fn value_variants<'a>() -> &'a [PolicyArgument] {
        &[
            PolicyArgument(PolicyKind::Mountshift),
            PolicyArgument(PolicyKind::SingleAttempt),
            PolicyArgument(PolicyKind::Backoff),
            PolicyArgument(PolicyKind::RetryBudget),
            PolicyArgument(PolicyKind::CircuitBreaker),
            PolicyArgument(PolicyKind::LeastInFlight),
            PolicyArgument(PolicyKind::Omniscient),
        ]
    }

    fn to_possible_value(&self) -> Option<clap::builder::PossibleValue> {
        Some(clap::builder::PossibleValue::new(self.0.name()))
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, CliError> {
    Scenario::read(path).map_err(CliError::scenario)
}

/// True for days that the project's decisions played.
fn is_ours(day: &DayOutcome) -> bool {
    day.policy == PolicyKind::Mountshift.name()
}

/// Good where the project's decisions kept all rules; baselines may break them.
fn verdict(days: &[DayOutcome]) -> Verdict {
    if days.iter().filter(|day| is_ours(day)).all(DayOutcome::has_no_breaches) {
        Verdict::Good
    } else {
        Verdict::Bad
    }
}
