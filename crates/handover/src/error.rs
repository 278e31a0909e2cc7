//! Errors of a handover.

use crate::snapshot::FORMAT;

/// Reason why a process gets no role, or why a snapshot can't be read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HandoverError {
    /// Other processes hold both locks: an active process and a successor are running, and a third is not
    /// allowed.
    #[error("two processes of this relay hold the state folder already")]
    StateFolderTaken,
    /// The snapshot was written by a newer program.
    #[error("unsupported format {format}; this program reads formats up to {known}", known = FORMAT)]
    NewerFormat {
        /// The format that the snapshot declares.
        format: u32,
    },
    /// The text is not a snapshot.
    #[error("not a valid snapshot: {0}")]
    NotASnapshot(#[source] serde_json::Error),
}
