//! A retry budget: each first attempt adds a fraction of a retry, so that retries can't multiply the load during an
//! outage.

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Largest number of retries in the budget: enough for a short burst of failures.
const MAX_BALANCE: f64 = 10.0;

/// The budget of retries.
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
