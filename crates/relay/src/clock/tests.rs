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
fn durations_translate_to_unix_time_and_back() {
    let clock = Clock::new(stored_time_now(), Some(unix_now_ms() - ONE_HOUR.as_millis() as u64));
    let since_start = clock.now();
    let translated = clock.since_start_of_unix_ms(clock.unix_ms(since_start));
    assert!(since_start - translated < Duration::from_millis(1), "{since_start:?} {translated:?}");
    assert_eq!(clock.since_start(clock.instant(since_start)), since_start);
}

#[test]
fn clock_starts_at_the_oldest_attempt() {
    let oldest = unix_now_ms() - ONE_HOUR.as_millis() as u64;
    let clock = Clock::new(stored_time_now(), Some(oldest));
    assert!(clock.now() >= ONE_HOUR);
    assert_eq!(clock.since_start_of_unix_ms(oldest), Duration::ZERO);
}

#[test]
fn attempt_dated_in_the_future_does_not_move_the_start() {
    let clock = Clock::new(stored_time_now(), Some(unix_now_ms() + ONE_HOUR.as_millis() as u64));
    assert!(clock.now() < ONE_HOUR);
}

#[test]
fn wall_clock_step_between_processes_does_not_change_stored_times() {
    let anchor = TimeAnchor::new(&reading_at(100, 5_000, Some("boot")));
    for stepped_wall in [5_010, 5_010 + 3_600, 5_010 - 3_600] {
        let later = reading_at(110, stepped_wall, Some("boot"));
        assert!(anchor.is_valid_for(&later));
        let unix = StoredTime::new(&anchor, &later).now();
        assert!(unix >= Duration::from_secs(5_010) && unix < Duration::from_secs(5_015), "{unix:?}");
    }
}

#[test]
fn anchor_is_valid_for_one_boot_only() {
    let anchor = TimeAnchor::new(&reading_at(100, 5_000, Some("boot")));
    assert!(!anchor.is_valid_for(&reading_at(110, 5_010, Some("another"))));
    assert!(!anchor.is_valid_for(&reading_at(90, 5_010, Some("boot"))), "the monotonic clock restarted");
    let unknown = TimeAnchor::new(&reading_at(100, 5_000, None));
    assert!(!unknown.is_valid_for(&reading_at(110, 5_010, None)), "the boot of the anchor is unknown");
}

#[test]
fn anchor_is_parsed_from_its_displayed_form() {
    let anchor = TimeAnchor::new(&reading_at(100, 5_000, Some("boot")));
    assert_eq!(TimeAnchor::from_text(&anchor.to_string()), Some(anchor));
    for text in ["", "mountshift-clock-1 boot 1", "mountshift-clock-1 boot 1 x", "other boot 1 2"] {
        assert_eq!(TimeAnchor::from_text(text), None, "{text}");
    }
}

#[test]
fn monotonic_readings_advance_like_instants() {
    let first = block_on(ClockReading::now(&RetryDeadlines::from_now()));
    let second = block_on(ClockReading::now(&RetryDeadlines::from_now()));
    let by_instant = second.instant - first.instant;
    let by_reading = second.monotonic - first.monotonic;
    assert!(by_reading.abs_diff(by_instant) <= READING_TOLERANCE * 2, "{by_reading:?} {by_instant:?}");
    assert!(first.boot_id.is_some());
}
