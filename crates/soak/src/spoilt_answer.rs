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
enum Spoilt {
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
pub(crate) struct SpoiltAnswer {
    text: &'static [u8],
    how: Spoilt,
}

impl SpoiltAnswer {
    /// All kinds in turn by the number of a call, each cut at each byte of the answer sooner or later.
    pub(crate) fn of_call(number: u64, messages: usize) -> SpoiltAnswer {
        let kind = number / DELIVERIES_IN;
        // Never whole, never nothing.
        let cut_at = 1 + (kind / 8) as usize % (ERROR.len() - 1);
        let how = match kind % 8 {
            0 => Spoilt::CutAndClosed(cut_at),
            1 => Spoilt::CutAndReset(cut_at),
            2 => Spoilt::CutAndHalfClosed(cut_at),
            3 => Spoilt::CutAndSilent(cut_at),
            4 => Spoilt::Dripped,
            5 => Spoilt::Junk,
            6 => Spoilt::BadChunk,
            _ => Spoilt::TooLarge,
        };
        let is_delivery = messages == 1 && number.is_multiple_of(DELIVERIES_IN);
        SpoiltAnswer { text: if is_delivery { DELIVERY } else { ERROR }, how }
    }

    /// True if its first line, which says that the message is delivered, comes whole.
    pub(crate) fn delivers(self) -> bool {
        let cut_at = match self.how {
            Spoilt::CutAndClosed(bytes)
            | Spoilt::CutAndReset(bytes)
            | Spoilt::CutAndHalfClosed(bytes)
            | Spoilt::CutAndSilent(bytes) => bytes,
            _ => 0,
        };
        self.text == DELIVERY && cut_at >= DELIVERY_STATUS_BYTES
    }

    fn bytes(self) -> Vec<u8> {
        match self.how {
            Spoilt::CutAndClosed(bytes)
            | Spoilt::CutAndReset(bytes)
            | Spoilt::CutAndHalfClosed(bytes)
            | Spoilt::CutAndSilent(bytes) => self.text[..bytes].to_vec(),
            Spoilt::Dripped => ERROR.to_vec(),
            Spoilt::Junk => b"what is this\r\n\r\n".to_vec(),
            Spoilt::BadChunk => {
                b"HTTP/1.1 500 Status\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nsome text".to_vec()
            }
            Spoilt::TooLarge => {
                let head = format!("HTTP/1.1 500 Status\r\nContent-Length: {}\r\n\r\n", TOO_LARGE_BYTES * 2);
                [head.into_bytes(), vec![b'x'; TOO_LARGE_BYTES]].concat()
            }
        }
    }
}

/// Answers a call with a spoilt answer, and waits until the call is over: `given_up` is over once the relay has ended the connection.
pub(crate) async fn answer_spoilt(
    stream: &mut TcpStream,
    spoilt: SpoiltAnswer,
    given_up: impl Future<Output = ()>,
) -> WireEnd {
    let write = async {
        if spoilt.how == Spoilt::Dripped {
            return drip(stream, &spoilt.bytes()).await;
        }
        let _ = stream.write_all(&spoilt.bytes()).await;
        match spoilt.how {
            Spoilt::CutAndClosed(_) => Some(Ender::Endpoint),
            Spoilt::CutAndReset(_) => {
                crate::http::reset(stream);
                Some(Ender::Endpoint)
            }
            Spoilt::CutAndHalfClosed(_) => {
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
