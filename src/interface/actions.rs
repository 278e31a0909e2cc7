//! Actions that the decisions request from a host.

use super::{AttemptNumber, EndpointId, MessageId, RouteSnapshot};
use std::time::Duration;

/// Receiver of the decisions of a step, in order.
pub trait Actions {
    /// Sends an attempt, which ends as timed out after `timeout`.
    fn send(&mut self, message: MessageId, endpoint: EndpointId, timeout: Duration);
    /// Ends the message as rejected; the client may safely submit it again after `retry_after`. Returns whether
    /// the end is acknowledged at once; otherwise a later input closes the message.
    fn reject(&mut self, message: MessageId, retry_after: Duration) -> bool;
    /// Ends the message as failed; returns the same as `reject`.
    fn fail(&mut self, message: MessageId) -> bool;
    /// Cancels an attempt.
    fn cancel(&mut self, message: MessageId, attempt: AttemptNumber);
    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: EndpointId);
    /// Discards all data of an endpoint that is off the list, has nothing in flight and is needed by no rule.
    fn forget_endpoint(&mut self, endpoint: EndpointId);
    /// Requests the next step after `delay`.
    fn wake_after(&mut self, delay: Duration);
    /// Requests the endpoint list and its updates from discovery.
    fn poll_endpoints(&mut self);
    /// Writes a log line for on-call staff.
    fn log(&mut self, line: &str);
    /// Replaces the route state to be kept for the next process. Hosts that do not support
    /// upgrades ignore it.
    fn persist_routes(&mut self, _routes: &[RouteSnapshot]) {}
}
