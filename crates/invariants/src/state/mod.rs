//! What the rules share: the state of messages, endpoints, routes and relays as the facts tell it. No rule is
//! decided here.

pub(crate) mod endpoint;
pub(crate) mod message;
pub(crate) mod relay;
pub(crate) mod route;
