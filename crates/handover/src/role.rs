//! Which of two processes of a relay is the active one, and what a successor may do until it is.

use crate::error::HandoverError;
use std::time::Duration;

/// The lock's file, in the state folder for the active process and in [`SUCCESSOR_DIR`] for its successor.
pub const LOCK_FILE: &str = "lock";
/// The file in the state folder that an active process makes as it begins to hand over: it sends nothing new from then
/// on, and takes no message in order. The process keeps the file locked, so that what it says ends with the process: a file
/// that nobody holds locked says nothing.
pub const HANDING_OVER_FILE: &str = "handing-over";
/// The successor's folder in the state folder.
pub const SUCCESSOR_DIR: &str = "next";
/// How often a successor tries the active process's lock: nobody sends between its end and the next try.
pub const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the active process looks for messages of a successor that has ended.
pub const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A successor holds a message for so long at most before it is active: the active process ends before its
/// SIGKILL, which comes 3.7 s after its SIGTERM, and the SIGTERM follows once the successor says that it serves.
pub const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(4_000);
/// A successor accepts a message only with so much more time left than it may hold it.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// The share of the folder's bytes for the active process's spool. What both shares leave is for small files, and
/// for the spool of an active process of an older version that took all.
pub const ACTIVE_DISK_SHARE: f64 = 0.6;
/// The share of the folder's bytes for the successor's spool.
pub const SUCCESSOR_DISK_SHARE: f64 = 0.25;

/// What an active process finds of an earlier successor at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousSuccessor {
    /// Nothing.
    None,
    /// It has ended and left messages in `next/`: they are this process's.
    LeftMessages,
    /// It still runs, and keeps what it has accepted until it ends.
    Running,
}

/// What a process is at its start, by the locks it could take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It owns the spool and sends.
    Active(PreviousSuccessor),
    /// Another process is active: this one accepts messages until the other's lock is free.
    Successor,
}

/// Decides the role from the locks: `active_lock_taken` if this process took `lock`, `successor_lock_taken` if it
/// took `next/lock`; `successor_spool_exists` if there is a `next/spool.log`.
///
/// # Errors
/// [`HandoverError::StateFolderTaken`] if other processes hold both locks.
pub fn determine_role(
    active_lock_taken: bool,
    successor_lock_taken: bool,
    successor_spool_exists: bool,
) -> Result<Role, HandoverError> {
    match (active_lock_taken, successor_lock_taken) {
        (true, true) if successor_spool_exists => Ok(Role::Active(PreviousSuccessor::LeftMessages)),
        (true, true) => Ok(Role::Active(PreviousSuccessor::None)),
        (true, false) => Ok(Role::Active(PreviousSuccessor::Running)),
        (false, true) => Ok(Role::Successor),
        (false, false) => Err(HandoverError::StateFolderTaken),
    }
}

/// True if a process in this role reads the snapshot that the process before it left. A successor does: it and the
/// active process are one relay, so the Retry-Afters that the one was given bind the other. A process that is
/// active at its start does not: the one before it ended or was killed, and a restart ends every wait (PROTOCOL);
/// it starts with closed breakers.
pub fn reads_snapshot(role: Role) -> bool {
    role == Role::Successor
}

/// What a successor knows of the active process beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveProcessState {
    /// The active process says that it sends nothing new and takes no message in order.
    pub is_handing_over: bool,
    /// Both processes date what they store by one time line, so that their messages can be merged in order.
    pub has_shared_clock: bool,
}

/// True if a successor accepts a message with `left` until its deadline; else it is rejected, as it might expire
/// while nobody may send it. One that has its place in the order of a key is accepted only where that place is certain:
/// else the active process could send the next one of the key before it.
pub fn successor_accepts(left: Duration, is_in_order: bool, active: ActiveProcessState) -> bool {
    let place_is_certain = active.is_handing_over && active.has_shared_clock;
    left > MAX_TAKEOVER_DELAY + DEADLINE_MARGIN && (!is_in_order || place_is_certain)
}

/// True if an active process accepts a message. From the handover on messages in order are its successor's, and beside a
/// successor that has yet to end, which may have accepted earlier ones of the key, they wait for that end.
pub fn active_accepts(is_in_order: bool, is_handing_over: bool, successor_may_hold_earlier: bool) -> bool {
    !is_in_order || !(is_handing_over || successor_may_hold_earlier)
}
