use super::*;
use async_io::block_on;

const ONE_HOUR: Duration = Duration::from_secs(3_600);

fn reading_at(monotonic_s: u64, wall_s: u64, boot_id: Option<&str>) -> ClockReading {
    ClockReading {
        boot_id: boot_id.map(str::to_string),
        monotonic: Duration::from_secs(monotonic_s),
        wall: Duration::from_secs(wall_s),
        instant: Instant::now(),
    }
}

fn stored_time_now() -> StoredTime {
    let reading = block_on(ClockReading::now(&RetryDeadlines::from_now()));
    StoredTime::new(&TimeAnchor::new(&reading), &reading)
}

fn unix_now_ms() -> u64 {
    stored_time_now().now().as_millis() as u64
}

#[test]
fn spans_translate_to_unix_time_and_back() {
    let clock = Clock::new(stored_time_now(), Some(unix_now_ms() - ONE_HOUR.as_millis() as u64));
    let span = clock.now();
    let back = clock.since_start_of_unix_ms(clock.unix_ms(span));
    assert!(span - back < Duration::from_millis(1), "{span:?} {back:?}");
    assert_eq!(clock.since_start(clock.instant(span)), span);
}

#[test]
fn the_start_lies_before_the_oldest_attempt() {
    let oldest = unix_now_ms() - ONE_HOUR.as_millis() as u64;
    let clock = Clock::new(stored_time_now(), Some(oldest));
    assert!(clock.now() >= ONE_HOUR);
    assert_eq!(clock.since_start_of_unix_ms(oldest), Duration::ZERO);
}

#[test]
fn an_attempt_that_another_clock_dates_ahead_does_not_move_the_start() {
    let clock = Clock::new(stored_time_now(), Some(unix_now_ms() + ONE_HOUR.as_millis() as u64));
    assert!(clock.now() < ONE_HOUR);
}

#[test]
fn a_step_of_the_wall_clock_between_two_processes_moves_no_stored_time() {
    let anchor = TimeAnchor::new(&reading_at(100, 5_000, Some("boot")));
    for stepped_wall in [5_010, 5_010 + 3_600, 5_010 - 3_600] {
        let later = reading_at(110, stepped_wall, Some("boot"));
        assert!(anchor.holds(&later));
        let unix = StoredTime::new(&anchor, &later).now();
        assert!(unix >= Duration::from_secs(5_010) && unix < Duration::from_secs(5_015), "{unix:?}");
    }
}

#[test]
fn an_anchor_holds_for_one_boot() {
    let anchor = TimeAnchor::new(&reading_at(100, 5_000, Some("boot")));
    assert!(!anchor.holds(&reading_at(110, 5_010, Some("another"))));
    assert!(!anchor.holds(&reading_at(90, 5_010, Some("boot"))), "its monotonic clock began anew");
    let unknown = TimeAnchor::new(&reading_at(100, 5_000, None));
    assert!(!unknown.holds(&reading_at(110, 5_010, None)), "nobody knows of which boot it is");
}

#[test]
fn an_anchor_is_read_back_from_its_text() {
    let anchor = TimeAnchor::new(&reading_at(100, 5_000, Some("boot")));
    assert_eq!(TimeAnchor::from_text(&anchor.to_string()), Some(anchor));
    for text in ["", "mountshift-clock-1 boot 1", "mountshift-clock-1 boot 1 x", "other boot 1 2"] {
        assert_eq!(TimeAnchor::from_text(text), None, "{text}");
    }
}

#[test]
fn all_processes_read_one_monotonic_clock() {
    let first = block_on(ClockReading::now(&RetryDeadlines::from_now()));
    let second = block_on(ClockReading::now(&RetryDeadlines::from_now()));
    let by_instant = second.instant - first.instant;
    let by_reading = second.monotonic - first.monotonic;
    assert!(by_reading.abs_diff(by_instant) <= READING_TOLERANCE * 2, "{by_reading:?} {by_instant:?}");
    assert!(first.boot_id.is_some());
}
