//! Changes of the endpoint list that count as known to a relay although it has not received them. Where relays have to poll
//! for the list, the protocol sets a time limit for each change by which the relay must have polled.

use crate::recorder::Observation;
use mountshift_invariants::{Fact, ListedStatus, Time};

/// Time after discovery has a change and can be reached at which the change counts as known.
const KNOWN_AFTER: Time = 6_000_000;
/// Time after the wait of a watch that has fallen silent at which what it missed counts as known.
const KNOWN_AFTER_WAIT: Time = 2_000_000;
/// Time after a successor's report that it serves at which changes count as known at once.
const KNOWN_AFTER_REPORT: Time = 2_000_000;
/// Time after the report during which a successor is checked for that. Later, its watch is one like any other.
const REPORT_CHECKED_FOR: Time = 8_000_000;

/// Interval in which the relay's process or its agent could not be reached.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    from: Time,
    until: Time,
}

/// A watch that will never get a response.
#[derive(Clone, Copy, Debug)]
struct SilentWatch {
    since: Time,
    opened_at: Time,
    wait: Time,
}

impl SilentWatch {
    /// Returns the time at which what it missed counts as known.
    fn known_at(self) -> Time {
        (self.since + KNOWN_AFTER).max(self.opened_at + self.wait + KNOWN_AFTER_WAIT)
    }
}

/// The events of a relay's discovery.
#[derive(Default)]
struct RelayDiscovery {
    unreachable: Vec<Unreachable>,
    silent_watches: Vec<SilentWatch>,
    /// Times at which successors that took over reported that they serve.
    reports: Vec<Time>,
    /// Times and revisions of the lists sent to the relay.
    sent: Vec<(Time, u64)>,
}

impl RelayDiscovery {
    fn collect(relay: usize, observations: &[(Time, Observation)]) -> RelayDiscovery {
        let mut discovery = RelayDiscovery::default();
        let (mut agent_lost_at, mut process_lost_at) = (None, None);
        for (at, observation) in observations {
            match observation {
                Observation::AgentReachable { relay: of, is_reachable } if *of == relay => {
                    discovery.record_reachability(&mut agent_lost_at, *at, *is_reachable);
                }
                Observation::Fact(Fact::RelayDown { relay: of }) if *of as usize == relay => {
                    discovery.record_reachability(&mut process_lost_at, *at, false);
                }
                Observation::Fact(Fact::RelayUp { relay: of }) if *of as usize == relay => {
                    discovery.record_reachability(&mut process_lost_at, *at, true);
                }
                Observation::WatchSilenced { relay: of, opened_at, wait } if *of == relay => {
                    let watch = SilentWatch { since: *at, opened_at: *opened_at, wait: *wait };
                    discovery.silent_watches.push(watch);
                }
                Observation::SuccessorReported { relay: of } if *of == relay => discovery.reports.push(*at),
                Observation::ListSent { relay: of, revision } if *of == relay => {
                    discovery.sent.push((*at, *revision));
                }
                _ => {}
            }
        }
        for from in [agent_lost_at, process_lost_at].into_iter().flatten() {
            discovery.unreachable.push(Unreachable { from, until: Time::MAX - KNOWN_AFTER });
        }
        discovery.unreachable.sort_by_key(|interval| interval.from);
        discovery
    }

    fn record_reachability(&mut self, lost_at: &mut Option<Time>, at: Time, is_reachable: bool) {
        if !is_reachable {
            lost_at.get_or_insert(at);
        } else if let Some(from) = lost_at.take() {
            self.unreachable.push(Unreachable { from, until: at });
        }
    }

    /// Returns the time at which a change counts as known at the latest.
    fn known_at(&self, changed_at: Time) -> Time {
        let mut known_at = changed_at + KNOWN_AFTER;
        for interval in &self.unreachable {
            if interval.from < known_at && interval.until > changed_at {
                known_at = known_at.max(interval.until + KNOWN_AFTER);
            }
        }
        for watch in &self.silent_watches {
            if watch.since <= changed_at && changed_at < watch.known_at() {
                known_at = known_at.max(watch.known_at());
            }
        }
        let after_upgrade =
            self.reports.iter().filter_map(|report| self.known_after_report(*report, changed_at));
        known_at.min(after_upgrade.min().unwrap_or(Time::MAX))
    }

    /// Returns the time at which a change counts as known to a successor that reported at `report`, if nothing kept it
    /// from following discovery.
    fn known_after_report(&self, report: Time, changed_at: Time) -> Option<Time> {
        if changed_at < report || changed_at > report + REPORT_CHECKED_FOR {
            return None;
        }
        let known_at = changed_at.max(report + KNOWN_AFTER_REPORT);
        let disturbs = |from: Time, until: Time| from < known_at && until + KNOWN_AFTER > report;
        let is_disturbed = self.unreachable.iter().any(|interval| disturbs(interval.from, interval.until))
            || self.silent_watches.iter().any(|watch| disturbs(watch.since, watch.known_at()));
        (!is_disturbed).then_some(known_at)
    }

    /// Returns whether this revision or a later one had been sent to the relay by then.
    fn was_sent(&self, revision: u64, by: Time) -> bool {
        self.sent.iter().any(|(at, sent)| *at <= by && *sent >= revision)
    }
}

/// Returns the listings that count as known to relays without having been sent to them, with their times.
pub(crate) fn known_listings(
    relays: usize,
    observations: &[(Time, Observation)],
    end: Time,
) -> Vec<(Time, Fact)> {
    let mut listings = Vec::new();
    for relay in 0..relays {
        let discovery = RelayDiscovery::collect(relay, observations);
        for (changed_at, observation) in observations {
            let Observation::ListChanged { revision, statuses } = observation else { continue };
            let known_at = discovery.known_at(*changed_at);
            if known_at < end && !discovery.was_sent(*revision, known_at) {
                listings.extend(listings_of(relay, statuses).map(|fact| (known_at, fact)));
            }
        }
    }
    listings
}

fn listings_of(relay: usize, statuses: &[ListedStatus]) -> impl Iterator<Item = Fact> + '_ {
    statuses.iter().enumerate().map(move |(endpoint, status)| Fact::EndpointListed {
        relay: relay as u32,
        endpoint: endpoint as u32,
        status: *status,
    })
}

#[cfg(test)]
#[path = "known_changes_tests.rs"]
mod tests;
