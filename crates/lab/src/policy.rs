//! What decides at a modelled relay: one interface for the project's decisions and for the baselines.

use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use std::time::Duration;

/// The true state of the model, for the one policy that is shown it.
#[derive(Clone, Debug, Default)]
pub struct GroundTruth {
    /// By endpoint, from 0.
    pub endpoints: Vec<EndpointTruth>,
    /// By route, from 0: calls that its rate limit and its slow start let through now. The policy subtracts what
    /// it sends, so that the next relay sees the rest.
    pub route_allowances: Vec<f64>,
}

/// The true state of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointTruth {
    /// It would accept and answer a call.
    pub available: bool,
    /// Its route, by position in [`GroundTruth::route_allowances`].
    pub route: u32,
    /// Calls that it can work on now, and one that may wait. The policy subtracts what it sends.
    pub spare_capacity: f64,
    /// Idle connections to it may have died.
    pub has_stale_connections: bool,
}

/// Decides for one relay, one call a step.
pub trait Policy: Send {
    /// Takes in what came since the last step, leaves `inputs` empty, and decides.
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
