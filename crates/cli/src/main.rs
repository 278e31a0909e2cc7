//! `mountshift`: what people do with the project by hand. The laboratory in virtual time, and a load tool.
//!
//! Exit codes: 0 done, 1 a rule broke or messages were lost, 2 bad input (one plain line).
#![forbid(unsafe_code)]

mod lab;
mod load;
mod variant;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "mountshift", version, about = "Relay of messages to outside destinations: tools")]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play days of a model fleet in virtual time, compare, search, report
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Hand messages to a relay by a schedule, and measure from the moment each was due
    Load(load::Load),
}

/// How a command went, where it went at all.
pub enum Went {
    Well,
    /// A rule broke.
    Broke,
}

fn json(what: &impl serde::Serialize) -> Result<String, String> {
    serde_json::to_string_pretty(what).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let args = Args::parse();
    let went = match args.what {
        What::Lab(what) => lab::run(what),
        What::Load(what) => load::load(what),
    };
    match went {
        Ok(Went::Well) => ExitCode::SUCCESS,
        Ok(Went::Broke) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("mountshift: {reason}");
            ExitCode::from(2)
        }
    }
}
