//! The laboratory's commands.

use crate::variant::{Variant, played};
use crate::{Went, json};
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use mountshift_lab::day::{Day, Play, Seen};
use mountshift_lab::experiment::{self, Comparison, Summary};
use mountshift_lab::hunt::{self, Prey};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy::Which;
use mountshift_lab::report;
use mountshift_scenario::{Scenario, TroubleKind};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Instant;

#[derive(Subcommand)]
pub enum Lab {
    /// Play a scenario on many seeds and say what service came of it
    Run(Run),
    /// Set two sides of the same days side by side: results, scenarios or constants of the decisions
    Compare(Compare),
    /// Play a scenario with one value changed again and again
    Sweep(Sweep),
    /// Search scripts of troubles for days that break a rule or lose most, and cut the worst down
    Hunt(Hunt),
    /// Tell the story of one message, one wish of a client or one destination
    Trace(Trace),
    /// The scenarios of a folder, and all kinds of trouble
    List(List),
}

#[derive(Args)]
struct Days {
    /// How many seeds, from the first one on
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Which policies; the project's decisions alone if none is named
    #[arg(long, value_delimiter = ',')]
    policies: Vec<Policy>,
    /// All policies, with floor and top
    #[arg(long)]
    all: bool,
    /// Results as JSON on standard output
    #[arg(long)]
    json: bool,
}

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

#[derive(Args)]
pub struct Hunt {
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

#[derive(Args)]
pub struct Trace {
    scenario: PathBuf,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value = "mountshift")]
    policy: Policy,
    /// A message's number, as breaches name it
    #[arg(long)]
    message: Option<u64>,
    /// A client's wish, by number: all messages that stood for it
    #[arg(long)]
    request: Option<u64>,
    /// A destination, as `banks/3`
    #[arg(long)]
    destination: Option<String>,
    /// Every fact of the day
    #[arg(long)]
    everything: bool,
}

#[derive(Args)]
pub struct List {
    #[arg(default_value = "examples/scenarios")]
    folder: PathBuf,
    /// The kinds of trouble, and whom they strike
    #[arg(long)]
    troubles: bool,
}

/// A policy by its name.
#[derive(Clone, Copy)]
struct Policy(Which);

impl ValueEnum for Policy {
    fn value_variants<'a>() -> &'a [Policy] {
        &[
            Policy(Which::Mountshift),
            Policy(Which::OneTry),
            Policy(Which::Backoff),
            Policy(Which::RetryBudget),
            Policy(Which::PlainBreaker),
            Policy(Which::LeastOut),
            Policy(Which::SeesAll),
        ]
    }

    fn to_possible_value(&self) -> Option<clap::builder::PossibleValue> {
        Some(clap::builder::PossibleValue::new(self.0.name()))
    }
}

impl Days {
    fn policies(&self) -> Vec<Which> {
        match (self.all, self.policies.is_empty()) {
            (true, _) => Which::ALL.to_vec(),
            (_, true) => vec![Which::Mountshift],
            _ => self.policies.iter().map(|p| p.0).collect(),
        }
    }

    fn seeds(&self) -> Vec<u64> {
        (self.first_seed..self.first_seed + self.seeds.max(1)).collect()
    }
}

/// A bar where a person watches.
fn bar(steps: u64) -> ProgressBar {
    let target = if std::io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(steps), target);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} days, {elapsed} of about {duration}");
    style.into_iter().for_each(|style| bar.set_style(style));
    bar
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

pub fn run(what: Lab) -> Result<Went, String> {
    match what {
        Lab::Run(args) => play(args),
        Lab::Compare(args) => compare(args),
        Lab::Sweep(args) => sweep(args),
        Lab::Hunt(args) => search(args),
        Lab::Trace(args) => trace(args),
        Lab::List(args) => list(args),
    }
}

fn went(days: &[DayOutcome]) -> Went {
    let ours = |d: &&DayOutcome| d.policy == Which::Mountshift.name();
    if days.iter().filter(ours).all(DayOutcome::kept) { Went::Well } else { Went::Broke }
}

