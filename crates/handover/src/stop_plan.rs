//! How a process stops.

use std::time::Duration;

/// What an active process does once it is told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// New client connections are accepted for so long: the platform's load balancer still sends them.
    pub accept_duration: Duration,
    /// New attempts are sent for so long ...
    pub send_duration: Duration,
    /// ... and it ends by then, whatever is still in flight.
    pub exit_timeout: Duration,
    /// It ends as soon as nothing is in flight and no client is left, though it holds messages.
    pub is_handover: bool,
}

/// A stop for a restart: SIGKILL may come 3.7 s after SIGTERM.
pub const RESTART: StopPlan = StopPlan {
    accept_duration: Duration::from_millis(500),
    send_duration: Duration::from_millis(2_000),
    exit_timeout: Duration::from_millis(3_500),
    is_handover: false,
};
/// A stop with a successor beside it: every new connection goes to the successor, every message it holds is the
/// successor's once it has ended, and the sooner it ends the sooner these are sent.
pub const HANDOVER: StopPlan = StopPlan {
    accept_duration: Duration::ZERO,
    send_duration: Duration::ZERO,
    exit_timeout: Duration::from_millis(3_300),
    is_handover: true,
};

/// How to stop: a handover if a successor is there.
pub fn stop_plan(successor_present: bool) -> StopPlan {
    if successor_present { HANDOVER } else { RESTART }
}
