//! The role of a process, active or successor.

use crate::error::HandoverError;
use std::time::Duration;

/// Name of the lock file: in the state folder for the active process, in [`SUCCESSOR_DIR`] for its successor.
pub const LOCK_FILE: &str = "lock";
/// Marker file in the state folder, created by an active process as it begins to hand over: from then on it
/// sends nothing new and accepts no message in order. The process keeps the file locked, so that the marker
/// is valid only while the process exists; an unlocked file has no meaning.
pub const HANDING_OVER_FILE: &str = "handing-over";
/// Name of the successor's folder in the state folder.
pub const SUCCESSOR_DIR: &str = "next";
/// Interval at which a successor tries the active process's lock. No process sends between the exit of the
/// active process and the next try.
pub const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the active process looks for messages of a successor that has exited.
pub const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the folder's size limit for the active process's spool. The part that neither spool uses is for
/// small files, and for the spool of an active process of an older version that used the whole limit.
pub const ACTIVE_DISK_SHARE: f64 = 0.6;
/// Share of the folder's size limit for the successor's spool.
pub const SUCCESSOR_DISK_SHARE: f64 = 0.25;

/// State in which an active process finds an earlier successor at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousSuccessor {
    /// There is no earlier successor.
    None,
    /// It has exited and left messages in `next/`, which now belong to this process.
    LeftMessages,
    /// It is still running, and keeps the messages that it has accepted until it exits.
    Running,
}

/// Role of a process at its start, determined by the locks that it acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process owns the spool and sends.
    Active(PreviousSuccessor),
    /// Another process is active; this one accepts messages until the other's lock is free.
    Successor,
}

/// Determines the role from the locks: `has_active_lock` if this process acquired `lock`, `has_successor_lock`
/// if it acquired `next/lock`; `has_successor_spool` if there is a `next/spool.log`.
///
/// # Errors
/// [`HandoverError::StateDirInUse`] if other processes hold both locks.
pub fn determine_role(
    has_active_lock: bool,
    has_successor_lock: bool,
    has_successor_spool: bool,
) -> Result<Role, HandoverError> {
    match (has_active_lock, has_successor_lock) {
        (true, true) if has_successor_spool => Ok(Role::Active(PreviousSuccessor::LeftMessages)),
        (true, true) => Ok(Role::Active(PreviousSuccessor::None)),
        (true, false) => Ok(Role::Active(PreviousSuccessor::Running)),
        (false, true) => Ok(Role::Successor),
        (false, false) => Err(HandoverError::StateDirInUse),
    }
}

/// Returns whether a process in this role reads the snapshot that the previous process left. A successor
/// does: it and the active process are one relay, so a Retry-After received by one binds the other. A process
/// that is active at its start does not: the previous one exited or was killed, by the protocol a restart ends
/// every Retry-After wait, and the process starts with closed breakers.
pub fn reads_snapshot(role: Role) -> bool {
    role == Role::Successor
}
