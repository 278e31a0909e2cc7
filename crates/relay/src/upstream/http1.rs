//! Client side of an HTTP/1.1 connection: writes a request, reads its response, with limits on size and time.
//!
//! Owns the socket and the bytes that were read but not parsed yet. Writes one log line when the connection ends.
//! Independent of messages and endpoints: polls of the endpoint list and notifications use it too.

use super::close_reason::CloseReason;
use super::response::{BodyLength, Head, Response, has_ok_status_line, parse_head};
use crate::fairness::TurnBudget;
use crate::transient::{self, is_transient};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use log::{debug, info};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum size of a response's head, of a chunk's size line, of the trailers, and of all interim responses (1xx) in front
/// of a response together.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Size of the buffer for one read.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Time within which a response must be complete once it has begun. A response that never ends would otherwise occupy
/// its slot until the timeout of the call, and delay its messages beyond that.
const REST_OF_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes of an unreadable response that are logged.
const MAX_LOGGED_BYTES: usize = 60;

/// Reason for a missing response. The texts appear in log lines that on-call staff search for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ResponseError {
    /// The connection was closed or reset.
    #[error("Ended")]
    ConnectionClosed,
    /// The response is not valid HTTP, is larger than allowed, or stalled after it had begun.
    #[error("Unreadable")]
    Unreadable,
    /// No byte of the response arrived in time.
    #[error("Silent")]
    TimedOut,
}

/// Error of an exchange over a persistent connection.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    #[error("no response in time")]
    TimedOut,
    #[error("{0}")]
    Io(#[source] io::Error),
    #[error("{0}")]
    Response(#[source] ResponseError),
    #[error("the response is incomplete or unreadable after its status line")]
    IncompleteResponse,
}

/// Responses that a connection to an endpoint has carried. The endpoint may send a copy of each of them at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlierResponses {
    None,
    /// Each of them named messages, all of which have ended.
    Named,
    /// One of them named no messages, or some that may be sent again.
    Unnamed,
}

/// A connection to a server.
pub(crate) struct HttpConnection {
    stream: Async<TcpStream>,
    /// Bytes that were read but not parsed yet.
    buffer: Vec<u8>,
    /// Reads that may follow without a wait.
    reads: TurnBudget,
    /// Whether the response being read has a status line with status 200.
    has_ok_status_line: bool,
    pub(super) address: SocketAddr,
    /// Name of the server in log lines.
    server_name: String,
    /// Number of requests written.
    pub(super) requests: u32,
    pub(super) earlier_responses: EarlierResponses,
    /// Time at which the connection was established or last carried bytes: the server counts idle time from then.
    pub(super) last_used: Instant,
    /// Reason for the log line if the connection ends now.
    pub(super) close_reason: CloseReason,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        let HttpConnection { server_name, close_reason, requests, .. } = self;
        info!("connection to {server_name} ended: {close_reason} after {requests} requests");
    }
}

