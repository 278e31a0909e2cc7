//! The trace that the checker reads: what can be observed of a day from outside the decisions, one fact at a time.
//!
//! `Display` gives the sentences that reports print. Their wording, and the names that they give to outcomes and
//! statuses, are part of the report format and older than the names in this code.

use std::fmt;

/// Microseconds since the day began.
pub type Time = u64;

/// How an attempt ended, as its relay learnt it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered that the message is delivered.
    Delivered,
    /// The endpoint answered with an error; the message may have taken effect.
    Error,
    /// The endpoint rejected the message without running it.
    Rejected {
        /// The Retry-After that came with the rejection, 0 for none.
        retry_after: Time,
    },
    /// No answer came in time.
    TimedOut,
    /// The connection was not made.
    ConnectFailed,
    /// The connection broke before the answer came.
    Reset,
    /// The relay cancelled the call.
    Cancelled,
    /// The message never left the relay.
    NotSent,
}

impl AttemptOutcome {
    /// True where the outcome proves that the attempt took no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected { .. } | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }

    /// True where the attempt may still be running at the endpoint.
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

/// A final answer other than delivery, as a relay gives it to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The message failed for good.
    Failed,
    /// The client is asked to submit the message again later.
    Rejected {
        /// How long the client is asked to wait, 0 if it was told no time.
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

/// What the endpoint list tells a relay of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedStatus {
    /// It takes calls.
    Ready,
    /// It is about to leave: no new calls after the drain grace.
    Draining,
    /// It is no longer on the list.
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

/// One fact. Messages, calls, endpoints, relays, message classes, destinations and routes are given by number.
#[allow(
    missing_docs,
    reason = "the fields are the numbers named above; others are explained at their variant"
)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    /// An endpoint exists from now on. `capacity` is the calls a second that its route can serve while warm.
    EndpointAdded { endpoint: u32, destination: u32, zone: u8, route: u32, capacity: f32 },
    /// A client submits a message. `request` is the same for all messages of one request that the client submits
    /// again; key 0 is none.
    Submitted {
        message: u64,
        request: u64,
        relay: u32,
        class: u16,
        destination: u32,
        key: u64,
        deadline: Time,
    },
    /// The client learnt that the relay accepted the message.
    Accepted { message: u64 },
    /// The client gave up waiting for the acceptance: nothing under this message's number counts.
    Withdrawn { message: u64 },
    /// An attempt of a message starts, in a call that may carry several messages.
    AttemptStarted { message: u64, call: u64, relay: u32, endpoint: u32 },
    /// The last byte of a call arrived at an endpoint. `weight` is its work, that of a call with one message being 1.
    CallReceived { call: u64, relay: u32, endpoint: u32, weight: f32 },
    /// A message took effect, or was dropped as a duplicate.
    Executed { message: u64, call: u64, endpoint: u32, duplicate: bool },
    /// The endpoint wrote its answer that the message is delivered.
    DeliveryAnswered { message: u64, call: u64 },
    /// The relay learnt how an attempt ended.
    AttemptEnded { message: u64, call: u64, relay: u32, outcome: AttemptOutcome },
    /// The relay received a Retry-After that did not come as an attempt's outcome.
    RetryAfterReceived { relay: u32, endpoint: u32, retry_after: Time },
    /// The relay gave a final answer other than delivery.
    FinalAnswerGiven { message: u64, relay: u32, answer: FinalAnswer },
    /// Whoever the final answer is owed to has it.
    FinalAnswerReceived { message: u64 },
    /// The endpoint list told the relay the status of an endpoint.
    EndpointListed { relay: u32, endpoint: u32, status: ListedStatus },
    /// A route went down, silent, hung or shut, or fails most calls.
    OutageStarted { route: u32 },
    /// The route serves calls again and is in slow start.
    OutageEnded { route: u32 },
    /// A route in slow start broke down under its load.
    RouteOverloaded { route: u32 },
    /// The relay's process ended.
    RelayDown { relay: u32 },
    /// The relay's process started and has read its spool.
    RelayUp { relay: u32 },
    /// The relay gets no processor time until then, so it can give no answer.
    RelayStalled { relay: u32, until: Time },
}

impl Fact {
    /// The message that the fact is about, if it is about one.
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
