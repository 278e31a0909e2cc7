//! One HTTP/1.1 connection as its client: a request out, its answer back, everything bounded. Each
//! connection leaves one log line when it ends.

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use log::info;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const HEADERS_MOST: usize = 64;
const HEAD_MOST: usize = 16 * 1024;
const CHUNK: usize = 8 * 1024;
/// Once an answer has begun, the rest of it comes within this span or not at all.
const REST: Duration = Duration::from_millis(500);

pub struct Answer {
    pub status: u16,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// True if the request was not sent on since all slots were taken.
    pub slots_taken: bool,
    /// `X-Server-Load`: names and values.
    pub report: Option<String>,
    pub body: Vec<u8>,
    /// False if only its first line could be read; then that says 200.
    pub whole: bool,
    keep: bool,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Closed or reset.
    Ended,
    /// Not HTTP, larger than allowed, or begun and not gone on with.
    Unreadable,
    /// Nothing came in time.
    Silent,
}

pub struct Connection {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
    /// The first line of the answer being read says 200.
    said_ok: bool,
    pub to: SocketAddr,
    peer: String,
    /// Requests written so far.
    pub requests: u32,
    /// When it came up, or its last request or answer went over it: the other side counts from then.
    pub used: Instant,
    /// What the log line tells when the connection ends.
    pub reason: &'static str,
}

impl Drop for Connection {
    fn drop(&mut self) {
        info!("connection to {} ended: {} after {} requests", self.peer, self.reason, self.requests);
    }
}

