//! State of a route: its capacity, its outages and its load during slow start.

use crate::{Fact, Time};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of facts in a route's history, which would otherwise grow without bound in a busy slow start.
const MAX_HISTORY: usize = 400;

/// Call that arrived during slow start.
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) weight: f64,
    /// Whether its relay had observed a failure of the outage before it sent the call.
    pub(crate) from_witness: bool,
}

/// State of a route.
#[derive(Default)]
pub(crate) struct Route {
    /// Calls per second that it serves outside slow start.
    pub(crate) capacity: f64,
    pub(crate) in_outage: bool,
    /// End of the latest outage; `None` outside slow start.
    pub(crate) slow_start_since: Option<Time>,
    /// Relays that observed a failure of the outage, with the time of the first.
    pub(crate) witnesses: BTreeMap<u32, Time>,
    pub(crate) arrivals: VecDeque<Arrival>,
    pub(crate) history: VecDeque<(Time, Fact)>,
    /// Whether the overload of this slow start has been reported.
    pub(crate) overload_reported: bool,
}

impl Route {
    /// Starts an outage and discards the state of the previous one.
    pub(crate) fn start_outage(&mut self, at: Time, fact: Fact) {
        self.in_outage = true;
        self.slow_start_since = None;
        self.overload_reported = false;
        self.witnesses.clear();
        self.arrivals.clear();
        self.history.clear();
        self.history.push_back((at, fact));
    }

    /// Ends the outage and starts slow start.
    pub(crate) fn end_outage(&mut self, at: Time, fact: Fact) {
        self.in_outage = false;
        self.slow_start_since = Some(at);
        self.history.push_back((at, fact));
    }

    /// Returns whether a call sent at the given time encountered the outage.
    pub(crate) fn was_in_outage(&self, sent_at: Time) -> bool {
        self.in_outage || self.slow_start_since.is_some_and(|since| sent_at < since)
    }

    /// Records that a relay observed a failure of the outage.
    pub(crate) fn add_witness(&mut self, relay: u32, now: Time, fact: Fact) {
        self.witnesses.entry(relay).or_insert(now);
        self.history.push_back((now, fact));
    }

    /// Records a call that arrived in slow start and discards arrivals before the window.
    pub(crate) fn add_arrival(&mut self, arrival: Arrival, window: Time, fact: Fact) {
        let now = arrival.at;
        self.arrivals.push_back(arrival);
        self.history.push_back((now, fact));
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        while self.arrivals.front().is_some_and(|oldest| oldest.at + window < now) {
            self.arrivals.pop_front();
        }
    }
}
