//! Errors that prevent a command from completing. Each is one line of text; the exit code is 2.

use std::collections::BTreeMap;
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// Error of another crate.
pub(crate) type BoxedError = Box<dyn Error + Send + Sync>;

/// Error that prevents a command from completing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// A file or folder can't be read or written.
    #[error("{}: {source}", .path.display())]
    File { path: PathBuf, source: io::Error },
    /// A file of constants is not a TOML table of strings.
    #[error("{}: {}", .path.display(), .source.message())]
    Constants { path: PathBuf, source: toml::de::Error },
    /// A file does not contain results of `lab run --save`.
    #[error("{}: {source}", .path.display())]
    Results { path: PathBuf, source: serde_json::Error },
    /// A scenario is invalid or can't be written.
    #[error("{0}")]
    Scenario(#[source] BoxedError),
    /// Days can't be compared, or their report can't be created.
    #[error("{0}")]
    Experiment(#[source] BoxedError),
    /// A load test can't be run.
    #[error("{0}")]
    Load(#[source] BoxedError),
    /// A soak can't be run.
    #[error("{0}")]
    Soak(#[source] BoxedError),
    /// The relay and the fault shim of a soak can't be built.
    #[error("building the relay and the fault shim for the soak failed (not in a checkout?)")]
    BuildSoak,
    /// Results can't be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The scenario has no destination of this name.
    #[error("there is no destination {name}")]
    UnknownDestination { name: String },
    /// The arguments select nothing to trace.
    #[error("specify --message, --request, --destination or --everything")]
    MissingTraceSelection,
    /// The day has no fact about the selection.
    #[error("no fact of this day matches the selection")]
    EmptyTrace,
    /// The source of the delivery policy can't be read.
    #[error("{}: {source} (not in a checkout?)", .path.display())]
    NoCheckout { path: PathBuf, source: io::Error },
    /// The delivery policy has no such constant.
    #[error("{path} has no constant {constant}")]
    UnknownConstant { path: &'static str, constant: String },
    /// A part of the checkout can't be copied to the build folder of a variant.
    #[error("{part}: copying to {} failed", .folder.display())]
    CopyCheckout { part: &'static str, folder: PathBuf },
    /// The delivery policy can't be built with these constants.
    #[error("building the delivery policy with {constants:?} failed")]
    BuildVariant { constants: BTreeMap<String, String> },
    /// The program of a variant failed; it has no exit code if a signal terminated it.
    #[error("{}: failed with exit code {exit_code:?}", .program.display())]
    RunVariant { program: PathBuf, exit_code: Option<i32> },
}

impl CliError {
    /// Returns a conversion for errors of reading or writing a file or folder.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> CliError {
        let path = path.to_path_buf();
        move |source| CliError::File { path, source }
    }

    /// Converts an error of reading or writing a scenario.
    pub(crate) fn scenario(error: impl Into<BoxedError>) -> CliError {
        CliError::Scenario(error.into())
    }

    /// Converts an error of a soak.
    pub(crate) fn soak(error: impl Into<BoxedError>) -> CliError {
        CliError::Soak(error.into())
    }

    /// Converts an error of comparing or reporting days.
    pub(crate) fn experiment(error: impl Into<BoxedError>) -> CliError {
        CliError::Experiment(error.into())
    }
}