impl Connection {
    pub async fn open(to: SocketAddr, peer: String) -> io::Result<Connection> {
        let stream = Async::<TcpStream>::connect(to).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Connection {
            stream,
            buffer: Vec::new(),
            said_ok: false,
            to,
            peer,
            requests: 0,
            used: Instant::now(),
            reason: "given-up",
        })
    }

    /// Leaves room for so few bytes on the way.
    #[cfg(test)]
    pub fn room(&self, bytes: usize) {
        socket2::SockRef::from(self.stream.get_ref()).set_send_buffer_size(bytes).expect("a size");
    }

    /// True if the other side has neither closed it nor said anything unasked.
    pub fn is_quiet(&self) -> bool {
        let waiting = self.stream.get_ref().peek(&mut [0]);
        self.buffer.is_empty() && waiting.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    pub async fn write(&mut self, request: &[u8]) -> io::Result<()> {
        (self.requests, self.used) = (self.requests + 1, Instant::now());
        let written = self.stream.write_all(request).await;
        if written.is_err() {
            self.reason = "broken-in-request";
        }
        written
    }

    /// The answer to the request just written, begun by then, with a body of `most` bytes at most; and if
    /// the connection can carry another request.
    pub async fn answer(&mut self, most: usize, by: Instant) -> Result<(Answer, bool), Broken> {
        let answer = loop {
            self.said_ok = false;
            if self.buffer.is_empty() {
                let late = async {
                    Timer::at(by).await;
                    Err(Broken::Silent)
                };
                match self.fill().or(late).await {
                    Ok(true) => {}
                    Ok(false) => break Err(Broken::Ended),
                    Err(broken) => break Err(broken),
                }
            }
            // Guards against an answer that begins and never ends: it would hold its slot to the time-out, and
            // its messages beyond it.
            let rest = (Instant::now() + REST).min(by);
            let stalled = async {
                Timer::at(rest).await;
                Err(Broken::Unreadable)
            };
            match self.read_answer(most).or(stalled).await {
                Ok(answer) if (100..200).contains(&answer.status) => {}
                read => break read,
            }
        };
        if let Err(broken) = &answer {
            let seen = String::from_utf8_lossy(&self.buffer[..self.buffer.len().min(60)]).into_owned();
            log::debug!(
                "answer from {}: {broken:?} with {} bytes unread: {seen:?}",
                self.peer,
                self.buffer.len()
            );
        }
        match &answer {
            Err(Broken::Ended) => self.reason = "broken-in-answer",
            Err(Broken::Unreadable) => self.reason = "unreadable-answer",
            Ok(a) if !a.keep => self.reason = "closed-after-answer",
            Ok(_) if !self.buffer.is_empty() => self.reason = "more-than-an-answer",
            Ok(_) | Err(Broken::Silent) => {}
        }
        match answer {
            // Guards against taking a delivery for a failure: its first line may be all that counts.
            Err(Broken::Ended | Broken::Unreadable) if self.said_ok => {
                let (retry_after, slots_taken, report, body) = (None, false, None, Vec::new());
                let (status, whole, keep) = (200, false, false);
                Ok((Answer { status, retry_after, slots_taken, report, body, whole, keep }, false))
            }
            answer => answer.map(|a| {
                let keep = a.keep && self.buffer.is_empty();
                (a, keep)
            }),
        }
    }

    async fn read_answer(&mut self, most: usize) -> Result<Answer, Broken> {
        let (mut answer, size, length) = loop {
            self.said_ok = says_ok(&self.buffer);
            if let Some(found) = head(&self.buffer)? {
                break found;
            }
            if self.buffer.len() > HEAD_MOST {
                return Err(Broken::Unreadable);
            }
            if !self.fill().await? {
                return Err(Broken::Ended);
            }
        };
        self.buffer.drain(..size);
        answer.body = match length {
            Length::Bytes(n) if n > most => return Err(Broken::Unreadable),
            Length::Bytes(n) => self.take(n).await?,
            Length::Chunks => self.chunks(most).await?,
            Length::ToEnd => self.read_to_end(most).await?,
        };
        Ok(answer)
    }

    /// Reads what has come; false at the end. Nothing is lost if it is given up while it waits.
    async fn fill(&mut self) -> Result<bool, Broken> {
        loop {
            match self.read_some() {
                Ok(n) => return Ok(n > 0),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.readable().await.map_err(|_| Broken::Ended)?;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Broken::Ended),
            }
        }
    }

    /// Its place to read into is held only for the moment, not as long as the connection lives.
    fn read_some(&mut self) -> io::Result<usize> {
        let mut chunk = [0; CHUNK];
        let n = self.stream.get_ref().read(&mut chunk)?;
        self.used = Instant::now();
        self.buffer.extend(&chunk[..n]);
        Ok(n)
    }

    async fn take(&mut self, n: usize) -> Result<Vec<u8>, Broken> {
        while self.buffer.len() < n {
            if !self.fill().await? {
                return Err(Broken::Ended);
            }
        }
        let rest = self.buffer.split_off(n);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn read_to_end(&mut self, most: usize) -> Result<Vec<u8>, Broken> {
        while self.fill().await? {
            if self.buffer.len() > most {
                return Err(Broken::Unreadable);
            }
        }
        Ok(std::mem::take(&mut self.buffer))
    }

    async fn chunks(&mut self, most: usize) -> Result<Vec<u8>, Broken> {
        let mut body = Vec::new();
        loop {
            let (skip, n) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete((skip, n))) => break (skip, n),
                    Ok(httparse::Status::Partial) if self.buffer.len() <= HEAD_MOST => {}
                    _ => return Err(Broken::Unreadable),
                }
                if !self.fill().await? {
                    return Err(Broken::Ended);
                }
            };
            self.buffer.drain(..skip);
            if n > (most - body.len()) as u64 {
                return Err(Broken::Unreadable);
            }
            if n == 0 {
                self.trailers().await?;
                return Ok(body);
            }
            let chunk = self.take(n as usize + 2).await?;
            let Some(data) = chunk.strip_suffix(b"\r\n") else { return Err(Broken::Unreadable) };
            body.extend(data);
        }
    }

    /// Reads past the trailer fields after the last chunk, up to the empty line that ends the answer. Guards
    /// against a delivery taken for an unreadable answer: endpoints may send trailers though none were asked for.
    async fn trailers(&mut self) -> Result<(), Broken> {
        let mut read = 0;
        loop {
            match self.buffer.windows(2).position(|w| w == b"\r\n") {
                Some(0) => {
                    self.buffer.drain(..2);
                    return Ok(());
                }
                Some(end) => {
                    read += end + 2;
                    self.buffer.drain(..end + 2);
                }
                None if self.buffer.len() + read > HEAD_MOST => return Err(Broken::Unreadable),
                None => {
                    if !self.fill().await? {
                        return Err(Broken::Ended);
                    }
                }
            }
            if read > HEAD_MOST {
                return Err(Broken::Unreadable);
            }
        }
    }
}

