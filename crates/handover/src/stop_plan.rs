//! The phases in which a process stops.

use std::time::Duration;

/// Time limits of an active process that was requested to stop, counted from the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// Time for which new client connections are accepted, as the platform's load balancer still sends them.
    pub accept_duration: Duration,
    /// Time for which new attempts are sent.
    pub send_duration: Duration,
    /// Time after which the process exits, even if attempts are in flight.
    pub exit_timeout: Duration,
    /// Whether the process exits as soon as nothing is in flight and no client is connected, even if it holds
    /// messages.
    pub is_handover: bool,
}

/// Stop for a restart. SIGKILL may come 3.7 s after SIGTERM.
pub const RESTART_STOP_PLAN: StopPlan = StopPlan {
    accept_duration: Duration::from_millis(500),
    send_duration: Duration::from_millis(2_000),
    exit_timeout: Duration::from_millis(3_500),
    is_handover: false,
};
/// Stop with a running successor. New connections go to the successor, which also takes over all remaining
/// messages once this process has exited: the sooner it exits, the sooner they are sent.
pub const HANDOVER_STOP_PLAN: StopPlan = StopPlan {
    accept_duration: Duration::ZERO,
    send_duration: Duration::ZERO,
    exit_timeout: Duration::from_millis(3_300),
    is_handover: true,
};

/// Returns the plan for a stop: a handover if a successor is running, a restart otherwise.
pub fn stop_plan(has_successor: bool) -> StopPlan {
    if has_successor { HANDOVER_STOP_PLAN } else { RESTART_STOP_PLAN }
}
