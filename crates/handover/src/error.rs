//! Errors of a handover.

use crate::snapshot::SNAPSHOT_FORMAT;

/// Reason why a process gets no role, or why a snapshot can't be read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HandoverError {
    /// Other processes hold both locks: an active process and a successor are running, and a third is not
    /// allowed.
    #[error("two other processes of this relay already use the state folder")]
    StateDirInUse,
    /// The snapshot was written by a newer program.
    #[error("unsupported format {format}; this program reads formats up to {known}", known = SNAPSHOT_FORMAT)]
    NewerFormat {
        /// The format that the snapshot declares.
        format: u32,
    },
    /// The text is not a snapshot.
    #[error("not a valid snapshot: {0}")]
    InvalidSnapshot(#[source] serde_json::Error),
}
