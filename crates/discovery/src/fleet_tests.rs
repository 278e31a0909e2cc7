//! A model of a discovery service that is short of capacity, and of many relays that start at the same time.
//!
//! Discovery serves polls in order, each for `service_time`. A poll that is answered later than
//! `CLIENT_TIMEOUT` after it was sent fails for its relay but still costs discovery the service time. A poll
//! that would wait longer than `MAX_QUEUE_WAIT` is rejected.

use super::*;
use crate::Jitter;

const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Returns the time at which each relay receives its first list, or `None` if it does not receive one before
/// `end`.
fn first_list_times(
    schedule: PollSchedule,
    relays: u32,
    service_time: Duration,
    end: Duration,
) -> Vec<Option<Duration>> {
    let mut jitters: Vec<Jitter> = (0..relays).map(|n| Jitter::new(u64::from(n))).collect();
    let mut failures = vec![0; relays as usize];
    let mut first_lists = vec![None; relays as usize];
    let first_polls =
        jitters.iter_mut().enumerate().map(|(n, jitter)| (schedule.initial_delay(jitter.sample()), n));
    let mut polls: std::collections::BTreeSet<(Duration, usize)> = first_polls.collect();
    let mut free_at = Duration::ZERO;
    while let Some((now, n)) = polls.pop_first().filter(|(at, _)| *at < end) {
        let answered_at = free_at.max(now) + service_time;
        let is_rejected = answered_at > now + MAX_QUEUE_WAIT;
        if !is_rejected {
            free_at = answered_at;
        }
        if answered_at <= now + CLIENT_TIMEOUT {
            first_lists[n] = Some(answered_at);
            continue;
        }
        failures[n] += 1;
        let failed_at = if is_rejected { now } else { now + CLIENT_TIMEOUT };
        polls.insert((failed_at + schedule.retry_delay(failures[n], None, jitters[n].sample()), n));
    }
    first_lists
}

/// 350 relays are restarted together; discovery can serve each of them once in 6 s.
#[test]
fn large_fleet_restarted_together_gets_its_lists_within_the_poll_interval() {
    for relays in [20, 100, 350] {
        let schedule = PollSchedule { relay_count: relays, poll_interval: POLL_INTERVAL };
        let service_time = Duration::from_secs(6) / relays;
        let times = first_list_times(schedule, relays, service_time, Duration::from_secs(60));
        let last = times.iter().map(|at| at.unwrap_or(Duration::MAX)).max().unwrap();
        assert!(last <= POLL_INTERVAL, "{relays}: {last:?}");
    }
}

/// Discovery can serve each relay once in 9 s, which is almost the whole poll interval. Some relays poll
/// twice, but all of them get their list.
#[test]
fn large_fleet_gets_its_lists_from_a_discovery_near_its_capacity() {
    let schedule = PollSchedule { relay_count: 350, poll_interval: POLL_INTERVAL };
    let times = first_list_times(schedule, 350, Duration::from_secs(9) / 350, Duration::from_secs(60));
    let last = times.iter().map(|at| at.unwrap_or(Duration::MAX)).max().unwrap();
    assert!(last <= POLL_INTERVAL * 4, "{last:?}");
}

/// Checks that the model reproduces the failure: without the spread most relays get no list within a minute.
#[test]
fn unspread_polls_of_a_large_fleet_keep_discovery_saturated() {
    let service_time = Duration::from_secs(6) / 350;
    let times = first_list_times(PollSchedule::default(), 350, service_time, Duration::from_secs(60));
    let never = times.iter().filter(|at| at.is_none()).count();
    assert!(never > 175, "{never}");
}

/// A small fleet polls immediately, and with the plain backoff after a failure.
#[test]
fn polls_of_a_small_fleet_are_not_spread() {
    for relays in [1, 3, 6] {
        let schedule = PollSchedule { relay_count: relays, poll_interval: POLL_INTERVAL };
        assert_eq!(schedule.initial_delay(1.0), Duration::ZERO, "{relays}");
        assert_eq!(schedule.retry_delay(1, None, 0.5), INITIAL_BACKOFF, "{relays}");
    }
    // A poll interval out of range still lets every relay poll.
    let out_of_range = PollSchedule { relay_count: 350, poll_interval: Duration::MAX };
    assert!(
        out_of_range.initial_delay(1.0) < MAX_POLL_INTERVAL
            && out_of_range.retry_delay(40, None, 1.0) < MAX_POLL_INTERVAL * 2
    );
    // The polls of a large fleet are not spread either if the settings require no polling.
    assert_eq!(
        PollSchedule { relay_count: 350, poll_interval: Duration::ZERO }.initial_delay(1.0),
        Duration::ZERO
    );
}

/// The rule on drains allows one poll interval without a poll, and four after a failed poll.
#[test]
fn delays_stay_within_the_limits_of_the_rule_on_drains() {
    let schedule = PollSchedule { relay_count: 100_000, poll_interval: POLL_INTERVAL };
    assert!(schedule.initial_delay(1.0) < POLL_INTERVAL);
    assert!(
        schedule.retry_delay(40, Some(Duration::from_secs(9_999)), 1.0) + CLIENT_TIMEOUT < POLL_INTERVAL * 4
    );
}
