use super::*;
use crate::Jitter;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn backoff_grows_with_consecutive_failures_up_to_a_bound() {
    assert_eq!(PollSchedule::default().retry_delay(1, None, 0.5), INITIAL_BACKOFF);
    assert_eq!(PollSchedule::default().retry_delay(2, None, 0.5), INITIAL_BACKOFF * 2);
    assert_eq!(PollSchedule::default().retry_delay(5, None, 0.5), MAX_BACKOFF);
    assert_eq!(PollSchedule::default().retry_delay(40, None, 0.5), MAX_BACKOFF);
    assert_eq!(PollSchedule::default().retry_delay(0, None, 0.5), INITIAL_BACKOFF);
}

/// The changes that an unresponsive watch misses count as known to the relay 6 s after it stopped responding,
/// or 2 s after the end of its wait if that is later.
#[test]
fn unresponsive_watch_is_replaced_before_its_missed_changes_count_as_known() {
    for interval in [0, 1, 4_000, 10_000, 60_000, u64::MAX / 2] {
        for relays in [1, 6, 350] {
            let schedule = PollSchedule { relay_count: relays, poll_interval: ms(interval) };
            let PollTimeouts { wait, request_timeout } = schedule.poll_timeouts(true);
            // A new watch starts with a poll whose answer is due immediately.
            let due = (wait + ms(2_000)).max(ms(6_000));
            let is_polling_optional = interval == 0;
            let delay = if is_polling_optional { schedule.retry_delay(1, None, 1.0) } else { Duration::ZERO };
            assert!(wait <= MAX_WATCH_WAIT && request_timeout + delay + ms(500) < due, "{interval} {relays}");
            // If the settings require no polling, one more poll may fail.
            let next = request_timeout
                + delay
                + schedule.poll_timeouts(false).request_timeout
                + schedule.retry_delay(2, None, 1.0);
            assert!(!is_polling_optional || next + ms(500) < due, "{next:?}");
        }
    }
    // A full list requested at a new address counts as known to the relay 4 s later.
    let polling_optional = PollSchedule::default();
    assert!(
        (polling_optional.poll_timeouts(false).request_timeout + polling_optional.retry_delay(1, None, 1.0))
            * 2
            < ms(4_000)
    );
}

#[test]
fn jitter_separates_relays_whose_polls_failed_together() {
    assert_eq!(PollSchedule::default().retry_delay(5, None, 0.0), MAX_BACKOFF / 2);
    assert_eq!(PollSchedule::default().retry_delay(5, None, 1.0), MAX_BACKOFF * 3 / 2);
    let mut jitter = Jitter::new(7);
    let samples: Vec<f64> = (0..1000).map(|_| jitter.sample()).collect();
    assert!(samples.iter().all(|d| (0.0..1.0).contains(d)));
    let low = samples.iter().filter(|d| **d < 0.5).count();
    assert!((400..600).contains(&low), "{low}");
    assert_eq!(Jitter::new(7).sample(), samples[0]);
}

#[test]
fn retry_after_of_discovery_is_respected_within_a_bound() {
    assert_eq!(PollSchedule::default().retry_delay(1, Some(ms(900)), 0.5), ms(900));
    assert_eq!(PollSchedule::default().retry_delay(1, Some(ms(60_000)), 0.5), MAX_RETRY_AFTER);
    assert_eq!(PollSchedule::default().retry_delay(5, Some(ms(10)), 0.5), MAX_BACKOFF);
}
