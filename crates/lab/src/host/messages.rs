//! What comes to a modelled relay, and what it does to the model around it.

use crate::Time;
use mountshift::interface::{EndpointStatus, Outcome};
use mountshift_invariants::{Fact, FinalAnswer};

/// What comes to a relay.
#[derive(Clone, Debug)]
pub(crate) enum RelayEvent {
    /// A client submits a message.
    Submitted { message: u64, class: u16, tenant: u32, destination: u32, key: u64, deadline: Time },
    /// The client gave up before it heard that its message was accepted.
    ClientGone { message: u64 },
    /// A call ended, for each of its messages in its own way.
    CallEnded { call: u64, ends: Vec<AttemptEnd>, retry_after: Time },
    /// Discovery answers with the full endpoint list; its entries follow.
    FullListBegins,
    /// An entry of the endpoint list or of a list update.
    EndpointListed { endpoint: u32, status: EndpointStatus },
    /// A poll of the endpoint list failed, or the watch on it was lost.
    PollFailed,
    /// The receiver of a notification has taken it.
    NotificationTaken { message: u64 },
}

/// How the attempt for one message of a call ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub message: u64,
    pub outcome: Outcome,
    /// Nothing more is sent for the message.
    pub closed: bool,
}

/// What a relay does.
#[derive(Clone, Debug)]
pub(crate) enum RelayEffect {
    /// Something that the invariant checker must see.
    Fact(Fact),
    /// Starts a call to an endpoint.
    StartCall { call: u64, endpoint: u32, messages: Vec<u64>, timeout: Time },
    /// Answers a client that waits: that the message is accepted, or its final answer.
    AnswerClient { message: u64, end: Option<FinalAnswer> },
    /// Sends the notification of a final answer for which no client waits.
    Notify { message: u64, end: FinalAnswer },
    /// Closes the connection of a call that is in flight.
    CloseCall { call: u64 },
    /// Closes the idle connections to an endpoint.
    CloseIdleConnections { endpoint: u32 },
    /// Asks discovery for the endpoint list.
    PollEndpoints,
    /// Writes a line to the relay's log.
    Log(String),
}
