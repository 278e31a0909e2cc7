//! `lab list`: lists the scenarios of a folder, or all kinds of faults.

use super::read_scenario;
use crate::Verdict;
use crate::error::CliError;
use clap::Args;
use mountshift_scenario::{Scenario, ScriptedFaultKind};
use std::path::{Path, PathBuf};

#[derive(Args)]
pub(crate) struct ListArguments {
    #[arg(default_value = "examples/scenarios")]
    folder: PathBuf,
    /// List the kinds of faults and what they affect
    #[arg(long)]
    troubles: bool,
}

pub(super) fn run(arguments: &ListArguments) -> Result<Verdict, CliError> {
    if arguments.troubles {
        print_fault_kinds();
        return Ok(Verdict::Passed);
    }
    for path in scenario_files(&arguments.folder)? {
        print_scenario(&read_scenario(&path)?);
    }
    Ok(Verdict::Passed)
}

fn print_fault_kinds() {
    for kind in ScriptedFaultKind::ALL {
        let (target_kind, description) = kind.target_kind_and_description();
        let target_kind = format!("{target_kind:?}").to_lowercase();
        println!("{kind:16} {target_kind:9} {description}");
    }
}

/// Returns the TOML files of a folder, sorted by name.
fn scenario_files(folder: &Path) -> Result<Vec<PathBuf>, CliError> {
    let entries = std::fs::read_dir(folder).map_err(CliError::file(folder))?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    paths.sort();
    Ok(paths)
}

fn print_scenario(scenario: &Scenario) {
    let relays = scenario.relays.count;
    let destinations = scenario.destination_count();
    println!(
        "{:22} {relays:>4} relays {destinations:>6} destinations  {}",
        scenario.name, scenario.description
    );
}
