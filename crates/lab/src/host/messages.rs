//! The events that a modelled relay receives, and its effects on the rest of the model.

use crate::Time;
use mountshift::interface::{EndpointStatus, Outcome};
use mountshift_invariants::{Fact, FinalAnswer};

/// An event that a relay receives.
#[derive(Clone, Debug)]
pub(crate) enum RelayEvent {
    /// A client submits a message.
    Submitted { message: u64, class: u16, tenant: u32, destination: u32, key: u64, deadline: Time },
    /// The client stopped waiting before its message was accepted.
    ClientGone { message: u64 },
    /// A call ended, with one end for each of its messages.
    CallEnded { call: u64, ends: Vec<AttemptEnd>, retry_after: Time },
    /// Discovery responds with the full endpoint list; its entries follow.
    FullListBegins,
    /// An entry of the endpoint list or of a list update.
    EndpointListed { endpoint: u32, status: EndpointStatus },
    /// A poll of the endpoint list failed, or the watch on it was lost.
    PollFailed,
    /// The recipient has acknowledged the notification of a message's final answer.
    NotificationAcknowledged { message: u64 },
}

/// The end of one message's attempt in a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub message: u64,
    pub outcome: Outcome,
    /// Whether the message is closed: no further attempt follows.
    pub closed: bool,
}

/// An effect of a relay on the rest of the model.
#[derive(Clone, Debug)]
pub(crate) enum RelayEffect {
    /// Records a fact for the invariant checker.
    Fact(Fact),
    /// Starts a call to an endpoint.
    StartCall { call: u64, endpoint: u32, messages: Vec<u64>, timeout: Time },
    /// Answers a waiting client: the message is accepted if `answer` is `None`, else its final answer.
    AnswerClient { message: u64, answer: Option<FinalAnswer> },
    /// Sends the final answer of an accepted message as a notification.
    Notify { message: u64, answer: FinalAnswer },
    /// Closes the connection of a call that is in flight.
    CloseCall { call: u64 },
    /// Closes the idle connections to an endpoint.
    CloseIdleConnections { endpoint: u32 },
    /// Polls discovery for the endpoint list.
    PollEndpoints,
    /// Writes a line to the relay's log.
    Log(String),
}
