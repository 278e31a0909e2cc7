//! `mountshift`: what people do with the project by hand. The laboratory in virtual time, and a load tool.
//!
//! Exit codes: 0 done, 1 a rule broke or messages were lost, 2 bad input (one plain line).
#![forbid(unsafe_code)]

mod error;
mod lab;
mod load;
mod output;
mod soak;
mod variant;
#[cfg(test)]
mod variant_tests;

use clap::{Parser, Subcommand};
use error::CliError;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "mountshift", version, about = "Relay of messages to outside destinations: tools")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play days of a model fleet in virtual time, compare, search, report
    #[command(subcommand)]
    Lab(lab::LabCommand),
    /// Hand messages to a relay by a schedule, and measure from the moment each was due
    Load(load::LoadArguments),
    /// Play drawn schedules of overlapping faults against real relay processes, and check the rules
    Soak(soak::SoakArguments),
}

/// What a command that was carried out has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing wrong.
    Good,
    /// A rule was broken, or messages were lost.
    Bad,
}

/// The exit code of a command that found something wrong.
const EXIT_BAD: u8 = 1;
/// The exit code of a command that could not be carried out.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(Verdict::Good) => ExitCode::SUCCESS,
        Ok(Verdict::Bad) => ExitCode::from(EXIT_BAD),
        Err(error) => {
            eprintln!("mountshift: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn run(command: Command) -> Result<Verdict, CliError> {
    match command {
        Command::Lab(command) => lab::run(command),
        Command::Load(arguments) => load::run(arguments),
        Command::Soak(arguments) => soak::run(arguments),
    }
}
