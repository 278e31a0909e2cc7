//! The platform's calls to the admin address of a process.

use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which an admin call must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
const STATUS_REQUEST: &[u8] = b"GET /status HTTP/1.1\r\nHost: relay\r\n\r\n";
/// Beginning of the response of a process that serves.
const READY: &[u8] = b"HTTP/1.1 200";

/// Returns whether the process at this admin address reports that it serves.
pub(crate) async fn reports_ready(address: SocketAddr) -> bool {
    let call = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(STATUS_REQUEST).await?;
        let mut beginning = [0; READY.len()];
        stream.read_exact(&mut beginning).await?;
        io::Result::Ok(beginning == *READY)
    };
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        Ok(false)
    };
    call.or(timeout).await.unwrap_or(false)
}
