//! What can go wrong at a handover.

use crate::snapshot::FORMAT;

/// Why a process has no role, or a snapshot can't be read: one plain line each.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HandoverError {
    /// An active process and a successor run beside this one: a third has no place.
    #[error("two processes of this relay hold the state folder already")]
    StateFolderTaken,
    /// The snapshot was written by a newer program.
    #[error("it is of format {format}; this program reads formats up to {known}", known = FORMAT)]
    NewerFormat {
        /// The format that the snapshot says it is of.
        format: u32,
    },
    /// The text is no snapshot.
    #[error("no snapshot: {0}")]
    NotASnapshot(#[source] serde_json::Error),
}
