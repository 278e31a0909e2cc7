//! Malformed responses: truncated, sent byte by byte, too large, without end, with invalid chunks, or not HTTP.

use crate::wire_end::{ConnectionSide, WireEnd, WrittenResponse};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Pause between two bytes of a response that is sent byte by byte.
const BYTE_PAUSE: Duration = Duration::from_millis(100);
/// Number of kinds of defects.
const DEFECT_KINDS: u64 = 10;
/// Size of a block of an endless response, in bytes.
const ENDLESS_BLOCK_BYTES: usize = 32 * 1024;
/// Duration after which an endless response ends, so that a run ends even if the relay reads nothing else; longer than
/// the time to the deadline of any message.
const MAX_ENDLESS_RESPONSE: Duration = Duration::from_secs(12);
/// Length of a chunk extension, in bytes; less than the relay's limit for a chunk's size line.
const CHUNK_EXTENSION_BYTES: usize = 9_000;
/// Size of a response, in bytes, that is larger than any relay reads.
const TOO_LARGE_BYTES: usize = 400_000;
/// An interim response.
pub(crate) const INTERIM_RESPONSE: &str = "HTTP/1.1 102 Processing\r\n\r\n";
/// Response with an error and a body.
const ERROR: &[u8] = b"HTTP/1.1 500 Status\r\nContent-Length: 9\r\n\r\nsome text";
/// Response that reports a delivery, already by its status code.
const DELIVERY: &[u8] = b"HTTP/1.1 200 Status\r\nContent-Length: 9\r\n\r\nsome text";
/// Length of [`DELIVERY`] up to the space after the status code.
const DELIVERY_STATUS_BYTES: usize = 13;
/// Calls other than batch calls whose number is a multiple of this get [`DELIVERY`] truncated instead of [`ERROR`].
const RESPONSES_PER_DELIVERY: u64 = 3;

/// Defect of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseDefect {
    /// Only this number of bytes, then the connection is closed.
    TruncatedAndClosed(usize),
    /// Only this number of bytes, then a reset.
    TruncatedAndReset(usize),
    /// Only this number of bytes, then the sending side is shut down.
    TruncatedAndHalfClosed(usize),
    /// Only this number of bytes; the connection stays open.
    TruncatedAndSilent(usize),
    /// One byte every 100 ms.
    ByteByByte,
    /// Bytes that are not HTTP; the connection stays open.
    NotHttp,
    /// A chunk with an invalid size; the connection stays open.
    InvalidChunk,
    TooLarge,
    /// Interim responses (1xx) without end, as fast as the relay reads them.
    EndlessInterim,
    /// Chunks with long extensions without end, as fast as the relay reads them.
    EndlessChunks,
}

/// A malformed response to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MalformedResponse {
    text: &'static [u8],
    defect: ResponseDefect,
}

impl MalformedResponse {
    /// Returns the response to the call of this number. The defects take turns, and over all calls a response is
    /// truncated at each of its bytes.
    pub(crate) fn of_call(number: u64, is_batch: bool) -> MalformedResponse {
        let kind = number / RESPONSES_PER_DELIVERY;
        // At least one byte, but never the whole response.
        let length = 1 + (kind / DEFECT_KINDS) as usize % (ERROR.len() - 1);
        let defect = match kind % DEFECT_KINDS {
            0 => ResponseDefect::TruncatedAndClosed(length),
            1 => ResponseDefect::TruncatedAndReset(length),
            2 => ResponseDefect::TruncatedAndHalfClosed(length),
            3 => ResponseDefect::TruncatedAndSilent(length),
            4 => ResponseDefect::ByteByByte,
            5 => ResponseDefect::NotHttp,
            6 => ResponseDefect::InvalidChunk,
            7 => ResponseDefect::TooLarge,
            8 => ResponseDefect::EndlessInterim,
            _ => ResponseDefect::EndlessChunks,
        };
        let is_delivery = !is_batch && number.is_multiple_of(RESPONSES_PER_DELIVERY);
        MalformedResponse { text: if is_delivery { DELIVERY } else { ERROR }, defect }
    }

