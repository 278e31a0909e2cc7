//! `mountshift`: what people do with the project by hand. So far the laboratory in virtual time.
//!
//! Exit codes: 0 done, 1 a rule broke or what was asked for failed, 2 bad input (one plain line).
#![forbid(unsafe_code)]

mod lab;
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
}

/// How a command went, where it went at all.
pub enum Went {
    Well,
    /// A rule broke.
    Broke,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let went = match args.what {
        What::Lab(what) => lab::run(what),
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
