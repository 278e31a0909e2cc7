//! The clients' listening socket.

use super::config::StartConfig;
use super::patience::Patience;
use crate::error::StartError;
use async_io::Async;
use std::net::TcpListener;

/// Inherits the clients' listening socket from the platform where the configuration names it, or binds it.
pub(crate) fn client_listener(
    config: &StartConfig,
    patience: &Patience,
) -> Result<Async<TcpListener>, StartError> {
    match config.inherited_listener {
        Some(descriptor) => inherit(descriptor),
        None => patience
            .retry(|| Async::<TcpListener>::bind(config.listen))
            .map_err(|source| StartError::Listen { address: config.listen, source }),
    }
}

fn inherit(descriptor: i32) -> Result<Async<TcpListener>, StartError> {
    let unusable = |source| StartError::InheritedListener { descriptor, source };
    let inherited = listenfd::ListenFd::from_env().take_tcp_listener(0).map_err(unusable)?;
    let listener = inherited.ok_or(StartError::ListenerNotInherited { descriptor })?;
    Async::new(listener).map_err(unusable)
}
