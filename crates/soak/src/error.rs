//! What keeps a soak from being played. Each message is one plain line.

use std::io;
use std::path::PathBuf;

/// What keeps a soak from being played.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SoakError {
    /// A file, folder or socket of the soak can't be used.
    #[error("{what}: {source}")]
    Io {
        /// What could not be used.
        what: String,
        /// Why.
        source: io::Error,
    },
    /// A program that the soak needs is not there.
    #[error("{}: not there; build it or name another one", .path.display())]
    NoProgram {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// A schedule can't be read.
    #[error("{}: {source}", .path.display())]
    Schedule {
        /// Its file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// The soak was told to end.
    #[error("ended by a signal; its processes are ended too")]
    Interrupted,
    /// A schedule asks for what the soak does not do.
    #[error("{0}")]
    Unplayable(String),
}

impl SoakError {
    /// For `map_err` where a file, folder or socket is used.
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> SoakError {
        let what = what.into();
        move |source| SoakError::Io { what, source }
    }
}
