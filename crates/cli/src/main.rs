//! `mountshift`: command line tools for simulations in virtual time, load tests and soaks with real processes.
//!
//! Exit codes: 0 success, 1 a rule was broken or messages were lost, 2 error, such as invalid input (one line of text).
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
#[command(name = "mountshift", version, about = "Tools for the mountshift message relay")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate days of a modelled fleet in virtual time; compare, search and report
    #[command(subcommand)]
    Lab(lab::LabCommand),
    /// Submit messages to a relay on a schedule, and measure latency from the scheduled time of each
    Load(load::LoadArguments),
    /// Run generated schedules of overlapping faults against real relay processes, and check the rules
    Soak(soak::SoakArguments),
}

/// Result of a completed command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing wrong was found.
    Passed,
    /// A rule was broken, or messages were lost.
    Failed,
}

/// Exit code of a command that found a broken rule or lost messages.
const EXIT_FAILED: u8 = 1;
/// Exit code of a command that could not complete.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::from(EXIT_FAILED),
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
