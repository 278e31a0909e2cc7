//! The messages that each process accepts during an upgrade.
//!
//! A successor can neither send a message nor end it before it is active. How long that takes at most depends on
//! the progress of the upgrade, so the time that a message needs to its deadline does too.

use crate::role::ORPHAN_CHECK_INTERVAL;
use std::time::Duration;

/// Longest time from the start of a successor to the SIGTERM of the active process: the platform waits this long
/// for the successor to report that it serves.
pub const MAX_READY_DELAY: Duration = Duration::from_millis(6_000);
/// Longest time from the stop request of a process to the moment when another process owns its messages. Its
/// SIGKILL comes 3.7 s after its SIGTERM.
pub const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(4_000);
/// Minimum time to the deadline of a message, in addition to the longest wait, for a successor to accept it.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// Progress of an upgrade, as the successor sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverProgress {
    /// Time since the start of the successor.
    pub successor_uptime: Duration,
    /// Time since the successor noticed that the active process hands over, if it has.
    pub handover_elapsed: Option<Duration>,
    /// Time since the successor itself was requested to stop, if it was.
    pub stop_elapsed: Option<Duration>,
    /// Whether an active process states at this moment that it sends nothing new and accepts no message in order.
    pub is_handing_over: bool,
    /// Whether both processes date stored data by the same clock, so that their messages can be merged in
    /// order.
    pub has_shared_clock: bool,
}

impl TakeoverProgress {
    /// Returns the longest time until a process may send the successor's messages, or `None` if there is no bound
    /// because the platform has exceeded its own time limits.
    pub fn longest_wait(&self) -> Option<Duration> {
        match (self.stop_elapsed, self.handover_elapsed) {
            // A stopping successor never becomes active: its messages go to the process that is active after its
            // exit.
            (Some(elapsed), _) => Some(MAX_TAKEOVER_DELAY.checked_sub(elapsed)? + ORPHAN_CHECK_INTERVAL),
            (None, Some(elapsed)) => MAX_TAKEOVER_DELAY.checked_sub(elapsed),
            (None, None) => (MAX_READY_DELAY + MAX_TAKEOVER_DELAY).checked_sub(self.successor_uptime),
        }
    }
}

/// Returns whether a successor accepts a message. If the time to its deadline is too short, the message is
/// rejected, as it might expire while no process may send it. A message in order is accepted only
/// if its position among the messages of its key is certain; otherwise the active process could send the next
/// one of the key first.
pub fn successor_accepts(time_to_deadline: Duration, is_in_order: bool, progress: TakeoverProgress) -> bool {
    let has_certain_position = progress.is_handing_over && progress.has_shared_clock;
    let is_in_time = progress.longest_wait().is_some_and(|wait| time_to_deadline > wait + DEADLINE_MARGIN);
    is_in_time && (!is_in_order || has_certain_position)
}

/// Returns whether an active process accepts a message. Once it hands over, only its successor accepts messages
/// in order. While a successor that has not yet exited may hold earlier messages of the key, messages in
/// order are not accepted until that successor has exited.
pub fn active_accepts(is_in_order: bool, is_handing_over: bool, successor_may_hold_earlier: bool) -> bool {
    !is_in_order || !(is_handing_over || successor_may_hold_earlier)
}
