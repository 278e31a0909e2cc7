//! What the operators' calls at the second address mean for a relay, and what follows from them: which endpoints
//! are in maintenance, whether clients are sent away, when a client connection is closed. No I/O; times are spans
//! since the relay's start.
//!
//! - [`parse_call`] reads a call, [`MaintenanceState`] answers it and keeps what it changed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod state;

pub use call::{
    Answer, CUT_SHORT, Call, HEAD_TIMEOUT, LATE, MAX_CALLERS, MAX_HEAD_BYTES, NOT_HTTP, TOO_LARGE,
    WRITE_TIMEOUT, parse_call,
};
pub use state::{ALL_CLOSE, Change, IDLE_CLOSE, MaintenanceState};

#[cfg(test)]
mod tests;
