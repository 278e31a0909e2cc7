//! The clients' listening socket.

use super::config;
use crate::error::StartError;
use async_io::Async;
use std::net::TcpListener;

/// The clients' listening socket: the platform's, inherited as `run` names it, or bound here.
pub(crate) fn listener(config: &config::StartConfig) -> Result<Async<TcpListener>, StartError> {
    let Some(fd) = config.listener_fd else {
        let bound = Async::<TcpListener>::bind(config.listen);
        return bound.map_err(|e| StartError::failure(format!("{}: {e}", config.listen)));
    };
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let taken = taken.map_err(|e| format!("descriptor {fd}: {e}")).and_then(|l| {
        l.ok_or(format!("descriptor {fd} is not named to the program (LISTEN_FDS, LISTEN_FDS_FIRST_FD)"))
    });
    let taken = taken.map_err(StartError::bad_input)?;
    Async::new(taken).map_err(|e| StartError::bad_input(format!("descriptor {fd}: {e}")))
}
