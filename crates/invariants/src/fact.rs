//! The trace that the checker reads: the facts of a day that can be observed from outside the delivery policy.
//!
//! `Display` writes the sentences that reports print. Their wording is part of the report format; the names of
//! outcomes and statuses in them differ from the names in this code.

use std::fmt;

/// Microseconds since the start of the day.
pub type Time = u64;

/// Outcome of an attempt as its relay observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint confirmed the delivery.
    Delivered,
    /// The endpoint responded with an error; the message may have taken effect.
    Error,
    /// The endpoint rejected the message without processing it.
    Rejected {
        /// Retry-After of the rejection; 0 if there was none.
        retry_after: Time,
    },
    /// No response arrived in time.
    TimedOut,
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection was reset before the response arrived.
    Reset,
    /// The relay cancelled the call.
    Cancelled,
    /// The message never left the relay.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that the attempt took no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected { .. } | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }

    /// Returns whether the attempt may still be running at the endpoint.
    pub fn may_still_run(self) -> bool {
        matches!(self, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
    }
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            AttemptOutcome::Delivered => f.write_str("Delivered"),
            AttemptOutcome::Error => f.write_str("Error"),
            AttemptOutcome::Rejected { retry_after } => write!(f, "Full({retry_after})"),
            AttemptOutcome::TimedOut => f.write_str("TimedOut"),
            AttemptOutcome::ConnectFailed => f.write_str("ConnectFailed"),
            AttemptOutcome::Reset => f.write_str("Reset"),
            AttemptOutcome::Cancelled => f.write_str("Cancelled"),
            AttemptOutcome::NotSent => f.write_str("Moot"),
        }
    }
}

/// Final answer of a relay to its client, other than a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The message failed permanently.
    Failed,
    /// The client should submit the message again later.
    Rejected {
        /// Time that the client should wait; 0 if the answer gave none.
        retry_after: Time,
    },
}

impl fmt::Display for FinalAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            FinalAnswer::Failed => f.write_str("Failed"),
            FinalAnswer::Rejected { retry_after } => write!(f, "PushedBack({retry_after})"),
        }
    }
}

/// Status of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedStatus {
    /// Accepts calls.
    Ready,
    /// Will be removed soon: no new calls after the drain grace.
    Draining,
    /// No longer on the list.
    Removed,
}

impl fmt::Display for ListedStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ListedStatus::Ready => "Ready",
            ListedStatus::Draining => "Draining",
            ListedStatus::Removed => "Gone",
        })
    }
}

/// An observed event. Messages, calls, endpoints, relays, message classes, destinations and routes are identified
/// by number.
#[allow(
    missing_docs,
    reason = "most fields are the numbers named above; the others are explained at their variant"
)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    /// An endpoint was added. `capacity` is the number of calls per second that its route serves outside slow start.
    EndpointAdded { endpoint: u32, destination: u32, zone: u8, route: u32, capacity: f32 },
    /// A client submitted a message. `request` is the same for all messages with which the client submits one
    /// request; key 0 means that the message has no key.
    Submitted {
        message: u64,
        request: u64,
        relay: u32,
        class: u16,
        destination: u32,
        key: u64,
        deadline: Time,
    },
    /// The client received the relay's acceptance of the message.
    Accepted { message: u64 },
    /// The client gave up waiting for the acceptance; no fact about this message number counts.
    Withdrawn { message: u64 },
    /// An attempt of a message started, in a call that may carry several messages.
    AttemptStarted { message: u64, call: u64, relay: u32, endpoint: u32 },
    /// The last byte of a call arrived at an endpoint. `weight` is its work relative to a call with one message.
    CallReceived { call: u64, relay: u32, endpoint: u32, weight: f32 },
    /// A message took effect, or was dropped as a duplicate.
    Executed { message: u64, call: u64, endpoint: u32, duplicate: bool },
    /// The endpoint wrote its confirmation of the delivery.
    DeliveryAnswered { message: u64, call: u64 },
    /// The relay observed the outcome of an attempt.
    AttemptEnded { message: u64, call: u64, relay: u32, outcome: AttemptOutcome },
    /// The relay received a Retry-After that was not the outcome of an attempt.
    RetryAfterReceived { relay: u32, endpoint: u32, retry_after: Time },
    /// The relay gave a final answer other than delivery.
    FinalAnswerGiven { message: u64, relay: u32, answer: FinalAnswer },
    /// The final answer reached its recipient.
    FinalAnswerReceived { message: u64 },
    /// The relay received the status of an endpoint from the endpoint list.
    EndpointListed { relay: u32, endpoint: u32, status: ListedStatus },
    /// An outage of a route started: it is down, silent or hung, rejects all calls, or fails most of them.
    OutageStarted { route: u32 },
    /// The route serves calls again and is in slow start.
    OutageEnded { route: u32 },
    /// An operator took the endpoint out of service at the relay, which acknowledged that.
    EndpointTakenOut { relay: u32, endpoint: u32 },
    /// An operator puts the endpoint back at the relay.
    EndpointPutBack { relay: u32, endpoint: u32 },
    /// A route in slow start failed under its load.
    RouteOverloaded { route: u32 },
    /// The relay's process exited.
    RelayDown { relay: u32 },
    /// The relay's process started and has read its spool.
    RelayUp { relay: u32 },
    /// The relay gets no processor time until then, so it can't answer.
    RelayStalled { relay: u32, until: Time },
}

