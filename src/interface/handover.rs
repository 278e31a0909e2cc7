//! Route state that is handed over to the next process of the relay.

use super::{DestinationId, EndpointId};
use std::time::Duration;

/// State of a route that is handed over to the next process at an upgrade. Times count from the
/// start of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteSnapshot {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, if endpoints of this kind of destination are independent.
    pub endpoint: Option<EndpointId>,
    /// End of the current `Retry-After`; zero if there is none.
    pub retry_after_until: Duration,
    /// Time until which the breaker is open, zero if a trial is due; none if the breaker is closed.
    pub open_until: Option<Duration>,
    /// Start of the current slow start after an outage, if there is one.
    pub slow_start_since: Option<Duration>,
}
