//! State that the rules share: messages, endpoints, routes and relays as the facts describe them. No rule is
//! checked here.

pub(crate) mod endpoint;
pub(crate) mod message;
pub(crate) mod relay;
pub(crate) mod route;
