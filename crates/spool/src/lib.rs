//! The durable log of a relay: messages taken on, their legs and their ends, appended to one file. What was
//! written outlives the process, not the machine: nothing is synced. When the file grows, what is still
//! alive is written to a second one that takes its place by rename; both together stay within the limit.
#![forbid(unsafe_code)]

mod compaction;
mod log_file;
mod message;
mod record;

pub use log_file::{FILE_NAME, Spool};
pub use message::{AcceptedMessage, AttemptRecord, FinalOutcome, StoredMessage};
