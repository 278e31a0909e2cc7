//! `lab hunt`: searches scripts of troubles for bad days and cuts the worst down.

use super::read_scenario;
use crate::Verdict;
use crate::error::CliError;
use crate::output::{progress_bar, write_file};
use clap::Args;
use mountshift_lab::hunt::{self, SearchGoal, SearchResult};
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct HuntArguments {
    /// The world to search in; its own troubles are left out
    scenario: PathBuf,
    /// Look for broken rules and not for losses
    #[arg(long)]
    rules: bool,
    /// Scripts to try
    #[arg(long, default_value_t = 200)]
    budget: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the found day here
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(super) fn run(arguments: &HuntArguments) -> Result<Verdict, CliError> {
    let base = read_scenario(&arguments.scenario)?;
    let bar = progress_bar(arguments.budget as u64);
    let goal = if arguments.rules { SearchGoal::Rules } else { SearchGoal::Loss };
    let found = hunt::hunt(&base, goal, arguments.budget, arguments.seed, &|| bar.inc(1));
    bar.finish_and_clear();
    let Some(found) = found else {
        println!("{} scripts tried: no rule broken", arguments.budget);
        return Ok(Verdict::Good);
    };
    show_found(arguments, &found);
    if let Some(path) = &arguments.out {
        write_file(path, &found.scenario.to_text().map_err(CliError::scenario)?)?;
        println!("written to {}; play it with --first-seed {} --seeds 1", path.display(), found.seed);
    }
    Ok(if found.severity.breach_count > 0 { Verdict::Bad } else { Verdict::Good })
}

fn show_found(arguments: &HuntArguments, found: &SearchResult) {
    let severity = found.severity;
    let what_was_found = if arguments.rules {
        format!("{} breaches", severity.breach_count)
    } else {
        format!("top {:.3}, {} breaches", severity.omniscient_service, severity.breach_count)
    };
    let (troubles_before, troubles_after) = found.fault_counts;
    println!(
        "{} scripts tried. The worst, cut down from {troubles_before} troubles to {troubles_after}, seed {}: \
         service {:.3}, {what_was_found}",
        found.scripts_tried, found.seed, severity.service
    );
    for fault in &found.scenario.faults {
        let fault = fault.as_ref();
        let from = String::from(fault.from);
        let to = String::from(fault.to);
        println!("  {} of {} from {from} to {to}", fault.kind, fault.targets.join(", "));
    }
}
