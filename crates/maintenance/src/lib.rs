//! What the operators' calls at the second address mean for a relay, and what follows from them: which endpoints
//! are in maintenance, whether clients are sent away, when a client connection is closed. No I/O; times are spans
//! since the relay's start.
//!
//! - [`parse_request`] reads a call, [`MaintenanceState`] answers it and keeps what it changed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod state;

pub use call::{
    AdminRequest, AdminResponse, HEAD_TIMEOUT, HEAD_TOO_LARGE, INCOMPLETE_REQUEST, MAX_ADMIN_CONNECTIONS,
    MAX_HEAD_BYTES, NOT_HTTP, REQUEST_TIMED_OUT, WRITE_TIMEOUT, parse_request,
};
pub use state::{Change, MaintenanceState, STANDBY_CLOSE_TIMEOUT, STANDBY_IDLE_TIMEOUT};

#[cfg(test)]
mod tests;
