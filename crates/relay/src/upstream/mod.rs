//! The endpoints' side of the relay: what is known of endpoints, the connections kept to them, and the calls.
//!
//! `endpoint_table` holds the known endpoints, `connection_pool` the idle connections; `attempt` makes one call, and
//! `http1` is the connection that it is made on. Nothing here decides where or when a message is sent.

mod attempt;
mod connection_pool;
mod endpoint_table;
mod http1;
mod response;
#[cfg(test)]
mod tests;

pub(crate) use attempt::{
    AttemptResult, Call, CallMessage, CallResult, CallStage, load_report_value, max_batch_entry_bytes,
};
pub(crate) use connection_pool::ConnectionPool;
pub(crate) use endpoint_table::{Endpoint, EndpointTable};
pub(crate) use http1::{HttpConnection, encode_request, exchange};
