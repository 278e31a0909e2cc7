//! Detects that the active process leaves client connections in the accept queue of the shared listening socket.
//!
//! Both processes of an upgrade have the same accept queue. While the active process serves, it accepts every
//! connection and a successor leaves the queue to it. A connection that stays in the queue would get no reply, so
//! the successor accepts it: the active process is suspended, or stopped without being able to announce it.

use std::time::Duration;

/// Interval at which a successor polls the accept queue.
pub const ACCEPT_QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of consecutive polls that find a connection in the queue after which the queue counts as stalled. A busy
/// process may leave a connection there for 0.15 s; clients wait 0.4 s for a reply.
pub const STALLED_QUEUE_POLLS: u32 = 10;

/// Monitors the accept queue on behalf of a successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptQueueMonitor {
    /// Number of consecutive polls that found a connection in the queue.
    consecutive_polls: u32,
}

impl AcceptQueueMonitor {
    /// Records the result of a poll. Returns whether the queue is stalled; it stays so until a poll finds it empty.
    pub fn record_poll(&mut self, has_connection: bool) -> bool {
        self.consecutive_polls = if has_connection { self.consecutive_polls.saturating_add(1) } else { 0 };
        self.consecutive_polls >= STALLED_QUEUE_POLLS
    }
}
