//! Inputs that a host passes to the decisions.

use super::{EndpointId, ListedEndpoint, MessageId, Outcome, RouteSnapshot, RunState, Submission, ZoneId};
pub use mountshift_discovery::PollFailure;
use std::time::Duration;

/// An event that a host passes to the decisions, in the order of occurrence.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message was accepted.
    Submitted {
        /// The message.
        message: MessageId,
        /// Its properties.
        submission: Submission,
    },
    /// An attempt from before a restart; it may have run unless its outcome proves the contrary.
    EarlierAttempt {
        /// The message, submitted before.
        message: MessageId,
        /// The zone of its endpoint.
        zone: ZoneId,
        /// The time of its call.
        at: Duration,
        /// Whether it may have taken effect; false if its outcome proves the contrary.
        may_have_run: bool,
    },
    /// The message had its final answer before a restart, and the answer has not been acknowledged yet.
    FinalAnswerPending(MessageId),
    /// The message was withdrawn, or its final answer was acknowledged: nothing more is sent for it.
    Closed(MessageId),
    /// An attempt ended.
    AttemptEnded {
        /// The message.
        message: MessageId,
        /// The endpoint of its call.
        endpoint: EndpointId,
        /// The time that it was in flight.
        elapsed: Duration,
        /// The endpoint's response.
        outcome: Outcome,
        /// The known state of its run.
        run: RunState,
        /// Whether the message is closed: nothing more is sent for it.
        closed: bool,
    },
    /// Rule 6: a `Retry-After` of any response, however late it arrives.
    RetryAfter {
        /// The endpoint that sent it.
        endpoint: EndpointId,
        /// Its duration, from now on.
        duration: Duration,
    },
    /// A response reported a rate limit for all relays together, which is late and inexact.
    RateLimitReported {
        /// The endpoint that reported it.
        endpoint: EndpointId,
        /// The limit, in calls per second.
        rate: f64,
    },
    /// A full list begins: endpoints without an entry after this input are removed.
    FullListBegins,
    /// An entry of the endpoint list or of a list update.
    EndpointListed(ListedEndpoint),
    /// Discovery responded.
    ListReceived,
    /// The list held at a start may be older than the latest list of discovery.
    ListMayBeStale,
    /// A call for the endpoint list failed.
    PollFailed(PollFailure),
    /// The endpoint was restarted while it was in maintenance.
    EndpointRestarted(EndpointId),
    /// A successor takes over the messages of this process: no attempt is sent from now on. Final answers that
    /// are due are still sent.
    HandoverStarted,
    /// Route state of an earlier process of this relay, with times since this process's start.
    RoutesRestored(Vec<RouteSnapshot>),
}
