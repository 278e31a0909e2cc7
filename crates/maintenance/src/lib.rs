//! The operators' calls at the relay's admin address, and the state that they set: the endpoints in
//! maintenance, standby, and the times at which client connections are closed in standby. No I/O. Times are
//! durations since the relay's start.
//!
//! - [`parse_request`] parses a call, [`MaintenanceState`] answers it and keeps the resulting state.
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
