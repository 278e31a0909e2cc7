use super::*;

const ONE_HOUR_MS: u64 = 3_600_000;

fn unix_now_ms() -> u64 {
    unix_us() / 1_000
}

#[test]
fn spans_translate_to_unix_time_and_back() {
    let clock = Clock::new(Some(unix_now_ms() - ONE_HOUR_MS));
    let span = clock.now();
    let back = clock.since_start_of_unix_ms(clock.unix_ms(span));
    assert!(span - back < Duration::from_millis(1), "{span:?} {back:?}");
    assert_eq!(clock.since_start(clock.instant(span)), span);
}

#[test]
fn the_start_lies_before_the_oldest_attempt() {
    let oldest = unix_now_ms() - ONE_HOUR_MS;
    let clock = Clock::new(Some(oldest));
    assert!(clock.now() >= Duration::from_millis(ONE_HOUR_MS));
    assert_eq!(clock.since_start_of_unix_ms(oldest), Duration::ZERO);
}

#[test]
fn an_attempt_that_another_clock_dates_ahead_does_not_move_the_start() {
    let clock = Clock::new(Some(unix_now_ms() + ONE_HOUR_MS));
    assert!(clock.now() < Duration::from_millis(ONE_HOUR_MS));
}
