//! The patience of a start: a system call that fails is tried again for as long as the platform waits for a process to
//! be ready. A fault that passes in that time must not end the process; one that tells of bad input ends it at once.

use async_io::Timer;
use mountshift_handover::{OPTIONAL_RESOURCE_TIMEOUT, REQUIRED_RESOURCE_TIMEOUT};
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

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
    essential_ends_at: Instant,
}

impl Patience {
    /// The patience of a process that starts now, or becomes the active one.
    pub(crate) fn of_start() -> Patience {
        let now = Instant::now();
        Patience {
            ends_at: now + OPTIONAL_RESOURCE_TIMEOUT,
            essential_ends_at: now + REQUIRED_RESOURCE_TIMEOUT,
        }
    }

    /// Tries until it works, the error is one that does not pass, or the time is over; then the last error counts. Other
    /// tasks run between the tries.
    pub(crate) async fn retry<T, E: MayPass>(&self, attempt: impl FnMut() -> Result<T, E>) -> Result<T, E> {
        retry_until(self.ends_at, attempt).await
    }

    /// As [`Patience::retry`], for what ends the process if it fails.
    pub(crate) async fn retry_essential<T, E: MayPass>(
        &self,
        attempt: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        retry_until(self.essential_ends_at, attempt).await
    }
}

async fn retry_until<T, E: MayPass>(
    ends_at: Instant,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    loop {
        match attempt() {
            Err(error) if error.may_pass() && Instant::now() < ends_at => {
                Timer::after(RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}

#[cfg(test)]
#[path = "patience_tests.rs"]
mod tests;
