//! Selection of one of the permitted endpoints for an attempt.

use super::state::BaselineState;
use crate::policy::{EndpointTruth, GroundTruth};
use mountshift::interface::EndpointId;
use std::collections::BTreeMap;

/// Selects an endpoint by a random number from 0 to 1.
pub(super) fn random(candidates: &[EndpointId], random: f64) -> Option<EndpointId> {
    let position = (random * candidates.len() as f64) as usize;
    candidates.get(position).copied()
}

/// Selects the endpoint with the fewest calls in flight.
pub(super) fn least_in_flight(candidates: &[EndpointId], state: &BaselineState) -> Option<EndpointId> {
    candidates.iter().copied().min_by_key(|endpoint| (state.calls_in_flight(*endpoint), *endpoint))
}

/// Selects the available endpoint with the most spare capacity; `None` if no endpoint would accept the call.
pub(super) fn omniscient(
    candidates: &[EndpointId],
    state: &BaselineState,
    truth: &GroundTruth,
    sent_in_step: &BTreeMap<EndpointId, usize>,
) -> Option<EndpointId> {
    // A message that joins the batch of a call that is sent anyway needs no capacity of its own.
    let joins_batch = |endpoint: EndpointId| {
        sent_in_step.get(&endpoint).is_some_and(|sent| !sent.is_multiple_of(state.max_batch(endpoint)))
    };
    let has_capacity = |endpoint: EndpointId| {
        let endpoint_truth = truth_of(truth, endpoint);
        let allowance = truth.route_allowances.get(endpoint_truth.route as usize);
        endpoint_truth.spare_capacity >= 1.0 && allowance.is_some_and(|allowance| *allowance >= 1.0)
    };
    let accepts = |endpoint: &EndpointId| {
        truth_of(truth, *endpoint).available && (joins_batch(*endpoint) || has_capacity(*endpoint))
    };
    candidates.iter().copied().filter(accepts).max_by(|a, b| {
        let by_capacity = truth_of(truth, *a).spare_capacity.total_cmp(&truth_of(truth, *b).spare_capacity);
        by_capacity.then(b.cmp(a))
    })
}

/// Returns the true state of an endpoint; an unknown endpoint counts as not available.
fn truth_of(truth: &GroundTruth, endpoint: EndpointId) -> EndpointTruth {
    truth.endpoints.get(endpoint_position(endpoint)).copied().unwrap_or_default()
}

/// Returns the position of an endpoint in the ground truth; the ids of the interface start at 1.
pub(super) fn endpoint_position(endpoint: EndpointId) -> usize {
    endpoint.0 as usize - 1
}
