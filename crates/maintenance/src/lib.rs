//! What the operators' calls at the second address mean for a relay, and what follows from them: which
//! endpoints are out by hand, whether clients are sent away, when a client connection is let go. No I/O;
//! times are spans since the relay's start.
#![forbid(unsafe_code)]

mod call;
mod state;

pub use call::{
    Answer, CALLERS_MOST, CUT_SHORT, Call, HEAD_DUE, HEAD_MOST, LATE, NOT_HTTP, TOO_LARGE, WRITE_DUE, call,
};
pub use state::{ALL_CLOSE, Change, IDLE_CLOSE, MaintenanceState};

#[cfg(test)]
mod tests;
