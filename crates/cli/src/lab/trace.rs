//! `lab trace`: prints the history of a message, a client's request or a destination.

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
    /// Number of a message, as in breaches
    #[arg(long)]
    message: Option<u64>,
    /// Number of a client's request: all messages that were submitted for it
    #[arg(long)]
    request: Option<u64>,
    /// Destination, such as `banks/3`
    #[arg(long)]
    destination: Option<String>,
    /// All facts of the day
    #[arg(long)]
    everything: bool,
}

impl TraceArguments {
    fn has_selection(&self) -> bool {
        self.message.is_some() || self.request.is_some() || self.destination.is_some() || self.everything
    }
}

pub(super) fn run(arguments: &TraceArguments) -> Result<Verdict, CliError> {
    let scenario = read_scenario(&arguments.scenario)?;
    let options = DayOptions { policy: arguments.policy.0, seed: arguments.seed, keep_timeline: false };
    let day = Day::new(&scenario, options);
    let mut tracer = Tracer::new(arguments, find_destination(&day, arguments)?);
    if !arguments.has_selection() {
        return Err(CliError::MissingTraceSelection);
    }
    let mut observer = |at: Time, observation: DayObservation| tracer.observe(at, observation);
    let outcome = day.with_observer(&mut observer).run();
    if tracer.facts_printed == 0 {
        return Err(CliError::EmptyTrace);
    }
    println!("service of the day {:.4}, digest {}", outcome.service, outcome.digest);
    Ok(verdict(&[outcome]))
}

/// Returns the number of the selected destination, if any.
fn find_destination(day: &Day<'_>, arguments: &TraceArguments) -> Result<Option<u32>, CliError> {
    let Some(name) = &arguments.destination else { return Ok(None) };
    match day.destination(name) {
        Some(destination) => Ok(Some(destination)),
        None => Err(CliError::UnknownDestination { name: name.clone() }),
    }
}

/// Prints the facts about the selection, and collects the ids that belong to it.
struct Tracer<'a> {
    arguments: &'a TraceArguments,
    destination: Option<u32>,
    /// Prefix of the log lines of the destination's circuit breaker.
    breaker_prefix: Option<String>,
    messages: BTreeSet<u64>,
    calls: BTreeSet<u64>,
    endpoints: BTreeSet<u32>,
    routes: BTreeSet<u32>,
    facts_printed: usize,
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
            facts_printed: 0,
        }
    }

    fn observe(&mut self, at: Time, observation: DayObservation) {
        match observation {
            DayObservation::Fact(fact) => {
                self.collect_ids(fact);
                if self.arguments.everything || self.is_selected(fact) {
                    println!("{:10.4} s  {fact}", seconds(at));
                    self.facts_printed += 1;
                }
            }
            DayObservation::Log(relay, line) => {
                if self.arguments.everything || self.is_breaker_line(line) {
                    println!("{:10.4} s  relay {relay} logs: {line}", seconds(at));
                }
            }
        }
    }

    fn is_breaker_line(&self, line: &str) -> bool {
        self.breaker_prefix.as_ref().is_some_and(|prefix| line.starts_with(prefix))
    }

    /// Returns whether a submission has the selected request or destination.
    fn is_selected_submission(&self, request: u64, destination: u32) -> bool {
        self.arguments.request == Some(request) || self.destination == Some(destination)
    }

    /// Collects the ids that a fact adds to the selection.
    fn collect_ids(&mut self, fact: &Fact) {
        match *fact {
            Fact::Submitted { message, request, destination, .. }
                if self.is_selected_submission(request, destination) =>
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

    fn is_selected(&self, fact: &Fact) -> bool {
        match *fact {
            Fact::CallReceived { call, .. } => self.calls.contains(&call),
            Fact::EndpointAdded { endpoint, .. }
            | Fact::EndpointListed { endpoint, .. }
            | Fact::EndpointTakenOut { endpoint, .. }
            | Fact::EndpointPutBack { endpoint, .. }
            | Fact::RetryAfterReceived { endpoint, .. } => self.endpoints.contains(&endpoint),
            Fact::OutageStarted { route } | Fact::OutageEnded { route } | Fact::RouteOverloaded { route } => {
                self.routes.contains(&route)
            }
            _ => fact.message().is_some_and(|message| self.messages.contains(&message)),
        }
    }
}

/// Converts a time from microseconds to seconds.
fn seconds(at: Time) -> f64 {
    at as f64 / 1e6
}
