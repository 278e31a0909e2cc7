//! Concurrency limits. An endpoint's limit grows additively with successes and falls multiplicatively with
//! failures and rejections. A destination takes no more than its share of the free calls.

use crate::interface::DestinationId;
use crate::state::State;

/// Concurrency limit of a new endpoint: enough calls to measure its response time, but few in case it is slow.
pub(super) const CONCURRENCY_LIMIT_INITIAL: f64 = 4.0;
/// Highest concurrency limit of an endpoint; bounds the calls in flight whose time is lost when it fails.
pub(super) const CONCURRENCY_LIMIT_MAX: f64 = 24.0;
/// Factor by which a failure or rejection reduces the concurrency limit.
pub(super) const CONCURRENCY_LIMIT_DECREASE_FACTOR: f64 = 0.6;
/// Consecutive failures after which one endpoint of several is skipped for a while.
pub(super) const ENDPOINT_FAILURE_THRESHOLD: u32 = 3;
/// Maximum calls in flight to one destination, as a multiple of the free calls: at most two thirds of all.
const CALLS_PER_FREE_CALL: f64 = 2.0;

/// Returns whether a destination may take another call, so that slow or failing destinations do not take all.
/// If few calls are allowed in total, their breakers open late as a consequence.
pub(super) fn has_call_capacity_for(state: &State, destination: DestinationId) -> bool {
    (state.calls.in_flight_to(destination) as f64) < CALLS_PER_FREE_CALL * state.free_calls() as f64
}
