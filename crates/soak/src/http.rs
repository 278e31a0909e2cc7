//! HTTP/1.1 requests and responses of the stand-ins.

use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use std::io;

/// Path of calls of several messages.
const BATCH_PATH: &str = "/receive-many";
const MAX_HEADERS: usize = 32;
const READ_CHUNK_BYTES: usize = 8 * 1024;
const END_OF_LINE: &[u8] = b"\r\n";

/// A request, as far as the stand-ins use it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) path: String,
    pub(crate) request_id: Option<String>,
    /// Whether the request asks for the end of the connection behind the response.
    pub(crate) asks_to_close: bool,
    pub(crate) body: Vec<u8>,
}

impl Request {
    pub(crate) fn is_batch(&self) -> bool {
        self.path == BATCH_PATH
    }

    /// Returns the messages of a call to an endpoint, or `None` if the request is not such a call.
    pub(crate) fn messages(&self) -> Option<Vec<RequestMessage>> {
        match (self.path.as_str(), &self.request_id) {
            ("/receive", Some(id)) => Some(vec![RequestMessage { id: id.clone(), body: self.body.clone() }]),
            (BATCH_PATH, _) => batch_messages(&self.body),
            _ => None,
        }
    }
}

/// A message of a call.
#[derive(Clone, Debug)]
pub(crate) struct RequestMessage {
    pub(crate) id: String,
    pub(crate) body: Vec<u8>,
}

/// Returns the messages of a batch body. Each message has a line with its id, key and length, followed by its bytes.
fn batch_messages(mut body: &[u8]) -> Option<Vec<RequestMessage>> {
    let mut messages = Vec::new();
    while !body.is_empty() {
        let line_bytes = body.windows(END_OF_LINE.len()).position(|window| window == END_OF_LINE)?;
        let line = std::str::from_utf8(&body[..line_bytes]).ok()?;
        let mut words = line.split(' ');
        let (id, _key, length) = (words.next()?, words.next()?, words.next()?.parse::<usize>().ok()?);
        let start = line_bytes + END_OF_LINE.len();
        let message_body = body.get(start..start + length)?.to_vec();
        messages.push(RequestMessage { id: id.to_string(), body: message_body });
        body = body.get(start + length + END_OF_LINE.len()..)?;
    }
    Some(messages)
}

/// Reads requests from a connection.
#[derive(Default)]
pub(crate) struct RequestReader {
    buffer: Vec<u8>,
}

impl RequestReader {
    /// Returns whether a part of a request has been received.
    pub(crate) fn has_begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next request, or `None` at the end of the connection.
    pub(crate) async fn next(&mut self, stream: &mut TcpStream) -> io::Result<Option<Request>> {
        loop {
            if let Some(request) = self.parse()? {
                return Ok(Some(request));
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let read = stream.read(&mut chunk).await?;
            if read == 0 {
                return Ok(None);
            }
            self.buffer.extend(&chunk[..read]);
        }
    }

    fn parse(&mut self) -> io::Result<Option<Request>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(&self.buffer).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let httparse::Status::Complete(head) = status else { return Ok(None) };
        let header = |name: &str| {
            let found = parsed.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            found.map(|header| String::from_utf8_lossy(header.value).into_owned())
        };
        let length: usize = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let path = parsed.path.unwrap_or_default().to_string();
        let request_id = header("x-request-id");
        let asks_to_close = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let Some(body) = self.buffer.get(head..head + length).map(<[u8]>::to_vec) else { return Ok(None) };
        self.buffer.drain(..head + length);
        Ok(Some(Request { path, request_id, asks_to_close, body }))
    }
}

/// Returns the text of a response.
pub(crate) fn response(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Makes the connection end with a reset when it is closed.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
}
