//! The baselines: textbook policies behind the same interface as the project's decisions. All follow the rules on
//! attempts, order, drains and Retry-After, so that they differ only in when and where they send. No baseline has a
//! slow start.

mod backoff;
mod circuit_breaker;
mod jitter;
mod retry_budget;
mod selection;
mod state;
#[cfg(test)]
mod tests;

use crate::policy::{GroundTruth, Policy};
use backoff::Backoff;
use circuit_breaker::CircuitBreaker;
use jitter::Jitter;
use mountshift::interface::*;
use retry_budget::RetryBudget;
use state::BaselineState;
use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout of an attempt as a share of the time left until the deadline, so that a retry still fits in.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.5;
/// Shortest timeout of an attempt; below it attempts would time out on ordinary answers.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The textbook rule that a baseline follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BaselineKind {
    /// No retries.
    SingleAttempt,
    /// Retries after an exponential backoff.
    Backoff,
    /// Backoff, and retries limited by a budget.
    RetryBudget,
    /// Backoff, and a circuit breaker for each destination.
    CircuitBreaker,
    /// Backoff, and the endpoint with the fewest calls in flight.
    LeastInFlight,
    /// Sends only to endpoints that accept a call according to the true state of the model.
    Omniscient,
}

/// A baseline policy.
pub(crate) struct Baseline {
    kind: BaselineKind,
    state: BaselineState,
    jitter: Jitter,
    backoff: Backoff,
    retry_budget: RetryBudget,
    breakers: BTreeMap<DestinationId, CircuitBreaker>,
    /// Number of messages sent to each endpoint in this step.
    sent_in_step: BTreeMap<EndpointId, usize>,
}

impl Baseline {
    pub(crate) fn new(kind: BaselineKind, settings: PolicySettings) -> Baseline {
        let initial_delay = match kind {
            BaselineKind::Omniscient => Duration::ZERO,
            _ => backoff::INITIAL_DELAY,
        };
        Baseline {
            kind,
            jitter: Jitter::new(&settings),
            state: BaselineState::new(settings),
            backoff: Backoff::new(initial_delay),
            retry_budget: RetryBudget::default(),
            breakers: BTreeMap::new(),
            sent_in_step: BTreeMap::new(),
        }
    }

    fn record_outcome(&mut self, message: MessageId, destination: DestinationId, outcome: Outcome) {
        let now = self.state.now;
        if self.kind == BaselineKind::CircuitBreaker {
            self.breakers.entry(destination).or_default().record_outcome(message, outcome, now);
        }
        if outcome == Outcome::Delivered {
            self.backoff.record_delivery(message);
        } else {
            let jitter = self.jitter.draw();
            self.backoff.record_failure(message, now, jitter);
        }
    }

    /// Returns the messages that may be sent now, in the order of sending.
    fn send_order(&self) -> Vec<MessageId> {
        let mut order = self.state.waiting();
        if self.kind == BaselineKind::Omniscient {
            order.sort_by_key(|message| self.state.latency_target(*message));
        }
        order
    }

    /// Returns whether the baseline's own rule allows the message to be sent now.
    fn may_attempt(&self, message: MessageId, destination: DestinationId) -> bool {
        let now = self.state.now;
        let is_retry = self.backoff.has_failed(message);
        let may_retry = match self.kind {
            BaselineKind::SingleAttempt => false,
            BaselineKind::RetryBudget => self.retry_budget.allows_retry(),
            BaselineKind::Backoff
            | BaselineKind::CircuitBreaker
            | BaselineKind::LeastInFlight
            | BaselineKind::Omniscient => true,
        };
        let breaker_allows = self.breakers.get(&destination).is_none_or(|breaker| breaker.allows(now));
        breaker_allows && self.backoff.allows(message, now) && (may_retry || !is_retry)
    }

    /// Selects an endpoint for the message; `None` if no endpoint is permitted.
    fn select_endpoint(
        &mut self,
        message: MessageId,
        destination: DestinationId,
        truth: Option<&GroundTruth>,
    ) -> Option<EndpointId> {
        let candidates: Vec<EndpointId> = self.state.permitted_endpoints(message, destination).collect();
        if candidates.is_empty() {
            return None;
        }
        match (self.kind, truth) {
            (BaselineKind::LeastInFlight, _) => selection::least_in_flight(&candidates, &self.state),
            (BaselineKind::Omniscient, Some(truth)) => {
                selection::omniscient(&candidates, &self.state, truth, &self.sent_in_step)
            }
            _ => selection::random(&candidates, self.jitter.draw()),
        }
    }

    fn attempt_timeout(&self, message: MessageId) -> Duration {
        let time_left = self.state.time_left(message);
        if self.kind == BaselineKind::Omniscient {
            return time_left;
        }
        time_left.mul_f64(ATTEMPT_TIMEOUT_SHARE).max(MIN_ATTEMPT_TIMEOUT).min(time_left)
    }

    /// Sends the message if the baseline's rule and an endpoint permit it.
    fn try_send(&mut self, message: MessageId, truth: Option<&mut GroundTruth>, actions: &mut dyn Actions) {
        let Some(destination) = self.state.destination(message) else { return };
        if !self.may_attempt(message, destination) {
            return;
        }
        let Some(endpoint) = self.select_endpoint(message, destination, truth.as_deref()) else { return };
        let timeout = self.attempt_timeout(message);
        self.state.send(message, endpoint, timeout, actions);
        self.retry_budget.record_attempt(self.backoff.has_failed(message));
        let opens_batch = self.count_in_batch(endpoint);
        if let Some(truth) = truth
            && opens_batch
        {
            account_for_call(truth, endpoint, actions);
        }
        if let Some(breaker) = self.breakers.get_mut(&destination) {
            breaker.record_attempt(message);
        }
    }

    /// Counts a message sent in this step; returns whether it is the first of a new call.
    fn count_in_batch(&mut self, endpoint: EndpointId) -> bool {
        let max_batch = self.state.max_batch(endpoint);
        let sent = self.sent_in_step.entry(endpoint).or_default();
        let opens_batch = sent.is_multiple_of(max_batch);
        *sent += 1;
        opens_batch
    }
}

/// Subtracts a call from the ground truth, and closes idle connections that may be stale.
fn account_for_call(truth: &mut GroundTruth, endpoint: EndpointId, actions: &mut dyn Actions) {
    let endpoint_truth = &mut truth.endpoints[selection::endpoint_position(endpoint)];
    endpoint_truth.spare_capacity -= 1.0;
    truth.route_allowances[endpoint_truth.route as usize] -= 1.0;
    if endpoint_truth.has_stale_connections {
        actions.close_idle_connections(endpoint);
    }
}

impl Policy for Baseline {
    fn step(
        &mut self,
        now: Duration,
        inputs: &mut Vec<Input>,
        mut truth: Option<&mut GroundTruth>,
        actions: &mut dyn Actions,
    ) {
        self.state.now = now;
        self.sent_in_step.clear();
        for input in inputs.drain(..) {
            if let Input::AttemptEnded { message, outcome, .. } = input
                && let Some(destination) = self.state.destination(message)
            {
                self.record_outcome(message, destination, outcome);
            }
            self.state.apply(input);
        }
        let never_retries = self.kind == BaselineKind::SingleAttempt;
        self.state.fail_exhausted(actions, |message| never_retries && self.backoff.has_failed(message));
        for message in self.send_order() {
            if self.state.is_at_call_limit() {
                break;
            }
            self.try_send(message, truth.as_deref_mut(), actions);
        }
        let state = &self.state;
        self.backoff.retain(|message| state.destination(message).is_some());
        self.state.request_wake(actions);
    }
}
