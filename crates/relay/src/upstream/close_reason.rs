//! Reasons for the end of a connection to an endpoint, discovery or the platform.

use std::fmt;

/// Reason for the end of a connection, for its log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Dropped during a call, or as the process exits.
    Abandoned,
    BrokenInRequest,
    BrokenInResponse,
    UnreadableResponse,
    ClosedAfterResponse,
    UnrequestedBytes,
    /// A late copy of the last response could not be told from the response to the next call.
    UnidentifiableResponse,
    /// Idle for the maximum time.
    Idle,
    ClosedWhileIdle,
    /// The pool had too many idle connections.
    PoolFull,
    /// The idle connections to the endpoint were closed, for example as it moved or was removed.
    EndpointClosed,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::Abandoned => "given-up",
            CloseReason::BrokenInRequest => "broken-in-request",
            CloseReason::BrokenInResponse => "broken-in-answer",
            CloseReason::UnreadableResponse => "unreadable-answer",
            CloseReason::ClosedAfterResponse => "closed-after-answer",
            CloseReason::UnrequestedBytes => "more-than-an-answer",
            CloseReason::UnidentifiableResponse => "answer-names-no-message",
            CloseReason::Idle => "idle",
            CloseReason::ClosedWhileIdle => "closed-while-idle",
            CloseReason::PoolFull => "too-many",
            CloseReason::EndpointClosed => "told-to-close",
        })
    }
}