impl HttpConnection {
    pub(super) async fn open(address: SocketAddr, server_name: String) -> io::Result<HttpConnection> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(HttpConnection {
            stream,
            buffer: Vec::new(),
            reads: TurnBudget::default(),
            has_ok_status_line: false,
            address,
            server_name,
            requests: 0,
            earlier_responses: EarlierResponses::None,
            last_used: Instant::now(),
            close_reason: CloseReason::Abandoned,
        })
    }

    /// Limits the bytes in transit.
    #[cfg(test)]
    pub(super) fn set_send_buffer_size(&self, bytes: usize) {
        socket2::SockRef::from(self.stream.get_ref()).set_send_buffer_size(bytes).expect("a size");
    }

    /// Closes the connection; the reason appears in its log line.
    pub(super) fn close(mut self, reason: CloseReason) {
        self.close_reason = reason;
        drop(self);
    }

    /// Returns whether the server has neither closed the connection nor sent unrequested bytes.
    pub(super) fn is_open_and_idle(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        self.buffer.is_empty() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes a request.
    pub(super) async fn write(&mut self, request: &[u8]) -> io::Result<()> {
        self.requests += 1;
        self.last_used = Instant::now();
        let mut unwritten = request;
        let written = transient::write_all(&mut self.stream, &mut unwritten).await;
        if written.is_err() {
            self.close_reason = CloseReason::BrokenInRequest;
        }
        written
    }

    /// Reads the response to the request just written, and returns it with whether the connection can be reused. The
    /// response must begin by `deadline`, and its body may have at most `max_body` bytes.
    pub(super) async fn read_response(
        &mut self,
        max_body: usize,
        deadline: Instant,
    ) -> Result<(Response, bool), ResponseError> {
        let result = self.read_final_response(max_body, deadline).await;
        if let Err(error) = &result {
            self.log_failure(*error);
        }
        self.record_close_reason(&result);
        match result {
            Ok(response) => {
                let reusable = response.keep_alive && self.buffer.is_empty();
                Ok((response, reusable))
            }
            // A confirmed delivery must not count as a failure: the status line alone may confirm it.
            Err(ResponseError::ConnectionClosed | ResponseError::Unreadable) if self.has_ok_status_line => {
                Ok((Response::status_line_only(), false))
            }
            Err(error) => Err(error),
        }
    }

    /// Reads the first response that is not an interim one (1xx). Without a bound on the interim ones it might never end.
    async fn read_final_response(
        &mut self,
        max_body: usize,
        deadline: Instant,
    ) -> Result<Response, ResponseError> {
        let mut interim_bytes = 0;
        while interim_bytes <= MAX_HEAD_BYTES {
            self.has_ok_status_line = false;
            if self.buffer.is_empty() {
                let timed_out = async {
                    Timer::at(deadline).await;
                    Err(ResponseError::TimedOut)
                };
                if !self.read_more().or(timed_out).await? {
                    return Err(ResponseError::ConnectionClosed);
                }
            }
            let rest_deadline = (Instant::now() + REST_OF_RESPONSE_TIMEOUT).min(deadline);
            let stalled = async {
                Timer::at(rest_deadline).await;
                Err(ResponseError::Unreadable)
            };
            let (response, head_bytes) = self.read_one_response(max_body).or(stalled).await?;
            if !(100..200).contains(&response.status) {
                return Ok(response);
            }
            interim_bytes += head_bytes;
        }
        Err(ResponseError::Unreadable)
    }

    fn log_failure(&self, error: ResponseError) {
        let shown = &self.buffer[..self.buffer.len().min(MAX_LOGGED_BYTES)];
        debug!(
            "answer from {}: {error} with {} bytes not parsed: {:?}",
            self.server_name,
            self.buffer.len(),
            String::from_utf8_lossy(shown)
        );
    }

    /// Records the reason for the log line, in case the connection ends after this response.
    fn record_close_reason(&mut self, result: &Result<Response, ResponseError>) {
        match result {
            Err(ResponseError::ConnectionClosed) => self.close_reason = CloseReason::BrokenInResponse,
            Err(ResponseError::Unreadable) => self.close_reason = CloseReason::UnreadableResponse,
            Err(ResponseError::TimedOut) => {}
            Ok(response) if !response.keep_alive => self.close_reason = CloseReason::ClosedAfterResponse,
            Ok(_) if !self.buffer.is_empty() => self.close_reason = CloseReason::UnrequestedBytes,
            Ok(_) => {}
        }
    }

    /// Reads one response, which may be an interim one; returns it with the size of its head.
    async fn read_one_response(&mut self, max_body: usize) -> Result<(Response, usize), ResponseError> {
        let head = self.read_head().await?;
        self.buffer.drain(..head.wire_bytes);
        let body = match head.body_length {
            BodyLength::Bytes(length) if length > max_body => return Err(ResponseError::Unreadable),
            BodyLength::Bytes(length) => self.take_bytes(length).await?,
            BodyLength::Chunked => self.read_chunked(max_body).await?,
            BodyLength::UntilClose => self.read_until_close(max_body).await?,
        };
        Ok((Response { body, ..head.response }, head.wire_bytes))
    }

    async fn read_head(&mut self) -> Result<Head, ResponseError> {
        loop {
            self.has_ok_status_line = has_ok_status_line(&self.buffer);
            if let Some(head) = parse_head(&self.buffer)? {
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ResponseError::Unreadable);
            }
            self.read_or_closed().await?;
        }
    }

    /// Reads the bytes that have arrived; returns false at the end of the stream. No bytes are lost if the future is
    /// dropped while it waits.
    async fn read_more(&mut self) -> Result<bool, ResponseError> {
        self.reads.spend().await;
        loop {
            match self.read_available() {
                Ok(read) => return Ok(read > 0),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    transient::readable(&self.stream).await;
                    self.reads.renew();
                }
                Err(e) if is_transient(&e) => transient::pause().await,
                Err(_) => return Err(ResponseError::ConnectionClosed),
            }
        }
    }

    /// Reads the bytes that have arrived; the end of the stream is an error.
    async fn read_or_closed(&mut self) -> Result<(), ResponseError> {
        if self.read_more().await? { Ok(()) } else { Err(ResponseError::ConnectionClosed) }
    }

    /// Reads into a temporary buffer, which takes memory only during the read and not for the life of the connection.
    fn read_available(&mut self) -> io::Result<usize> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let read = self.stream.get_ref().read(&mut chunk)?;
        self.last_used = Instant::now();
        self.buffer.extend(&chunk[..read]);
        Ok(read)
    }

    async fn take_bytes(&mut self, count: usize) -> Result<Vec<u8>, ResponseError> {
        while self.buffer.len() < count {
            self.read_or_closed().await?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn read_until_close(&mut self, max_body: usize) -> Result<Vec<u8>, ResponseError> {
        while self.read_more().await? {
            if self.buffer.len() > max_body {
                return Err(ResponseError::Unreadable);
            }
        }
        Ok(std::mem::take(&mut self.buffer))
    }

    async fn read_chunked(&mut self, max_body: usize) -> Result<Vec<u8>, ResponseError> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size().await?;
            if size > (max_body - body.len()) as u64 {
                return Err(ResponseError::Unreadable);
            }
            if size == 0 {
                self.skip_trailers().await?;
                return Ok(body);
            }
            let chunk = self.take_bytes(size as usize + 2).await?;
            let Some(data) = chunk.strip_suffix(b"\r\n") else { return Err(ResponseError::Unreadable) };
            body.extend(data);
        }
    }

    /// Reads the line with the size of the next chunk.
    async fn read_chunk_size(&mut self) -> Result<u64, ResponseError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((line_bytes, size))) => {
                    self.buffer.drain(..line_bytes);
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_HEAD_BYTES => {}
                _ => return Err(ResponseError::Unreadable),
            }
            self.read_or_closed().await?;
        }
    }

    /// Skips the trailer fields after the last chunk, up to the empty line that ends the response: endpoints may send
    /// trailers without a request for them, and their responses are still valid.
    async fn skip_trailers(&mut self) -> Result<(), ResponseError> {
        let mut skipped = 0;
        loop {
            match self.buffer.windows(2).position(|window| window == b"\r\n") {
                Some(0) => {
                    self.buffer.drain(..2);
                    return Ok(());
                }
                Some(end) => {
                    skipped += end + 2;
                    self.buffer.drain(..end + 2);
                }
                None if self.buffer.len() + skipped > MAX_HEAD_BYTES => {
                    return Err(ResponseError::Unreadable);
                }
                None => self.read_or_closed().await?,
            }
            if skipped > MAX_HEAD_BYTES {
                return Err(ResponseError::Unreadable);
            }
        }
    }
}

