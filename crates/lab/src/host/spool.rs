//! The contents of a modelled relay's spool. Times are Unix times, because they must remain valid after a restart.

use super::clock::UnixTime;
use mountshift::interface::{Submission, ZoneId};
use mountshift_invariants::FinalAnswer;

/// A submitted message that is not closed. It is stored before its client receives the acceptance.
#[derive(Clone, Debug)]
pub(super) struct StoredMessage {
    /// The submission as the accepting process received it; its deadline is on that process's decision clock.
    pub submission: Submission,
    pub deadline: UnixTime,
    pub attempts: Vec<StoredAttempt>,
    /// The final answer whose notification is not acknowledged yet.
    pub pending_answer: Option<FinalAnswer>,
}

/// An attempt, stored before it is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredAttempt {
    pub zone: ZoneId,
    pub sent_at: UnixTime,
    /// Whether the attempt may have run; `false` once an outcome has proved that it didn't.
    pub may_have_run: bool,
}
