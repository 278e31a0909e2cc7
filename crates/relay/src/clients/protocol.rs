//! The subset of RESP2 used with clients: requests are arrays of bulk strings, each reply is one line.
//!
//! Stateless: parses a request from the buffered bytes of a connection, parses its command and formats reply lines.
//! Performs no I/O.

use super::submission::{ClientSubmission, MAX_BODY_BYTES, SubmissionError, SubmissionReply};
use thiserror::Error;

/// Maximum number of bulk strings in a request. The longest command has five; each one is copied before the command
/// is validated.
const MAX_BULK_STRINGS: usize = 16;
/// Maximum size in bytes of a line with a length or a count, so that an unterminated one is rejected early.
const MAX_LENGTH_LINE_BYTES: usize = 32;

/// Reply to an accepted message, and to `QUIT`.
pub(super) const OK: &str = "+OK\r\n";
/// Reply to a rejected message, which is safe to submit again.
pub(super) const BUSY: &str = "-BUSY\r\n";

/// Input that is not a valid RESP2 request. The connection is closed after the error reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolError {
    #[error("an array of bulk strings is expected")]
    NotAnArrayOfBulkStrings,
    #[error("invalid multibulk length")]
    InvalidArrayLength,
    #[error("invalid bulk length")]
    BulkStringTooLarge,
    #[error("a bulk string does not end where it should")]
    MissingTerminator,
    #[error("a length is too long")]
    LengthTooLong,
    #[error("a length can't be read")]
    UnreadableLength,
    #[error("the request is too large")]
    RequestTooLarge,
}

/// A valid request with an invalid command. The connection stays open after the error reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum CommandError {
    #[error("unknown command")]
    UnknownCommand,
    #[error("wrong number of arguments")]
    WrongNumberOfArguments,
    #[error(transparent)]
    InvalidSubmission(#[from] SubmissionError),
}

/// Bulk strings of a request: a command and its arguments.
pub(super) type BulkStrings = Vec<Vec<u8>>;

/// A complete request.
pub(super) struct Request {
    pub(super) bulk_strings: BulkStrings,
    /// Size of the encoded request in bytes.
    pub(super) wire_bytes: usize,
}

/// Parses the first request in `bytes`; returns `None` while it is incomplete.
pub(super) fn parse_request(bytes: &[u8]) -> Result<Option<Request>, ProtocolError> {
    let Some(header) = parse_length_line(bytes, 0, b'*')? else { return Ok(None) };
    if header.length == 0 || header.length > MAX_BULK_STRINGS {
        return Err(ProtocolError::InvalidArrayLength);
    }
    let mut bulk_strings = Vec::with_capacity(header.length);
    let mut position = header.end;
    for _ in 0..header.length {
        let Some(bulk_string) = parse_length_line(bytes, position, b'$')? else { return Ok(None) };
        if bulk_string.length > MAX_BODY_BYTES {
            return Err(ProtocolError::BulkStringTooLarge);
        }
        let end = bulk_string.end + bulk_string.length;
        let Some(terminator) = bytes.get(end..end + 2) else { return Ok(None) };
        if terminator != b"\r\n" {
            return Err(ProtocolError::MissingTerminator);
        }
        bulk_strings.push(bytes[bulk_string.end..end].to_vec());
        position = end + 2;
    }
    Ok(Some(Request { bulk_strings, wire_bytes: position }))
}

/// A parsed line with a length or a count.
struct LengthLine {
    length: usize,
    /// Position of the byte after the line.
    end: usize,
}

/// Parses the line at `position`, which must start with `marker`; returns `None` while it is incomplete.
fn parse_length_line(bytes: &[u8], position: usize, marker: u8) -> Result<Option<LengthLine>, ProtocolError> {
    let line = &bytes[position..];
    if line.first().is_some_and(|first| *first != marker) {
        return Err(ProtocolError::NotAnArrayOfBulkStrings);
    }
    let Some(newline) = line.iter().take(MAX_LENGTH_LINE_BYTES).position(|byte| *byte == b'\n') else {
        if line.len() >= MAX_LENGTH_LINE_BYTES {
            return Err(ProtocolError::LengthTooLong);
        }
        return Ok(None);
    };
    let digits = line[1..newline].strip_suffix(b"\r").ok_or(ProtocolError::UnreadableLength)?;
    let text = std::str::from_utf8(digits).map_err(|_| ProtocolError::UnreadableLength)?;
    // `str::parse` would accept a leading `+`.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ProtocolError::UnreadableLength);
    }
    let length = text.parse().map_err(|_| ProtocolError::UnreadableLength)?;
    Ok(Some(LengthLine { length, end: position + newline + 1 }))
}

/// A command of a client.
pub(super) enum Command {
    Ping,
    Quit,
    Submit(ClientSubmission),
}

impl Command {
    /// Parses a command from the bulk strings of a request.
    pub(super) fn parse(bulk_strings: BulkStrings) -> Result<Command, CommandError> {
        let name =
            bulk_strings.first().map(|bulk_string| bulk_string.to_ascii_uppercase()).unwrap_or_default();
        match (&name[..], bulk_strings.len()) {
            (b"PING", 1) => Ok(Command::Ping),
            (b"QUIT", 1) => Ok(Command::Quit),
            (b"OUT.ADD", 5) => Ok(Command::Submit(ClientSubmission::parse(bulk_strings)?)),
            (b"PING" | b"QUIT" | b"OUT.ADD", _) => Err(CommandError::WrongNumberOfArguments),
            _ => Err(CommandError::UnknownCommand),
        }
    }
}

/// Formats the line of an error reply.
pub(super) fn error_line(error: impl std::fmt::Display) -> String {
    format!("-ERR {error}\r\n")
}

/// Formats the line of the reply to a submission.
pub(super) fn submission_reply_line(reply: &SubmissionReply) -> String {
    match reply {
        SubmissionReply::Accepted(_) => OK.to_string(),
        SubmissionReply::Rejected { retry_after_ms: 0 } => BUSY.to_string(),
        SubmissionReply::Rejected { retry_after_ms } => format!("-BUSY {retry_after_ms}\r\n"),
        SubmissionReply::Failed(error) => error_line(error),
    }
}
