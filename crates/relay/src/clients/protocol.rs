//! RESP2 as clients speak it: requests are arrays of bulk strings, replies are one line each.
//!
//! Owns no state: reads a request from the bytes that a connection has buffered, reads the command in it and writes
//! the line of a reply. Never reads from a socket and never decides on a message.

use super::submission::{ClientSubmission, MAX_BODY_BYTES, SubmissionError, SubmissionReply};
use thiserror::Error;

/// Words of a request at most: the longest command has five, and each word costs memory before it is checked.
const MAX_WORDS: usize = 16;
/// Bytes of a line that holds a length or a count at most, so that a count without an end is found at once.
const MAX_LENGTH_LINE_BYTES: usize = 32;

/// The reply once a message is accepted.
pub(super) const OK: &str = "+OK\r\n";
/// The reply to what was rejected and is safe to submit again.
pub(super) const BUSY: &str = "-BUSY\r\n";

/// Bytes that are no request. The connection ends after the error has been told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolError {
    #[error("an array of bulk strings is expected")]
    NotAnArrayOfBulkStrings,
    #[error("invalid multibulk length")]
    InvalidWordCount,
    #[error("invalid bulk length")]
    WordTooLarge,
    #[error("a bulk string does not end where it should")]
    MissingTerminator,
    #[error("a length is too long")]
    LengthTooLong,
    #[error("a length can't be read")]
    UnreadableLength,
    #[error("the request is too large")]
    RequestTooLarge,
}

/// A request that can't be carried out. The connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum CommandError {
    #[error("unknown command")]
    UnknownCommand,
    #[error("wrong number of arguments")]
    WrongNumberOfArguments,
    #[error(transparent)]
    InvalidSubmission(#[from] SubmissionError),
}

/// The words of a request: a command and its arguments.
pub(super) type Words = Vec<Vec<u8>>;

/// A request that has arrived whole.
pub(super) struct Request {
    pub(super) words: Words,
    /// Its bytes on the wire.
    pub(super) wire_bytes: usize,
}

/// The first request in `bytes`; none while it is not whole.
pub(super) fn parse_request(bytes: &[u8]) -> Result<Option<Request>, ProtocolError> {
    let Some(header) = parse_length_line(bytes, 0, b'*')? else { return Ok(None) };
    if header.length == 0 || header.length > MAX_WORDS {
        return Err(ProtocolError::InvalidWordCount);
    }
    let mut words = Vec::with_capacity(header.length);
    let mut position = header.end;
    for _ in 0..header.length {
        let Some(word) = parse_length_line(bytes, position, b'$')? else { return Ok(None) };
        if word.length > MAX_BODY_BYTES {
            return Err(ProtocolError::WordTooLarge);
        }
        let end = word.end + word.length;
        let Some(terminator) = bytes.get(end..end + 2) else { return Ok(None) };
        if terminator != b"\r\n" {
            return Err(ProtocolError::MissingTerminator);
        }
        words.push(bytes[word.end..end].to_vec());
        position = end + 2;
    }
    Ok(Some(Request { words, wire_bytes: position }))
}

/// A line that holds a length or a count.
struct LengthLine {
    length: usize,
    /// Where the next line begins.
    end: usize,
}

/// The line at `position`, which starts with `marker`; none while it is not whole.
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
    // The number parser would take a sign.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ProtocolError::UnreadableLength);
    }
    let length = text.parse().map_err(|_| ProtocolError::UnreadableLength)?;
    Ok(Some(LengthLine { length, end: position + newline + 1 }))
}

/// What a client asks for.
pub(super) enum Command {
    Ping,
    Quit,
    Submit(ClientSubmission),
}

impl Command {
    /// Reads a command from the words of a request.
    pub(super) fn parse(words: Words) -> Result<Command, CommandError> {
        let name = words.first().map(|word| word.to_ascii_uppercase()).unwrap_or_default();
        match (&name[..], words.len()) {
            (b"PING", 1) => Ok(Command::Ping),
            (b"QUIT", 1) => Ok(Command::Quit),
            (b"OUT.ADD", 5) => Ok(Command::Submit(ClientSubmission::parse(words)?)),
            (b"PING" | b"QUIT" | b"OUT.ADD", _) => Err(CommandError::WrongNumberOfArguments),
            _ => Err(CommandError::UnknownCommand),
        }
    }
}

/// The line of an error reply.
pub(super) fn error_line(error: impl std::fmt::Display) -> String {
    format!("-ERR {error}\r\n")
}

/// The line that tells a client what became of its submission.
pub(super) fn submission_reply_line(reply: &SubmissionReply) -> String {
    match reply {
        SubmissionReply::Accepted(_) => OK.to_string(),
        SubmissionReply::Rejected { retry_after_ms: 0 } => BUSY.to_string(),
        SubmissionReply::Rejected { retry_after_ms } => format!("-BUSY {retry_after_ms}\r\n"),
        SubmissionReply::Failed(error) => error_line(error),
    }
}
