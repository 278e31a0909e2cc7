//! Endpoints as the endpoint list describes them.

use super::{DestinationId, DestinationKindId, EndpointId, ZoneId};

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes messages.
    Ready,
    /// Leaves: takes no new messages.
    Draining,
    /// No longer on the list.
    Removed,
}

/// An endpoint as the endpoint list describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whose address it is.
    pub destination: DestinationId,
    /// Where it stands.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: DestinationKindId,
    /// Whether it takes messages.
    pub status: EndpointStatus,
    /// The listed rate of its route, calls a second over all relays; 0 if none is listed.
    pub rate: f64,
}
