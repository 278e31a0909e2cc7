//! Names and construction of the policies that a simulated day can run with.

use crate::baselines::{Baseline, BaselineKind};
use crate::policy::Policy;
use mountshift::interface::PolicySettings;
use mountshift::policy::DeliveryPolicy;
use serde::{Deserialize, Serialize};

/// Policy of the relays of a simulated day. The serialized names are used in stored results and on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PolicyKind {
    /// The project's decisions.
    #[serde(rename = "mountshift")]
    Mountshift,
    /// One attempt for each message, in the order of arrival: the lower reference of comparisons.
    #[serde(rename = "one-try")]
    SingleAttempt,
    /// Retries after an exponential backoff with jitter.
    #[serde(rename = "backoff")]
    Backoff,
    /// Backoff with retries limited to a tenth of the first attempts.
    #[serde(rename = "retry-budget")]
    RetryBudget,
    /// Backoff with a circuit breaker for each destination.
    #[serde(rename = "plain-breaker")]
    CircuitBreaker,
    /// Backoff that always selects the endpoint with the fewest calls in flight.
    #[serde(rename = "least-out")]
    LeastInFlight,
    /// Access to the true state of the model: the upper reference of comparisons.
    #[serde(rename = "sees-all")]
    Omniscient,
}

impl PolicyKind {
    /// All policies, in the order of reports.
    pub const ALL: [PolicyKind; 7] = [
        PolicyKind::Mountshift,
        PolicyKind::SingleAttempt,
        PolicyKind::Backoff,
        PolicyKind::RetryBudget,
        PolicyKind::CircuitBreaker,
        PolicyKind::LeastInFlight,
        PolicyKind::Omniscient,
    ];

    /// Returns the name used in results and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Mountshift => "mountshift",
            PolicyKind::SingleAttempt => "one-try",
            PolicyKind::Backoff => "backoff",
            PolicyKind::RetryBudget => "retry-budget",
            PolicyKind::CircuitBreaker => "plain-breaker",
            PolicyKind::LeastInFlight => "least-out",
            PolicyKind::Omniscient => "sees-all",
        }
    }

    /// Returns whether the policy sees the true state of the model. Its relays then run one after another.
    pub fn is_omniscient(self) -> bool {
        self == PolicyKind::Omniscient
    }

    /// Creates the policy of a starting relay.
    pub fn build(self, settings: PolicySettings) -> Box<dyn Policy> {
        let baseline = match self {
            PolicyKind::Mountshift => return Box::new(DeliveryPolicy::new(settings)),
            PolicyKind::SingleAttempt => BaselineKind::SingleAttempt,
            PolicyKind::Backoff => BaselineKind::Backoff,
            PolicyKind::RetryBudget => BaselineKind::RetryBudget,
            PolicyKind::CircuitBreaker => BaselineKind::CircuitBreaker,
            PolicyKind::LeastInFlight => BaselineKind::LeastInFlight,
            PolicyKind::Omniscient => BaselineKind::Omniscient,
        };
        Box::new(Baseline::new(baseline, settings))
    }
}
