//! Upstream side of the relay: the known endpoints, the connection pool, and the calls.
//!
//! `endpoint_table` holds the known endpoints and `connection_pool` the idle connections; `attempt` makes one call over
//! a connection of `http1`. `batch` encodes its messages, `response` parses the head of its response, and `call_response`
//! decides what the response means. Nothing here decides where or when a
//! message is sent.

mod attempt;
mod batch;
mod call_response;
mod close_reason;
mod connection_pool;
mod endpoint_table;
mod http1;
mod response;
#[cfg(test)]
mod tests;

pub(crate) use attempt::{AttemptResult, Call, CallMessage, CallResult, CallStage, load_report_value};
pub(crate) use batch::max_batch_entry_bytes;
pub(crate) use connection_pool::ConnectionPool;
pub(crate) use endpoint_table::{Endpoint, EndpointTable};
pub(crate) use http1::{HttpConnection, encode_request, exchange};
