//! `lab run`: plays scenarios on many seeds and says what service came of it.

use super::{Days, bar, went, write};
use crate::{Went, json};
use clap::Args;
use mountshift_lab::experiment::{self, Summary};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_lab::report;
use mountshift_scenario::Scenario;
use std::path::PathBuf;
use std::time::Instant;

#[derive(Args)]
pub struct Run {
    /// Scenario files
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    #[command(flatten)]
    days: Days,
    /// Write a page of the first scenario here
    #[arg(long)]
    report: Option<PathBuf>,
    /// Keep the results, for `compare`
    #[arg(long)]
    save: Option<PathBuf>,
}

pub(super) fn play(args: Run) -> Result<Went, String> {
    // All are read before any is played.
    let read: Result<Vec<Scenario>, String> = args.scenarios.iter().map(|p| Scenario::read(p)).collect();
    let scenarios = read?;
    let (policies, seeds) = (args.days.policies(), args.days.seeds());
    let bar = bar((scenarios.len() * policies.len() * seeds.len()) as u64);
    let mut all = Vec::new();
    for (i, scenario) in scenarios.iter().enumerate() {
        let start = Instant::now();
        let course = args.report.is_some() && i == 0;
        let days = experiment::run(scenario, &policies, &seeds, course, &|_| bar.inc(1));
        if !args.days.json {
            bar.suspend(|| show(scenario, &days, start.elapsed().as_secs_f64()));
        }
        if let Some(path) = args.report.as_ref().filter(|_| i == 0) {
            write(path, &report::page(scenario, &days)?)?;
        }
        all.extend(days);
    }
    bar.finish_and_clear();
    all.iter_mut().for_each(|d| d.course = None);
    if let Some(path) = &args.save {
        write(path, &json(&all)?)?;
    }
    if args.days.json {
        println!("{}", json(&all)?);
    }
    Ok(went(&all))
}

fn show(scenario: &Scenario, days: &[DayOutcome], took: f64) {
    println!("{}: {}", scenario.name, scenario.about);
    println!(
        "  {:14} {:26} {:>8} {:>9} {:>6} {:>9} {:>7}  rules",
        "policy", "service [95%]", "worst 10", "of top", "legs", "into out", "pushed"
    );
    for s in experiment::summarise(days) {
        println!("  {}", row(&s));
    }
    for b in days
        .iter()
        .filter(|d| d.policy == PolicyKind::Mountshift.name())
        .flat_map(|d| d.breaches.iter())
        .take(3)
    {
        println!("  rule {} broken at {:.3} s: {}", b.rule, b.at_s, b.why);
    }
    let messages: u64 = days.iter().map(|d| d.messages).sum();
    println!("  {} days, {messages} messages, {took:.1} s", days.len());
}

fn row(s: &Summary) -> String {
    let broken = s.days_broken.iter().enumerate().filter(|(_, n)| **n > 0);
    let broken: Vec<String> = broken.map(|(i, n)| format!("{} on {n} days", i + 1)).collect();
    format!(
        "{:14} {:26} {:>8.3} {:>9} {:>6.2} {:>9.0} {:>7.1}  {}",
        s.policy,
        s.service.to_string(),
        s.worst_window.mean,
        s.place.map_or("-".to_string(), |p| format!("{p:.2}")),
        s.legs_per_message,
        s.calls_into_outages,
        s.fell_over,
        if broken.is_empty() { "kept".to_string() } else { broken.join(", ") }
    )
}
