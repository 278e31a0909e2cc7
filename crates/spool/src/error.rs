//! What can go wrong with the spool.

use crate::log_file::FILE_NAME;
use crate::record::FORMAT;
use std::io;

/// Why the log can't be opened.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SpoolError {
    /// A file or the folder can't be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The log was written by a newer program.
    #[error(
        "{name}, byte {offset}: it is of format {format}; this program reads formats up to {known}",
        name = FILE_NAME,
        known = FORMAT
    )]
    NewerFormat {
        /// Where the record begins in the log, in bytes.
        offset: usize,
        /// The format that the log says it is of.
        format: u64,
    },
    /// The log holds a whole record, with the right checksum, that this program can't read.
    #[error("{name}, byte {offset}: a record of a kind that this program does not know", name = FILE_NAME)]
    UnknownRecord {
        /// Where the record begins in the log, in bytes.
        offset: usize,
    },
}
