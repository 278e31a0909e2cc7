//! Routes: what is known of each path that is limited, breaks and comes back as one.

use super::{Ring, Tokens};
use crate::interface::*;
use crate::policy::pacing::OWN_SPAN;
use std::time::Duration;

pub(crate) type RouteId = (DestinationId, Option<EndpointId>);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Breaker {
    #[default]
    Closed,
    Open(Duration),
    HalfOpen(Option<u64>),
}

#[derive(Default)]
pub(crate) struct Route {
    pub(crate) breaker: Breaker,
    pub(crate) run: u32,
    pub(crate) run_since: Duration,
    pub(crate) broken: bool, // a call of the run has come to nothing, and is not just overdue
    pub(crate) retry_after_until: Duration,
    pub(crate) pause_until: Duration,
    pub(crate) fulls: u32,
    pub(crate) full_since: Duration,
    pub(crate) rate: f64,
    pub(crate) told_rate: bool, // by answers, where none is listed
    pub(crate) pace: f64,
    pub(crate) pace_at: Duration,
    pub(crate) tokens: Tokens,
    pub(crate) slow_start_since: Option<Duration>,
    pub(crate) cold: Tokens,
    pub(crate) ends: Ring<4>,
    pub(crate) answered: Ring<{ OWN_SPAN as usize }>,
}
