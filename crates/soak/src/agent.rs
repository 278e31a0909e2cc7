//! The address at which a relay reaches discovery and the receiver of notifications. A new configuration of the relay can
//! move it.

use crate::platform::{Platform, serve};
use crate::recorder::lock;
use smol::net::TcpListener;
use smol::{Task, Timer};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time for which the open connections of an agent that has moved stay open. It accepts no new ones.
const RETIRED_CONNECTIONS_OPEN_FOR: Duration = Duration::from_millis(1_500);

/// The server at an address. Dropping it closes the address and all connections.
pub(crate) struct Agent {
    pub(crate) address: SocketAddr,
    accepting: Task<()>,
    connections: Arc<Mutex<Vec<Task<()>>>>,
}

impl Agent {
    /// Opens an address of a relay's agent.
    pub(crate) async fn start(relay: usize, platform: Arc<Platform>) -> io::Result<Agent> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let connections: Arc<Mutex<Vec<Task<()>>>> = Arc::default();
        let accepting = smol::spawn(accept(listener, relay, platform, connections.clone()));
        Ok(Agent { address, accepting, connections })
    }

    /// Accepts no new connection from now on, and closes the open ones a little later.
    pub(crate) async fn retire(self) {
        self.accepting.cancel().await;
        let connections = self.connections;
        let close = async move {
            Timer::after(RETIRED_CONNECTIONS_OPEN_FOR).await;
            lock(&connections).clear();
        };
        smol::spawn(close).detach();
    }
}

async fn accept(
    listener: TcpListener,
    relay: usize,
    platform: Arc<Platform>,
    connections: Arc<Mutex<Vec<Task<()>>>>,
) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let mut connections = lock(&connections);
            connections.retain(|connection| !connection.is_finished());
            connections.push(smol::spawn(serve(stream, relay, platform.clone())));
        }
    }
}
