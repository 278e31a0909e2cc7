//! Tests of the due times of a schedule.

use mountshift_load::Schedule;
use std::time::Duration;

#[test]
fn due_times_follow_the_rate_of_a_ramp() {
    let ramp = Schedule { start_rate: 10.0, end_rate: 30.0, length: Duration::from_secs(10) };
    assert_eq!(ramp.count(), 200);
    let due_before = |s: f64| (0..200).filter(|n| ramp.due(*n).as_secs_f64() < s).count();
    // 10 * t + t * t messages are due by time t.
    assert_eq!((due_before(1.0), due_before(5.0), due_before(10.0)), (11, 75, 200));
    let steady = Schedule::steady(4.0, Duration::from_secs(2));
    assert_eq!((steady.count(), steady.due(6)), (8, Duration::from_millis(1_500)));
}
