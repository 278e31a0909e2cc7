//! Why a client connection ends.

use std::fmt;

/// Why a connection ended, as its log line tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The socket failed.
    Broken,
    /// The client ended its sending.
    Closed,
    /// The client was gone before its replies could be written.
    ClosedBeforeReply,
    /// No first request came.
    Silent,
    /// A request did not arrive whole in time, or replies were not taken.
    Slow,
    /// Nothing was asked for a long while, or another connection needed the place.
    Idle,
    /// Another connection needed the place before its request was whole.
    Evicted,
    /// The client said that it was done.
    Quit,
    /// What came was no request.
    ProtocolError,
    /// The process ends.
    Stopping,
    /// Clients are to go to another relay.
    Standby,
}

impl CloseReason {
    /// True where the client ended the connection, or took no replies.
    pub(super) fn is_clients_doing(self) -> bool {
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
        })
    }
}
