//! A route: its capacity, its outages, and the load that it gets in slow start.

use crate::{Fact, Time};
use std::collections::{BTreeMap, VecDeque};

/// Facts that a route's history holds at most; a busy slow start would grow it without bound.
const MAX_HISTORY: usize = 400;

/// A call that arrived in slow start.
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) weight: f64,
    /// Its relay had learnt of a failure during the outage before it sent the call.
    pub(crate) from_witness: bool,
}

/// A route.
#[derive(Default)]
pub(crate) struct Route {
    /// Calls a second that it serves while warm.
    pub(crate) capacity: f64,
    pub(crate) in_outage: bool,
    /// When its outage ended; none while it is out or warm.
    pub(crate) slow_start_since: Option<Time>,
    /// Relays that learnt of a failure there during the outage, and when.
    pub(crate) witnesses: BTreeMap<u32, Time>,
    pub(crate) arrivals: VecDeque<Arrival>,
    pub(crate) history: VecDeque<(Time, Fact)>,
    /// The overload of this slow start is reported.
    pub(crate) overload_reported: bool,
}

impl Route {
    /// An outage starts: what was known of the last one is over.
    pub(crate) fn start_outage(&mut self, at: Time, fact: Fact) {
        self.in_outage = true;
        self.slow_start_since = None;
        self.overload_reported = false;
        self.witnesses.clear();
        self.arrivals.clear();
        self.history.clear();
        self.history.push_back((at, fact));
    }

    /// The outage is over, and slow start begins.
    pub(crate) fn end_outage(&mut self, at: Time, fact: Fact) {
        self.in_outage = false;
        self.slow_start_since = Some(at);
        self.history.push_back((at, fact));
    }

    /// True where a call that was sent then met the outage.
    pub(crate) fn was_out(&self, sent_at: Time) -> bool {
        self.in_outage || self.slow_start_since.is_some_and(|since| sent_at < since)
    }

    /// Notes that a relay learnt of a failure during the outage.
    pub(crate) fn add_witness(&mut self, relay: u32, now: Time, fact: Fact) {
        self.witnesses.entry(relay).or_insert(now);
        self.history.push_back((now, fact));
    }

    /// Notes a call that arrived in slow start, and forgets those that arrived before the window.
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
