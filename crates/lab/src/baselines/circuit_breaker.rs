//! A textbook circuit breaker: consecutive failures open it, and after a delay the outcome of one trial closes it or
//! opens it again.

use mountshift::interface::{MessageId, Outcome};
use std::time::Duration;

/// Number of consecutive failures that opens the breaker.
const FAILURE_THRESHOLD: u32 = 5;
/// Time for which the breaker stays open before the trial.
const RECOVERY_DELAY: Duration = Duration::from_millis(5_000);

/// The breaker of one destination.
#[derive(Clone, Copy, Default)]
pub(super) struct CircuitBreaker {
    consecutive_failures: u32,
    /// Earliest time of the trial; set from the failure that opens the breaker until a delivery closes it.
    open_until: Option<Duration>,
    /// The message of the trial that is in flight.
    trial: Option<MessageId>,
}

impl CircuitBreaker {
    /// Returns whether an attempt may be sent: the breaker is neither open nor waits for the outcome of its trial.
    pub(super) fn allows(&self, now: Duration) -> bool {
        self.trial.is_none() && self.open_until.is_none_or(|until| until <= now)
    }

    /// Records an attempt; the first one after the recovery delay is the trial.
    pub(super) fn record_attempt(&mut self, message: MessageId) {
        if self.open_until.is_some() {
            self.trial = Some(message);
        }
    }

    pub(super) fn record_outcome(&mut self, message: MessageId, outcome: Outcome, now: Duration) {
        let was_trial = self.trial == Some(message);
        if was_trial {
            self.trial = None;
        }
        if outcome == Outcome::Delivered {
            self.consecutive_failures = 0;
            self.open_until = None;
        } else if is_failure(outcome) {
            self.consecutive_failures += 1;
            if was_trial || self.consecutive_failures >= FAILURE_THRESHOLD {
                self.open_until = Some(now + RECOVERY_DELAY);
            }
        }
    }
}

/// Returns whether the outcome indicates that the destination is unhealthy.
fn is_failure(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Delivered
        | Outcome::Rejected { .. }
        | Outcome::NotSent
        | Outcome::LocalFailure
        | Outcome::Cancelled => false,
        Outcome::Error
        | Outcome::ConnectionLimit
        | Outcome::TimedOut
        | Outcome::ConnectFailed
        | Outcome::Reset => true,
    }
}