/// Sends a request over a persistent connection and reads the response, within `timeout`. Opens a new connection if the
/// existing one can't be used.
pub(crate) async fn exchange(
    kept_connection: &mut Option<HttpConnection>,
    address: SocketAddr,
    server_name: &str,
    request: &[u8],
    max_body: usize,
    timeout: Duration,
) -> Result<Response, ExchangeError> {
    let deadline = Instant::now() + timeout;
    let timed_out = async {
        Timer::at(deadline).await;
        Err(ExchangeError::TimedOut)
    };
    let response = async {
        let connection = match kept_connection {
            Some(connection) if connection.is_open_and_idle() => connection,
            _ => {
                let opened = HttpConnection::open(address, server_name.into()).await;
                kept_connection.insert(opened.map_err(ExchangeError::Io)?)
            }
        };
        connection.write(request).await.map_err(ExchangeError::Io)?;
        let (response, reusable) =
            connection.read_response(max_body, deadline).await.map_err(ExchangeError::Response)?;
        if !reusable {
            *kept_connection = None;
        }
        if response.is_complete { Ok(response) } else { Err(ExchangeError::IncompleteResponse) }
    };
    // The response is polled before the timer: after a suspension of the process past the deadline it may have arrived.
    response.or(timed_out).await
}

/// Encodes a request.
pub(crate) fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &[u8])],
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(name.as_bytes());
        bytes.extend(b": ");
        bytes.extend(*value);
        bytes.extend(b"\r\n");
    }
    if method == "POST" {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}
