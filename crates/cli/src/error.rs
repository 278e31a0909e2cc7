//! What keeps a command from being carried out. Each message is one plain line; the exit code is 2.

use std::collections::BTreeMap;
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// An error of another crate, as it came.
pub(crate) type BoxedError = Box<dyn Error + Send + Sync>;

/// What keeps a command from being carried out.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// A file or folder can't be read or written.
    #[error("{}: {source}", .path.display())]
    File { path: PathBuf, source: io::Error },
    /// A file of constants is no TOML table of texts.
    #[error("{}: {}", .path.display(), .source.message())]
    Constants { path: PathBuf, source: toml::de::Error },
    /// A file does not hold the results of `lab run --save`.
    #[error("{}: {source}", .path.display())]
    Results { path: PathBuf, source: serde_json::Error },
    /// A scenario is refused or can't be written.
    #[error("{0}")]
    Scenario(#[source] BoxedError),
    /// Days can't be compared, or a report of them can't be drawn.
    #[error("{0}")]
    Experiment(#[source] BoxedError),
    /// A load test can't be carried out.
    #[error("{0}")]
    Load(#[source] BoxedError),
    /// A soak can't be played.
    #[error("{0}")]
    Soak(#[source] BoxedError),
    /// The soak's relay and shim can't be built.
    #[error("the relay for the soak can't be built (not in a checkout?)")]
    BuildSoak,
    /// Results can't be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The scenario has no destination of this name.
    #[error("there is no destination {name}")]
    UnknownDestination { name: String },
    /// Nothing was named that a trace could be about.
    #[error("name a --message, a --request, a --destination, or --everything")]
    NoTraceSubject,
    /// The day has no fact about what was named.
    #[error("nothing on this day is about that")]
    EmptyTrace,
    /// The decisions can't be read.
    #[error("{}: {source} (not in a checkout?)", .path.display())]
    NoCheckout { path: PathBuf, source: io::Error },
    /// The decisions have no such constant.
    #[error("{path} has no constant {constant}")]
    UnknownConstant { path: &'static str, constant: String },
    /// A part of the checkout can't be copied to where a variant is built.
    #[error("{part}: can't be copied to {}", .folder.display())]
    CopyCheckout { part: &'static str, folder: PathBuf },
    /// The decisions can't be built with these constants.
    #[error("the decisions with {constants:?} can't be built")]
    BuildVariant { constants: BTreeMap<String, String> },
    /// The program of a variant did not carry out its days; without an exit code a signal ended it.
    #[error("{}: ended with {exit_code:?}", .program.display())]
    RunVariant { program: PathBuf, exit_code: Option<i32> },
}

impl CliError {
    /// For `map_err` where a file or folder is read or written.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> CliError {
        let path = path.to_path_buf();
        move |source| CliError::File { path, source }
    }

    /// For `map_err` where a scenario is read or written.
    pub(crate) fn scenario(error: impl Into<BoxedError>) -> CliError {
        CliError::Scenario(error.into())
    }

    /// For `map_err` where a soak is played.
    pub(crate) fn soak(error: impl Into<BoxedError>) -> CliError {
        CliError::Soak(error.into())
    }

    /// For `map_err` where days are compared or drawn.
    pub(crate) fn experiment(error: impl Into<BoxedError>) -> CliError {
        CliError::Experiment(error.into())
    }
}
