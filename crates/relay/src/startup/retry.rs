//! Retries of system calls during startup, for as long as the platform waits for the process to become ready. A
//! temporary fault must not end the process; an error caused by bad input is returned at once.

use async_io::Timer;
use mountshift_handover::{OPTIONAL_RESOURCE_TIMEOUT, REQUIRED_RESOURCE_TIMEOUT};
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// An error that may be temporary.
pub(crate) trait Retryable {
    /// Returns whether another attempt may succeed without a change by an operator.
    fn is_retryable(&self) -> bool;
}

impl Retryable for io::Error {
    fn is_retryable(&self) -> bool {
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

/// Deadlines for retries, shared by all steps of a startup.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryDeadlines {
    optional_deadline: Instant,
    required_deadline: Instant,
}

impl RetryDeadlines {
    /// Returns the deadlines of a startup, or of a takeover as the active process, that begins now.
    pub(crate) fn from_now() -> RetryDeadlines {
        let now = Instant::now();
        RetryDeadlines {
            optional_deadline: now + OPTIONAL_RESOURCE_TIMEOUT,
            required_deadline: now + REQUIRED_RESOURCE_TIMEOUT,
        }
    }

    /// Retries an operation that the process can do without, until it succeeds, its error is not retryable or the
    /// deadline has passed; returns the last result. Other tasks run between the attempts.
    pub(crate) async fn retry_optional<T, E: Retryable>(
        &self,
        attempt: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        retry_until(self.optional_deadline, attempt).await
    }

    /// Same as [`RetryDeadlines::retry_optional`], with the deadline for operations whose failure ends the process.
    pub(crate) async fn retry_required<T, E: Retryable>(
        &self,
        attempt: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        retry_until(self.required_deadline, attempt).await
    }
}

async fn retry_until<T, E: Retryable>(
    deadline: Instant,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    loop {
        match attempt() {
            Err(error) if error.is_retryable() && Instant::now() < deadline => {
                Timer::after(RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}

#[cfg(test)]
#[path = "retry_tests.rs"]
mod tests;
