//! What the decisions remember: endpoints, routes, messages, calls, and what was measured of them.
//! Holds no decision and no tuned value; those are given by the policy.

mod calls;
mod endpoints;
mod key_queues;
mod messages;
mod routes;
mod sliding_window;
mod token_bucket;

pub(crate) use calls::Call;
pub(crate) use endpoints::Endpoint;
pub(crate) use key_queues::Line;
pub(crate) use messages::Msg;
pub(crate) use routes::{Breaker, Route, RouteId};
pub(crate) use sliding_window::Ring;
pub(crate) use token_bucket::Tokens;
