//! The end of a call as its endpoint sees it on the wire, and the outcome that the protocol assigns to it. Shares no
//! code with the relay, because the oracle checks the relay's own view of a call.

use mountshift_invariants::{AttemptOutcome, Time};

/// Part of the response that the endpoint has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WrittenResponse {
    Nothing,
    /// Only a part of the response.
    Part,
    /// The status code 200 of a response to a single message, perhaps without the rest.
    Delivery,
    /// The whole response; the message was delivered.
    Delivered,
    /// The whole response; the message failed.
    Failed,
    /// The whole response; the message was rejected with this Retry-After in microseconds, or 0 without one.
    Refused(Time),
}

/// A side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionSide {
    Relay,
    Endpoint,
}

/// The end of a call at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WireEnd {
    pub(crate) response: WrittenResponse,
    /// The side that closed the connection together with the call; `None` if the connection stays open.
    pub(crate) closed_by: Option<ConnectionSide>,
}

impl WireEnd {
    /// Returns the end of a call whose whole response was written.
    pub(crate) fn responded(response: WrittenResponse) -> WireEnd {
        WireEnd { response, closed_by: None }
    }

    /// Returns the outcome by the protocol: a truncated response counts as a reset, a call that the relay ends as
    /// cancelled.
    pub(crate) fn outcome(self) -> AttemptOutcome {
        match (self.response, self.closed_by) {
            (WrittenResponse::Delivered | WrittenResponse::Delivery, _) => AttemptOutcome::Delivered,
            (WrittenResponse::Failed, _) => AttemptOutcome::Error,
            (WrittenResponse::Refused(retry_after), _) => AttemptOutcome::Rejected { retry_after },
            (WrittenResponse::Nothing | WrittenResponse::Part, Some(ConnectionSide::Relay)) => {
                AttemptOutcome::Cancelled
            }
            (WrittenResponse::Nothing | WrittenResponse::Part, _) => AttemptOutcome::Reset,
        }
    }
}

#[cfg(test)]
#[path = "wire_end_tests.rs"]
mod tests;
