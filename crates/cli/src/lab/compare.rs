//! `lab compare`: sets two sides of the same days side by side.

use super::bar;
use crate::variant::{Variant, played};
use crate::{Went, json};
use clap::Args;
use mountshift_lab::experiment::{self, Comparison};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_scenario::Scenario;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct Compare {
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

fn kept_or_played(path: &Path, seeds: &[u64]) -> Result<Vec<DayOutcome>, String> {
    if path.extension().is_some_and(|e| e == "json") {
        return played(path);
    }
    let scenario = Scenario { name: "compared".into(), ..Scenario::read(path)? };
    let bar = bar(seeds.len() as u64);
    let days = experiment::run(&scenario, &[PolicyKind::Mountshift], seeds, false, &|_| bar.inc(1));
    bar.finish_and_clear();
    Ok(days)
}

pub(super) fn compare(args: Compare) -> Result<Went, String> {
    let seeds: Vec<u64> = (1..=args.seeds).collect();
    let [a, b] = [&args.sides[0], &args.sides[1]];
    let (a, b) = if args.constants_on.is_empty() {
        (kept_or_played(a, &seeds)?, kept_or_played(b, &seeds)?)
    } else {
        let build = |constants: &Path| Variant::from_file(constants)?.play(&args.constants_on, &seeds);
        (build(a)?, build(b)?)
    };
    let c = experiment::compare(&a, &b)?;
    if args.json {
        println!("{}", json(&c)?)
    } else {
        show_comparison(&c)
    }
    Ok(Went::Well)
}

fn show_comparison(c: &Comparison) {
    println!("A           {}", c.a);
    println!("B           {}", c.b);
    println!("B less A    {}   worst 10 s {}", c.difference, c.worst_window);
    for (lane, difference) in &c.lanes {
        println!("  lane {lane:18} {difference}");
    }
    println!("days with a broken rule: A {}, B {}, of {}", c.days_broken.0, c.days_broken.1, c.difference.n);
    println!("{}", c.says);
}
