//! Closing of client connections: every request that was read gets a reply, and the client can read the last replies
//! before the connection is reset.

use super::ClientService;
use super::close_reason::CloseReason;
use super::connection::{ClientConnection, Input, Reply, Wakeup, busy_reply};
use super::lingering::{DISCARD_PAUSE, discard_chunk, linger, try_write};
use super::protocol;
use crate::transient::{self, is_transient};
use async_io::Timer;
use futures_lite::FutureExt;
use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Duration for which requests are still read, and rejected, when the process exits. Requests in transit arrive within
/// this time, and the process runs slightly longer.
const FINAL_READ_DURATION: Duration = Duration::from_millis(30);
/// Maximum duration for which input is read and discarded after the last reply.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of bytes discarded after the last reply.
const MAX_DISCARDED_BYTES: usize = 80_000_000;

impl ClientConnection {
    /// Rejects all requests that arrive within [`FINAL_READ_DURATION`] before the process exits, including a last
    /// incomplete one: it was not submitted, and its client would wait for a reply after sending the rest.
    pub(super) async fn reject_on_exit(&mut self, service: &ClientService) -> CloseReason {
        let due = Instant::now() + FINAL_READ_DURATION;
        loop {
            let Ok(input) = self.read_available() else { return CloseReason::Broken };
            let rejections = self.reject_whole_requests();
            if let Err(reason) = self.send_replies(rejections, service).await {
                return reason;
            }
            match input {
                Input::Ended => return CloseReason::Stopping,
                _ if Instant::now() >= due => break,
                Input::TemporarilyUnreadable => transient::pause().await,
                Input::Open => {
                    let timeout = async {
                        Timer::at(due).await;
                        Wakeup::TimedOutOrEvicted
                    };
                    self.readable().or(timeout).await;
                }
            }
        }
        if self.buffer.is_empty() {
            return CloseReason::Stopping;
        }
        self.send_and_close(vec![busy_reply()], CloseReason::Stopping, service).await
    }

    /// Removes every complete request from the buffer and returns a rejection for each.
    fn reject_whole_requests(&mut self) -> Vec<Reply> {
        let mut replies = Vec::new();
        while let Ok(Some(request)) = protocol::parse_request(&self.buffer) {
            self.buffer.drain(..request.wire_bytes);
            self.requests += 1;
            replies.push(busy_reply());
        }
        replies
    }

    /// Rejects every complete request that was read before the client closed its sending direction; without a reply,
    /// the client would count it as lost. No request is accepted, because a client that closed the connection entirely
    /// looks the same.
    pub(super) fn reject_after_end_of_input(&mut self) -> CloseReason {
        let rejected = self.reject_whole_requests().len();
        self.answered_requests += rejected as u64;
        // The rest of a partial write is dropped: the client has stopped reading.
        try_write(self.stream.get_ref(), protocol::BUSY.repeat(rejected).as_bytes());
        CloseReason::Closed
    }

    /// Writes the last replies and closes the connection. Closing it with unread input would reset it and discard the
    /// replies, so input is discarded first, with bounds on time, bytes and rate.
    pub(super) async fn send_and_close(
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

    /// Reads and discards input until the client closes the connection or a bound is reached.
    async fn discard_input(&self, service: &ClientService) {
        let due = Instant::now() + DISCARD_TIMEOUT;
        let mut bytes_left = MAX_DISCARDED_BYTES;
        if self.evicted.is_closed() {
            return linger(&self.stream, service).await;
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
                    self.readable().or(self.timeout_or_eviction(due)).await;
                }
                Err(e) if is_transient(&e) => transient::pause().await,
                Err(_) => return,
            }
        }
    }
}
