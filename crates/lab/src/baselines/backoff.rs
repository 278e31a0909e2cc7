//! Exponential backoff with jitter for failed messages.

use mountshift::interface::MessageId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest delay before the first retry: long enough for a brief overload to pass.
pub(super) const INITIAL_DELAY: Duration = Duration::from_millis(250);
/// Longest delay before any retry: about a message's deadline.
const MAX_DELAY: Duration = Duration::from_millis(8_000);
/// Largest number of doublings of the delay, which exceeds `MAX_DELAY` by then.
const MAX_DOUBLINGS: u32 = 8;

/// Retry state of a failed message.
#[derive(Clone, Copy, Default)]
struct RetryState {
    not_before: Duration,
    failed_attempts: u32,
}

/// The failed messages with their retry times.
pub(super) struct Backoff {
    initial_delay: Duration,
    retries: BTreeMap<MessageId, RetryState>,
}

impl Backoff {
    /// Creates a backoff; with an initial delay of zero a message may be retried at once.
    pub(super) fn new(initial_delay: Duration) -> Backoff {
        Backoff { initial_delay, retries: BTreeMap::new() }
    }

    /// Records a failure and schedules the retry. `jitter` is a number from 0 to 1 that scales the second half of the
    /// delay.
    pub(super) fn record_failure(&mut self, message: MessageId, now: Duration, jitter: f64) {
        let retry = self.retries.entry(message).or_default();
        let doublings = retry.failed_attempts.min(MAX_DOUBLINGS);
        let max_delay = self.initial_delay.saturating_mul(1 << doublings).min(MAX_DELAY);
        retry.failed_attempts += 1;
        retry.not_before = now + max_delay.mul_f64(0.5 + jitter / 2.0);
    }

    pub(super) fn record_delivery(&mut self, message: MessageId) {
        self.retries.remove(&message);
    }

    /// Returns whether an attempt of the message has failed.
    pub(super) fn has_failed(&self, message: MessageId) -> bool {
        self.retries.contains_key(&message)
    }

    /// Returns whether the message may be sent now.
    pub(super) fn allows(&self, message: MessageId, now: Duration) -> bool {
        self.retries.get(&message).is_none_or(|retry| retry.not_before <= now)
    }

    /// Drops the state of messages that are no longer held.
    pub(super) fn retain(&mut self, is_held: impl Fn(MessageId) -> bool) {
        self.retries.retain(|message, _| is_held(*message));
    }
}
