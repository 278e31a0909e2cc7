//! What a host tells the decisions.

use super::{EndpointId, ListedEndpoint, MessageId, Outcome, RouteSnapshot, RunState, Submission, ZoneId};
use std::time::Duration;

/// What a host tells the decisions, in the order in which it happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message was accepted.
    Submitted {
        /// The message.
        message: MessageId,
        /// What is known of it.
        submission: Submission,
    },
    /// An attempt from before a restart; without an outcome that proves the contrary it may have run.
    EarlierAttempt {
        /// The message, submitted before.
        message: MessageId,
        /// Where it was sent.
        zone: ZoneId,
        /// When it was sent.
        at: Duration,
        /// False if its outcome proved that it took no effect.
        may_have_run: bool,
    },
    /// The message got its final answer before a restart, and the answer has not been taken yet.
    FinalAnswerPending(MessageId),
    /// The message was withdrawn, or its final answer was taken: nothing more is sent for it.
    Closed(MessageId),
    /// An attempt ended.
    AttemptEnded {
        /// The message.
        message: MessageId,
        /// Where it was sent.
        endpoint: EndpointId,
        /// How long it was in flight.
        elapsed: Duration,
        /// What the endpoint answered.
        outcome: Outcome,
        /// What is known of its run.
        run: RunState,
        /// Nothing more is sent for the message.
        closed: bool,
    },
    /// Rule 6: a `Retry-After`, whichever answer tells it and however late it comes.
    RetryAfter {
        /// Who told it.
        endpoint: EndpointId,
        /// How long it binds, from now on.
        span: Duration,
    },
    /// An answer told a rate limit, in calls a second of all relays together: late, and not exact.
    RateLimitReported {
        /// Who told it.
        endpoint: EndpointId,
        /// Calls a second.
        rate: f64,
    },
    /// A full list begins: endpoints that the entries behind it don't name are removed.
    FullListBegins,
    /// An entry of the endpoint list or of a list update.
    EndpointListed(ListedEndpoint),
    /// Discovery answered.
    ListReceived,
    /// The list held at a start may be older than what discovery told since.
    ListMayBeStale,
    /// A call for the endpoint list failed.
    PollFailed {
        /// The `Retry-After` that discovery told.
        retry_after: Option<Duration>,
    },
    /// The endpoint was in maintenance and was restarted meanwhile.
    EndpointRestarted(EndpointId),
    /// A successor takes over all that this process holds: no attempt is sent from now on. Final answers that
    /// are due still come.
    HandoverStarted,
    /// What an earlier process of this relay left, in this process's spans.
    RoutesRestored(Vec<RouteSnapshot>),
}
