//! Calls to endpoints, and the connections kept to them.

mod attempt;
mod connection_pool;
mod endpoint_table;
mod http1;
#[cfg(test)]
mod tests;

pub(crate) use attempt::{Call, End, Ends, Part, Stage, told};
pub(crate) use connection_pool::Idle;
pub(crate) use endpoint_table::{Endpoint, Endpoints};
pub(crate) use http1::{Connection, ask, request};
