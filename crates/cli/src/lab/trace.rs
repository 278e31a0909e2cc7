//! `lab trace`: tells the story of one message, one wish of a client or one destination.

use super::{PolicyArgument, read_scenario, verdict};
use crate::Verdict;
use crate::error::CliError;
use clap::Args;
use mountshift_lab::day::{Day, DayObservation, DayOptions};
use mountshift_lab::{Fact, Time};
use std::collections::BTreeSet;
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct TraceArguments {
    scenario: PathBuf,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value = "mountshift")]
    policy: PolicyArgument,
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

impl TraceArguments {
    fn names_a_subject(&self) -> bool {
        self.message.is_some() || self.request.is_some() || self.destination.is_some() || self.everything
    }
}

pub(super) fn run(arguments: &TraceArguments) -> Result<Verdict, CliError> {
    let scenario = read_scenario(&arguments.scenario)?;
    let play = DayOptions { policy: arguments.policy.0, seed: arguments.seed, keep_timeline: false };
    let day = Day::new(&scenario, play);
    let mut tracer = Tracer::new(arguments, find_destination(&day, arguments)?);
    if !arguments.names_a_subject() {
        return Err(CliError::NoTraceSubject);
    }
    let mut watch = |at: Time, seen: DayObservation| tracer.see(at, seen);
    let outcome = day.with_observer(&mut watch).run();
    if tracer.facts_shown == 0 {
        return Err(CliError::EmptyTrace);
    }
    println!("service of the day {:.4}, digest {}", outcome.service, outcome.digest);
    Ok(verdict(&[outcome]))
}

/// The number of the destination that is asked about, if one is.
fn find_destination(day: &Day<'_>, arguments: &TraceArguments) -> Result<Option<u32>, CliError> {
    let Some(name) = &arguments.destination else { return Ok(None) };
    match day.destination(name) {
        Some(destination) => Ok(Some(destination)),
        None => Err(CliError::UnknownDestination { name: name.clone() }),
    }
}

/// Prints the facts that concern what is asked about; learns on the way which ids belong to it.
struct Tracer<'a> {
    arguments: &'a TraceArguments,
    destination: Option<u32>,
    /// How the log lines of the destination's circuit breaker begin.
    breaker_prefix: Option<String>,
    messages: BTreeSet<u64>,
    calls: BTreeSet<u64>,
    endpoints: BTreeSet<u32>,
    routes: BTreeSet<u32>,
    facts_shown: usize,
}

impl<'a> Tracer<'a> {
    fn new(arguments: &'a TraceArguments, destination: Option<u32>) -> Tracer<'a> {
        Tracer {
            arguments,
            destination,
            breaker_prefix: destination.map(|destination| format!("breaker of {destination}:")),
            messages: arguments.message.into_iter().collect(),
            calls: BTreeSet::new(),
            endpoints: BTreeSet::new(),
            routes: BTreeSet::new(),
            facts_shown: 0,
        }
    }

    fn see(&mut self, at: Time, seen: DayObservation) {
        match seen {
            DayObservation::Fact(fact) => {
                self.learn(fact);
                if self.arguments.everything || self.concerns(fact) {
                    println!("{:10.4} s  {fact}", seconds(at));
                    self.facts_shown += 1;
                }
            }
            DayObservation::Log(relay, line) => {
                if self.arguments.everything || self.is_of_breaker(line) {
                    println!("{:10.4} s  relay {relay} logs: {line}", seconds(at));
                }
            }
        }
    }

    fn is_of_breaker(&self, line: &str) -> bool {
        self.breaker_prefix.as_ref().is_some_and(|prefix| line.starts_with(prefix))
    }

    /// True for a submission whose request or destination is asked about.
    fn is_asked_for(&self, request: u64, destination: u32) -> bool {
        self.arguments.request == Some(request) || self.destination == Some(destination)
    }

    /// Notes the ids that a fact adds to what is asked about.
    fn learn(&mut self, fact: &Fact) {
        match *fact {
            Fact::Submitted { message, request, destination, .. }
                if self.is_asked_for(request, destination) =>
            {
                self.messages.insert(message);
            }
            Fact::EndpointAdded { endpoint, destination, route, .. }
                if self.destination == Some(destination) =>
            {
                self.endpoints.insert(endpoint);
                self.routes.insert(route);
            }
            Fact::AttemptStarted { message, call, .. } if self.messages.contains(&message) => {
                self.calls.insert(call);
            }
            _ => {}
        }
    }

    fn concerns(&self, fact: &Fact) -> bool {
        match *fact {
            Fact::CallReceived { call, .. } => self.calls.contains(&call),
            Fact::EndpointAdded { endpoint, .. }
            | Fact::EndpointListed { endpoint, .. }
            | Fact::RetryAfterReceived { endpoint, .. } => self.endpoints.contains(&endpoint),
            Fact::OutageStarted { route } | Fact::OutageEnded { route } | Fact::RouteOverloaded { route } => {
                self.routes.contains(&route)
            }
            _ => fact.message().is_some_and(|message| self.messages.contains(&message)),
        }
    }
}

/// A time of the day, which counts microseconds, in seconds.
fn seconds(at: Time) -> f64 {
    at as f64 / 1e6
}
