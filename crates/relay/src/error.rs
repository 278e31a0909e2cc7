//! Why the relay did not start.

use crate::startup::config::ConfigError;
use mountshift_spool::SpoolError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code for bad input: the operator has to change the configuration or the environment.
const BAD_INPUT: u8 = 2;
/// The exit code for everything else that keeps the relay from starting.
const FAILURE: u8 = 1;

/// Why the relay did not start. Displayed, each is one plain line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The inherited descriptor is no listening socket.
    #[error("descriptor {descriptor}: {source}")]
    InheritedListener { descriptor: i32, source: io::Error },
    /// The environment does not pass the descriptor on to this program.
    #[error("descriptor {descriptor} is not named to the program (LISTEN_FDS, LISTEN_FDS_FIRST_FD)")]
    ListenerNotInherited { descriptor: i32 },
    /// Signals can't be received.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The clients' address can't be listened on.
    #[error("{address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    /// The operators' address can't be listened on.
    #[error("mgmt {address}: {source}")]
    AdminListen { address: SocketAddr, source: io::Error },
    /// A file or folder of the relay's state can't be used.
    #[error("{}: {source}", path.display())]
    State { path: PathBuf, source: io::Error },
    /// The spool can't be opened.
    #[error("{}: {source}", path.display())]
    Spool { path: PathBuf, source: SpoolError },
    /// Two other processes run on the state folder.
    #[error("{}: {reason}", path.display())]
    StateDirInUse { path: PathBuf, reason: String },
    /// The merged spool can't be written.
    #[error("spool: {0}")]
    MergeSpools(#[source] io::Error),
}

impl StartError {
    /// The process's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            StartError::Config(_)
            | StartError::InheritedListener { .. }
            | StartError::ListenerNotInherited { .. } => BAD_INPUT,
            StartError::Signals(_)
            | StartError::Listen { .. }
            | StartError::AdminListen { .. }
            | StartError::State { .. }
            | StartError::Spool { .. }
            | StartError::StateDirInUse { .. }
            | StartError::MergeSpools(_) => FAILURE,
        };
        ExitCode::from(code)
    }
}
