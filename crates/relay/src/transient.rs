//! Transient errors of socket calls: they leave the connection intact, and the same call can succeed shortly after.

use async_io::{Async, Timer};
use futures_lite::{AsyncWrite, AsyncWriteExt};
use rustix::io::Errno;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Pause before a failed socket call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Returns whether the error does not concern the connection itself: the call was interrupted, or the system is
/// temporarily out of memory.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::INTR | Errno::NOBUFS | Errno::NOMEM))
}

/// Waits until a call that failed with a transient error may succeed.
pub(crate) async fn pause() {
    Timer::after(RETRY_PAUSE).await;
}

/// Waits until the socket may be readable, or for a short pause if the system can't wait for it (`epoll_ctl` fails).
/// The read that follows determines the state of the socket.
pub(crate) async fn readable(stream: &Async<TcpStream>) {
    if stream.readable().await.is_err() {
        pause().await;
    }
}

/// Writes all bytes, with retries after transient errors. `unwritten` always holds the remaining bytes.
pub(crate) async fn write_all<W: AsyncWrite + Unpin>(
    writer: &mut W,
    unwritten: &mut &[u8],
) -> io::Result<()> {
    while !unwritten.is_empty() {
        match writer.write(unwritten).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => *unwritten = &unwritten[written..],
            Err(e) if is_transient(&e) => pause().await,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
