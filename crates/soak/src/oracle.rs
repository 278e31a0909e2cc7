//! The oracle: finds breaches in the observations of the stand-ins. The six rules are checked by
//! `mountshift-invariants`.

use crate::early_end::find_early_failures;
use crate::installation::Installation;
use crate::known_changes::known_listings;
use crate::recorder::{Observation, message_id, relay_of_message};
use crate::wire_end::WireEnd;
use mountshift_invariants::{AttemptOutcome, Fact, InvariantChecker, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time, in microseconds, by which an attempt's end is observed later than the relay ended it. The end of the
/// connection has to reach the endpoint's task first.
const MAX_END_OBSERVATION_DELAY: Time = 300_000;

/// Maximum time, in microseconds, between the record of a stand-in delay and a delayed observation.
const DELAY_RECORD_DISTANCE: Time = 20_000;
/// Maximum time, in microseconds, between the moment when clients observe the end of a process and the record of it.
const PROCESS_END_RECORD_DISTANCE: Time = 200_000;
/// Maximum time, in microseconds, until endpoints have read what a process wrote before its end. The process starts
/// again much later.
const MAX_READ_DELAY_AFTER_EXIT: Time = 100_000;

/// A violation of a rule, or another event that must not happen.
#[derive(Clone, Debug)]
pub struct SoakBreach {
    /// Description in one line.
    pub description: String,
    /// Id of the affected message, if the breach is about a message.
    pub message: Option<String>,
    /// Number of the affected relay, if the breach is about a relay.
    pub relay: Option<usize>,
}

/// Returns all breaches in the observations. Every deadline must have passed by `end`.
pub(crate) fn find_breaches(
    installation: &Installation,
    observations: &[(Time, Observation)],
    end: Time,
) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    for (at, observation) in observations {
        match observation {
            Observation::Unanswered { relay, .. } if process_ended_near(observations, *relay, *at) => {}
            Observation::Unanswered { relay, id } => breaches.push(SoakBreach {
                description: format!(
                    "{:.3} s: submission of {id} to relay {relay} got no answer",
                    *at as f64 / 1e6
                ),
                message: Some(id.clone()),
                relay: Some(*relay),
            }),
            Observation::ProcessEvent { relay, description } => breaches.push(SoakBreach {
                description: format!("{:.3} s: relay {relay} {description}", *at as f64 / 1e6),
                message: None,
                relay: Some(*relay),
            }),
            Observation::ForeignMessageSent { message, relay } => breaches.push(SoakBreach {
                description: format!(
                    "{:.3} s: another client's message was sent under the id of an accepted one",
                    *at as f64 / 1e6
                ),
                message: Some(message_id(*message)),
                relay: Some(*relay),
            }),
            Observation::Fact(_)
            | Observation::AttemptEnded { .. }
            | Observation::StandInsDelayed { .. }
            | Observation::IdenticalCopySubmitted { .. }
            | Observation::Fault(_)
            | Observation::NotAccepted { .. }
            | Observation::ListChanged { .. }
            | Observation::ListSent { .. }
            | Observation::WatchSilenced { .. }
            | Observation::AgentReachable { .. }
            | Observation::SuccessorReported { .. }
            | Observation::EndpointFaultChanged { .. } => {}
        }
    }
    breaches.extend(sent_though_not_accepted(observations));
    breaches.extend(find_early_failures(installation, observations));
    let mut checker = InvariantChecker::new(installation.rule_parameters());
    let mut facts = facts(observations);
    if installation.polling.is_some() {
        facts.extend(known_listings(installation.relays, observations, end));
        facts.sort_by_key(|(at, _)| *at);
    }
    for (at, fact) in facts {
        checker.observe(at, fact);
    }
    for breach in checker.finish(end).breaches {
        let message = breach.history.iter().find_map(|(_, fact)| fact.message());
        breaches.push(SoakBreach {
            description: format!("{:.3} s: rule {}: {}", breach.at as f64 / 1e6, breach.rule, breach.reason),
            message: message.map(message_id),
            relay: message.map(relay_of_message),
        });
    }
    breaches
}

/// Returns whether the relay's process ended at about this time. The end is recorded a moment later than clients
/// observe it.
fn process_ended_near(observations: &[(Time, Observation)], relay: usize, at: Time) -> bool {
    observations.iter().any(|(ended_at, observation)| {
        let is_end = matches!(observation,
            Observation::Fact(Fact::RelayDown { relay: ended }) if *ended as usize == relay);
        is_end && ended_at.abs_diff(at) <= PROCESS_END_RECORD_DISTANCE
    })
}

