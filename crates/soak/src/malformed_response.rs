//! Answers that are spoilt on purpose: cut, dripped, too large, chunked wrongly, no HTTP at all.

use crate::wire_end::{Ender, WireEnd, WrittenAnswer};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::net::Shutdown;
use std::time::Duration;

/// Between two bytes of an answer that drips.
const DRIP_PAUSE: Duration = Duration::from_millis(100);
/// More than any relay reads.
const TOO_LARGE_BYTES: usize = 400_000;
/// The answers that are cut: an error with a body, ...
const ERROR: &[u8] = b"HTTP/1.1 500 Status\r\nContent-Length: 9\r\n\r\nsome text";
/// ... and a delivery, of which the first line is all that counts.
const DELIVERY: &[u8] = b"HTTP/1.1 200 Status\r\nContent-Length: 9\r\n\r\nsome text";
/// The first line of a delivery up to its status, and the space behind it.
const DELIVERY_STATUS_BYTES: usize = 13;
/// One answer in so many is a delivery that is cut.
const DELIVERIES_IN: u64 = 3;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseDefect {
    /// So many of its bytes, then the end of the connection.
    CutAndClosed(usize),
    /// So many, then a reset.
    CutAndReset(usize),
    /// So many, then the end of the sending.
    CutAndHalfClosed(usize),
    /// So many, then silence.
    CutAndSilent(usize),
    /// A byte each 100 ms.
    Dripped,
    /// Bytes that are no HTTP, then silence.
    Junk,
    /// A chunk of no size, then silence.
    BadChunk,
    TooLarge,
}

/// A spoilt answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MalformedResponse {
    text: &'static [u8],
    how: ResponseDefect,
}

impl MalformedResponse {
    /// All kinds in turn by the number of a call, each cut at each byte of the answer sooner or later.
    pub(crate) fn of_call(number: u64, messages: usize) -> MalformedResponse {
        let kind = number / DELIVERIES_IN;
        // Never whole, never nothing.
        let cut_at = 1 + (kind / 8) as usize % (ERROR.len() - 1);
        let how = match kind % 8 {
            0 => ResponseDefect::CutAndClosed(cut_at),
            1 => ResponseDefect::CutAndReset(cut_at),
            2 => ResponseDefect::CutAndHalfClosed(cut_at),
            3 => ResponseDefect::CutAndSilent(cut_at),
            4 => ResponseDefect::Dripped,
            5 => ResponseDefect::Junk,
            6 => ResponseDefect::BadChunk,
            _ => ResponseDefect::TooLarge,
        };
        let is_delivery = messages == 1 && number.is_multiple_of(DELIVERIES_IN);
        MalformedResponse { text: if is_delivery { DELIVERY } else { ERROR }, how }
    }

    /// True if its first line, which says that the message is delivered, comes whole.
    pub(crate) fn delivers(self) -> bool {
        let cut_at = match self.how {
            ResponseDefect::CutAndClosed(bytes)
            | ResponseDefect::CutAndReset(bytes)
            | ResponseDefect::CutAndHalfClosed(bytes)
            | ResponseDefect::CutAndSilent(bytes) => bytes,
            _ => 0,
        };
        self.text == DELIVERY && cut_at >= DELIVERY_STATUS_BYTES
    }

    fn bytes(self) -> Vec<u8> {
        match self.how {
            ResponseDefect::CutAndClosed(bytes)
            | ResponseDefect::CutAndReset(bytes)
            | ResponseDefect::CutAndHalfClosed(bytes)
            | ResponseDefect::CutAndSilent(bytes) => self.text[..bytes].to_vec(),
            ResponseDefect::Dripped => ERROR.to_vec(),
            ResponseDefect::Junk => b"what is this\r\n\r\n".to_vec(),
            ResponseDefect::BadChunk => {
                b"HTTP/1.1 500 Status\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nsome text".to_vec()
            }
            ResponseDefect::TooLarge => {
                let head = format!("HTTP/1.1 500 Status\r\nContent-Length: {}\r\n\r\n", TOO_LARGE_BYTES * 2);
                [head.into_bytes(), vec![b'x'; TOO_LARGE_BYTES]].concat()
            }
        }
    }
}

/// Answers a call with a spoilt answer, and waits until the call is over: `given_up` is over once the relay has ended the connection.
pub(crate) async fn send_malformed_response(
    stream: &mut TcpStream,
    spoilt: MalformedResponse,
    given_up: impl Future<Output = ()>,
) -> WireEnd {
    let write = async {
        if spoilt.how == ResponseDefect::Dripped {
            return drip(stream, &spoilt.bytes()).await;
        }
        let _ = stream.write_all(&spoilt.bytes()).await;
        match spoilt.how {
            ResponseDefect::CutAndClosed(_) => Some(Ender::Endpoint),
            ResponseDefect::CutAndReset(_) => {
                crate::http::reset(stream);
                Some(Ender::Endpoint)
            }
            ResponseDefect::CutAndHalfClosed(_) => {
                let _ = stream.shutdown(Shutdown::Write);
                std::future::pending().await
            }
            _ => std::future::pending().await,
        }
    };
    let ended_by = write
        .or(async {
            given_up.await;
            Some(Ender::Relay)
        })
        .await;
    let answer = if spoilt.delivers() { WrittenAnswer::Delivery } else { WrittenAnswer::Part };
    WireEnd { answer, ended_by }
}

/// Writes a byte at a time; the relay gives up long before the last one.
async fn drip(stream: &mut TcpStream, bytes: &[u8]) -> Option<Ender> {
    for byte in bytes {
        if stream.write_all(&[*byte]).await.is_err() {
            return Some(Ender::Relay);
        }
        Timer::after(DRIP_PAUSE).await;
    }
    Some(Ender::Endpoint)
}