fn play(args: Run) -> Result<Went, String> {
    // All are read before any is played.
    let read: Result<Vec<Scenario>, String> =
        args.scenarios.iter().map(|p| Scenario::read(p).map_err(String::from)).collect();
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
    for b in
        days.iter().filter(|d| d.policy == Which::Mountshift.name()).flat_map(|d| d.breaches.iter()).take(3)
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

fn kept_or_played(path: &Path, seeds: &[u64]) -> Result<Vec<DayOutcome>, String> {
    if path.extension().is_some_and(|e| e == "json") {
        return played(path);
    }
    let scenario = Scenario { name: "compared".into(), ..Scenario::read(path)? };
    let bar = bar(seeds.len() as u64);
    let days = experiment::run(&scenario, &[Which::Mountshift], seeds, false, &|_| bar.inc(1));
    bar.finish_and_clear();
    Ok(days)
}

fn compare(args: Compare) -> Result<Went, String> {
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

fn sweep(args: Sweep) -> Result<Went, String> {
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
        sides.push((value, experiment::run(&scenario, &[Which::Mountshift], &seeds, false, &|_| bar.inc(1))));
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

fn search(args: Hunt) -> Result<Went, String> {
    let base = Scenario::read(&args.scenario)?;
    let bar = bar(args.budget as u64);
    let prey = if args.rules { Prey::Rules } else { Prey::Loss };
    let found = hunt::hunt(&base, prey, args.budget, args.seed, &|| bar.inc(1));
    bar.finish_and_clear();
    let Some(found) = found else {
        println!("{} scripts tried: no rule broken", args.budget);
        return Ok(Went::Well);
    };
    let b = found.badness;
    println!(
        "{} scripts tried. The worst, cut down from {} troubles to {}, seed {}: service {:.3}, {}",
        found.tried,
        found.troubles.0,
        found.troubles.1,
        found.seed,
        b.service,
        if args.rules {
            format!("{} breaches", b.broken)
        } else {
            format!("top {:.3}, {} breaches", b.top, b.broken)
        }
    );
    for t in &found.scenario.troubles {
        let t = t.as_ref();
        let (from, to) = (String::from(t.from), String::from(t.to));
        println!("  {} of {} from {from} to {to}", t.kind, t.who.join(", "));
    }
    if let Some(path) = &args.out {
        write(path, &found.scenario.to_text()?)?;
        println!("written to {}; play it with --first-seed {} --seeds 1", path.display(), found.seed);
    }
    Ok(if b.broken > 0 { Went::Broke } else { Went::Well })
}

fn trace(args: Trace) -> Result<Went, String> {
    use mountshift_lab::Fact;
    let scenario = Scenario::read(&args.scenario)?;
    let play = Play { which: args.policy.0, seed: args.seed, course: false };
    let day = Day::new(&scenario, play);
    let destination = match &args.destination {
        Some(name) => Some(day.destination(name).ok_or_else(|| format!("there is no destination {name}"))?),
        None => None,
    };
    if args.message.is_none() && args.request.is_none() && destination.is_none() && !args.everything {
        return Err("name a --message, a --request, a --destination, or --everything".into());
    }
    let mut messages: std::collections::BTreeSet<u64> = args.message.into_iter().collect();
    let mut calls = std::collections::BTreeSet::new();
    let mut places = std::collections::BTreeSet::new();
    let mut routes = std::collections::BTreeSet::new();
    let mut lines = 0;
    let breaker = destination.map(|dst| format!("breaker of {dst}:"));
    let mut watch = |at: u64, seen: Seen| {
        let fact = match seen {
            Seen::Fact(fact) => fact,
            Seen::Log(relay, line) => {
                if args.everything || breaker.as_ref().is_some_and(|b| line.starts_with(b)) {
                    println!("{:10.4} s  relay {relay} logs: {line}", at as f64 / 1e6);
                }
                return;
            }
        };
        match *fact {
            Fact::Submitted { message: msg, request, destination: dst, .. }
                if args.request == Some(request) || destination == Some(dst) =>
            {
                messages.insert(msg);
            }
            Fact::EndpointAdded { endpoint, destination: dst, route, .. } if destination == Some(dst) => {
                places.insert(endpoint);
                routes.insert(route);
            }
            Fact::AttemptStarted { message: msg, call, .. } if messages.contains(&msg) => {
                calls.insert(call);
            }
            _ => {}
        }
        let about = match *fact {
            Fact::CallReceived { call, .. } => calls.contains(&call),
            Fact::EndpointAdded { endpoint, .. }
            | Fact::EndpointListed { endpoint, .. }
            | Fact::RetryAfterReceived { endpoint, .. } => places.contains(&endpoint),
            Fact::OutageStarted { route } | Fact::OutageEnded { route } | Fact::RouteOverloaded { route } => {
                routes.contains(&route)
            }
            _ => fact.message().is_some_and(|msg| messages.contains(&msg)),
        };
        if about || args.everything {
            println!("{:10.4} s  {fact}", at as f64 / 1e6);
            lines += 1;
        }
    };
    let outcome = day.watched(&mut watch).play();
    if lines == 0 {
        return Err("nothing on this day is about that".into());
    }
    println!("service of the day {:.4}, digest {}", outcome.service, outcome.digest);
    Ok(went(&[outcome]))
}

fn list(args: List) -> Result<Went, String> {
    if args.troubles {
        for kind in TroubleKind::ALL {
            println!("{kind:16} {:9} {}", format!("{:?}", kind.strikes().0).to_lowercase(), kind.strikes().1);
        }
        return Ok(Went::Well);
    }
    let folder = args.folder.display();
    let entries = std::fs::read_dir(&args.folder).map_err(|e| format!("{folder}: {e}"))?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|e| e.path()).collect();
    paths.retain(|p| p.extension().is_some_and(|e| e == "toml"));
    paths.sort();
    for path in paths {
        let s = Scenario::read(&path)?;
        println!(
            "{:22} {:>4} relays {:>6} destinations  {}",
            s.name,
            s.relays.count,
            s.destinations(),
            s.about
        );
    }
    Ok(Went::Well)
}
