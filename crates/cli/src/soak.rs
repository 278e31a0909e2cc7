//! `mountshift soak`: runs generated schedules of faults against real relay processes.

use crate::Verdict;
use crate::error::CliError;
use clap::Args;
use mountshift_soak::{FaultKind, Programs, Schedule, SoakReport, run_schedule, shrink};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Target folder for building the relay of a soak.
const TARGET_DIR: &str = "target/soak";
/// Makes the relay call the C library for its system calls; otherwise the fault shim can't intercept them.
const RELAY_FLAGS: &str = "--cfg=rustix_use_libc";

#[derive(Args)]
pub(crate) struct SoakArguments {
    /// Seed from which the schedule, the settings and the traffic are generated
    #[arg(long, default_value_t = 1, conflicts_with_all = ["seeds", "schedule"])]
    seed: u64,
    /// Range of seeds, such as 1..20, both ends included
    #[arg(long, value_parser = seed_range, conflicts_with = "schedule")]
    seeds: Option<SeedRange>,
    /// Seconds of traffic
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Number of relays, at most 40
    #[arg(long, default_value_t = 20)]
    relays: usize,
    /// Kinds of faults in the schedule; all if none is given
    #[arg(long, value_delimiter = ',')]
    faults: Vec<FaultKind>,
    /// Run the schedule in this file
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Print the generated schedule without running it
    #[arg(long)]
    print: bool,
    /// Folder for the schedule, timeline and logs of a run with breaches
    #[arg(long)]
    out: Option<PathBuf>,
    /// Remove faults from a schedule with breaches while breaches remain, and print the reduced schedule
    #[arg(long)]
    shrink: bool,
    /// Program of the relay; built in target/soak if missing
    #[arg(long)]
    relay: Option<PathBuf>,
    /// Fault shim for --relay; without it, faults of system calls have no effect
    #[arg(long, requires = "relay")]
    shim: Option<PathBuf>,
}

/// Range of seeds, both ends included.
#[derive(Clone, Copy, Debug)]
struct SeedRange {
    first: u64,
    last: u64,
}

fn seed_range(text: &str) -> Result<SeedRange, String> {
    let parsed =
        text.split_once("..").and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    match parsed {
        Some((first, last)) if first <= last => Ok(SeedRange { first, last }),
        _ => Err(format!("{text} is not a range of seeds such as 1..20")),
    }
}

/// Runs or prints the requested schedules.
pub(crate) fn run(arguments: SoakArguments) -> Result<Verdict, CliError> {
    let schedules = schedules(&arguments)?;
    if arguments.print {
        for schedule in &schedules {
            println!("{}", schedule.to_json());
        }
        return Ok(Verdict::Passed);
    }
    let programs = programs(&arguments)?;
    let mut verdict = Verdict::Passed;
    println!(
        "seed  faults         exits  syscall errs  submitted  accepted  delivered  delayed ms  breaches"
    );
    for schedule in schedules {
        let report = run_schedule(&schedule, &programs, arguments.out.as_deref()).map_err(CliError::soak)?;
        print_row(&report);
        if !report.has_no_breaches() {
            verdict = Verdict::Failed;
            print_breaches(&report);
            if arguments.shrink {
                let reduced = shrink(&schedule, &programs).map_err(CliError::soak)?;
                println!("{}", reduced.to_json());
            }
        }
    }
    Ok(verdict)
}

fn schedules(arguments: &SoakArguments) -> Result<Vec<Schedule>, CliError> {
    if let Some(path) = &arguments.schedule {
        return Ok(vec![Schedule::read(path).map_err(CliError::soak)?]);
    }
    let seeds = arguments.seeds.unwrap_or(SeedRange { first: arguments.seed, last: arguments.seed });
    let kinds = if arguments.faults.is_empty() { &FaultKind::ALL[..] } else { &arguments.faults };
    let draw = |seed| Schedule::draw(seed, arguments.seconds, arguments.relays, kinds);
    (seeds.first..=seeds.last).map(|seed| draw(seed).map_err(CliError::soak)).collect()
}

/// Returns the programs named in the arguments, or builds them.
fn programs(arguments: &SoakArguments) -> Result<Programs, CliError> {
    if let Some(relay) = &arguments.relay {
        return Ok(Programs { relay: relay.clone(), shim: arguments.shim.clone() });
    }
    let mut build = Command::new("cargo");
    build.args(["build", "--release", "--locked", "--quiet", "--target-dir", TARGET_DIR]);
    build.args(["-p", "mountshift-relay", "-p", "mountshift-fault-shim"]);
    let status = build.env("RUSTFLAGS", RELAY_FLAGS).status().map_err(CliError::file(Path::new("cargo")))?;
    if !status.success() {
        return Err(CliError::BuildSoak);
    }
    let built = Path::new(TARGET_DIR).join("release");
    let absolute = |name: &str| {
        let path = built.join(name);
        std::path::absolute(&path).map_err(CliError::file(&path))
    };
    Ok(Programs {
        relay: absolute("mountshift-relay")?,
        shim: Some(absolute("libmountshift_fault_shim.so")?),
    })
}

fn print_row(report: &SoakReport) {
    println!(
        "{:>4}  {:>6}  {:>12}  {:>12}  {:>9}  {:>8}  {:>9}  {:>10}  {:>8}",
        report.schedule.seed,
        report.schedule.faults.len(),
        report.process_exits,
        report.injected_faults,
        report.submitted,
        report.accepted,
        report.delivered,
        report.longest_stand_in_delay.as_millis(),
        report.breaches.len()
    );
}

fn print_breaches(report: &SoakReport) {
    for breach in &report.breaches {
        println!("      {}", breach.description);
    }
    println!("{}", report.timeline);
}
