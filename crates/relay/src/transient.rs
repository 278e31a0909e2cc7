//! Errors of sockets that pass: the connection is as it was, and the same call works a moment later.

use async_io::{Async, Timer};
use futures_lite::{AsyncWrite, AsyncWriteExt};
use rustix::io::Errno;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Before a call that failed for a shortage is made again.
const PAUSE: Duration = Duration::from_millis(5);

/// True for an error that says nothing of the connection: the call was interrupted, or the system is short of memory for
/// it at this moment.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::INTR | Errno::NOBUFS | Errno::NOMEM))
}

/// Waits until a call that failed by a transient error may work.
pub(crate) async fn pause() {
    Timer::after(PAUSE).await;
}

/// Waits until there may be something to read, or for a moment where the system can't wait for the socket (`epoll_ctl`
/// fails): the read that follows tells what is true.
pub(crate) async fn readable(stream: &Async<TcpStream>) {
    if stream.readable().await.is_err() {
        pause().await;
    }
}

/// Writes all bytes, again after transient errors; `unwritten` holds at any time what is left.
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
