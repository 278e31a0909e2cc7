//! `lab trace`: tells the story of one message, one wish of a client or one destination.

use super::{Policy, went};
use crate::Went;
use clap::Args;
use mountshift_lab::day::{Day, Play, Seen};
use mountshift_scenario::Scenario;
use std::path::PathBuf;

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

pub(super) fn trace(args: Trace) -> Result<Went, String> {
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
            Fact::HandedIn { msg, request, dst, .. }
                if args.request == Some(request) || destination == Some(dst) =>
            {
                messages.insert(msg);
            }
            Fact::Endpoint { endpoint, dst, route, .. } if destination == Some(dst) => {
                places.insert(endpoint);
                routes.insert(route);
            }
            Fact::Leg { msg, call, .. } if messages.contains(&msg) => {
                calls.insert(call);
            }
            _ => {}
        }
        let about = match *fact {
            Fact::Reached { call, .. } => calls.contains(&call),
            Fact::Endpoint { endpoint, .. }
            | Fact::Told { endpoint, .. }
            | Fact::WaitTold { endpoint, .. } => places.contains(&endpoint),
            Fact::OutageBegan { route } | Fact::OutageOver { route } | Fact::FellOver { route } => {
                routes.contains(&route)
            }
            _ => fact.msg().is_some_and(|msg| messages.contains(&msg)),
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
