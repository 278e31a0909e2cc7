//! `mountshift load`: hands messages to a relay by a schedule, and looks for the rate that it bears.

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
    /// The relay, at a loopback address
    #[arg(long)]
    to: SocketAddr,
    /// Messages a second; with --p99 the rate to begin with
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Let the rate go evenly to this one
    #[arg(long, conflicts_with = "p99")]
    ramp_to: Option<f64>,
    /// How long; with --p99 each step
    #[arg(long = "for", default_value = "10 s", value_parser = span)]
    length: Span,
    #[arg(long, default_value_t = 32)]
    connections: usize,
    /// The lane's name
    #[arg(long)]
    lane: String,
    #[arg(long, value_delimiter = ',', required = true)]
    destinations: Vec<u32>,
    /// Keys in use, for lanes that keep their order
    #[arg(long, default_value_t = 0)]
    keys: u64,
    /// Bytes of a message
    #[arg(long, default_value_t = 200)]
    body: usize,
    #[arg(long, default_value = "8 s", value_parser = span)]
    deadline: Span,
    /// A connection without an answer for so long is given up
    #[arg(long, default_value = "400 ms", value_parser = span)]
    patience: Span,
    /// Look for the highest rate at which 99% of the answers come within this span
    #[arg(long, value_parser = span)]
    p99: Option<Span>,
    #[arg(long)]
    json: bool,
}

fn span(text: &str) -> Result<Span, String> {
    Span::try_from(text.to_string()).map_err(|e| e.to_string())
}

/// Measures the rate that was asked for, or searches for the rate that the relay bears.
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
    // Ids must not come twice at one relay.
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    Plan {
        relay: arguments.to,
        schedule: Schedule {
            from: arguments.rate,
            to: arguments.ramp_to.unwrap_or(arguments.rate),
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
    Ok(if is_complete(&report) { Verdict::Good } else { Verdict::Bad })
}

/// True if every message got an answer.
fn is_complete(report: &Report) -> bool {
    report.accepted + report.rejected == report.due
}

/// Searches for the highest rate at which 99% of the answers come within the span, from `first_rate` on.
fn search(plan: &Plan, first_rate: f64, p99: Span, json: bool) -> Result<Verdict, CliError> {
    let best_rate =
        mountshift_load::search(plan, p99.0, show_tried).map_err(|error| CliError::Load(error.into()))?;
    if json {
        println!("{}", to_json(&best_rate)?);
    } else if let Some(rate) = best_rate {
        println!("{rate:.0} messages a second with 99% within {}", String::from(p99));
    } else {
        println!("not even {first_rate:.0} messages a second");
    }
    Ok(if best_rate.is_some() { Verdict::Good } else { Verdict::Bad })
}

fn show_tried(tried: &Trial) {
    let says = if tried.sustained { "borne" } else { "too much" };
    let report = &tried.report;
    eprintln!(
        "{:8.0} a second: {says}, 99% within {:.2} ms, {} of {} taken",
        tried.requested_rate, report.p99_ms, report.accepted, report.due
    );
}
