//! One HTTP/1.1 connection, seen from its client: a request out, its response back, everything bounded.
//!
//! Owns the socket and what was read and not yet parsed. Leaves one log line when the connection ends. Knows nothing of
//! messages or endpoints; calls for the endpoint list and notifications use it too.

use super::response::{BodyLength, Head, Response, has_ok_status_line, parse_head};
use crate::transient::{self, is_transient};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use log::{debug, info};
use std::fmt;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Bytes of a response's head, of a chunk's size line and of the trailers at most.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Bytes that one read takes.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Once a response has begun, the rest of it comes within this span or not at all: one that begins and never ends would
/// hold its slot to the time limit, and its messages beyond it.
const REST_OF_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of an unreadable response that its log line shows.
const MAX_LOGGED_BYTES: usize = 60;

/// Why there is no response. The texts are part of log lines that on-call staff look for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ResponseError {
    /// The connection was closed or reset.
    #[error("Ended")]
    ConnectionClosed,
    /// Not HTTP, larger than allowed, or begun and not gone on with.
    #[error("Unreadable")]
    Unreadable,
    /// Nothing came in time.
    #[error("Silent")]
    TimedOut,
}

/// Why an exchange over a kept connection failed.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    #[error("no answer in time")]
    TimedOut,
    #[error("{0}")]
    Io(#[source] io::Error),
    #[error("{0}")]
    Response(#[source] ResponseError),
    #[error("the answer is spoilt")]
    IncompleteResponse,
}

/// Why a connection ended, as its log line tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Dropped while a call was under way, or with the process.
    Abandoned,
    BrokenInRequest,
    BrokenInResponse,
    UnreadableResponse,
    ClosedAfterResponse,
    UnrequestedBytes,
    /// Idle for as long as it may be.
    Idle,
    ClosedWhileIdle,
    /// Too many connections were idle.
    PoolFull,
    /// The endpoint moved or left.
    EndpointClosed,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::Abandoned => "given-up",
            CloseReason::BrokenInRequest => "broken-in-request",
            CloseReason::BrokenInResponse => "broken-in-answer",
            CloseReason::UnreadableResponse => "unreadable-answer",
            CloseReason::ClosedAfterResponse => "closed-after-answer",
            CloseReason::UnrequestedBytes => "more-than-an-answer",
            CloseReason::Idle => "idle",
            CloseReason::ClosedWhileIdle => "closed-while-idle",
            CloseReason::PoolFull => "too-many",
            CloseReason::EndpointClosed => "told-to-close",
        })
    }
}

