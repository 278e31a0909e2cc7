//! All decisions of one relay. A host calls [`DeliveryPolicy::step`] with its inputs; the decisions are
//! returned as calls of [`Actions`]. Each module has one concern and its tuned constants (docs/design.md).
//! Every send passes `safety`, the one place where the six rules of the crate's documentation are enforced.

mod admission;
pub(crate) mod circuit_breaker;
mod concurrency;
mod discovery;
mod handover;
pub(crate) mod idle_connections;
pub(crate) mod pacing;
pub(crate) mod retry;
mod safety;
mod selection;
mod slow_start;
pub(crate) mod timeouts;

use crate::interface::*;
use crate::state::{EndedAttempt, PossibleRun, State};
use std::time::Duration;

/// Interval of steps while there is work; short compared to the shortest timeout and backoff.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Number of relays above which a fleet is large: trials add up, and an even share of a rate is too small for
/// uneven traffic.
const LARGE_FLEET: u32 = 6;

/// The decisions of one relay: when and where each message is sent, and when it fails.
#[derive(Default)]
pub struct DeliveryPolicy {
    state: State,
}

impl DeliveryPolicy {
    /// Creates the policy at the start of a process.
    pub fn new(settings: PolicySettings) -> DeliveryPolicy {
        let mut state = State::new(settings, admission::QUOTA_BURST_SECONDS);
        discovery::schedule_first_poll(&mut state);
        DeliveryPolicy { state }
    }

    /// Applies the inputs since the last step, then decides.
    pub fn step(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>, out: &mut dyn Actions) {
        let state = &mut self.state;
        state.now = now;
        for input in inputs {
            apply(state, input);
        }
        timeouts::count_overdue_calls(state);
        timeouts::cancel_overdue_calls(state, out);
        retry::fail_undeliverable_messages(state, out);
        idle_connections::close_idle_connections(state, out);
        selection::send_waiting(state, out);
        admission::shed_load(state, out);
        state.messages.discard_unused_queues(now);
        discovery::poll_if_due(state, out);
        for line in state.routes.take_log_lines() {
            out.log(&line);
        }
        handover::persist_routes(state, out);
        discovery::forget_unused_endpoints(state, out);
        if state.has_work() && state.wake_at.is_none_or(|at| at <= now) {
            state.wake_at = Some(now + STEP_INTERVAL);
            out.wake_after(STEP_INTERVAL);
        }
    }

    /// Rule 5: returns the time until which the next process needs the record of a message that is closed
    /// now, or none if it does not need it.
    pub fn record_needed_until(
        &self,
        message: MessageId,
        now: Duration,
        attempt: ClosingAttempt,
    ) -> Option<Duration> {
        safety::record_needed_until(&self.state, message, now, attempt)
    }

    /// Rule 5: returns a message's position in the order of its key, or none if the message is not held.
    pub fn ordering_state(&self, message: MessageId, now: Duration) -> Option<OrderingState> {
        let held = self.state.messages.get(message)?;
        Some(self.state.messages.ordering_state(message, held, now))
    }

    /// Returns a message's ordering key, or `None` if the message is unordered or not held.
    pub fn ordering_key(&self, message: MessageId) -> Option<OrderingKey> {
        self.state.messages.get(message)?.key
    }

    /// Checks the rules again right before the first byte of an attempt is written.
    ///
    /// # Errors
    /// Returns the reason why the attempt must not be sent.
    pub fn check_before_send(
        &self,
        message: MessageId,
        endpoint: EndpointId,
        now: Duration,
    ) -> Result<(), SendError> {
        safety::check_before_send(&self.state, message, endpoint, now)
    }

    /// Rules 2 and 5: returns whether an attempt may be sent that can't be recorded for the next process.
    pub fn may_send_without_record(&self, message: MessageId) -> bool {
        safety::may_send_without_record(&self.state, message)
    }

    /// Rules 3 and 6: returns whether a call may be sent to an endpoint. A host checks again before a call
    /// that starts late, as the endpoint's state may have changed.
    pub fn may_send_to(&self, endpoint: EndpointId, now: Duration) -> bool {
        safety::may_send_to(&self.state, endpoint, now)
    }
}

fn apply(state: &mut State, input: Input) {
    match input {
        Input::Submitted { message, submission } => admission::add_message(state, message, submission),
        Input::EarlierAttempt { message, zone, at, may_have_run } => {
            state.record_earlier_attempt(message, PossibleRun { at, zone }, may_have_run);
        }
        Input::FinalAnswerPending(message) => state.messages.end(message, false),
        Input::Closed(message) => state.messages.close(message),
        Input::AttemptEnded { message, endpoint, elapsed, outcome, run, closed } => {
            retry::end_attempt(state, message, &EndedAttempt { endpoint, elapsed, outcome, run, closed });
        }
        Input::RetryAfter { endpoint, duration } => state.extend_retry_after(endpoint, duration),
        Input::RateLimitReported { endpoint, rate } => pacing::set_reported_rate(state, endpoint, rate),
        Input::FullListBegins => state.endpoints.mark_all_unavailable(state.now),
        Input::EndpointListed(listed) => discovery::update_endpoint(state, listed),
        Input::ListReceived => state.record_list_received(),
        Input::ListMayBeStale => discovery::await_list_refresh(state),
        Input::PollFailed(failure) => discovery::record_poll_failure(state, failure),
        Input::EndpointRestarted(endpoint) => state.start_slow_start(endpoint),
        Input::HandoverStarted => state.is_handing_over = true,
        Input::RoutesRestored(routes) => handover::restore_routes(state, &routes),
    }
}
