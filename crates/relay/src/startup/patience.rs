//! The patience of a start: a system call that fails is tried again for as long as the platform waits for a process to
//! be ready. A fault that passes in that time must not end the process; one that tells of bad input ends it at once.

use async_io::Timer;
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

/// The platform wants a process to be ready within 10 s; the rest is for what a start does beside waiting.
const START_PATIENCE: Duration = Duration::from_secs(6);
/// Between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// An error that may pass by itself.
pub(crate) trait MayPass {
    /// True if another try may work although nobody changes anything.
    fn may_pass(&self) -> bool;
}

impl MayPass for io::Error {
    fn may_pass(&self) -> bool {
        !matches!(
            self.kind(),
            ErrorKind::NotFound
                | ErrorKind::PermissionDenied
                | ErrorKind::NotADirectory
                | ErrorKind::IsADirectory
                | ErrorKind::InvalidInput
                | ErrorKind::InvalidFilename
                | ErrorKind::ReadOnlyFilesystem
                | ErrorKind::Unsupported
        )
    }
}

/// How long a start goes on trying; one for all that it does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    ends_at: Instant,
}

impl Patience {
    /// The patience of a process that starts now, or becomes the active one.
    pub(crate) fn of_start() -> Patience {
        Patience { ends_at: Instant::now() + START_PATIENCE }
    }

    /// Tries until it works, the error is one that does not pass, or the time is over; then the last error counts.
    pub(crate) fn retry<T, E: MayPass>(&self, mut attempt: impl FnMut() -> Result<T, E>) -> Result<T, E> {
        loop {
            match attempt() {
                Err(error) if self.goes_on(&error) => std::thread::sleep(RETRY_PAUSE),
                result => return result,
            }
        }
    }

    /// As [`Patience::retry`], while other tasks run between the tries.
    pub(crate) async fn retry_beside_tasks<T, E: MayPass>(
        &self,
        mut attempt: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        loop {
            match attempt() {
                Err(error) if self.goes_on(&error) => drop(Timer::after(RETRY_PAUSE).await),
                result => return result,
            }
        }
    }

    fn goes_on(&self, error: &impl MayPass) -> bool {
        error.may_pass() && Instant::now() < self.ends_at
    }
}

#[cfg(test)]
#[path = "patience_tests.rs"]
mod tests;
