//! What the spool of a modelled relay keeps. Its times are Unix times, as they must outlive the process.

use super::clock::UnixTime;
use mountshift::interface::{Submission, ZoneId};
use mountshift_invariants::FinalAnswer;

/// An accepted message that is not over.
#[derive(Clone, Debug)]
pub(super) struct StoredMessage {
    /// As the process that accepted it knew it; its deadline there is a span of that process.
    pub submission: Submission,
    pub deadline: UnixTime,
    pub attempts: Vec<StoredAttempt>,
    /// The final answer that was given and has not been taken yet.
    pub pending_end: Option<FinalAnswer>,
}

/// An attempt, stored before it is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredAttempt {
    pub zone: ZoneId,
    pub sent_at: UnixTime,
    /// False once an outcome proved that it took no effect.
    pub may_have_run: bool,
}
