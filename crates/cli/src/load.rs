//! `mountshift load`: submits messages to a relay on a schedule, or searches for the highest rate that it sustains.

use crate::Verdict;
use crate::error::CliError;
use crate::output::to_json;
use clap::Args;
use mountshift_load::{Plan, Report, Schedule, Trial};
use mountshift_scenario::Span;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Args)]
pub(crate) struct LoadArguments {
    /// Loopback address of the relay
    #[arg(long)]
    to: SocketAddr,
    /// Messages per second; with --p99 the first rate of the search
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Change the rate linearly to this one
    #[arg(long, conflicts_with = "p99")]
    ramp_to: Option<f64>,
    /// Duration; with --p99 of each step
    #[arg(long = "for", default_value = "10 s", value_parser = span)]
    length: Span,
    #[arg(long, default_value_t = 32)]
    connections: usize,
    /// Name of the message class
    #[arg(long)]
    lane: String,
    #[arg(long, value_delimiter = ',', required = true)]
    destinations: Vec<u32>,
    /// Number of ordering keys in use, for message classes that keep order
    #[arg(long, default_value_t = 0)]
    keys: u64,
    /// Size of a message in bytes
    #[arg(long, default_value_t = 200)]
    body: usize,
    #[arg(long, default_value = "8 s", value_parser = span)]
    deadline: Span,
    /// Time without an answer after which a connection is closed
    #[arg(long, default_value = "400 ms", value_parser = span)]
    patience: Span,
    /// Search for the highest rate at which 99% of the answers arrive within this time
    #[arg(long, value_parser = span)]
    p99: Option<Span>,
    #[arg(long)]
    json: bool,
}

fn span(text: &str) -> Result<Span, String> {
    Span::try_from(text.to_string()).map_err(|e| e.to_string())
}

/// Measures the requested rate, or searches for the highest rate that the relay sustains.
pub(crate) fn run(arguments: LoadArguments) -> Result<Verdict, CliError> {
    let json = arguments.json;
    let rate = arguments.rate;
    let p99 = arguments.p99;
    let plan = plan(arguments);
    match p99 {
        Some(p99) => search(&plan, rate, p99, json),
        None => measure(&plan, json),
    }
}

fn plan(arguments: LoadArguments) -> Plan {
    // The seed differs between runs because a relay must not receive a message id twice.
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    Plan {
        relay: arguments.to,
        schedule: Schedule {
            start_rate: arguments.rate,
            end_rate: arguments.ramp_to.unwrap_or(arguments.rate),
            length: arguments.length.0,
        },
        connections: arguments.connections,
        class: arguments.lane,
        destinations: arguments.destinations,
        keys: arguments.keys,
        body_bytes: arguments.body,
        deadline: arguments.deadline.0,
        answer_timeout: arguments.patience.0,
        seed,
    }
}

fn measure(plan: &Plan, json: bool) -> Result<Verdict, CliError> {
    let report = mountshift_load::run(plan).map_err(|error| CliError::Load(error.into()))?;
    if json {
        println!("{}", to_json(&report)?);
    } else {
        println!("{report}");
    }
    Ok(if is_complete(&report) { Verdict::Passed } else { Verdict::Failed })
}

/// Returns whether the relay accepted or rejected every message. One that failed or got no answer counts as lost.
fn is_complete(report: &Report) -> bool {
    report.accepted + report.rejected == report.due
}

/// Searches for the highest rate at which 99% of the answers arrive within `p99`, starting at `first_rate`.
fn search(plan: &Plan, first_rate: f64, p99: Span, json: bool) -> Result<Verdict, CliError> {
    let best_rate =
        mountshift_load::search(plan, p99.0, print_trial).map_err(|error| CliError::Load(error.into()))?;
    if json {
        println!("{}", to_json(&best_rate)?);
    } else if let Some(rate) = best_rate {
        println!("{rate:.0} messages per second with 99% within {}", String::from(p99));
    } else {
        println!("{first_rate:.0} messages per second are not sustained");
    }
    Ok(if best_rate.is_some() { Verdict::Passed } else { Verdict::Failed })
}

fn print_trial(trial: &Trial) {
    let result = if trial.sustained { "sustained" } else { "not sustained" };
    let report = &trial.report;
    eprintln!(
        "{:8.0} per second: {result}, 99% within {:.2} ms, {} of {} accepted",
        trial.requested_rate, report.p99_ms, report.accepted, report.due
    );
}
