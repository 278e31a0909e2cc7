//! The last looks at events before a process ends: clients hear the answers that they are owed, nothing more is read.

use async_io::Timer;
use std::time::{Duration, Instant};

/// The time for clients to hear the answers they are owed.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(80);
/// Looks at events at the least, however late it is.
const MIN_ROUNDS: u32 = 3;
/// Between two looks.
const ROUND_INTERVAL: Duration = Duration::from_millis(5);

/// Counts the last looks at events, and says when they are over.
pub(crate) struct ShutdownRounds {
    ends_at: Instant,
    rounds: u32,
}

impl ShutdownRounds {
    /// The time begins now.
    pub(crate) fn start() -> ShutdownRounds {
        ShutdownRounds { ends_at: Instant::now() + FINAL_ANSWERS_TIME, rounds: 0 }
    }

    /// Waits for the next look. All other tasks have their turn meanwhile.
    pub(crate) async fn wait_for_next(&mut self) {
        Timer::after(ROUND_INTERVAL).await;
        self.rounds += 1;
    }

    /// True if the look just taken is the last one: nothing came and no client is left, or the time is over. A process
    /// that was held up has had less than the time: the other tasks have their turns all the same.
    pub(crate) fn is_complete(&self, is_quiet: bool) -> bool {
        is_quiet || (Instant::now() >= self.ends_at && self.rounds >= MIN_ROUNDS)
    }
}
