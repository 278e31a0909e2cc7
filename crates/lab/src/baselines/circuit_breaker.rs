//! A circuit breaker as textbooks have it: failures in a row open it, and after a delay one trial decides.

use mountshift::interface::{MessageId, Outcome};
use std::time::Duration;

/// Consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 5;
/// How long it stays open before the trial.
const RECOVERY_DELAY: Duration = Duration::from_millis(5_000);

/// The breaker of one destination.
#[derive(Clone, Copy, Default)]
pub(super) struct CircuitBreaker {
    consecutive_failures: u32,
    /// Set from the failure that opened it until a delivery closes it.
    open_until: Option<Duration>,
    /// The message of the trial that is in flight.
    trial: Option<MessageId>,
}

impl CircuitBreaker {
    /// True unless it is open or waits for the outcome of its trial.
    pub(super) fn allows(&self, now: Duration) -> bool {
        self.trial.is_none() && self.open_until.is_none_or(|until| until <= now)
    }

    /// The first attempt after the recovery delay is the trial.
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

/// True where the outcome speaks against the destination's health.
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