impl Fact {
    /// Returns the number of the message that the fact is about, if any.
    pub fn message(&self) -> Option<u64> {
        match *self {
            Fact::Submitted { message, .. }
            | Fact::Accepted { message }
            | Fact::Withdrawn { message }
            | Fact::AttemptStarted { message, .. }
            | Fact::Executed { message, .. }
            | Fact::DeliveryAnswered { message, .. }
            | Fact::AttemptEnded { message, .. }
            | Fact::FinalAnswerGiven { message, .. }
            | Fact::FinalAnswerReceived { message } => Some(message),
            _ => None,
        }
    }

    fn fmt_message_fact(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Fact::Submitted { message, request, relay, class, destination, key, deadline } => write!(
                f,
                "message {message} (request {request}, lane {class}, key {key:x}) for {destination} handed in at \
                 relay {relay}, deadline {:.3} s",
                seconds(deadline)
            ),
            Fact::Accepted { message } => write!(f, "message {message} is taken"),
            Fact::Withdrawn { message } => write!(f, "message {message} is disowned by its client"),
            Fact::AttemptStarted { message, call, relay, endpoint } => {
                write!(
                    f,
                    "message {message} goes out from relay {relay} to endpoint {endpoint} in call {call}"
                )
            }
            Fact::Executed { message, call, endpoint, duplicate } => {
                let effect = if duplicate { "is dropped as a repeat" } else { "takes effect" };
                write!(f, "message {message} {effect} at endpoint {endpoint}, call {call}")
            }
            Fact::DeliveryAnswered { message, call } => {
                write!(f, "message {message} is answered as delivered, call {call}")
            }
            Fact::AttemptEnded { message, call, relay, outcome } => {
                write!(f, "relay {relay} learns that message {message} in call {call} ended as {outcome}")
            }
            Fact::FinalAnswerGiven { message, relay, answer } => {
                write!(f, "relay {relay} ends message {message}: {answer}")
            }
            Fact::FinalAnswerReceived { message } => write!(f, "the end of message {message} is taken"),
            _ => Ok(()),
        }
    }
}

impl fmt::Display for Fact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Fact::EndpointAdded { endpoint, destination, zone, route, capacity } => write!(
                f,
                "endpoint {endpoint} of destination {destination} in zone {zone}, route {route}, {capacity:.2} calls/s"
            ),
            Fact::CallReceived { call, relay, endpoint, weight } => {
                write!(f, "call {call} of relay {relay} reaches endpoint {endpoint}, weight {weight:.2}")
            }
            Fact::RetryAfterReceived { relay, endpoint, retry_after } => {
                let wait = seconds(retry_after);
                write!(f, "relay {relay} is told by endpoint {endpoint} to wait {wait:.3} s")
            }
            Fact::EndpointListed { relay, endpoint, status } => {
                write!(f, "relay {relay} is told that endpoint {endpoint} is {status}")
            }
            Fact::EndpointTakenOut { relay, endpoint } => {
                write!(f, "an operator takes endpoint {endpoint} out at relay {relay}")
            }
            Fact::EndpointPutBack { relay, endpoint } => {
                write!(f, "an operator puts endpoint {endpoint} back at relay {relay}")
            }
            Fact::OutageStarted { route } => write!(f, "route {route} is out"),
            Fact::OutageEnded { route } => write!(f, "route {route} is back, cold"),
            Fact::RouteOverloaded { route } => write!(f, "route {route} is pushed over"),
            Fact::RelayDown { relay } => write!(f, "relay {relay} is down"),
            Fact::RelayUp { relay } => write!(f, "relay {relay} is up"),
            Fact::RelayStalled { relay, until } => {
                write!(f, "relay {relay} stands still until {:.3} s", seconds(until))
            }
            _ => self.fmt_message_fact(f),
        }
    }
}

pub(crate) fn seconds(at: Time) -> f64 {
    at as f64 / 1e6
}
