//! `lab hunt`: searches scripted faults for bad days and reduces the worst script.

use super::read_scenario;
use crate::Verdict;
use crate::error::CliError;
use crate::output::{progress_bar, write_file};
use clap::Args;
use mountshift_lab::hunt::{self, SearchGoal, SearchResult};
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct HuntArguments {
    /// Scenario to search in, without its own faults
    scenario: PathBuf,
    /// Search for broken rules instead of lost service
    #[arg(long)]
    rules: bool,
    /// Number of scripts to try
    #[arg(long, default_value_t = 200)]
    budget: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the scenario found to this file
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(super) fn run(arguments: &HuntArguments) -> Result<Verdict, CliError> {
    let base = read_scenario(&arguments.scenario)?;
    let bar = progress_bar(arguments.budget as u64);
    let goal = if arguments.rules { SearchGoal::Rules } else { SearchGoal::Loss };
    let found = hunt::find_worst_day(&base, goal, arguments.budget, arguments.seed, &|| bar.inc(1));
    bar.finish_and_clear();
    let Some(found) = found else {
        println!("{} scripts tried: no rule broken", arguments.budget);
        return Ok(Verdict::Passed);
    };
    print_found(arguments, &found);
    if let Some(path) = &arguments.out {
        write_file(path, &found.scenario.to_text().map_err(CliError::scenario)?)?;
        println!("written to {}; run it with --first-seed {} --seeds 1", path.display(), found.seed);
    }
    Ok(if found.severity.breach_count > 0 { Verdict::Failed } else { Verdict::Passed })
}

fn print_found(arguments: &HuntArguments, found: &SearchResult) {
    let severity = found.severity;
    let finding = if arguments.rules {
        format!("{} breaches", severity.breach_count)
    } else {
        format!("omniscient policy {:.3}, {} breaches", severity.omniscient_service, severity.breach_count)
    };
    let (faults_before, faults_after) = found.fault_counts;
    println!(
        "{} scripts tried. The worst, reduced from {faults_before} faults to {faults_after}, seed {}: \
         service {:.3}, {finding}",
        found.scripts_tried, found.seed, severity.service
    );
    for fault in &found.scenario.faults {
        let fault = fault.as_ref();
        let from = String::from(fault.from);
        let to = String::from(fault.to);
        println!("  {} of {} from {from} to {to}", fault.kind, fault.targets.join(", "));
    }
}
