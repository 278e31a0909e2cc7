//! Listening sockets for clients and for the admin address.

use super::config::StartConfig;
use super::retry::RetryDeadlines;
use crate::error::StartError;
use async_io::Async;
use log::info;
use std::net::TcpListener;

/// Returns the listening socket for clients: inherited from the platform if configured so, otherwise bound here.
pub(crate) async fn client_listener(
    config: &StartConfig,
    retry_deadlines: &RetryDeadlines,
) -> Result<Async<TcpListener>, StartError> {
    match config.inherited_listener {
        Some(descriptor) => inherit(descriptor),
        None => retry_deadlines
            .retry_required(|| Async::<TcpListener>::bind(config.listen))
            .await
            .map_err(|source| StartError::Listen { address: config.listen, source }),
    }
}

/// Binds the admin address, if configured.
pub(crate) async fn admin_listener(
    config: &StartConfig,
    retry_deadlines: &RetryDeadlines,
) -> Result<Option<Async<TcpListener>>, StartError> {
    let Some(address) = config.admin_listen else { return Ok(None) };
    let listener = retry_deadlines.retry_required(|| Async::<TcpListener>::bind(address)).await;
    let listener = listener.map_err(|source| StartError::AdminListen { address, source })?;
    info!("mgmt: listening for operators on {address}");
    Ok(Some(listener))
}

fn inherit(descriptor: i32) -> Result<Async<TcpListener>, StartError> {
    let unusable = |source| StartError::InheritedListener { descriptor, source };
    let inherited = listenfd::ListenFd::from_env().take_tcp_listener(0).map_err(unusable)?;
    let listener = inherited.ok_or(StartError::ListenerNotInherited { descriptor })?;
    Async::new(listener).map_err(unusable)
}
