//! Fair use of the relay's one thread. A future that never has to wait, because its peer always has data at hand, keeps
//! all other tasks, the timers and its own timeout from running. Such a future spends a [`TurnBudget`].

use async_io::Timer;
use std::time::Duration;

/// Number of operations without a wait after which a task gives way; an operation is a read of some kilobytes.
const OPERATIONS_PER_TURN: u32 = 4;
/// Pause between two turns. A timer and not a mere yield: the executor runs many ready tasks before it looks at the
/// sockets and timers again.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// Number of operations that a task may still execute without a wait.
#[derive(Debug)]
pub(crate) struct TurnBudget {
    operations_left: u32,
}

impl Default for TurnBudget {
    fn default() -> TurnBudget {
        TurnBudget { operations_left: OPERATIONS_PER_TURN }
    }
}

impl TurnBudget {
    /// Records that the task has waited, so that a new turn begins.
    pub(crate) fn renew(&mut self) {
        *self = TurnBudget::default();
    }

    /// Spends one operation; gives way first if none is left.
    pub(crate) async fn spend(&mut self) {
        if self.operations_left == 0 {
            Timer::after(TURN_PAUSE).await;
            self.renew();
        }
        self.operations_left -= 1;
    }
}
