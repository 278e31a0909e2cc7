//! Endpoints as the endpoint list describes them.

use super::{DestinationId, DestinationKindId, EndpointId, ZoneId};

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Accepts messages.
    Ready,
    /// Shutting down: accepts no new messages.
    Draining,
    /// No longer on the list.
    Removed,
}

impl EndpointStatus {
    /// Returns its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            EndpointStatus::Ready => "ready",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Removed => "removed",
        }
    }
}

/// An endpoint as the endpoint list describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: DestinationKindId,
    /// Its state in the list.
    pub status: EndpointStatus,
    /// The listed rate of its route, in calls per second of all relays together; 0 if none is listed.
    pub rate: f64,
}
