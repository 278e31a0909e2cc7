//! What the decisions ask a host to do.

use super::{AttemptNumber, EndpointId, MessageId, RouteSnapshot};
use std::time::Duration;

/// Takes the decisions of a step, in order.
pub trait Actions {
    /// Sends an attempt; it ends as timed out after `limit`.
    fn send(&mut self, message: MessageId, endpoint: EndpointId, limit: Duration);
    /// Ends the message undelivered; the client may safely submit it again after `retry_after`. True if that
    /// ends it at once; else the message is closed by a later input, when the end has been taken.
    fn reject(&mut self, message: MessageId, retry_after: Duration) -> bool;
    /// Ends the message as failed; returns as `reject` does.
    fn fail(&mut self, message: MessageId) -> bool;
    /// Stops waiting for an attempt.
    fn cancel(&mut self, message: MessageId, attempt: AttemptNumber);
    /// Closes the idle connections held to an endpoint.
    fn close_idle_connections(&mut self, endpoint: EndpointId);
    /// The endpoint is off the list, nothing is in flight to it and no rule needs it: keep nothing of it.
    fn forget_endpoint(&mut self, endpoint: EndpointId);
    /// Calls for the next step after this span.
    fn wake_after(&mut self, span: Duration);
    /// Asks for the endpoint list and its updates from now on.
    fn poll_endpoints(&mut self);
    /// A line for on-call staff.
    fn log(&mut self, line: &str);
    /// What must outlive the process changed: this is all of it now. Hosts without upgrades keep nothing.
    fn persist_routes(&mut self, _routes: &[RouteSnapshot]) {}
}
