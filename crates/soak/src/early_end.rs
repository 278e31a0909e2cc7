//! Messages that were given up early though nothing kept them from being sent: no attempt reached an endpoint, the
//! endpoints of their destination were well all the time, and no process of the relay ended. What fails on the relay's
//! own machine then must not use their attempts up.

use crate::installation::Installation;
use crate::oracle::SoakBreach;
use crate::recorder::{Observation, message_id, relay_of};
use mountshift_invariants::{Fact, FinalAnswer, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A message is given up early if more than this share of its time is left.
const EARLY_SHARE: f64 = 0.3;
/// What an endpoint's trouble leaves behind (breaker, slow start) is over after so long, in microseconds.
const AFTERMATH: Time = 10_000_000;

/// A message that has had no attempt so far.
struct Untried {
    destination: u32,
    submitted_at: Time,
    deadline: Time,
}

/// Messages that were failed early and untried for no reason that the stand-ins know of.
pub(crate) fn early_ends(
    installation: &Installation,
    observations: &[(Time, Observation)],
) -> Vec<SoakBreach> {
    let mut search = Search::default();
    let found =
        observations.iter().filter_map(|(at, observation)| search.observe(installation, *at, observation));
    found.collect()
}

/// What is known so far.
#[derive(Default)]
struct Search {
    untried: BTreeMap<u64, Untried>,
    troubled_endpoints: BTreeSet<usize>,
    /// Until when the trouble of a destination's endpoints may be felt.
    troubled_until: BTreeMap<u32, Time>,
    /// When a process of the relay ended last, or stood still.
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
            Observation::EndpointFault { endpoint, is_over } => {
                self.endpoint_trouble(installation, at, *endpoint, *is_over);
            }
            Observation::Fact(Fact::Submitted { message, destination, deadline, .. }) => {
                let (destination, deadline) = (*destination, *deadline);
                self.untried.insert(*message, Untried { destination, submitted_at: at, deadline });
            }
            Observation::Fact(Fact::AttemptStarted { message, .. }) => {
                self.untried.remove(message);
            }
            Observation::Fact(Fact::RelayDown { relay } | Fact::RelayStalled { relay, .. }) => {
                self.relay_ended_at.insert(*relay as usize, at);
            }
            Observation::Fact(Fact::FinalAnswerGiven { message, answer: FinalAnswer::Failed, .. }) => {
                let untried = self.untried.remove(message)?;
                return self.is_early(&untried, relay_of(*message), at).then(|| breach(*message, at));
            }
            _ => {}
        }
        None
    }

    fn endpoint_trouble(&mut self, installation: &Installation, at: Time, endpoint: usize, is_over: bool) {
        if is_over {
            self.troubled_endpoints.remove(&endpoint);
        } else {
            self.troubled_endpoints.insert(endpoint);
        }
        let destination_of = |endpoint: usize| installation.endpoints[endpoint].destination;
        let destination = destination_of(endpoint);
        let is_troubled = self.troubled_endpoints.iter().any(|other| destination_of(*other) == destination);
        self.troubled_until.insert(destination, if is_troubled { Time::MAX } else { at + AFTERMATH });
    }

    fn is_early(&self, untried: &Untried, relay: usize, at: Time) -> bool {
        let since = untried.submitted_at;
        let span = untried.deadline.saturating_sub(since) as f64;
        let left = untried.deadline.saturating_sub(at) as f64;
        let was_troubled = self.troubled_until.get(&untried.destination).is_some_and(|until| *until >= since);
        let relay_ended = self.relay_ended_at.get(&relay).is_some_and(|ended_at| *ended_at >= since);
        left > span * EARLY_SHARE && !was_troubled && !relay_ended
    }
}

fn breach(message: u64, at: Time) -> SoakBreach {
    let id = message_id(message);
    SoakBreach {
        description: format!(
            "{:.3} s: {id} is given up early with no call, though its endpoints are well",
            at as f64 / 1e6
        ),
        message: Some(id),
        relay: Some(relay_of(message)),
    }
}
