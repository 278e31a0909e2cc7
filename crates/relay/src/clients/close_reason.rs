//! Reasons for the end of a client connection.

use std::fmt;

/// Reason for the end of a client connection, as written to the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The socket reported an error.
    Broken,
    /// The client closed its sending direction.
    Closed,
    /// The client closed the connection before its replies were written.
    ClosedBeforeReply,
    /// No first request arrived in time.
    Silent,
    /// A request was not complete in time, or the client did not read its replies.
    Slow,
    /// No request arrived within the idle timeout, or the idle connection was evicted for another one.
    Idle,
    /// The connection was evicted for another one while its request was incomplete.
    Evicted,
    /// The client sent `QUIT`.
    Quit,
    /// The input was not a valid request.
    ProtocolError,
    /// The process stops.
    Stopping,
    /// The relay is in standby: clients have to use another relay.
    Standby,
    /// This process is a successor that replied for an active process which did not accept the connection. The next
    /// connection goes to the active process again.
    Successor,
}

impl CloseReason {
    /// Returns whether the client caused the end. Requests without a reply are then no fault of the relay.
    pub(super) fn is_caused_by_client(self) -> bool {
        matches!(
            self,
            CloseReason::Broken
                | CloseReason::ClosedBeforeReply
                | CloseReason::Slow
                | CloseReason::ProtocolError
        )
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::Broken => "broken",
            CloseReason::Closed => "closed",
            CloseReason::ClosedBeforeReply => "closed-before-answer",
            CloseReason::Silent => "silent",
            CloseReason::Slow => "slow",
            CloseReason::Idle => "idle",
            CloseReason::Evicted => "evicted",
            CloseReason::Quit => "quit",
            CloseReason::ProtocolError => "protocol",
            CloseReason::Stopping => "stopping",
            CloseReason::Standby => "standby",
            CloseReason::Successor => "successor",
        })
    }
}
