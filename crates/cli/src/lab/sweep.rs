//! `lab sweep`: simulates a scenario with several values of one field or constant.

use super::{DayArguments, read_scenario, verdict};
use crate::Verdict;
use crate::error::CliError;
use crate::output::{progress_bar, to_json};
use crate::variant::Variant;
use clap::Args;
use indicatif::ProgressBar;
use mountshift_lab::experiment;
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_scenario::Scenario;
use std::path::PathBuf;

/// Scenario name for all values, since days are paired by scenario name and seed.
const SWEPT_NAME: &str = "swept";

#[derive(Args)]
pub(crate) struct SweepArguments {
    scenario: PathBuf,
    /// Field of the scenario, such as `traffic.rate` or `trouble.0.level`
    #[arg(long, conflicts_with = "constant", required_unless_present = "constant")]
    value: Option<String>,
    /// Constant of the delivery policy, such as `RECOVERY_DELAY`; the policy is built for each value
    #[arg(long)]
    constant: Option<String>,
    /// Values, written as in the file
    #[arg(long, num_args = 1.., required = true)]
    to: Vec<String>,
    #[command(flatten)]
    days: DayArguments,
}

/// Value with its simulated days; written to JSON as a pair.
type Side = (String, Vec<DayOutcome>);

pub(super) fn run(arguments: &SweepArguments) -> Result<Verdict, CliError> {
    let seeds = arguments.days.seeds();
    // All scenarios are created first, so that an invalid value is reported before any simulation.
    let scenarios = changed_scenarios(arguments)?;
    let bar = progress_bar((arguments.to.len() * seeds.len()) as u64);
    let mut sides = Vec::new();
    for (value, scenario) in scenarios {
        let days = experiment::run(&scenario, &[PolicyKind::Mountshift], &seeds, false, &|_| bar.inc(1));
        sides.push((value, days));
    }
    if let Some(constant) = &arguments.constant {
        sides = sweep_constant(arguments, constant, &seeds, &bar)?;
    }
    bar.finish_and_clear();
    if arguments.days.json {
        println!("{}", to_json(&sides)?);
    } else {
        print_sides(arguments, &sides)?;
    }
    let days: Vec<DayOutcome> = sides.into_iter().flat_map(|(_, days)| days).collect();
    Ok(verdict(&days))
}

/// Returns a scenario for each value, with the value; an empty list if a constant is swept.
fn changed_scenarios(arguments: &SweepArguments) -> Result<Vec<(String, Scenario)>, CliError> {
    let file = arguments.scenario.display().to_string();
    let text = std::fs::read_to_string(&arguments.scenario).map_err(CliError::file(&arguments.scenario))?;
    read_scenario(&arguments.scenario)?;
    let mut scenarios = Vec::new();
    if let Some(path) = &arguments.value {
        for value in &arguments.to {
            let scenario = experiment::with_value(&text, &file, path, value).map_err(CliError::experiment)?;
            scenarios.push((value.clone(), Scenario { name: SWEPT_NAME.into(), ..scenario }));
        }
    }
    Ok(scenarios)
}

fn sweep_constant(
    arguments: &SweepArguments,
    constant: &str,
    seeds: &[u64],
    bar: &ProgressBar,
) -> Result<Vec<Side>, CliError> {
    let mut sides = Vec::new();
    for value in &arguments.to {
        let variant = Variant::build([(constant.to_string(), value.clone())].into())?;
        sides.push((value.clone(), variant.run(std::slice::from_ref(&arguments.scenario), seeds)?));
        bar.inc(seeds.len() as u64);
    }
    Ok(sides)
}

fn print_sides(arguments: &SweepArguments, sides: &[Side]) -> Result<(), CliError> {
    let swept = arguments.value.as_ref().or(arguments.constant.as_ref()).map_or("", String::as_str);
    println!("{swept:>16}  {:26} {:>10}  rules  compared to the first", "service [95%]", "worst 10 s");
    for (position, (value, days)) in sides.iter().enumerate() {
        let Some(summary) = experiment::summarise(days).into_iter().next() else { continue };
        let broken = days.iter().filter(|day| !day.has_no_breaches()).count();
        let rules = if broken == 0 { "kept".to_string() } else { format!("{broken} broken") };
        let comparison = if position == 0 {
            String::new()
        } else {
            experiment::compare(&sides[0].1, days).map_err(CliError::experiment)?.conclusion
        };
        let service = summary.service.to_string();
        let worst_window = summary.worst_window.mean;
        println!("{value:>16}  {service:26} {worst_window:>10.3}  {rules}  {comparison}");
    }
    Ok(())
}
