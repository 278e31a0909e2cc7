//! Startup errors of the relay.

use crate::startup::config::ConfigError;
use mountshift_spool::SpoolError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for bad input: the operator has to change the configuration or the environment.
const BAD_INPUT: u8 = 2;
/// Exit code for all other startup errors.
const FAILURE: u8 = 1;

/// Startup error. The message is a single line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The inherited descriptor is not a listening socket.
    #[error("inherited descriptor {descriptor} is not a usable listening socket: {source}")]
    InheritedListener { descriptor: i32, source: io::Error },
    /// The environment does not declare the descriptor as inherited.
    #[error(
        "descriptor {descriptor} is not named to the program: LISTEN_FDS and LISTEN_FDS_FIRST_FD don't include it"
    )]
    ListenerNotInherited { descriptor: i32 },
    /// The signal handlers can't be installed.
    #[error("signals: can't install handlers: {0}")]
    Signals(#[source] io::Error),
    /// The listening socket for clients can't be opened.
    #[error("can't listen for clients on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    /// The listening socket of the admin address can't be opened.
    #[error("mgmt: can't listen for operators on {address}: {source}")]
    AdminListen { address: SocketAddr, source: io::Error },
    /// A file or folder of the relay's state is not accessible.
    #[error("{}: not accessible: {source}", path.display())]
    State { path: PathBuf, source: io::Error },
    /// The spool can't be opened.
    #[error("{}: can't open the spool: {source}", path.display())]
    Spool { path: PathBuf, source: SpoolError },
    /// Two other processes use the state folder.
    #[error("{}: state folder not usable: {reason}", path.display())]
    StateDirInUse { path: PathBuf, reason: String },
    /// The merged spool can't be written.
    #[error("spool: can't write the merged spool: {0}")]
    MergeSpools(#[source] io::Error),
}

impl StartError {
    /// Returns the exit code of the process.
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
