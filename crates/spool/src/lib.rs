//! The spool, the durable log of a relay: accepted messages, their attempts and their outcomes, appended to one
//! file. What was written outlives the process, not the machine: nothing is synced. When the file grows, the
//! messages that are not over are written to a second one that takes its place by rename; both together stay
//! within the limit.
//!
//! - [`Spool`] owns the file and the messages in it; it decides nothing about them.
//! - `batch` collects what is written together, `replay` reads it back.
//!
//! What is committed together is found together or not at all, also if a write was cut short; what is committed after a
//! write that failed never stands behind a torn one.
//!
//! - `record` holds the encoding, `compaction` the writing anew.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod batch;
mod compaction;
mod error;
mod log_file;
mod message;
mod record;
mod replay;

pub use error::SpoolError;
pub use log_file::{FILE_NAME, Spool};
pub use message::{AcceptedMessage, AttemptRecord, FinalOutcome, StoredMessage};