/// A connection to a server.
pub(crate) struct HttpConnection {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
    /// The status line of the response being read says 200.
    has_ok_status_line: bool,
    pub(super) address: SocketAddr,
    /// What its log line calls the server.
    server_name: String,
    /// Requests written so far.
    pub(super) requests: u32,
    /// When it was established, or its last request or response went over it: the server counts idle time from then.
    pub(super) last_used: Instant,
    /// What the log line tells when the connection ends.
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
            has_ok_status_line: false,
            address,
            server_name,
            requests: 0,
            last_used: Instant::now(),
            close_reason: CloseReason::Abandoned,
        })
    }

    /// Leaves room for so few bytes on the way.
    #[cfg(test)]
    pub(super) fn set_send_buffer_size(&self, bytes: usize) {
        socket2::SockRef::from(self.stream.get_ref()).set_send_buffer_size(bytes).expect("a size");
    }

    /// Closes it for this reason.
    pub(super) fn close(mut self, reason: CloseReason) {
        self.close_reason = reason;
        drop(self);
    }

    /// True if the server has neither closed it nor sent anything that was not requested.
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

    /// The response to the request just written, begun by `deadline`, with a body of `max_body` bytes at most; and if
    /// the connection can carry another request.
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
            // A delivery must not be taken for a failure: the status line may be all that counts.
            Err(ResponseError::ConnectionClosed | ResponseError::Unreadable) if self.has_ok_status_line => {
                Ok((Response::status_line_only(), false))
            }
            Err(error) => Err(error),
        }
    }

    /// The first response that is not an interim one (1xx).
    async fn read_final_response(
        &mut self,
        max_body: usize,
        deadline: Instant,
    ) -> Result<Response, ResponseError> {
        loop {
            self.has_ok_status_line = false;
            if self.buffer.is_empty() {
                let late = async {
                    Timer::at(deadline).await;
                    Err(ResponseError::TimedOut)
                };
                if !self.read_more().or(late).await? {
                    return Err(ResponseError::ConnectionClosed);
                }
            }
            let rest_deadline = (Instant::now() + REST_OF_RESPONSE_TIMEOUT).min(deadline);
            let stalled = async {
                Timer::at(rest_deadline).await;
                Err(ResponseError::Unreadable)
            };
            let response = self.read_one_response(max_body).or(stalled).await?;
            if !(100..200).contains(&response.status) {
                return Ok(response);
            }
        }
    }

    fn log_failure(&self, error: ResponseError) {
        let shown = &self.buffer[..self.buffer.len().min(MAX_LOGGED_BYTES)];
        debug!(
            "answer from {}: {error} with {} bytes unread: {:?}",
            self.server_name,
            self.buffer.len(),
            String::from_utf8_lossy(shown)
        );
    }

    /// Notes what the log line is to tell, if the connection ends now.
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

    async fn read_one_response(&mut self, max_body: usize) -> Result<Response, ResponseError> {
        let head = self.read_head().await?;
        self.buffer.drain(..head.wire_bytes);
        let body = match head.body_length {
            BodyLength::Bytes(length) if length > max_body => return Err(ResponseError::Unreadable),
            BodyLength::Bytes(length) => self.take_bytes(length).await?,
            BodyLength::Chunked => self.read_chunked(max_body).await?,
            BodyLength::UntilClose => self.read_until_close(max_body).await?,
        };
        Ok(Response { body, ..head.response })
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

    /// Reads what has come; false at the end of the connection. Nothing is lost if it is dropped while it waits.
    async fn read_more(&mut self) -> Result<bool, ResponseError> {
        loop {
            match self.read_available() {
                Ok(read) => return Ok(read > 0),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    transient::readable(&self.stream).await;
                }
                Err(e) if is_transient(&e) => transient::pause().await,
                Err(_) => return Err(ResponseError::ConnectionClosed),
            }
        }
    }

    /// Reads what has come, where the end of the connection is an error.
    async fn read_or_closed(&mut self) -> Result<(), ResponseError> {
        if self.read_more().await? { Ok(()) } else { Err(ResponseError::ConnectionClosed) }
    }

    /// The place to read into lives only for the moment of the read, not as long as the connection.
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

    /// Takes the line with the size of the next chunk.
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

    /// Reads past the trailer fields after the last chunk, up to the empty line that ends the response: endpoints may
    /// send trailers though none were asked for, and their responses are readable all the same.
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

/// Sends a request over a connection that is kept between calls, opened anew where it can't be used, and reads the
/// response, all within a span.
pub(crate) async fn exchange(
    kept: &mut Option<HttpConnection>,
    address: SocketAddr,
    server_name: &str,
    request: &[u8],
    max_body: usize,
    timeout: Duration,
) -> Result<Response, ExchangeError> {
    let deadline = Instant::now() + timeout;
    let late = async {
        Timer::at(deadline).await;
        Err(ExchangeError::TimedOut)
    };
    let response = async {
        let connection = match kept {
            Some(connection) if connection.is_open_and_idle() => connection,
            _ => {
                let opened = HttpConnection::open(address, server_name.into()).await;
                kept.insert(opened.map_err(ExchangeError::Io)?)
            }
        };
        connection.write(request).await.map_err(ExchangeError::Io)?;
        let (response, reusable) =
            connection.read_response(max_body, deadline).await.map_err(ExchangeError::Response)?;
        if !reusable {
            *kept = None;
        }
        if response.complete { Ok(response) } else { Err(ExchangeError::IncompleteResponse) }
    };
    // Polled before the timer, as the response may be here when the process stood still until its time was up.
    response.or(late).await
}

/// A request as bytes.
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
