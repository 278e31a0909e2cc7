//! Final rounds of event processing before the process exits, in which pending replies are sent to clients.

use async_io::Timer;
use std::time::{Duration, Instant};

/// Time for sending pending replies to clients.
const FINAL_REPLIES_DURATION: Duration = Duration::from_millis(80);
/// Minimum number of rounds, even after [`FINAL_REPLIES_DURATION`] has passed.
const MIN_ROUNDS: u32 = 3;
/// Pause between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(5);

/// Counts the final rounds and determines the last one.
pub(crate) struct ShutdownRounds {
    ends_at: Instant,
    rounds: u32,
}

impl ShutdownRounds {
    /// Starts the first round.
    pub(crate) fn start() -> ShutdownRounds {
        ShutdownRounds { ends_at: Instant::now() + FINAL_REPLIES_DURATION, rounds: 0 }
    }

    /// Waits for the next round, while all other tasks run.
    pub(crate) async fn wait_for_next(&mut self) {
        Timer::after(ROUND_INTERVAL).await;
        self.rounds += 1;
    }

    /// Returns whether the current round is the last one: no event arrived and no client is connected, or the time has
    /// passed. The minimum number of rounds lets other tasks run even if the process was suspended for that time.
    pub(crate) fn is_complete(&self, is_quiet: bool) -> bool {
        is_quiet || (Instant::now() >= self.ends_at && self.rounds >= MIN_ROUNDS)
    }
}
