use super::*;
use crate::Jitter;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn pauses_grow_with_failures_in_a_row_up_to_a_bound() {
    assert_eq!(PollSchedule::default().retry_delay(1, None, 0.5), FIRST_PAUSE);
    assert_eq!(PollSchedule::default().retry_delay(2, None, 0.5), FIRST_PAUSE * 2);
    assert_eq!(PollSchedule::default().retry_delay(5, None, 0.5), MAX_PAUSE);
    assert_eq!(PollSchedule::default().retry_delay(40, None, 0.5), MAX_PAUSE);
    assert_eq!(PollSchedule::default().retry_delay(0, None, 0.5), FIRST_PAUSE);
}

/// The clock for silence: 6 s after it fell silent, or 2 s after its wait, what a watch missed counts as told.
#[test]
fn a_watch_that_falls_silent_is_polled_again_before_what_it_missed_counts_as_told() {
    for interval in [0, 1, 4_000, 10_000, 60_000, u64::MAX / 2] {
        for relays in [1, 6, 350] {
            let schedule = PollSchedule { relay_count: relays, poll_interval: ms(interval) };
            let PollTimeouts { wait, request_timeout } = schedule.poll_timeouts(true);
            // A new watch is opened by a poll whose answer is due at once.
            let due = (wait + ms(2_000)).max(ms(6_000));
            let unasked = interval == 0;
            let pause = if unasked { schedule.retry_delay(1, None, 1.0) } else { Duration::ZERO };
            assert!(wait <= MAX_WATCH_WAIT && request_timeout + pause + ms(500) < due, "{interval} {relays}");
            // One more may fail where lists come unasked.
            let next = request_timeout
                + pause
                + schedule.poll_timeouts(false).request_timeout
                + schedule.retry_delay(2, None, 1.0);
            assert!(!unasked || next + ms(500) < due, "{next:?}");
        }
    }
    // A whole list asked for at a new address counts as told 4 s later.
    let unasked = PollSchedule::default();
    assert!(
        (unasked.poll_timeouts(false).request_timeout + unasked.retry_delay(1, None, 1.0)) * 2 < ms(4_000)
    );
}

#[test]
fn relays_that_failed_together_come_back_apart() {
    assert_eq!(PollSchedule::default().retry_delay(5, None, 0.0), MAX_PAUSE / 2);
    assert_eq!(PollSchedule::default().retry_delay(5, None, 1.0), MAX_PAUSE * 3 / 2);
    let mut jitter = Jitter::new(7);
    let draws: Vec<f64> = (0..1000).map(|_| jitter.sample()).collect();
    assert!(draws.iter().all(|d| (0.0..1.0).contains(d)));
    let low = draws.iter().filter(|d| **d < 0.5).count();
    assert!((400..600).contains(&low), "{low}");
    assert_eq!(Jitter::new(7).sample(), draws[0]);
}

#[test]
fn a_retry_after_of_discovery_is_kept_within_a_bound() {
    assert_eq!(PollSchedule::default().retry_delay(1, Some(ms(900)), 0.5), ms(900));
    assert_eq!(PollSchedule::default().retry_delay(1, Some(ms(60_000)), 0.5), MAX_RETRY_AFTER);
    assert_eq!(PollSchedule::default().retry_delay(5, Some(ms(10)), 0.5), MAX_PAUSE);
}
