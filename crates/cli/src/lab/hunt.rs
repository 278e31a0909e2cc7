//! `lab hunt`: searches scripts of troubles for bad days and cuts the worst down.

use super::{bar, write};
use crate::Went;
use clap::Args;
use mountshift_lab::hunt::{self, Prey};
use mountshift_scenario::Scenario;
use std::path::PathBuf;

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

pub(super) fn search(args: Hunt) -> Result<Went, String> {
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
