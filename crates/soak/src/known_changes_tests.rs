use super::*;

const SECOND: Time = 1_000_000;

/// Returns the time at which a change after 20 s counts as known to relay 0, in seconds; none if it was sent in time.
fn known_at(events: &[(f64, Observation)]) -> Option<f64> {
    let change = Observation::ListChanged { revision: 2, statuses: vec![ListedStatus::Draining] };
    let mut observations: Vec<(Time, Observation)> =
        events.iter().map(|(at, event)| ((at * 1e6) as Time, event.clone())).collect();
    observations.push((20 * SECOND, change));
    observations.sort_by_key(|(at, _)| *at);
    let listings = known_listings(1, &observations, 100 * SECOND);
    listings.first().map(|(at, _)| *at as f64 / 1e6)
}

fn reachable(is_reachable: bool) -> Observation {
    Observation::AgentReachable { relay: 0, is_reachable }
}

fn silent_watch(opened_at_s: u64) -> Observation {
    Observation::WatchSilenced { relay: 0, opened_at: opened_at_s * SECOND, wait: 10 * SECOND }
}

#[test]
fn change_counts_as_known_six_seconds_after_discovery_can_be_reached() {
    assert_eq!(known_at(&[]), Some(26.0));
    assert_eq!(known_at(&[(25.9, Observation::ListSent { relay: 0, revision: 2 })]), None);
    assert_eq!(known_at(&[(26.1, Observation::ListSent { relay: 0, revision: 2 })]), Some(26.0));
    assert_eq!(known_at(&[(25.9, Observation::ListSent { relay: 1, revision: 2 })]), Some(26.0));
    assert_eq!(known_at(&[(10.0, reachable(false)), (19.0, reachable(true))]), Some(26.0));
    assert_eq!(known_at(&[(10.0, reachable(false)), (23.0, reachable(true))]), Some(29.0));
    assert_eq!(known_at(&[(25.0, reachable(false)), (30.0, reachable(true))]), Some(36.0));
    assert_eq!(known_at(&[(10.0, reachable(false))]), None);
}

#[test]
fn change_missed_by_a_silent_watch_counts_as_known_two_seconds_after_its_wait() {
    assert_eq!(known_at(&[(19.0, silent_watch(18))]), Some(30.0));
    assert_eq!(known_at(&[(19.0, silent_watch(10))]), Some(26.0));
    assert_eq!(known_at(&[(21.0, silent_watch(18))]), Some(26.0));
}

#[test]
fn change_counts_as_known_to_a_successor_two_seconds_after_its_report() {
    let report = || Observation::SuccessorReported { relay: 0 };
    assert_eq!(known_at(&[(19.0, report())]), Some(21.0));
    assert_eq!(known_at(&[(15.0, report())]), Some(20.0));
    assert_eq!(known_at(&[(5.0, report())]), Some(26.0));
    assert_eq!(known_at(&[(19.0, report()), (19.5, silent_watch(18))]), Some(30.0));
    assert_eq!(known_at(&[(19.0, report()), (19.2, reachable(false)), (20.5, reachable(true))]), Some(26.5));
}
