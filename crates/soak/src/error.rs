//! Errors of a soak. Each message is a single line.

use std::io;
use std::path::PathBuf;

/// The reason why a soak can't be run.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SoakError {
    /// A file, folder or socket of the soak can't be used.
    #[error("{what}: {source}")]
    Io {
        /// The file, folder or socket.
        what: String,
        /// Cause of the error.
        source: io::Error,
    },
    /// A program that the soak needs does not exist.
    #[error("{}: file not found; build the program or name another one", .path.display())]
    NoProgram {
        /// Path of the program.
        path: PathBuf,
    },
    /// A schedule can't be read.
    #[error("{}: {source}", .path.display())]
    Schedule {
        /// Path of the schedule file.
        path: PathBuf,
        /// Cause of the error.
        source: serde_json::Error,
    },
    /// The soak received SIGINT or SIGTERM.
    #[error("interrupted by a signal; all started processes have been killed")]
    Interrupted,
    /// A schedule contains something that the soak does not support.
    #[error("{0}")]
    UnsupportedSchedule(String),
}

impl SoakError {
    /// Returns a function for `map_err` that adds the name of the file, folder or socket.
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> SoakError {
        let what = what.into();
        move |source| SoakError::Io { what, source }
    }
}
