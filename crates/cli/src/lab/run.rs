//! `lab run`: simulates scenarios with several seeds and reports the service.

use super::{DayArguments, is_mountshift_day, read_scenario, verdict};
use crate::Verdict;
use crate::error::CliError;
use crate::output::{progress_bar, to_json, write_file};
use clap::Args;
use mountshift_lab::experiment::{self, Summary};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::report;
use mountshift_scenario::Scenario;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Maximum number of breaches printed; the results contain all that the checker stored.
const MAX_PRINTED_BREACHES: usize = 3;

#[derive(Args)]
pub(crate) struct RunArguments {
    /// Scenario files
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    #[command(flatten)]
    days: DayArguments,
    /// Write an HTML report of the first scenario to this file
    #[arg(long)]
    report: Option<PathBuf>,
    /// Write the results to this file, for `compare`
    #[arg(long)]
    save: Option<PathBuf>,
}

pub(super) fn run(arguments: &RunArguments) -> Result<Verdict, CliError> {
    // All scenarios are read first, so that an invalid one is reported before any simulation.
    let scenarios = read_scenarios(&arguments.scenarios)?;
    let policies = arguments.days.policies();
    let seeds = arguments.days.seeds();
    let bar = progress_bar((scenarios.len() * policies.len() * seeds.len()) as u64);
    let mut all_days = Vec::new();
    for (position, scenario) in scenarios.iter().enumerate() {
        let start = Instant::now();
        let report_path = arguments.report.as_ref().filter(|_| position == 0);
        let days = experiment::run(scenario, &policies, &seeds, report_path.is_some(), &|_| bar.inc(1));
        if !arguments.days.json {
            bar.suspend(|| print_days(scenario, &days, start.elapsed()));
        }
        if let Some(path) = report_path {
            write_file(path, &report::page(scenario, &days).map_err(CliError::experiment)?)?;
        }
        all_days.extend(days);
    }
    bar.finish_and_clear();
    for day in &mut all_days {
        day.timeline = None;
    }
    if let Some(path) = &arguments.save {
        write_file(path, &to_json(&all_days)?)?;
    }
    if arguments.days.json {
        println!("{}", to_json(&all_days)?);
    }
    Ok(verdict(&all_days))
}

fn read_scenarios(paths: &[PathBuf]) -> Result<Vec<Scenario>, CliError> {
    paths.iter().map(|path| read_scenario(path)).collect()
}

fn print_days(scenario: &Scenario, days: &[DayOutcome], elapsed: Duration) {
    println!("{}: {}", scenario.name, scenario.description);
    println!(
        "  {:14} {:26} {:>10} {:>9} {:>6} {:>9} {:>7}  rules",
        "policy", "service [95%]", "worst 10 s", "relative", "legs", "in outage", "pushed"
    );
    for summary in experiment::summarise(days) {
        println!("  {}", summary_row(&summary));
    }
    let breaches = days.iter().filter(|day| is_mountshift_day(day)).flat_map(|day| &day.breaches);
    for breach in breaches.take(MAX_PRINTED_BREACHES) {
        println!("  rule {} broken at {:.3} s: {}", breach.rule, breach.at_s, breach.reason);
    }
    let messages: u64 = days.iter().map(|day| day.messages).sum();
    println!("  {} days, {messages} messages, {:.1} s", days.len(), elapsed.as_secs_f64());
}

fn summary_row(summary: &Summary) -> String {
    format!(
        "{:14} {:26} {:>10.3} {:>9} {:>6.2} {:>9.0} {:>7.1}  {}",
        summary.policy,
        summary.service.to_string(),
        summary.worst_window.mean,
        summary.relative_service.map_or("-".to_string(), |service| format!("{service:.2}")),
        summary.attempts_per_message,
        summary.calls_into_outages,
        summary.overloaded_routes,
        broken_rules(&summary.days_with_breaches)
    )
}

/// Returns the numbers of the broken rules with the number of days on which each was broken.
fn broken_rules(days_with_breaches: &[usize]) -> String {
    let mut broken = Vec::new();
    for (position, days) in days_with_breaches.iter().enumerate() {
        if *days > 0 {
            broken.push(format!("{} on {days} days", position + 1));
        }
    }
    if broken.is_empty() { "kept".to_string() } else { broken.join(", ") }
}
