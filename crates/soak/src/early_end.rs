//! Finds messages that failed early although nothing prevented sending them: no attempt reached an endpoint, the
//! endpoints of their destination never had a fault meanwhile, and no process of the relay ended or stalled.
//! Failures of local system calls must not use up the attempts of a message.

use crate::installation::Installation;
use crate::oracle::SoakBreach;
use crate::recorder::{Observation, message_id, relay_of_message};
use mountshift_invariants::{Fact, FinalAnswer, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Share of the time from submission to deadline; a message fails early if more than this share remains.
const EARLY_REMAINING_SHARE: f64 = 0.3;
/// Time, in microseconds, after which the effects of an endpoint's fault (breaker, slow start) are over.
const FAULT_AFTEREFFECT: Time = 10_000_000;

/// A message without an attempt so far.
struct UnattemptedMessage {
    destination: u32,
    submitted_at: Time,
    deadline: Time,
}

/// Returns breaches for messages that failed early and without an attempt, for no reason that the stand-ins observed.
pub(crate) fn find_early_failures(
    installation: &Installation,
    observations: &[(Time, Observation)],
) -> Vec<SoakBreach> {
    let mut search = Search::default();
    let breaches =
        observations.iter().filter_map(|(at, observation)| search.observe(installation, *at, observation));
    breaches.collect()
}

/// State after the observations so far.
#[derive(Default)]
struct Search {
    unattempted: BTreeMap<u64, UnattemptedMessage>,
    faulty_endpoints: BTreeSet<usize>,
    /// Time until which faults of a destination's endpoints may have effects.
    fault_effects_until: BTreeMap<u32, Time>,
    /// Time at which a process of the relay last ended or stalled.
    relay_ended_at: BTreeMap<usize, Time>,
}

impl Search {
    fn observe(
        &mut self,
        installation: &Installation,
        at: Time,
        observation: &Observation,
    ) -> Option<SoakBreach> {
        match observation {
            Observation::EndpointFaultChanged { endpoint, is_over } => {
                self.record_endpoint_fault(installation, at, *endpoint, *is_over);
            }
            Observation::Fact(Fact::Submitted { message, destination, deadline, .. }) => {
                let (destination, deadline) = (*destination, *deadline);
                self.unattempted
                    .insert(*message, UnattemptedMessage { destination, submitted_at: at, deadline });
            }
            Observation::Fact(Fact::AttemptStarted { message, .. }) => {
                self.unattempted.remove(message);
            }
            Observation::Fact(Fact::RelayDown { relay } | Fact::RelayStalled { relay, .. }) => {
                self.relay_ended_at.insert(*relay as usize, at);
            }
            Observation::Fact(Fact::FinalAnswerGiven { message, answer: FinalAnswer::Failed, .. }) => {
                let unattempted = self.unattempted.remove(message)?;
                return self
                    .is_early(&unattempted, relay_of_message(*message), at)
                    .then(|| breach(*message, at));
            }
            _ => {}
        }
        None
    }

    fn record_endpoint_fault(
        &mut self,
        installation: &Installation,
        at: Time,
        endpoint: usize,
        is_over: bool,
    ) {
        if is_over {
            self.faulty_endpoints.remove(&endpoint);
        } else {
            self.faulty_endpoints.insert(endpoint);
        }
        let destination_of = |endpoint: usize| installation.endpoints[endpoint].destination;
        let destination = destination_of(endpoint);
        let is_faulty = self.faulty_endpoints.iter().any(|other| destination_of(*other) == destination);
        self.fault_effects_until
            .insert(destination, if is_faulty { Time::MAX } else { at + FAULT_AFTEREFFECT });
    }

    fn is_early(&self, unattempted: &UnattemptedMessage, relay: usize, at: Time) -> bool {
        let since = unattempted.submitted_at;
        let total = unattempted.deadline.saturating_sub(since) as f64;
        let remaining = unattempted.deadline.saturating_sub(at) as f64;
        let was_faulty =
            self.fault_effects_until.get(&unattempted.destination).is_some_and(|until| *until >= since);
        let relay_ended = self.relay_ended_at.get(&relay).is_some_and(|ended_at| *ended_at >= since);
        remaining > total * EARLY_REMAINING_SHARE && !was_faulty && !relay_ended
    }
}

fn breach(message: u64, at: Time) -> SoakBreach {
    let id = message_id(message);
    SoakBreach {
        description: format!(
            "{:.3} s: {id} failed early without an attempt though its endpoints have no faults",
            at as f64 / 1e6
        ),
        message: Some(id),
        relay: Some(relay_of_message(message)),
    }
}
