//! A model of one discovery that is short of capacity, and of many relays that come back at one moment. It takes
//! polls in turn, each for as long as its capacity says; a poll answered later than `GIVE_UP_AFTER` after it was
//! made is lost to its relay and was work all the same; a poll that would wait beyond `MAX_QUEUE` is rejected.

use super::*;
use crate::Jitter;

const GIVE_UP_AFTER: Duration = Duration::from_secs(2);
const MAX_QUEUE: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// When each relay has received its first list; none within `end`.
fn received(
    schedule: PollSchedule,
    relays: u32,
    each_takes: Duration,
    end: Duration,
) -> Vec<Option<Duration>> {
    let mut jitters: Vec<Jitter> = (0..relays).map(|n| Jitter::new(u64::from(n))).collect();
    let mut failures = vec![0; relays as usize];
    let mut received = vec![None; relays as usize];
    let first_polls =
        jitters.iter_mut().enumerate().map(|(n, jitter)| (schedule.initial_delay(jitter.sample()), n));
    let mut polls: std::collections::BTreeSet<(Duration, usize)> = first_polls.collect();
    let mut free_at = Duration::ZERO;
    while let Some((now, n)) = polls.pop_first().filter(|(at, _)| *at < end) {
        let answered = free_at.max(now) + each_takes;
        let rejected = answered > now + MAX_QUEUE;
        if !rejected {
            free_at = answered;
        }
        if answered <= now + GIVE_UP_AFTER {
            received[n] = Some(answered);
            continue;
        }
        failures[n] += 1;
        let known_at = if rejected { now } else { now + GIVE_UP_AFTER };
        polls.insert((known_at + schedule.retry_delay(failures[n], None, jitters[n].sample()), n));
    }
    received
}

/// 350 relays restarted together against a discovery that bears each of them once in 6 s.
#[test]
fn a_large_fleet_that_restarts_together_has_its_lists_within_the_poll_interval() {
    for relays in [20, 100, 350] {
        let schedule = PollSchedule { relay_count: relays, poll_interval: POLL_INTERVAL };
        let each = Duration::from_secs(6) / relays;
        let received = received(schedule, relays, each, Duration::from_secs(60));
        let last = received.iter().map(|at| at.unwrap_or(Duration::MAX)).max().unwrap();
        assert!(last <= POLL_INTERVAL, "{relays}: {last:?}");
    }
}

/// Where each poll takes more than half of what the interval allows, some come twice but all get their list.
#[test]
fn a_large_fleet_gets_its_lists_from_a_discovery_that_bears_hardly_more_than_it_must() {
    let schedule = PollSchedule { relay_count: 350, poll_interval: POLL_INTERVAL };
    let received = received(schedule, 350, Duration::from_secs(9) / 350, Duration::from_secs(60));
    let last = received.iter().map(|at| at.unwrap_or(Duration::MAX)).max().unwrap();
    assert!(last <= POLL_INTERVAL * 4, "{last:?}");
}

/// The model shows what it guards against: without the spread most get no list within a minute.
#[test]
fn without_the_spread_the_same_fleet_keeps_discovery_saturated() {
    let each = Duration::from_secs(6) / 350;
    let received = received(PollSchedule::default(), 350, each, Duration::from_secs(60));
    let never = received.iter().filter(|at| at.is_none()).count();
    assert!(never > 175, "{never}");
}

/// A small fleet polls at once, and after a failure as before.
#[test]
fn a_small_fleet_does_not_wait() {
    for relays in [1, 3, 6] {
        let schedule = PollSchedule { relay_count: relays, poll_interval: POLL_INTERVAL };
        assert_eq!(schedule.initial_delay(1.0), Duration::ZERO, "{relays}");
        assert_eq!(schedule.retry_delay(1, None, 0.5), FIRST_PAUSE, "{relays}");
    }
    // An interval out of range still lets every relay poll.
    let ages = PollSchedule { relay_count: 350, poll_interval: Duration::MAX };
    assert!(
        ages.initial_delay(1.0) < MAX_POLL_INTERVAL
            && ages.retry_delay(40, None, 1.0) < MAX_POLL_INTERVAL * 2
    );
    // Nor do many where lists come unasked.
    assert_eq!(
        PollSchedule { relay_count: 350, poll_interval: Duration::ZERO }.initial_delay(1.0),
        Duration::ZERO
    );
}

/// The rule on drains: no longer without a poll than the interval, and four times that after a failed one.
#[test]
fn no_pause_is_longer_than_the_rule_on_drains_allows() {
    let schedule = PollSchedule { relay_count: 100_000, poll_interval: POLL_INTERVAL };
    assert!(schedule.initial_delay(1.0) < POLL_INTERVAL);
    assert!(
        schedule.retry_delay(40, Some(Duration::from_secs(9_999)), 1.0) + GIVE_UP_AFTER < POLL_INTERVAL * 4
    );
}
