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
/// Beginning of a positive response.
const POSITIVE: &[u8] = b"HTTP/1.1 200";

/// Returns whether the process at this admin address reports that it serves.
pub(crate) async fn reports_ready(address: SocketAddr) -> bool {
    call(address, "GET", "/status").await
}

/// Makes a call that changes the state of the process at this admin address. Returns whether the answer is positive.
pub(crate) async fn post(address: SocketAddr, target: &str) -> bool {
    call(address, "POST", target).await
}

async fn call(address: SocketAddr, method: &str, target: &str) -> bool {
    let request = format!("{method} {target} HTTP/1.1\r\nHost: relay\r\n\r\n");
    let call = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut beginning = [0; POSITIVE.len()];
        stream.read_exact(&mut beginning).await?;
        io::Result::Ok(beginning == *POSITIVE)
    };
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        Ok(false)
    };
    call.or(timeout).await.unwrap_or(false)
}
