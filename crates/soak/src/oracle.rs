//! The oracle: what broke, told by what the stand-ins saw. The six rules are checked by `mountshift-invariants`.

use crate::early_end::early_ends;
use crate::installation::Installation;
use crate::recorder::{Observation, message_id, relay_of};
use crate::wire_end::WireEnd;
use mountshift_invariants::{AttemptOutcome, Fact, InvariantChecker, Time};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt's end is seen so long after the relay knew of it at most, in microseconds: the connection's end has to
/// reach the endpoint's task first.
const END_SEEN_WITHIN: Time = 300_000;

/// That the stand-ins were held up is noted so near to what they saw late, in microseconds.
const HELD_UP_NOTED_WITHIN: Time = 20_000;
/// The end of a process is seen so long after its clients see it at most, in microseconds.
const PROCESS_END_SEEN_WITHIN: Time = 200_000;
/// What a process had written is read so long after its end at most, in microseconds; it starts again much later.
const BYTES_READ_WITHIN: Time = 100_000;

/// Something that must not happen and did.
#[derive(Clone, Debug)]
pub struct SoakBreach {
    /// A line that tells what.
    pub description: String,
    /// The message that it is about, by its id, if it is about one.
    pub message: Option<String>,
    /// The relay, if it is about one.
    pub relay: Option<usize>,
}

/// All breaches that the observations show, at a time by which every message is due.
pub(crate) fn judge(
    installation: &Installation,
    observations: &[(Time, Observation)],
    end: Time,
) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    for (at, observation) in observations {
        match observation {
            Observation::Unanswered { relay, .. } if ends_near(observations, *relay, *at) => {}
            Observation::Unanswered { relay, id } => breaches.push(SoakBreach {
                description: format!(
                    "{:.3} s: request of {id} at relay {relay} got no answer",
                    *at as f64 / 1e6
                ),
                message: Some(id.clone()),
                relay: Some(*relay),
            }),
            Observation::Process { relay, what } => breaches.push(SoakBreach {
                description: format!("{:.3} s: relay {relay} {what}", *at as f64 / 1e6),
                message: None,
                relay: Some(*relay),
            }),
            Observation::Fact(_)
            | Observation::AttemptEnded { .. }
            | Observation::HeldUp { .. }
            | Observation::Copied { .. }
            | Observation::Fault(_)
            | Observation::Refused { .. }
            | Observation::EndpointFault { .. } => {}
        }
    }
    breaches.extend(refused_and_sent(observations));
    breaches.extend(early_ends(installation, observations));
    let mut checker = InvariantChecker::new(installation.rule_parameters());
    for (at, fact) in facts(observations) {
        checker.observe(at, fact);
    }
    for breach in checker.finish(end).breaches {
        let message = breach.history.iter().find_map(|(_, fact)| fact.message());
        breaches.push(SoakBreach {
            description: format!("{:.3} s: rule {}: {}", breach.at as f64 / 1e6, breach.rule, breach.reason),
            message: message.map(message_id),
            relay: message.map(relay_of),
        });
    }
    breaches
}

/// True if the relay's process ended about then by itself: that is noticed a moment later than by its clients.
fn ends_near(observations: &[(Time, Observation)], relay: usize, at: Time) -> bool {
    observations.iter().any(|(ended_at, observation)| {
        let is_end = matches!(observation,
            Observation::Fact(Fact::RelayDown { relay: ended }) if *ended as usize == relay);
        is_end && ended_at.abs_diff(at) <= PROCESS_END_SEEN_WITHIN
    })
}

