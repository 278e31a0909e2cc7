//! Parser of the head of an HTTP/1.1 response: status, header fields and body framing. Works on bytes, without I/O.

use super::http1::ResponseError;

/// Maximum number of header fields of a response: far more than endpoints and discovery send.
const MAX_HEADERS: usize = 64;

/// A response, with the header fields that the relay uses.
pub(crate) struct Response {
    pub(crate) status: u16,
    /// `Retry-After`, in seconds.
    pub(crate) retry_after: Option<f64>,
    /// `Slots-Taken: 1`: the endpoint did not forward the request, as the destination was busy.
    pub(crate) slots_taken: bool,
    /// `X-Server-Load`: names and values.
    pub(crate) load_report: Option<String>,
    pub(crate) body: Vec<u8>,
    /// Whether the whole response could be read. If false, only the status line could be read, and it has status 200.
    pub(crate) is_complete: bool,
    /// Whether the server keeps the connection open after the response.
    pub(super) keep_alive: bool,
}

impl Response {
    fn with_status(status: u16) -> Response {
        Response {
            status,
            retry_after: None,
            slots_taken: false,
            load_report: None,
            body: Vec::new(),
            is_complete: true,
            keep_alive: false,
        }
    }

    /// Returns whether the server announces that it closes the connection behind the response.
    pub(super) fn announces_close(&self) -> bool {
        self.is_complete && !self.keep_alive
    }

    /// Creates a response with status 200 of which only the status line could be read.
    pub(super) fn status_line_only() -> Response {
        Response { is_complete: false, ..Response::with_status(200) }
    }
}

/// Returns whether the bytes begin with a status line up to its status code, and that is 200.
pub(super) fn has_ok_status_line(bytes: &[u8]) -> bool {
    let Some((minor_version, rest)) = bytes.strip_prefix(b"HTTP/1.").and_then(<[u8]>::split_first) else {
        return false;
    };
    if !minor_version.is_ascii_digit() {
        return false;
    }
    rest.strip_prefix(b" 200").and_then(<[u8]>::first).is_some_and(u8::is_ascii_whitespace)
}

/// Framing of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyLength {
    Bytes(usize),
    Chunked,
    UntilClose,
}

/// The head of a response.
pub(super) struct Head {
    /// The response, with an empty body.
    pub(super) response: Response,
    pub(super) body_length: BodyLength,
    /// Length of the head on the wire.
    pub(super) wire_bytes: usize,
}

/// Parses the head at the beginning of `bytes`; returns none while it is incomplete.
pub(super) fn parse_head(bytes: &[u8]) -> Result<Option<Head>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let wire_bytes = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(wire_bytes)) => wire_bytes,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ResponseError::Unreadable),
    };
    let status = parsed.code.ok_or(ResponseError::Unreadable)?;
    let mut response = Response::with_status(status);
    response.keep_alive = parsed.version == Some(1);
    let mut declared_length = None;
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        read_header(&mut response, &mut declared_length, header.name, value)?;
    }
    let has_no_body = status < 200 || status == 204 || status == 304;
    let body_length =
        if has_no_body { BodyLength::Bytes(0) } else { declared_length.unwrap_or(BodyLength::UntilClose) };
    if body_length == BodyLength::UntilClose {
        response.keep_alive = false;
    }
    Ok(Some(Head { response, body_length, wire_bytes }))
}

/// Applies one header field to the response.
fn read_header(
    response: &mut Response,
    declared_length: &mut Option<BodyLength>,
    name: &str,
    value: &str,
) -> Result<(), ResponseError> {
    match name.to_ascii_lowercase().as_str() {
        "content-length" => {
            let length = BodyLength::Bytes(parse_content_length(value)?);
            let earlier = declared_length.replace(length);
            // With two different lengths the end of the response is ambiguous, and bytes of one response could be read
            // as another.
            if earlier.is_some_and(|earlier| earlier != length) {
                return Err(ResponseError::Unreadable);
            }
        }
        "transfer-encoding" if value.eq_ignore_ascii_case("chunked") && declared_length.is_none() => {
            *declared_length = Some(BodyLength::Chunked);
        }
        "transfer-encoding" => return Err(ResponseError::Unreadable),
        "connection" if value.to_ascii_lowercase().contains("close") => response.keep_alive = false,
        "retry-after" => {
            let seconds = value.parse().ok();
            response.retry_after = seconds.filter(|seconds: &f64| seconds.is_finite() && *seconds >= 0.0);
        }
        "slots-taken" => response.slots_taken = value == "1",
        "x-server-load" => response.load_report = Some(value.to_string()),
        _ => {}
    }
    Ok(())
}

/// Parses a length that consists of digits only: the number parser would also accept a sign.
fn parse_content_length(value: &str) -> Result<usize, ResponseError> {
    if !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ResponseError::Unreadable);
    }
    value.parse().map_err(|_| ResponseError::Unreadable)
}
