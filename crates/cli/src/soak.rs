//! `mountshift soak`: plays drawn schedules of faults against real relay processes.

use crate::Verdict;
use crate::error::CliError;
use clap::Args;
use mountshift_soak::{FaultKind, Programs, Schedule, SoakReport, play, shrink};
use std::path::{Path, PathBuf};
use std::process::Command;

/// The target folder of the relay that the soak builds.
const TARGET_DIR: &str = "target/soak";
/// Without this, system calls of the relay leave past the C library, where the shim does not see them.
const RELAY_FLAGS: &str = "--cfg=rustix_use_libc";

#[derive(Args)]
pub(crate) struct SoakArguments {
    /// The seed that the schedule, the settings and the traffic are drawn from
    #[arg(long, default_value_t = 1, conflicts_with_all = ["seeds", "schedule"])]
    seed: u64,
    /// Several seeds, as in 1..20, the last one included
    #[arg(long, value_parser = seed_range, conflicts_with = "schedule")]
    seeds: Option<SeedRange>,
    /// Seconds of traffic
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Relays, 40 at most
    #[arg(long, default_value_t = 20)]
    relays: usize,
    /// Kinds of faults to draw from; all without it
    #[arg(long, value_delimiter = ',')]
    faults: Vec<FaultKind>,
    /// Play this file
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Print the drawn schedule and play nothing
    #[arg(long)]
    print: bool,
    /// Where a run that broke something leaves its schedule, timeline and logs
    #[arg(long)]
    out: Option<PathBuf>,
    /// Leave out faults of a schedule that broke something as long as it still does, and print what is left
    #[arg(long)]
    shrink: bool,
    /// The relay's program, in place of one that is built in target/soak
    #[arg(long)]
    relay: Option<PathBuf>,
    /// The shim for --relay; without it the faults of system calls do nothing
    #[arg(long, requires = "relay")]
    shim: Option<PathBuf>,
}

/// Seeds, both ends included.
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
        _ => Err(format!("{text} is no range of seeds like 1..20")),
    }
}

/// Plays what was asked for.
pub(crate) fn run(arguments: SoakArguments) -> Result<Verdict, CliError> {
    let schedules = schedules(&arguments)?;
    if arguments.print {
        for schedule in &schedules {
            println!("{}", schedule.to_json());
        }
        return Ok(Verdict::Good);
    }
    let programs = programs(&arguments)?;
    let mut verdict = Verdict::Good;
    println!(
        "seed  faults  process ends  calls failed  submitted  accepted  delivered  held up ms  breaches"
    );
    for schedule in schedules {
        let report = play(&schedule, &programs, arguments.out.as_deref()).map_err(CliError::soak)?;
        print_row(&report);
        if !report.has_no_breaches() {
            verdict = Verdict::Bad;
            print_breaches(&report);
            if arguments.shrink {
                let smallest = shrink(&schedule, &programs).map_err(CliError::soak)?;
                println!("{}", smallest.to_json());
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

/// The programs to play with; built, unless they were named.
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
        report.longest_stall.as_millis(),
        report.breaches.len()
    );
}

fn print_breaches(report: &SoakReport) {
    for breach in &report.breaches {
        println!("      {}", breach.description);
    }
    println!("{}", report.timeline);
}