/// Messages that were sent after their client had heard that they were not accepted.
fn refused_and_sent(observations: &[(Time, Observation)]) -> Vec<SoakBreach> {
    let mut refused = BTreeSet::new();
    let mut breaches = Vec::new();
    let copied: BTreeSet<u64> = observations.iter().filter_map(|(_, seen)| copied_message(seen)).collect();
    for (at, observation) in observations {
        match observation {
            Observation::Refused { message } if !copied.contains(message) => {
                refused.insert(*message);
            }
            Observation::Fact(Fact::AttemptStarted { message, .. }) if refused.contains(message) => {
                let (id, relay) = (message_id(*message), relay_of(*message));
                breaches.push(SoakBreach {
                    description: format!(
                        "{:.3} s: {id} is sent though it was not accepted",
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
    if let Observation::Copied { message } = observation { Some(*message) } else { None }
}

/// The fact that an observation is, with its time. The end of a call is as old as the stand-ins were held up just then, and not
/// older than its beginning.
fn fact_of(
    at: Time,
    observation: &Observation,
    held_up: &HeldUp,
    begun: &BTreeMap<u64, Time>,
) -> Option<(Time, Fact)> {
    match observation {
        Observation::Fact(fact) => Some((at, *fact)),
        Observation::AttemptEnded { message, call, relay, end } => {
            let (message, call, relay, outcome) = (*message, *call, *relay, end.outcome());
            let begun_at = begun.get(&call).copied().unwrap_or(0);
            let at = at.saturating_sub(held_up.near(at)).max(begun_at);
            Some((at, Fact::AttemptEnded { message, call, relay, outcome }))
        }
        _ => None,
    }
}

/// When the stand-ins' own tasks were held up, and for how long.
struct HeldUp(BTreeMap<Time, Time>);

impl HeldUp {
    fn new(observations: &[(Time, Observation)]) -> HeldUp {
        let spans = observations.iter().filter_map(|(at, observation)| match observation {
            Observation::HeldUp { span } => Some((*at, *span)),
            _ => None,
        });
        HeldUp(spans.collect())
    }

    /// For how long something that was noted then may have waited to be seen.
    fn near(&self, at: Time) -> Time {
        let spans = self.0.range(at.saturating_sub(HELD_UP_NOTED_WITHIN)..=at + HELD_UP_NOTED_WITHIN);
        spans.map(|(_, span)| *span).max().unwrap_or(0)
    }
}

/// The facts, in the order in which the relays knew of them.
fn facts(observations: &[(Time, Observation)]) -> Vec<(Time, Fact)> {
    let held_up = HeldUp::new(observations);
    let begun = observations.iter().filter_map(|(at, observation)| match observation {
        Observation::Fact(Fact::AttemptStarted { call, .. }) => Some((*call, *at)),
        _ => None,
    });
    let begun: BTreeMap<u64, Time> = begun.collect();
    let seen = observations.iter().filter_map(|(at, seen)| fact_of(*at, seen, &held_up, &begun));
    let mut facts: Vec<(Time, Fact)> = seen.collect();
    facts.sort_by_key(|(at, _)| *at);
    let starts = attempt_starts(&facts);
    let delivered = delivered_and_read(&facts, &starts);
    let mut kept = Vec::with_capacity(facts.len());
    for (at, fact) in facts {
        match fact {
            // A relay that gave a call up sends the next one at once; the end of the first is seen a moment later.
            Fact::AttemptEnded { message, call, relay, outcome } => {
                let next = next_start(&starts, message, call);
                let at = match next {
                    Some(next) if next < at && at - next <= END_SEEN_WITHIN => next.saturating_sub(1),
                    _ => at,
                };
                // An answer that was followed by another attempt was not read.
                let unread = next.is_some() && outcome == AttemptOutcome::Delivered;
                let outcome = if unread { AttemptOutcome::Error } else { outcome };
                kept.push((at, Fact::AttemptEnded { message, call, relay, outcome }));
            }
            // Endpoints still read what a process that was killed had written.
            Fact::RelayDown { .. } => kept.push((at + BYTES_READ_WITHIN, fact)),
            // A notification for a message that is over does no harm.
            Fact::FinalAnswerGiven { message, .. } | Fact::FinalAnswerReceived { message }
                if delivered.contains(&message) => {}
            _ => kept.push((at, fact)),
        }
    }
    kept.sort_by_key(|(at, _)| *at);
    kept
}

/// When the attempts of each message started, with their calls, in order.
fn attempt_starts(facts: &[(Time, Fact)]) -> BTreeMap<u64, Vec<(Time, u64)>> {
    let mut starts: BTreeMap<u64, Vec<(Time, u64)>> = BTreeMap::new();
    for (at, fact) in facts {
        if let Fact::AttemptStarted { message, call, .. } = fact {
            starts.entry(*message).or_default().push((*at, *call));
        }
    }
    starts
}

/// When the attempt after this one started.
fn next_start(starts: &BTreeMap<u64, Vec<(Time, u64)>>, message: u64, call: u64) -> Option<Time> {
    let starts = starts.get(&message)?;
    let position = starts.iter().position(|(_, other)| *other == call)?;
    starts.get(position + 1).map(|(at, _)| *at)
}

/// Messages whose delivery was answered, and of which no attempt followed.
fn delivered_and_read(facts: &[(Time, Fact)], starts: &BTreeMap<u64, Vec<(Time, u64)>>) -> BTreeSet<u64> {
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

/// The merged timeline of a message: what the stand-ins saw of it, the faults meanwhile, and the relay's log lines.
pub(crate) fn timeline(breach: &SoakBreach, observations: &[(Time, Observation)], log: &str) -> String {
    let number = breach.message.as_deref().and_then(crate::recorder::number_of_id);
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
                end_line(*message, *call, end)
            }
            Observation::Process { relay, what } if breach.relay == Some(*relay) => {
                format!("relay {relay} {what}")
            }
            _ => continue,
        };
        lines.push(format!("{:>9.3} s  {line}", *at as f64 / 1e6));
    }
    let mut text = format!("{}\n", lines.join("\n"));
    if let Some(id) = &breach.message {
        text.push_str("log of the relay, lines on the message and its processes:\n");
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

fn end_line(message: u64, call: u64, end: &WireEnd) -> String {
    let WireEnd { answer, ended_by } = end;
    format!("call {call} of message {message} ended: written {answer:?}, connection ended by {ended_by:?}")
}

/// All observations, a line each.
pub(crate) fn all_lines(observations: &[(Time, Observation)]) -> String {
    let mut text = String::new();
    for (at, observation) in observations {
        let line = match observation {
            Observation::Fact(fact) => fact.to_string(),
            Observation::AttemptEnded { message, call, end, .. } => end_line(*message, *call, end),
            Observation::HeldUp { span } => format!("the stand-ins were held up for {span} us"),
            Observation::Copied { message } => {
                format!("message {message} is handed in by another client too")
            }
            Observation::Unanswered { relay, id } => {
                format!("request of {id} at relay {relay} got no answer")
            }
            Observation::Process { relay, what } => format!("relay {relay} {what}"),
            Observation::Fault(fault) => format!("fault: {fault}"),
            Observation::Refused { message } => format!("message {message} is answered as not accepted"),
            Observation::EndpointFault { endpoint, is_over: false } => {
                format!("endpoint {endpoint} has trouble")
            }
            Observation::EndpointFault { endpoint, is_over: true } => {
                format!("endpoint {endpoint} is well")
            }
        };
        text.push_str(&format!("{:>9.6} s  {line}\n", *at as f64 / 1e6));
    }
    text
}