/// Returns breaches for messages that were sent after their client had received a rejection or an error.
fn sent_though_not_accepted(observations: &[(Time, Observation)]) -> Vec<SoakBreach> {
    let mut not_accepted = BTreeSet::new();
    let mut breaches = Vec::new();
    let copied: BTreeSet<u64> =
        observations.iter().filter_map(|(_, observation)| copied_message(observation)).collect();
    for (at, observation) in observations {
        match observation {
            Observation::NotAccepted { message } if !copied.contains(message) => {
                not_accepted.insert(*message);
            }
            Observation::Fact(Fact::AttemptStarted { message, .. }) if not_accepted.contains(message) => {
                let (id, relay) = (message_id(*message), relay_of_message(*message));
                breaches.push(SoakBreach {
                    description: format!(
                        "{:.3} s: {id} was sent though it was not accepted",
                        *at as f64 / 1e6
                    ),
                    message: Some(id),
                    relay: Some(relay),
                });
            }
            _ => {}
        }
    }
    breaches
}

fn copied_message(observation: &Observation) -> Option<u64> {
    if let Observation::IdenticalCopySubmitted { message } = observation { Some(*message) } else { None }
}

/// Returns the fact in an observation, with its time. The end of a call is dated back by the stand-ins' delay at that
/// time, but not before the call's start.
fn fact_of(
    at: Time,
    observation: &Observation,
    delays: &StandInDelays,
    call_starts: &BTreeMap<u64, Time>,
) -> Option<(Time, Fact)> {
    match observation {
        Observation::Fact(fact) => Some((at, *fact)),
        Observation::AttemptEnded { message, call, relay, end } => {
            let (message, call, relay, outcome) = (*message, *call, *relay, end.outcome());
            let started_at = call_starts.get(&call).copied().unwrap_or(0);
            let at = at.saturating_sub(delays.max_near(at)).max(started_at);
            Some((at, Fact::AttemptEnded { message, call, relay, outcome }))
        }
        _ => None,
    }
}

/// Delays of the stand-ins' own tasks, by the time at which they were recorded.
struct StandInDelays(BTreeMap<Time, Time>);

impl StandInDelays {
    fn new(observations: &[(Time, Observation)]) -> StandInDelays {
        let delays = observations.iter().filter_map(|(at, observation)| match observation {
            Observation::StandInsDelayed { delay } => Some((*at, *delay)),
            _ => None,
        });
        StandInDelays(delays.collect())
    }

    /// Returns the maximum delay of an observation that was recorded at this time.
    fn max_near(&self, at: Time) -> Time {
        let delays = self.0.range(at.saturating_sub(DELAY_RECORD_DISTANCE)..=at + DELAY_RECORD_DISTANCE);
        delays.map(|(_, delay)| *delay).max().unwrap_or(0)
    }
}

/// Returns the facts in the order in which they happened at the relays.
fn facts(observations: &[(Time, Observation)]) -> Vec<(Time, Fact)> {
    let delays = StandInDelays::new(observations);
    let call_starts = observations.iter().filter_map(|(at, observation)| match observation {
        Observation::Fact(Fact::AttemptStarted { call, .. }) => Some((*call, *at)),
        _ => None,
    });
    let call_starts: BTreeMap<u64, Time> = call_starts.collect();
    let observed =
        observations.iter().filter_map(|(at, observation)| fact_of(*at, observation, &delays, &call_starts));
    let mut facts: Vec<(Time, Fact)> = observed.collect();
    facts.sort_by_key(|(at, _)| *at);
    let starts = attempt_starts(&facts);
    let delivered = delivered_messages(&facts, &starts);
    let mut adjusted = Vec::with_capacity(facts.len());
    for (at, fact) in facts {
        match fact {
            // A relay that cancels a call may start the next one at once, while the endpoint observes the end of the
            // first a moment later.
            Fact::AttemptEnded { message, call, relay, outcome } => {
                let next = next_start(&starts, message, call);
                let at = match next {
                    Some(next) if next < at && at - next <= MAX_END_OBSERVATION_DELAY => {
                        next.saturating_sub(1)
                    }
                    _ => at,
                };
                // The relay did not read a response if it made another attempt after it.
                let is_unread = next.is_some() && outcome == AttemptOutcome::Delivered;
                let outcome = if is_unread { AttemptOutcome::Error } else { outcome };
                adjusted.push((at, Fact::AttemptEnded { message, call, relay, outcome }));
            }
            // Endpoints may still read what a killed process had written.
            Fact::RelayDown { .. } => adjusted.push((at + MAX_READ_DELAY_AFTER_EXIT, fact)),
            // A final answer for a delivered message is harmless.
            Fact::FinalAnswerGiven { message, .. } | Fact::FinalAnswerReceived { message }
                if delivered.contains(&message) => {}
            _ => adjusted.push((at, fact)),
        }
    }
    adjusted.sort_by_key(|(at, _)| *at);
    adjusted
}

/// Returns the start times of each message's attempts with their call numbers, in order.
fn attempt_starts(facts: &[(Time, Fact)]) -> BTreeMap<u64, Vec<(Time, u64)>> {
    let mut starts: BTreeMap<u64, Vec<(Time, u64)>> = BTreeMap::new();
    for (at, fact) in facts {
        if let Fact::AttemptStarted { message, call, .. } = fact {
            starts.entry(*message).or_default().push((*at, *call));
        }
    }
    starts
}

