//! `lab compare`: sets two sides of the same days side by side.

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

/// The name under which both sides are played, as days are paired by scenario and seed.
const COMPARED_NAME: &str = "compared";

#[derive(Args)]
pub(crate) struct CompareArguments {
    /// Side A and side B: results that `run --save` kept, or scenario files
    #[arg(num_args = 2, required = true)]
    sides: Vec<PathBuf>,
    /// Constants of the decisions on each side, as TOML (`RECOVERY_DELAY = "ms(2_200)"`); both sides then play the
    /// scenarios named. Builds the decisions anew from this checkout.
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
        show_comparison(&comparison);
    }
    Ok(Verdict::Good)
}

/// The days of one side: played with its constants, read, or played.
fn side_days(arguments: &CompareArguments, side: &Path, seeds: &[u64]) -> Result<Vec<DayOutcome>, CliError> {
    if !arguments.constants_on.is_empty() {
        return Variant::from_file(side)?.play(&arguments.constants_on, seeds);
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

fn show_comparison(comparison: &Comparison) {
    println!("A           {}", comparison.a);
    println!("B           {}", comparison.b);
    println!("B less A    {}   worst 10 s {}", comparison.difference, comparison.worst_window);
    for (class, difference) in &comparison.classes {
        println!("  lane {class:18} {difference}");
    }
    let (broken_a, broken_b) = comparison.days_with_breaches;
    println!("days with a broken rule: A {broken_a}, B {broken_b}, of {}", comparison.difference.n);
    println!("{}", comparison.conclusion);
}
