//! `lab sweep`: plays a scenario with one value changed again and again.

use super::{Days, bar, went};
use crate::variant::Variant;
use crate::{Went, json};
use clap::Args;
use mountshift_lab::experiment;
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_scenario::Scenario;
use std::path::PathBuf;

#[derive(Args)]
pub struct Sweep {
    scenario: PathBuf,
    /// A value of the scenario, as `traffic.rate` or `trouble.0.level`
    #[arg(long, conflicts_with = "constant", required_unless_present = "constant")]
    value: Option<String>,
    /// A constant of the decisions, as `RECOVERY_DELAY`; the decisions are built anew for each value
    #[arg(long)]
    constant: Option<String>,
    /// The values, as they would stand in the file
    #[arg(long, num_args = 1.., required = true)]
    to: Vec<String>,
    #[command(flatten)]
    days: Days,
}

pub(super) fn sweep(args: Sweep) -> Result<Went, String> {
    let seeds = args.days.seeds();
    let shown = args.scenario.display().to_string();
    let text = std::fs::read_to_string(&args.scenario).map_err(|e| format!("{shown}: {e}"))?;
    // Refused as a whole before anything is played.
    Scenario::read(&args.scenario)?;
    let mut sides: Vec<(String, Vec<DayOutcome>)> = Vec::new();
    let mut changed = Vec::new();
    if let Some(path) = &args.value {
        for value in &args.to {
            changed.push((value.clone(), experiment::with_value(&text, &shown, path, value)?));
        }
    }
    let bar = bar((args.to.len() * seeds.len()) as u64);
    for (value, scenario) in changed {
        let scenario = Scenario { name: "swept".into(), ..scenario };
        sides.push((
            value,
            experiment::run(&scenario, &[PolicyKind::Mountshift], &seeds, false, &|_| bar.inc(1)),
        ));
    }
    if let Some(constant) = &args.constant {
        for value in &args.to {
            let variant = Variant::of([(constant.clone(), value.clone())].into())?;
            sides.push((value.clone(), variant.play(std::slice::from_ref(&args.scenario), &seeds)?));
            bar.inc(seeds.len() as u64);
        }
    }
    bar.finish_and_clear();
    let what = args.value.or(args.constant).unwrap_or_default();
    if args.days.json {
        println!("{}", json(&sides)?);
    } else {
        println!("{:>16}  {:26} {:>8}  rules  against the first", what, "service [95%]", "worst 10");
        for (value, days) in &sides {
            let Some(s) = experiment::summarise(days).into_iter().next() else { continue };
            let broken: usize = days.iter().filter(|d| !d.kept()).count();
            let against = if std::ptr::eq(days, &sides[0].1) {
                String::new()
            } else {
                experiment::compare(&sides[0].1, days)?.says
            };
            let rules = if broken == 0 { "kept".to_string() } else { format!("{broken} broken") };
            let service = s.service.to_string();
            println!("{value:>16}  {service:26} {:>8.3}  {rules}  {against}", s.worst_window.mean);
        }
    }
    let days: Vec<DayOutcome> = sides.into_iter().flat_map(|s| s.1).collect();
    Ok(went(&days))
}
