//! The textbook rules, each alone.

use super::backoff::{Backoff, INITIAL_DELAY};
use super::circuit_breaker::CircuitBreaker;
use super::retry_budget::RetryBudget;
use mountshift::interface::{MessageId, Outcome};
use std::time::Duration;
use test_case::test_case;

const MESSAGE: MessageId = MessageId(1);
const OTHER: MessageId = MessageId(2);
const RECOVERY: Duration = Duration::from_secs(5);
/// Jitter that gives the longest delay.
const MOST_JITTER: f64 = 1.0;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn breaker_after_failures(failures: u32) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..failures {
        breaker.record_outcome(MESSAGE, Outcome::Error, Duration::ZERO);
    }
    breaker
}

#[test_case(4 => true; "below the threshold")]
#[test_case(5 => false; "at the threshold")]
fn consecutive_failures_open_the_breaker(failures: u32) -> bool {
    breaker_after_failures(failures).allows(Duration::ZERO)
}

#[test_case(Outcome::Rejected { retry_after: Duration::ZERO }; "rejected")]
#[test_case(Outcome::NotSent; "not sent")]
#[test_case(Outcome::Cancelled; "cancelled")]
fn what_says_nothing_of_health_does_not_open_the_breaker(outcome: Outcome) {
    let mut breaker = breaker_after_failures(4);
    breaker.record_outcome(MESSAGE, outcome, Duration::ZERO);
    assert!(breaker.allows(Duration::ZERO));
}

#[test]
fn a_delivery_starts_the_count_of_failures_anew() {
    let mut breaker = breaker_after_failures(4);
    breaker.record_outcome(MESSAGE, Outcome::Delivered, Duration::ZERO);
    breaker.record_outcome(MESSAGE, Outcome::Error, Duration::ZERO);
    assert!(breaker.allows(Duration::ZERO));
}

#[test]
fn one_trial_is_let_through_after_the_recovery_delay() {
    let mut breaker = breaker_after_failures(5);
    assert!(!breaker.allows(RECOVERY - ms(1)));
    assert!(breaker.allows(RECOVERY));
    breaker.record_attempt(MESSAGE);
    assert!(!breaker.allows(RECOVERY));
}

#[test_case(Outcome::Delivered => true; "a delivery closes it")]
#[test_case(Outcome::TimedOut => false; "a failure opens it again")]
fn the_trial_decides(outcome: Outcome) -> bool {
    let mut breaker = breaker_after_failures(5);
    breaker.record_attempt(MESSAGE);
    breaker.record_outcome(MESSAGE, outcome, RECOVERY);
    breaker.allows(RECOVERY + ms(1))
}

#[test]
fn the_outcome_of_another_message_does_not_end_the_trial() {
    let mut breaker = breaker_after_failures(5);
    breaker.record_attempt(MESSAGE);
    breaker.record_outcome(OTHER, Outcome::Cancelled, RECOVERY);
    assert!(!breaker.allows(RECOVERY));
}

#[test]
fn ten_first_attempts_earn_a_retry() {
    let mut budget = RetryBudget::default();
    assert!(!budget.allows_retry());
    // One more than ten, as tenths don't add up exactly.
    for _ in 0..11 {
        budget.record_attempt(false);
    }
    assert!(budget.allows_retry());
    budget.record_attempt(true);
    assert!(!budget.allows_retry());
}

#[test]
fn no_more_than_ten_retries_are_saved_up() {
    let mut budget = RetryBudget::default();
    for _ in 0..1_000 {
        budget.record_attempt(false);
    }
    for _ in 0..10 {
        assert!(budget.allows_retry());
        budget.record_attempt(true);
    }
    assert!(!budget.allows_retry());
}

#[test_case(1, 250; "first failure")]
#[test_case(2, 500; "second failure")]
#[test_case(5, 4_000; "fifth failure")]
#[test_case(6, 8_000; "sixth failure")]
#[test_case(40, 8_000; "no longer than the longest")]
fn the_delay_doubles_with_each_failure(failures: u32, delay: u64) {
    let mut backoff = Backoff::new(INITIAL_DELAY);
    for _ in 0..failures {
        backoff.record_failure(MESSAGE, Duration::ZERO, MOST_JITTER);
    }
    assert!(!backoff.allows(MESSAGE, ms(delay - 1)));
    assert!(backoff.allows(MESSAGE, ms(delay)));
}

#[test]
fn jitter_takes_half_of_the_delay_at_most() {
    let mut backoff = Backoff::new(INITIAL_DELAY);
    backoff.record_failure(MESSAGE, Duration::ZERO, 0.0);
    assert!(!backoff.allows(MESSAGE, ms(124)));
    assert!(backoff.allows(MESSAGE, ms(125)));
}

#[test]
fn a_failure_is_forgotten_with_its_message() {
    let mut backoff = Backoff::new(INITIAL_DELAY);
    backoff.record_failure(MESSAGE, Duration::ZERO, MOST_JITTER);
    backoff.record_failure(OTHER, Duration::ZERO, MOST_JITTER);
    backoff.retain(|message| message == OTHER);
    assert!(!backoff.has_failed(MESSAGE) && backoff.has_failed(OTHER));
    backoff.record_delivery(OTHER);
    assert!(!backoff.has_failed(OTHER));
}