/// Returns the start of the message's next attempt after this call.
fn next_start(starts: &BTreeMap<u64, Vec<(Time, u64)>>, message: u64, call: u64) -> Option<Time> {
    let starts = starts.get(&message)?;
    let position = starts.iter().position(|(_, other)| *other == call)?;
    starts.get(position + 1).map(|(at, _)| *at)
}

/// Returns the messages that an endpoint answered as delivered without a later attempt.
fn delivered_messages(facts: &[(Time, Fact)], starts: &BTreeMap<u64, Vec<(Time, u64)>>) -> BTreeSet<u64> {
    let mut delivered = BTreeSet::new();
    for (_, fact) in facts {
        if let Fact::DeliveryAnswered { message, call } = fact
            && next_start(starts, *message, *call).is_none()
        {
            delivered.insert(*message);
        }
    }
    delivered
}

/// Returns the merged timeline of a breach: observations of its message and relay, faults, and log lines of the relay.
pub(crate) fn timeline(breach: &SoakBreach, observations: &[(Time, Observation)], log: &str) -> String {
    let number = breach.message.as_deref().and_then(crate::recorder::parse_message_id);
    let mut lines = Vec::new();
    for (at, observation) in observations {
        let line = match observation {
            Observation::Fact(fact) if number.is_some() && fact.message() == number => format!("{fact}"),
            Observation::Fact(fact @ (Fact::RelayDown { relay } | Fact::RelayUp { relay }))
                if breach.relay == Some(*relay as usize) =>
            {
                format!("{fact}")
            }
            Observation::Fault(text) => format!("fault: {text}"),
            Observation::AttemptEnded { message, call, end, .. } if number == Some(*message) => {
                attempt_end_line(*message, *call, end)
            }
            Observation::ProcessEvent { relay, description } if breach.relay == Some(*relay) => {
                format!("relay {relay} {description}")
            }
            _ => continue,
        };
        lines.push(format!("{:>9.3} s  {line}", *at as f64 / 1e6));
    }
    let mut text = format!("{}\n", lines.join("\n"));
    if let Some(id) = &breach.message {
        text.push_str("relay log, lines about the message and the relay's processes:\n");
        let is_about = |line: &&str| {
            line.contains(id.as_str())
                || ["starts as", "ready on", "told to", "stopped with", "spool:"]
                    .iter()
                    .any(|words| line.contains(words))
        };
        for line in log.lines().filter(is_about) {
            text.push_str(line);
            text.push('\n');
        }
    }
    text
}

fn attempt_end_line(message: u64, call: u64, end: &WireEnd) -> String {
    let WireEnd { response, closed_by } = end;
    format!(
        "call {call} of message {message} ended: response {response:?}, connection closed by {closed_by:?}"
    )
}

/// Returns the text of all observations, one per line.
pub(crate) fn observations_text(observations: &[(Time, Observation)]) -> String {
    let mut text = String::new();
    for (at, observation) in observations {
        let line = match observation {
            Observation::Fact(fact) => fact.to_string(),
            Observation::AttemptEnded { message, call, end, .. } => attempt_end_line(*message, *call, end),
            Observation::StandInsDelayed { delay } => format!("the stand-ins were delayed by {delay} us"),
            Observation::IdenticalCopySubmitted { message } => {
                format!("an identical copy of message {message} is submitted by another client")
            }
            Observation::Unanswered { relay, id } => {
                format!("submission of {id} to relay {relay} got no answer")
            }
            Observation::ForeignMessageSent { message, relay } => {
                format!("relay {relay} sent another client's message under the id of message {message}")
            }
            Observation::ProcessEvent { relay, description } => format!("relay {relay} {description}"),
            Observation::Fault(fault) => format!("fault: {fault}"),
            Observation::NotAccepted { message } => format!("message {message} is not accepted"),
            Observation::ListChanged { revision, statuses } => format!("list {revision}: {statuses:?}"),
            Observation::ListSent { relay, revision } => format!("list {revision} is sent to relay {relay}"),
            Observation::WatchSilenced { relay, opened_at, wait } => format!(
                "a watch of relay {relay} falls silent, opened at {:.3} s for {:.3} s",
                *opened_at as f64 / 1e6,
                *wait as f64 / 1e6
            ),
            Observation::AgentReachable { relay, is_reachable } => {
                format!("agent of relay {relay} is reachable: {is_reachable}")
            }
            Observation::SuccessorReported { relay } => format!("successor of relay {relay} serves"),
            Observation::EndpointFaultChanged { endpoint, is_over: false } => {
                format!("fault of endpoint {endpoint} begins")
            }
            Observation::EndpointFaultChanged { endpoint, is_over: true } => {
                format!("fault of endpoint {endpoint} is over")
            }
        };
        text.push_str(&format!("{:>9.6} s  {line}\n", *at as f64 / 1e6));
    }
    text
}
