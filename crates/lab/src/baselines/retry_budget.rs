//! A retry budget: first attempts earn the retries, so that retries can't multiply the load of an outage.

/// Retries that each first attempt earns.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Retries that may be saved up: enough for a short burst of failures.
const MAX_BALANCE: f64 = 10.0;

/// The retries that may be sent now.
#[derive(Default)]
pub(super) struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    pub(super) fn allows_retry(&self) -> bool {
        self.balance >= 1.0
    }

    pub(super) fn record_attempt(&mut self, is_retry: bool) {
        let change = if is_retry { -1.0 } else { RETRIES_PER_FIRST_ATTEMPT };
        self.balance = (self.balance + change).min(MAX_BALANCE);
    }
}
