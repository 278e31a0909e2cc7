//! Concurrency limits. An endpoint's limit grows with answers by additive increase, falls with failures and
//! rejections by multiplicative decrease; a destination takes no more than its share of the free calls.

use crate::interface::DestinationId;
use crate::state::State;

/// A new endpoint takes so many calls at once: enough to learn its answer time, few if it is slow.
pub(super) const LIMIT_AT_START: f64 = 4.0;
/// No endpoint takes more, however well it answers: what is in flight as one dies is lost time.
pub(super) const LIMIT_MAX: f64 = 24.0;
/// What a failure or rejection leaves of the limit.
pub(super) const LIMIT_CUT: f64 = 0.6;
/// Failures in a row from which one endpoint of several is taken for dead.
pub(super) const DEAD_ENDPOINT_FAILURES: u32 = 3;
/// Calls in flight to one destination, as a multiple of those still free: two thirds of all at most.
const CALLS_PER_FREE_CALL: f64 = 2.0;

/// Keeps slow or failing destinations from taking all calls. Where calls are few their breakers open late.
pub(super) fn has_calls_for(state: &State, destination: DestinationId) -> bool {
    (state.calls.in_flight_to(destination) as f64) < CALLS_PER_FREE_CALL * state.free_calls() as f64
}
