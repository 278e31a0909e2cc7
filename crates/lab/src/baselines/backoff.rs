//! Exponential backoff: a failed message waits before its retry, longer after each failure, with jitter.

use mountshift::interface::MessageId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest delay before the first retry: long enough for a single overload to pass.
pub(super) const INITIAL_DELAY: Duration = Duration::from_millis(250);
/// The longest delay before any retry: about a message's deadline.
const MAX_DELAY: Duration = Duration::from_millis(8_000);
/// Doublings after which the delay no longer grows; by then it has passed `MAX_DELAY`.
const MAX_DOUBLINGS: u32 = 8;

/// What is known of a message that failed.
#[derive(Clone, Copy, Default)]
struct RetryState {
    not_before: Duration,
    failed_attempts: u32,
}

/// The messages that failed, each with the time of its retry.
pub(super) struct Backoff {
    initial_delay: Duration,
    retries: BTreeMap<MessageId, RetryState>,
}

impl Backoff {
    /// With an initial delay of zero a message may be retried at once.
    pub(super) fn new(initial_delay: Duration) -> Backoff {
        Backoff { initial_delay, retries: BTreeMap::new() }
    }

    /// Schedules the retry; half of its delay is jitter, a number from 0 to 1.
    pub(super) fn record_failure(&mut self, message: MessageId, now: Duration, jitter: f64) {
        let retry = self.retries.entry(message).or_default();
        let doublings = retry.failed_attempts.min(MAX_DOUBLINGS);
        let longest = self.initial_delay.saturating_mul(1 << doublings).min(MAX_DELAY);
        retry.failed_attempts += 1;
        retry.not_before = now + longest.mul_f64(0.5 + jitter / 2.0);
    }

    pub(super) fn record_delivery(&mut self, message: MessageId) {
        self.retries.remove(&message);
    }

    /// True once an attempt for the message has failed.
    pub(super) fn has_failed(&self, message: MessageId) -> bool {
        self.retries.contains_key(&message)
    }

    /// True unless the message still waits for its retry.
    pub(super) fn allows(&self, message: MessageId, now: Duration) -> bool {
        self.retries.get(&message).is_none_or(|retry| retry.not_before <= now)
    }

    /// Forgets messages that are over.
    pub(super) fn retain(&mut self, is_held: impl Fn(MessageId) -> bool) {
        self.retries.retain(|message, _| is_held(*message));
    }
}
