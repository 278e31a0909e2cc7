//! The spool, the durable log of a relay: accepted messages, their attempts and their outcomes, appended to
//! one file. Written data survives the end of the process but not a crash of the machine: nothing is synced.
//! When the file grows, the messages that are not finished are written to a second file that replaces it by
//! rename. Both files together stay within the size limit.
//!
//! Records that were committed together are read back together or not at all, even if a write was cut short.
//! Records committed after a failed write are never placed behind the torn data of that write.
//!
//! - [`Spool`] owns the file and the messages in it; it makes no decisions about them.
//! - [`SpoolFollower`] reads the log of another process while that process writes it.
//! - `batch` collects records that are written together, `replay` reads them back.
//! - `record` holds the encoding, `compaction` rewrites the log.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod batch;
mod compaction;
mod ended_ids;
mod error;
mod follower;
mod log_file;
mod message;
mod record;
mod replay;

pub use ended_ids::{EndedId, EndedIds, MAX_ENDED_IDS};
pub use error::SpoolError;
pub use follower::{LogChange, SpoolFollower};
pub use log_file::{SPOOL_FILE, Spool};
pub use message::{AcceptedMessage, AttemptRecord, FinalOutcome, StoredMessage};
