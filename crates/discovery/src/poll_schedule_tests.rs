use super::*;
use crate::Jitter;

/// Time after discovery has a change and can be reached at which the change counts as known to the relay.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
/// Time for the response to a poll and its handling.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Failure of a poll right after its start.
const NO_RESPONSE: PollFailure = PollFailure::NoResponse { elapsed: Duration::ZERO };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn rejected(retry_after_ms: u64) -> PollFailure {
    PollFailure::Rejected { elapsed: Duration::ZERO, retry_after: Some(ms(retry_after_ms)) }
}

/// Returns schedules of small and large fleets with these poll intervals, in milliseconds.
fn schedules(intervals: &[u64]) -> Vec<PollSchedule> {
    let of_interval = |interval: &u64| {
        let poll_interval = ms(*interval);
        [1, 6, 8, 16, 40, 43, 350, 900].map(|relay_count| PollSchedule { relay_count, poll_interval })
    };
    intervals.iter().flat_map(of_interval).collect()
}

#[test]
fn backoff_grows_with_consecutive_failures_up_to_a_bound() {
    assert_eq!(PollSchedule::default().retry_delay(1, NO_RESPONSE, 0.5), INITIAL_BACKOFF);
    assert_eq!(PollSchedule::default().retry_delay(2, NO_RESPONSE, 0.5), INITIAL_BACKOFF * 2);
    assert_eq!(PollSchedule::default().retry_delay(5, NO_RESPONSE, 0.5), MAX_BACKOFF);
    assert_eq!(PollSchedule::default().retry_delay(40, NO_RESPONSE, 0.5), MAX_BACKOFF);
    assert_eq!(PollSchedule::default().retry_delay(0, NO_RESPONSE, 0.5), INITIAL_BACKOFF);
}

/// The changes that an unresponsive watch misses count as known to the relay 6 s after it stopped responding,
/// or 2 s after the end of its wait if that is later.
#[test]
fn unresponsive_watch_is_replaced_before_its_missed_changes_count_as_known() {
    for schedule in schedules(&[0, 1, 4_000, 10_000, 60_000, u64::MAX / 2]) {
        for jitter in [0.0, 0.5, 1.0] {
            let PollTimeouts { wait, request_timeout } = schedule.poll_timeouts(true, jitter);
            // A new watch starts with a poll whose answer is due immediately.
            let due = (wait + ms(2_000)).max(KNOWN_AFTER);
            let delay = schedule.retry_delay(1, PollFailure::SilentWatch, 1.0);
            assert!(
                wait <= MAX_WATCH_WAIT && request_timeout + delay + RESPONSE_TIME < due,
                "{schedule:?}: {request_timeout:?} {delay:?} {due:?}"
            );
            // If the settings require no polling, one more poll may fail.
            let timeout = schedule.poll_timeouts(false, 0.0).request_timeout;
            let failure = PollFailure::NoResponse { elapsed: timeout };
            let next = request_timeout + delay + timeout + schedule.retry_delay(2, failure, 1.0);
            assert!(!schedule.poll_interval.is_zero() || next + RESPONSE_TIME < due, "{next:?}");
        }
    }
    // A full list requested at a new address counts as known to the relay 4 s later.
    let polling_optional = PollSchedule::default();
    let timeout = polling_optional.poll_timeouts(false, 0.0).request_timeout;
    assert!((timeout + polling_optional.retry_delay(1, NO_RESPONSE, 1.0)) * 2 < ms(4_000));
}

/// Discovery may have a change, and may be reachable again, right after the start of a process, right after a poll that
/// gets no response was sent, or as a watch breaks. Guards against delays that are spread beyond that.
#[test]
fn next_poll_is_answered_before_changes_since_the_last_one_count_as_known() {
    for schedule in schedules(&[4_000, 10_000, 60_000, u64::MAX / 2]) {
        assert!(schedule.initial_delay(1.0) + RESPONSE_TIME < KNOWN_AFTER, "{schedule:?}");
        let timeout = schedule.poll_timeouts(false, 0.0).request_timeout;
        for elapsed in [Duration::ZERO, ms(2_000), timeout] {
            for failures in [1, 2, 5, 40] {
                let delay = schedule.retry_delay(failures, PollFailure::NoResponse { elapsed }, 1.0);
                assert!(elapsed + delay + RESPONSE_TIME < KNOWN_AFTER, "{schedule:?}: {elapsed:?} {delay:?}");
            }
        }
        let longest_retry_after = PollFailure::Rejected { elapsed: ms(2_900), retry_after: Some(ms(60_000)) };
        for failure in [rejected(0), rejected(60_000), longest_retry_after] {
            let delay = schedule.retry_delay(1, failure, 1.0);
            assert!(failure.elapsed() + delay + RESPONSE_TIME < KNOWN_AFTER, "{schedule:?}: {delay:?}");
        }
    }
}

/// Guards against a large fleet whose watches fall silent together and are replaced together.
#[test]
fn watches_of_a_large_fleet_wait_for_different_times() {
    let schedule = PollSchedule { relay_count: 40, poll_interval: ms(10_000) };
    let wait = |jitter| schedule.poll_timeouts(true, jitter).wait;
    assert!(wait(0.0) == ms(10_000) && wait(0.0) - wait(1.0) > ms(3_000), "{:?}", wait(1.0));
    // A watch costs discovery one poll per wait.
    assert!(wait(0.5) > ms(8_000), "{:?}", wait(0.5));
}

#[test]
fn jitter_separates_relays_whose_polls_failed_together() {
    assert_eq!(PollSchedule::default().retry_delay(5, NO_RESPONSE, 0.0), MAX_BACKOFF / 2);
    assert_eq!(PollSchedule::default().retry_delay(5, NO_RESPONSE, 1.0), MAX_BACKOFF * 3 / 2);
    let mut jitter = Jitter::new(7);
    let samples: Vec<f64> = (0..1000).map(|_| jitter.sample()).collect();
    assert!(samples.iter().all(|d| (0.0..1.0).contains(d)));
    let low = samples.iter().filter(|d| **d < 0.5).count();
    assert!((400..600).contains(&low), "{low}");
    assert_eq!(Jitter::new(7).sample(), samples[0]);
}

#[test]
fn retry_after_of_discovery_is_respected_within_a_bound() {
    assert_eq!(PollSchedule::default().retry_delay(1, rejected(900), 0.5), ms(900));
    assert_eq!(PollSchedule::default().retry_delay(1, rejected(60_000), 0.5), MAX_RETRY_AFTER);
    assert_eq!(PollSchedule::default().retry_delay(5, rejected(10), 0.5), MAX_BACKOFF);
}