/// True if a first line has come as far as its status, and that is 200.
fn says_ok(bytes: &[u8]) -> bool {
    let minor = bytes.strip_prefix(b"HTTP/1.").and_then(<[u8]>::split_first);
    let Some((_, rest)) = minor.filter(|(minor, _)| minor.is_ascii_digit()) else { return false };
    rest.strip_prefix(b" 200").and_then(<[u8]>::first).is_some_and(u8::is_ascii_whitespace)
}

#[derive(PartialEq)]
enum Length {
    Bytes(usize),
    Chunks,
    ToEnd,
}

/// The head of an answer, its length in bytes and how its body is told; none while it is not whole.
fn head(bytes: &[u8]) -> Result<Option<(Answer, usize, Length)>, Broken> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Broken::Unreadable),
    };
    let status = parsed.code.ok_or(Broken::Unreadable)?;
    let mut keep = parsed.version == Some(1);
    let (retry_after, slots_taken, report, body, whole) = (None, false, None, Vec::new(), true);
    let mut answer = Answer { status, retry_after, slots_taken, report, body, whole, keep };
    let mut length = None;
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let digits = Some(value).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
                let n = digits.and_then(|v| v.parse().ok()).ok_or(Broken::Unreadable)?;
                // Guards against taking one answer for another: two lengths that differ tell nothing.
                if length.replace(Length::Bytes(n)).is_some_and(|other| other != Length::Bytes(n)) {
                    return Err(Broken::Unreadable);
                }
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") && length.is_none() => {
                length = Some(Length::Chunks);
            }
            "transfer-encoding" => return Err(Broken::Unreadable),
            "connection" => keep = keep && !value.to_ascii_lowercase().contains("close"),
            "retry-after" => {
                answer.retry_after = value.parse().ok().filter(|s: &f64| s.is_finite() && *s >= 0.0)
            }
            "slots-taken" => answer.slots_taken = value == "1",
            "x-server-load" => answer.report = Some(value.to_string()),
            _ => {}
        }
    }
    let empty = status < 200 || status == 204 || status == 304;
    let length = if empty { Length::Bytes(0) } else { length.unwrap_or(Length::ToEnd) };
    answer.keep = keep && !matches!(length, Length::ToEnd);
    Ok(Some((answer, size, length)))
}

/// Sends a request over a connection that is kept between calls, opened anew where it is not usable; all of it within a
/// span.
pub async fn ask(
    kept: &mut Option<Connection>,
    to: SocketAddr,
    peer: &str,
    request: &[u8],
    most: usize,
    within: Duration,
) -> Result<Answer, String> {
    let by = Instant::now() + within;
    let late = async {
        Timer::at(by).await;
        Err("no answer in time".to_string())
    };
    let asked = async {
        if kept.as_ref().is_none_or(|c| !c.is_quiet()) {
            *kept = Some(Connection::open(to, peer.into()).await.map_err(|e| e.to_string())?);
        }
        let Some(open) = kept.as_mut() else { return Err("not connected".into()) };
        open.write(request).await.map_err(|e| e.to_string())?;
        let (answer, keep) = open.answer(most, by).await.map_err(|e| format!("{e:?}"))?;
        if !keep {
            *kept = None;
        }
        if answer.whole { Ok(answer) } else { Err("the answer is spoilt".into()) }
    };
    // Guards against an answer that is here, and a process that stood still until its time was up.
    asked.or(late).await
}

/// A request as bytes.
pub fn request(method: &str, path: &str, host: &str, headers: &[(&str, &[u8])], body: &[u8]) -> Vec<u8> {
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
