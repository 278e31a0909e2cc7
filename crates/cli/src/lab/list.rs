//! `lab list`: the scenarios of a folder, and all kinds of trouble.

use crate::Went;
use clap::Args;
use mountshift_scenario::{Scenario, TroubleKind};
use std::path::PathBuf;

#[derive(Args)]
pub struct List {
    #[arg(default_value = "examples/scenarios")]
    folder: PathBuf,
    /// The kinds of trouble, and whom they strike
    #[arg(long)]
    troubles: bool,
}

pub(super) fn list(args: List) -> Result<Went, String> {
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
