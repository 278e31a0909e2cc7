//! What a route leaves to the next process of the relay.

use super::{DestinationId, EndpointId};
use std::time::Duration;

/// What a route leaves to the next process of the relay at an upgrade; spans since this process's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteSnapshot {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where endpoints of the kind are independent.
    pub endpoint: Option<EndpointId>,
    /// A `Retry-After` binds until then; zero if none does.
    pub retry_after_until: Duration,
    /// The breaker is open until then, due for a trial at zero; none if it is closed.
    pub open_until: Option<Duration>,
    /// The route came back from an outage then and is still in slow start.
    pub slow_start_since: Option<Duration>,
}
