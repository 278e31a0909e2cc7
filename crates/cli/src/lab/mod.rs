//! `mountshift lab`: simulations in virtual time.

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
    /// Simulate scenarios with several seeds and report the service
    Run(run::RunArguments),
    /// Compare two sides on the same days: results, scenarios or constants of the delivery policy
    Compare(compare::CompareArguments),
    /// Simulate a scenario with several values of one field or constant
    Sweep(sweep::SweepArguments),
    /// Search for scripted faults that break a rule or lose the most service, and reduce the worst script
    Hunt(hunt::HuntArguments),
    /// Print the history of a message, a client's request or a destination
    Trace(trace::TraceArguments),
    /// List the scenarios of a folder, or all kinds of faults
    List(list::ListArguments),
}

/// Runs a lab command.
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

/// Selection of days to simulate.
#[derive(Args)]
struct DayArguments {
    /// Number of seeds, counted up from the first
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Policies to simulate; only mountshift if none is given
    #[arg(long, value_delimiter = ',')]
    policies: Vec<PolicyArgument>,
    /// All policies, including the baselines and the omniscient policy
    #[arg(long)]
    all: bool,
    /// Print results as JSON
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

/// Policy, given by its name.
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

/// Returns whether a day was simulated with mountshift's own policy.
fn is_mountshift_day(day: &DayOutcome) -> bool {
    day.policy == PolicyKind::Mountshift.name()
}

/// Returns `Failed` if mountshift's own policy broke a rule. Baselines may break rules.
fn verdict(days: &[DayOutcome]) -> Verdict {
    if days.iter().filter(|day| is_mountshift_day(day)).all(DayOutcome::has_no_breaches) {
        Verdict::Passed
    } else {
        Verdict::Failed
    }
}