    /// Returns whether the response contains the complete status code of a delivery.
    pub(crate) fn reports_delivery(self) -> bool {
        let length = match self.defect {
            ResponseDefect::TruncatedAndClosed(bytes)
            | ResponseDefect::TruncatedAndReset(bytes)
            | ResponseDefect::TruncatedAndHalfClosed(bytes)
            | ResponseDefect::TruncatedAndSilent(bytes) => bytes,
            _ => 0,
        };
        self.text == DELIVERY && length >= DELIVERY_STATUS_BYTES
    }

    fn bytes(self) -> Vec<u8> {
        match self.defect {
            ResponseDefect::TruncatedAndClosed(bytes)
            | ResponseDefect::TruncatedAndReset(bytes)
            | ResponseDefect::TruncatedAndHalfClosed(bytes)
            | ResponseDefect::TruncatedAndSilent(bytes) => self.text[..bytes].to_vec(),
            ResponseDefect::ByteByByte => ERROR.to_vec(),
            ResponseDefect::NotHttp => b"what is this\r\n\r\n".to_vec(),
            ResponseDefect::InvalidChunk => {
                b"HTTP/1.1 500 Status\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nsome text".to_vec()
            }
            ResponseDefect::TooLarge => {
                let head = format!("HTTP/1.1 500 Status\r\nContent-Length: {}\r\n\r\n", TOO_LARGE_BYTES * 2);
                [head.into_bytes(), vec![b'x'; TOO_LARGE_BYTES]].concat()
            }
            ResponseDefect::EndlessInterim => Vec::new(),
            ResponseDefect::EndlessChunks => {
                b"HTTP/1.1 500 Status\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()
            }
        }
    }

    /// Returns the part that repeats without end, if there is one.
    fn endless_part(self) -> Option<String> {
        match self.defect {
            ResponseDefect::EndlessInterim => Some(INTERIM_RESPONSE.to_string()),
            ResponseDefect::EndlessChunks => {
                Some(format!("1;{}\r\nx\r\n", "e".repeat(CHUNK_EXTENSION_BYTES)))
            }
            _ => None,
        }
    }
}

/// Writes a text again and again, as fast as the relay reads it, until the relay closes the connection or the limit for
/// endless responses is reached.
pub(crate) async fn write_endlessly(stream: &mut TcpStream, text: &str) {
    let block = text.repeat(ENDLESS_BLOCK_BYTES.div_ceil(text.len()));
    let until = Instant::now() + MAX_ENDLESS_RESPONSE;
    while Instant::now() < until && stream.write_all(block.as_bytes()).await.is_ok() {
        smol::future::yield_now().await;
    }
}

/// Sends a malformed response and waits until the call is over. `relay_closed` completes once the relay has closed the
/// connection.
pub(crate) async fn send_malformed_response(
    stream: &mut TcpStream,
    malformed: MalformedResponse,
    relay_closed: impl Future<Output = ()>,
) -> WireEnd {
    let write = async {
        if malformed.defect == ResponseDefect::ByteByByte {
            return send_byte_by_byte(stream, &malformed.bytes()).await;
        }
        let _ = stream.write_all(&malformed.bytes()).await;
        if let Some(text) = malformed.endless_part() {
            write_endlessly(stream, &text).await;
            return Some(ConnectionSide::Relay);
        }
        match malformed.defect {
            ResponseDefect::TruncatedAndClosed(_) => Some(ConnectionSide::Endpoint),
            ResponseDefect::TruncatedAndReset(_) => {
                crate::http::reset(stream);
                Some(ConnectionSide::Endpoint)
            }
            ResponseDefect::TruncatedAndHalfClosed(_) => {
                let _ = stream.shutdown(Shutdown::Write);
                std::future::pending().await
            }
            _ => std::future::pending().await,
        }
    };
    let closed_by = write
        .or(async {
            relay_closed.await;
            Some(ConnectionSide::Relay)
        })
        .await;
    let response =
        if malformed.reports_delivery() { WrittenResponse::Delivery } else { WrittenResponse::Part };
    WireEnd { response, closed_by }
}

/// Writes one byte at a time. The relay cancels the call long before the last byte.
async fn send_byte_by_byte(stream: &mut TcpStream, bytes: &[u8]) -> Option<ConnectionSide> {
    for byte in bytes {
        if stream.write_all(&[*byte]).await.is_err() {
            return Some(ConnectionSide::Relay);
        }
        Timer::after(BYTE_PAUSE).await;
    }
    Some(ConnectionSide::Endpoint)
}
