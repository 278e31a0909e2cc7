//! Which of two processes of a relay is the active one, and what a successor may do until it is.

use crate::error::HandoverError;
use std::time::Duration;

/// The lock's file, in the state folder for the active process and in [`SUCCESSOR_DIR`] for its successor.
pub const LOCK_FILE: &str = "lock";
/// The file in the state folder that an active process makes as it begins to hand over: it sends nothing new from then
/// on. Whoever becomes active removes it.
pub const HANDING_OVER_FILE: &str = "handing-over";
/// The successor's folder in the state folder.
pub const SUCCESSOR_DIR: &str = "next";
/// How often a successor tries the active process's lock: nobody sends between its end and the next try.
pub const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the active process looks for messages of a successor that has ended.
pub const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A successor holds a message for so long at most before it is active: the active process ends before its
/// SIGKILL, which comes 3.7 s after its SIGTERM, and the SIGTERM follows once the successor says that it serves.
pub const MAX_HOLD: Duration = Duration::from_millis(4_000);
/// A successor accepts a message only with so much more time left than it may hold it.
pub const HOLD_MARGIN: Duration = Duration::from_millis(500);
/// The share of the folder's bytes for the active process's spool. What both shares leave is for small files, and
/// for the spool of an active process of an older version that took all.
pub const ACTIVE_DISK_SHARE: f64 = 0.6;
/// The share of the folder's bytes for the successor's spool.
pub const SUCCESSOR_DISK_SHARE: f64 = 0.25;

/// What a process is at its start, by the locks it could take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It owns the spool and sends.
    Active {
        /// A successor that has ended left messages in `next/`: they are this process's.
        merge_successor: bool,
    },
    /// Another process is active: this one accepts messages until the other's lock is free.
    Successor,
}

/// Decides the role from the locks: `active_lock_taken` if this process took `lock`, `successor_lock_taken` if it
/// took `next/lock`; `successor_spool_exists` if there is a `next/spool.log`.
///
/// # Errors
/// [`HandoverError::StateFolderTaken`] if other processes hold both locks.
pub fn role(
    active_lock_taken: bool,
    successor_lock_taken: bool,
    successor_spool_exists: bool,
) -> Result<Role, HandoverError> {
    match (active_lock_taken, successor_lock_taken) {
        // A successor that is still there keeps its messages until it is active.
        (true, true) => Ok(Role::Active { merge_successor: successor_spool_exists }),
        (true, false) => Ok(Role::Active { merge_successor: false }),
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

/// True if a successor accepts a message with `left` until its deadline; else it is rejected, as it might expire
/// while nobody may send it. One that has its place in the order of a key is accepted only once the active process sends
/// nothing new: until then it could send the next one of the key before this one.
pub fn accepts(left: Duration, is_in_order: bool, active_sends: bool) -> bool {
    left > MAX_HOLD + HOLD_MARGIN && !(is_in_order && active_sends)
}
