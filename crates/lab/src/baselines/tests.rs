//! Unit tests of the baselines' circuit breaker, retry budget and backoff.

use super::backoff::{Backoff, INITIAL_DELAY};
use super::circuit_breaker::CircuitBreaker;
use super::retry_budget::RetryBudget;
use mountshift::interface::{MessageId, Outcome};
use std::time::Duration;
use test_case::test_case;

const MESSAGE: MessageId = MessageId(1);
const OTHER: MessageId = MessageId(2);
const RECOVERY: Duration = Duration::from_secs(5);
/// Jitter that results in the longest delay.
const MAX_JITTER: f64 = 1.0;

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
fn outcomes_unrelated_to_health_do_not_open_the_breaker(outcome: Outcome) {
    let mut breaker = breaker_after_failures(4);
    breaker.record_outcome(MESSAGE, outcome, Duration::ZERO);
    assert!(breaker.allows(Duration::ZERO));
}

#[test]
fn delivery_resets_the_failure_count() {
    let mut breaker = breaker_after_failures(4);
    breaker.record_outcome(MESSAGE, Outcome::Delivered, Duration::ZERO);
    breaker.record_outcome(MESSAGE, Outcome::Error, Duration::ZERO);
    assert!(breaker.allows(Duration::ZERO));
}

#[test]
fn breaker_allows_one_trial_after_the_recovery_delay() {
    let mut breaker = breaker_after_failures(5);
    assert!(!breaker.allows(RECOVERY - ms(1)));
    assert!(breaker.allows(RECOVERY));
    breaker.record_attempt(MESSAGE);
    assert!(!breaker.allows(RECOVERY));
}

#[test_case(Outcome::Delivered => true; "a delivery closes it")]
#[test_case(Outcome::TimedOut => false; "a failure opens it again")]
fn trial_outcome_closes_or_reopens_the_breaker(outcome: Outcome) -> bool {
    let mut breaker = breaker_after_failures(5);
    breaker.record_attempt(MESSAGE);
    breaker.record_outcome(MESSAGE, outcome, RECOVERY);
    breaker.allows(RECOVERY + ms(1))
}

#[test]
fn outcome_of_another_message_does_not_end_the_trial() {
    let mut breaker = breaker_after_failures(5);
    breaker.record_attempt(MESSAGE);
    breaker.record_outcome(OTHER, Outcome::Cancelled, RECOVERY);
    assert!(!breaker.allows(RECOVERY));
}

#[test]
fn ten_first_attempts_allow_one_retry() {
    let mut budget = RetryBudget::default();
    assert!(!budget.allows_retry());
    // 11 instead of 10, because the sum of ten tenths is below 1 in floating point.
    for _ in 0..11 {
        budget.record_attempt(false);
    }
    assert!(budget.allows_retry());
    budget.record_attempt(true);
    assert!(!budget.allows_retry());
}

#[test]
fn budget_holds_at_most_ten_retries() {
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
#[test_case(40, 8_000; "no longer than the maximum")]
fn delay_doubles_with_each_failure(failures: u32, delay: u64) {
    let mut backoff = Backoff::new(INITIAL_DELAY);
    for _ in 0..failures {
        backoff.record_failure(MESSAGE, Duration::ZERO, MAX_JITTER);
    }
    assert!(!backoff.allows(MESSAGE, ms(delay - 1)));
    assert!(backoff.allows(MESSAGE, ms(delay)));
}

#[test]
fn jitter_shortens_the_delay_by_at_most_half() {
    let mut backoff = Backoff::new(INITIAL_DELAY);
    backoff.record_failure(MESSAGE, Duration::ZERO, 0.0);
    assert!(!backoff.allows(MESSAGE, ms(124)));
    assert!(backoff.allows(MESSAGE, ms(125)));
}

#[test]
fn failure_is_dropped_with_its_message_or_on_delivery() {
    let mut backoff = Backoff::new(INITIAL_DELAY);
    backoff.record_failure(MESSAGE, Duration::ZERO, MAX_JITTER);
    backoff.record_failure(OTHER, Duration::ZERO, MAX_JITTER);
    backoff.retain(|message| message == OTHER);
    assert!(!backoff.has_failed(MESSAGE) && backoff.has_failed(OTHER));
    backoff.record_delivery(OTHER);
    assert!(!backoff.has_failed(OTHER));
}
