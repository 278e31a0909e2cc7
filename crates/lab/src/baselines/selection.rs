//! Which of the permitted endpoints an attempt goes to.

use super::state::BaselineState;
use crate::policy::{EndpointTruth, GroundTruth};
use mountshift::interface::EndpointId;
use std::collections::BTreeMap;

/// Any one, chosen by a random number from 0 to 1.
pub(super) fn random(candidates: &[EndpointId], random: f64) -> Option<EndpointId> {
    let position = (random * candidates.len() as f64) as usize;
    candidates.get(position).copied()
}

/// The one with the fewest calls in flight.
pub(super) fn least_in_flight(candidates: &[EndpointId], state: &BaselineState) -> Option<EndpointId> {
    candidates.iter().copied().min_by_key(|endpoint| (state.calls_in_flight(*endpoint), *endpoint))
}

/// The available one with the most spare capacity; none if no endpoint would accept the call.
pub(super) fn omniscient(
    candidates: &[EndpointId],
    state: &BaselineState,
    truth: &GroundTruth,
    sent_in_step: &BTreeMap<EndpointId, usize>,
) -> Option<EndpointId> {
    // What joins a batch that is sent anyway needs no capacity of its own.
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

/// What is not known is not available.
fn truth_of(truth: &GroundTruth, endpoint: EndpointId) -> EndpointTruth {
    truth.endpoints.get(endpoint_position(endpoint)).copied().unwrap_or_default()
}

/// The position of an endpoint in the ground truth: the model's ids count from 1.
pub(super) fn endpoint_position(endpoint: EndpointId) -> usize {
    endpoint.0 as usize - 1
}
