//! `lab compare`: compares two sides on the same days.

use super::read_scenario;
use crate::Verdict;
use crate::error::CliError;
use crate::output::{progress_bar, to_json};
use crate::variant::{Variant, read_results};
use clap::Args;
use mountshift_lab::experiment::{self, Comparison};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_scenario::Scenario;
use std::path::{Path, PathBuf};

/// Scenario name for both sides, since days are paired by scenario name and seed.
const COMPARED_NAME: &str = "compared";

#[derive(Args)]
pub(crate) struct CompareArguments {
    /// Side A and side B: results of `run --save`, or scenario files
    #[arg(num_args = 2, required = true)]
    sides: Vec<PathBuf>,
    /// Simulate these scenarios on both sides, which are then TOML files with constants of the delivery policy
    /// (`RECOVERY_DELAY = "ms(2_200)"`). Builds the policy of each side from this checkout.
    #[arg(long, num_args = 1..)]
    constants_on: Vec<PathBuf>,
    #[arg(long, default_value_t = 16)]
    seeds: u64,
    #[arg(long)]
    json: bool,
}

pub(super) fn run(arguments: &CompareArguments) -> Result<Verdict, CliError> {
    let seeds: Vec<u64> = (1..=arguments.seeds).collect();
    let side_a = side_days(arguments, &arguments.sides[0], &seeds)?;
    let side_b = side_days(arguments, &arguments.sides[1], &seeds)?;
    let comparison = experiment::compare(&side_a, &side_b).map_err(CliError::experiment)?;
    if arguments.json {
        println!("{}", to_json(&comparison)?);
    } else {
        print_comparison(&comparison);
    }
    Ok(Verdict::Passed)
}

/// Returns the days of a side: simulated with its constants, read from its results, or simulated from its scenario.
fn side_days(arguments: &CompareArguments, side: &Path, seeds: &[u64]) -> Result<Vec<DayOutcome>, CliError> {
    if !arguments.constants_on.is_empty() {
        return Variant::from_file(side)?.run(&arguments.constants_on, seeds);
    }
    if side.extension().is_some_and(|extension| extension == "json") {
        return read_results(side);
    }
    let scenario = Scenario { name: COMPARED_NAME.into(), ..read_scenario(side)? };
    let bar = progress_bar(seeds.len() as u64);
    let days = experiment::run(&scenario, &[PolicyKind::Mountshift], seeds, false, &|_| bar.inc(1));
    bar.finish_and_clear();
    Ok(days)
}

fn print_comparison(comparison: &Comparison) {
    println!("A           {}", comparison.a);
    println!("B           {}", comparison.b);
    println!("B minus A   {}   worst 10 s {}", comparison.difference, comparison.worst_window);
    for (class, difference) in &comparison.classes {
        println!("  lane {class:18} {difference}");
    }
    let (broken_a, broken_b) = comparison.days_with_breaches;
    println!("days with a broken rule: A {broken_a}, B {broken_b}, of {}", comparison.difference.n);
    println!("{}", comparison.conclusion);
}
