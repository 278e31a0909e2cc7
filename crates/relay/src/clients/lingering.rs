//! Lingering close of client connections: closing a socket with unread input resets the connection, and the client may
//! lose the last reply. Input is therefore read and discarded for a short time before the close.

use super::ClientService;
use crate::transient::{self, is_transient};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Duration for which input is discarded when the connection has to make room for another one. A healthy client has
/// sent the rest of its request and read its reply by then.
const LINGER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of attempts of a write that fails with transient errors.
const MAX_WRITE_ATTEMPTS: usize = 20;
/// Pause between two reads of discarded input, in which other connections are served.
pub(super) const DISCARD_PAUSE: Duration = Duration::from_millis(1);
/// Maximum number of bytes per read of discarded input.
const DISCARD_CHUNK_BYTES: usize = 64 * 1024;

/// Writes as much as the socket accepts without waiting; retries after transient errors.
pub(super) fn try_write(mut stream: &TcpStream, bytes: &[u8]) {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match stream.write(bytes) {
            Err(e) if is_transient(&e) => {}
            _ => return,
        }
    }
}

/// Reads and discards one chunk of input. Not async, because a buffer that lives across an `await` becomes part of
/// the task of every open connection.
pub(super) fn discard_chunk(stream: &Async<TcpStream>) -> io::Result<usize> {
    stream.get_ref().read(&mut [0; DISCARD_CHUNK_BYTES])
}

/// Reads and discards input for up to [`LINGER_TIMEOUT`], so that the close does not discard the reply. Returns at
/// once if too many connections linger.
pub(super) async fn linger(stream: &Async<TcpStream>, service: &ClientService) {
    if service.start_lingering() {
        discard_until(stream, Instant::now() + LINGER_TIMEOUT).await;
        service.stop_lingering();
    }
}

async fn discard_until(stream: &Async<TcpStream>, due: Instant) {
    while Instant::now() < due {
        match discard_chunk(stream) {
            Ok(0) => return,
            Ok(_) => drop(Timer::after(DISCARD_PAUSE).await),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                let late = async {
                    Timer::at(due).await;
                };
                transient::readable(stream).or(late).await;
            }
            Err(e) if is_transient(&e) => transient::pause().await,
            Err(_) => return,
        }
    }
}
