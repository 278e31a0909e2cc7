//! The end of a client's connection: what has been read is answered, and no close takes the last replies away.

use super::ClientService;
use super::close_reason::CloseReason;
use super::connection::{ClientConnection, Input, Reply, Wakeup, busy};
use super::lingering::{DISCARD_PAUSE, discard_briefly, discard_chunk, write_at_once};
use super::protocol;
use crate::transient::{self, is_transient};
use async_io::Timer;
use futures_lite::FutureExt;
use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// As the process ends, how long requests are still read, to be rejected: those on their way come within this time, and the
/// process goes on a little longer.
const LAST_REQUESTS_TIME: Duration = Duration::from_millis(30);
/// How long input is read and dropped after the last reply.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How much of it is.
const MAX_DISCARDED_BYTES: usize = 80_000_000;

impl ClientConnection {
    /// The process ends: what still comes is read for a moment and rejected, the last request also if it is not whole.
    /// Nobody has taken it on, and its client would wait for an answer as it sends the rest.
    pub(super) async fn reject_at_the_end(&mut self, service: &ClientService) -> CloseReason {
        let due = Instant::now() + LAST_REQUESTS_TIME;
        loop {
            let Ok(input) = self.read_available() else { return CloseReason::Broken };
            let rejections = self.reject_whole_requests();
            if let Err(reason) = self.send_replies(rejections, service).await {
                return reason;
            }
            match input {
                Input::Ended => return CloseReason::Stopping,
                _ if Instant::now() >= due => break,
                Input::Unreadable => transient::pause().await,
                Input::Open => {
                    let time_over = async {
                        Timer::at(due).await;
                        Wakeup::TimeOver
                    };
                    self.readable().or(time_over).await;
                }
            }
        }
        if self.buffer.is_empty() {
            return CloseReason::Stopping;
        }
        self.close_after(vec![busy()], CloseReason::Stopping, service).await
    }

    /// Takes every whole request out of the buffer and rejects it.
    fn reject_whole_requests(&mut self) -> Vec<Reply> {
        let mut replies = Vec::new();
        while let Ok(Some(request)) = protocol::parse_request(&self.buffer) {
            self.buffer.drain(..request.wire_bytes);
            self.requests += 1;
            replies.push(busy());
        }
        replies
    }

    /// Rejects every request that was read whole before its client ended its sending: without an answer the client would
    /// take it for lost. Nothing is accepted: a client that has gone altogether looks the same.
    pub(super) fn reject_after_end_of_input(&mut self) -> CloseReason {
        let rejected = self.reject_whole_requests().len();
        self.answered_requests += rejected as u64;
        // What the connection does not take at once goes nowhere: its client has stopped reading.
        write_at_once(self.stream.get_ref(), protocol::BUSY.repeat(rejected).as_bytes());
        CloseReason::Closed
    }

    /// Writes the last replies and ends. A close over unread bytes would reset the connection and take the replies away
    /// with it, so what still comes is read, within bounds and at a pace that leaves others their turn.
    pub(super) async fn close_after(
        &mut self,
        replies: Vec<Reply>,
        reason: CloseReason,
        service: &ClientService,
    ) -> CloseReason {
        self.buffer = Vec::new();
        if let Err(reason) = self.send_replies(replies, service).await {
            return reason;
        }
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        self.discard_input(service).await;
        reason
    }

    /// Reads and drops what still comes.
    async fn discard_input(&self, service: &ClientService) {
        let due = Instant::now() + DISCARD_TIMEOUT;
        let mut bytes_left = MAX_DISCARDED_BYTES;
        if self.evicted.is_closed() {
            return discard_briefly(&self.stream, service).await;
        }
        service.start_waiting(self);
        while bytes_left > 0 && Instant::now() < due && !self.evicted.is_closed() {
            match discard_chunk(&self.stream) {
                Ok(0) => return,
                Ok(read) => {
                    bytes_left = bytes_left.saturating_sub(read);
                    Timer::after(DISCARD_PAUSE).await;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.readable().or(self.time_over(due)).await;
                }
                Err(e) if is_transient(&e) => transient::pause().await,
                Err(_) => return,
            }
        }
    }
}
