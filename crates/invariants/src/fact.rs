//! What can be seen of a day from outside the decisions, one fact at a time.

use std::fmt;

/// Microseconds since the day began.
pub type Time = u64;

/// How a leg ended, as its relay learnt it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LegEnd {
    Delivered,
    Error,
    /// With the wait told, or 0.
    Full(Time),
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

impl LegEnd {
    /// True where it proves that the leg took no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, LegEnd::Full(_) | LegEnd::ConnectFailed | LegEnd::Moot)
    }

    /// True where the leg may be running still.
    pub fn may_run_yet(self) -> bool {
        matches!(self, LegEnd::TimedOut | LegEnd::Reset | LegEnd::Cancelled)
    }
}

/// An end that a relay gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Failed,
    /// With the pause told.
    PushedBack(Time),
}

/// What a relay is told of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// One fact. Messages, calls, endpoints, relays, lanes, destinations and routes go by number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    /// An endpoint exists from now on. `capacity` is what its route works off, calls a second, while warm.
    Endpoint {
        endpoint: u32,
        dst: u32,
        zone: u8,
        route: u32,
        capacity: f32,
    },
    /// A client hands a message in. `request` is the same for all messages that stand for one wish of a client;
    /// key 0 is none.
    HandedIn {
        msg: u64,
        request: u64,
        relay: u32,
        lane: u16,
        dst: u32,
        key: u64,
        deadline: Time,
    },
    /// Its client heard that it was taken on.
    Taken {
        msg: u64,
    },
    /// Its client gave up waiting to hear that: nothing under this id counts.
    Disowned {
        msg: u64,
    },
    /// A leg goes out, in a call that may hold several.
    Leg {
        msg: u64,
        call: u64,
        relay: u32,
        to: u32,
    },
    /// A call's last byte came to an endpoint.
    Reached {
        call: u64,
        relay: u32,
        endpoint: u32,
        weight: f32,
    },
    /// A message took effect, or was dropped as a repeat.
    Ran {
        msg: u64,
        call: u64,
        endpoint: u32,
        repeat: bool,
    },
    /// The endpoint has written that it is delivered.
    Answered {
        msg: u64,
        call: u64,
    },
    /// The relay learnt how a leg ended.
    LegEnded {
        msg: u64,
        call: u64,
        relay: u32,
        end: LegEnd,
    },
    /// The relay learnt of a wait told beside the ends.
    WaitTold {
        relay: u32,
        endpoint: u32,
        wait: Time,
    },
    /// The relay ended the message.
    Ended {
        msg: u64,
        relay: u32,
        end: End,
    },
    /// Whoever the end is owed to has it.
    EndTaken {
        msg: u64,
    },
    /// The relay was told of an endpoint.
    Told {
        relay: u32,
        endpoint: u32,
        listed: Listed,
    },
    /// A route is down, silent, hung, shut, or fails most calls.
    OutageBegan {
        route: u32,
    },
    OutageOver {
        route: u32,
    },
    /// A cold route was pushed over.
    FellOver {
        route: u32,
    },
    RelayDown {
        relay: u32,
    },
    RelayUp {
        relay: u32,
    },
    /// It stands still until then: its machine gives it no time, so it can end nothing.
    RelayStands {
        relay: u32,
        until: Time,
    },
}

impl Fact {
    /// The message that it is about, if it is about one.
    pub fn msg(&self) -> Option<u64> {
        match *self {
            Fact::HandedIn { msg, .. }
            | Fact::Taken { msg }
            | Fact::Disowned { msg }
            | Fact::Leg { msg, .. }
            | Fact::Ran { msg, .. }
            | Fact::Answered { msg, .. }
            | Fact::LegEnded { msg, .. }
            | Fact::Ended { msg, .. }
            | Fact::EndTaken { msg } => Some(msg),
            _ => None,
        }
    }
}

impl fmt::Display for Fact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Fact::Endpoint { endpoint, dst, zone, route, capacity } => write!(
                f,
                "endpoint {endpoint} of destination {dst} in zone {zone}, route {route}, {capacity:.2} calls/s"
            ),
            Fact::HandedIn { msg, request, relay, lane, dst, key, deadline } => write!(
                f,
                "message {msg} (request {request}, lane {lane}, key {key:x}) for {dst} handed in at relay {relay}, \
                 deadline {:.3} s",
                seconds(deadline)
            ),
            Fact::Taken { msg } => write!(f, "message {msg} is taken"),
            Fact::Disowned { msg } => write!(f, "message {msg} is disowned by its client"),
            Fact::Leg { msg, call, relay, to } => {
                write!(f, "message {msg} goes out from relay {relay} to endpoint {to} in call {call}")
            }
            Fact::Reached { call, relay, endpoint, weight } => {
                write!(f, "call {call} of relay {relay} reaches endpoint {endpoint}, weight {weight:.2}")
            }
            Fact::Ran { msg, call, endpoint, repeat } => {
                let what = if repeat { "is dropped as a repeat" } else { "takes effect" };
                write!(f, "message {msg} {what} at endpoint {endpoint}, call {call}")
            }
            Fact::Answered { msg, call } => write!(f, "message {msg} is answered as delivered, call {call}"),
            Fact::LegEnded { msg, call, relay, end } => {
                write!(f, "relay {relay} learns that message {msg} in call {call} ended as {end:?}")
            }
            Fact::WaitTold { relay, endpoint, wait } => {
                write!(f, "relay {relay} is told by endpoint {endpoint} to wait {:.3} s", seconds(wait))
            }
            Fact::Ended { msg, relay, end } => write!(f, "relay {relay} ends message {msg}: {end:?}"),
            Fact::EndTaken { msg } => write!(f, "the end of message {msg} is taken"),
            Fact::Told { relay, endpoint, listed } => {
                write!(f, "relay {relay} is told that endpoint {endpoint} is {listed:?}")
            }
            Fact::OutageBegan { route } => write!(f, "route {route} is out"),
            Fact::OutageOver { route } => write!(f, "route {route} is back, cold"),
            Fact::FellOver { route } => write!(f, "route {route} is pushed over"),
            Fact::RelayDown { relay } => write!(f, "relay {relay} is down"),
            Fact::RelayUp { relay } => write!(f, "relay {relay} is up"),
            Fact::RelayStands { relay, until } => {
                write!(f, "relay {relay} stands still until {:.3} s", seconds(until))
            }
        }
    }
}

pub(crate) fn seconds(at: Time) -> f64 {
    at as f64 / 1e6
}
