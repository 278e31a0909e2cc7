//! Errors of the spool.

use crate::log_file::SPOOL_FILE;
use crate::record::LOG_FORMAT;
use std::io;

/// Reason why the log can't be opened.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SpoolError {
    /// A file or the folder can't be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The log was written by a newer program.
    #[error(
        "{name}, byte {offset}: unsupported format {format}; this program reads formats up to {known}",
        name = SPOOL_FILE,
        known = LOG_FORMAT
    )]
    NewerFormat {
        /// Offset of the record in the log, in bytes.
        offset: usize,
        /// The format that the log declares.
        format: u64,
    },
    /// The log holds a complete record, with a correct checksum, that this program can't read.
    #[error("{name}, byte {offset}: record of unknown type", name = SPOOL_FILE)]
    UnknownRecord {
        /// Offset of the record in the log, in bytes.
        offset: usize,
    },
}
