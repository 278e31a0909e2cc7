//! The end of a connection whose client may still send: a close over unread bytes would reset it and take the last reply
//! away, so what comes is read and dropped for a while.

use super::ClientService;
use crate::transient::{self, is_transient};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How long it is read where the place is needed for another connection: a client that is well has sent the rest of its
/// request by then, and reads its reply before the close can reset the connection.
const SHORT_DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// Tries of a write that is not waited for.
const MAX_WRITES_AT_ONCE: usize = 20;
/// The pause between two such reads, which leaves other connections their turn.
pub(super) const DISCARD_PAUSE: Duration = Duration::from_millis(1);
/// Bytes that one read takes from a connection whose input is dropped.
const DISCARD_CHUNK_BYTES: usize = 64 * 1024;

/// Writes what a connection takes at once; transient errors are tried over.
pub(super) fn write_at_once(mut stream: &TcpStream, bytes: &[u8]) {
    for _ in 0..MAX_WRITES_AT_ONCE {
        match stream.write(bytes) {
            Err(e) if is_transient(&e) => {}
            _ => return,
        }
    }
}

/// Reads and drops some of what has come. Not async: a buffer that lives across an `await` would be held by every
/// connection for as long as it is open.
pub(super) fn discard_chunk(stream: &Async<TcpStream>) -> io::Result<usize> {
    stream.get_ref().read(&mut [0; DISCARD_CHUNK_BYTES])
}

/// Reads and drops for a moment what still comes, so that the close does not take the reply away; not at all if too many
/// connections end like this at once.
pub(super) async fn discard_briefly(stream: &Async<TcpStream>, service: &ClientService) {
    if service.start_lingering() {
        discard_until(stream, Instant::now() + SHORT_DISCARD_TIMEOUT).await;
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
