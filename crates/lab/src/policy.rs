//! Interface of the policy that decides at a modelled relay: the project's decisions or a baseline.

use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use std::time::Duration;

/// True state of the model, passed only to the omniscient policy.
#[derive(Clone, Debug, Default)]
pub struct GroundTruth {
    /// True state of each endpoint, by endpoint number.
    pub endpoints: Vec<EndpointTruth>,
    /// Number of calls that the rate limits and the slow start of each route admit now, by route number. The policy
    /// subtracts the calls that it sends, so that the next relay sees the remainder.
    pub route_allowances: Vec<f64>,
}

/// True state of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointTruth {
    /// Whether it would accept a call and respond to it.
    pub available: bool,
    /// Route of the endpoint, as an index into [`GroundTruth::route_allowances`].
    pub route: u32,
    /// Number of calls that it can process now, plus one that may wait. The policy subtracts the calls that it sends.
    pub spare_capacity: f64,
    /// Whether idle connections to it may be broken.
    pub has_stale_connections: bool,
}

/// Delivery policy of one relay.
pub trait Policy: Send {
    /// Processes the inputs since the last step, leaves `inputs` empty, and performs its decisions through `actions`.
    fn step(
        &mut self,
        now: Duration,
        inputs: &mut Vec<Input>,
        truth: Option<&mut GroundTruth>,
        actions: &mut dyn Actions,
    );
}

impl Policy for DeliveryPolicy {
    fn step(
        &mut self,
        now: Duration,
        inputs: &mut Vec<Input>,
        _: Option<&mut GroundTruth>,
        actions: &mut dyn Actions,
    ) {
        DeliveryPolicy::step(self, now, inputs.drain(..), actions);
    }
}
