//! The listening sockets: the clients' and the operators'.

use super::config::StartConfig;
use super::patience::Patience;
use crate::error::StartError;
use async_io::Async;
use log::info;
use std::net::TcpListener;

/// Inherits the clients' listening socket from the platform where the configuration names it, or binds it.
pub(crate) async fn client_listener(
    config: &StartConfig,
    patience: &Patience,
) -> Result<Async<TcpListener>, StartError> {
    match config.inherited_listener {
        Some(descriptor) => inherit(descriptor),
        None => patience
            .retry_essential(|| Async::<TcpListener>::bind(config.listen))
            .await
            .map_err(|source| StartError::Listen { address: config.listen, source }),
    }
}

/// Binds the operators' address, where there is one.
pub(crate) async fn admin_listener(
    config: &StartConfig,
    patience: &Patience,
) -> Result<Option<Async<TcpListener>>, StartError> {
    let Some(address) = config.admin_listen else { return Ok(None) };
    let listener = patience.retry_essential(|| Async::<TcpListener>::bind(address)).await;
    let listener = listener.map_err(|source| StartError::AdminListen { address, source })?;
    info!("operators' calls on {address}");
    Ok(Some(listener))
}

fn inherit(descriptor: i32) -> Result<Async<TcpListener>, StartError> {
    let unusable = |source| StartError::InheritedListener { descriptor, source };
    let inherited = listenfd::ListenFd::from_env().take_tcp_listener(0).map_err(unusable)?;
    let listener = inherited.ok_or(StartError::ListenerNotInherited { descriptor })?;
    Async::new(listener).map_err(unusable)
}
