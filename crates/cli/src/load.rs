//! `mountshift load`: hands messages to a relay by a schedule, and looks for the rate that it bears.

use crate::Went;
use clap::Args;
use mountshift_load::{Plan, Schedule, Trial, run, search};
use mountshift_scenario::Span;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Args)]
pub struct Load {
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

pub fn load(args: Load) -> Result<Went, String> {
    // Ids must not come twice at one relay.
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64);
    let plan = Plan {
        relay: args.to,
        schedule: Schedule { from: args.rate, to: args.ramp_to.unwrap_or(args.rate), length: args.length.0 },
        connections: args.connections,
        class: args.lane,
        destinations: args.destinations,
        keys: args.keys,
        body_bytes: args.body,
        deadline: args.deadline.0,
        answer_timeout: args.patience.0,
        seed,
    };
    if let Some(p99) = args.p99 {
        let tell = |t: &Trial| {
            let says = if t.sustained { "borne" } else { "too much" };
            let r = &t.report;
            eprintln!(
                "{:8.0} a second: {says}, 99% within {:.2} ms, {} of {} taken",
                t.requested_rate, r.p99_ms, r.accepted, r.due
            );
        };
        let best = search(&plan, p99.0, tell)?;
        match (best, args.json) {
            (best, true) => println!("{}", crate::json(&best)?),
            (Some(best), _) => println!("{best:.0} messages a second with 99% within {}", String::from(p99)),
            (None, _) => println!("not even {:.0} messages a second", args.rate),
        }
        return Ok(if best.is_some() { Went::Well } else { Went::Broke });
    }
    let report = run(&plan)?;
    if args.json {
        println!("{}", crate::json(&report)?)
    } else {
        println!("{report}")
    }
    Ok(if report.accepted + report.rejected == report.due { Went::Well } else { Went::Broke })
}
