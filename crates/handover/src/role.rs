//! Which process of a relay is the active one.

use std::time::Duration;

/// Names in the state folder.
pub const LOCK_FILE: &str = "lock";

pub const SUCCESSOR_DIR: &str = "next";

/// Between two looks at the owner's lock while taking in.
pub const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A taker holds a message for so long at most before it owns: the owner ends before its SIGKILL, which
/// comes 3.7 s after its SIGTERM, and the SIGTERM follows the taker's first yes.
pub const MAX_HOLD: Duration = Duration::from_millis(4_000);

/// A taker takes on a message only with so much more time left than it may hold it.
pub const HOLD_MARGIN: Duration = Duration::from_millis(500);

/// Shares of the folder's bytes: the owner's spool and the taker's. The rest is for small files, and for
/// the spool of an owner of an older version that took all.
pub const ACTIVE_DISK_SHARE: f64 = 0.6;

pub const SUCCESSOR_DISK_SHARE: f64 = 0.25;

/// What a process is at its start, by the locks it could take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Owns the spool; takes over what a taker left in `next/` if `merge_successor`.
    Active { merge_successor: bool },
    /// Another process owns: take in until its lock is free.
    Successor,
}

/// Decides the role from the locks: `owner_free` if this process took `lock`, `taker_free` if it took
/// `next/lock`, `taker_spool` if `next/spool.log` holds anything.
///
/// # Errors
/// If both locks are held by others: two processes run beside this one, and a third has no place.
pub fn role(owner_free: bool, taker_free: bool, taker_spool: bool) -> Result<Role, &'static str> {
    match (owner_free, taker_free) {
        (true, free) => Ok(Role::Active { merge_successor: free && taker_spool }),
        (false, true) => Ok(Role::Successor),
        (false, false) => Err("two processes of this relay hold the state folder already"),
    }
}

/// True if a process in this role reads what the process before it left of its destinations. A taker
/// does: it and the owner are one relay, so the owner's told waits bind it. An owner at its start does not:
/// the process before it ended or was killed, and a restart ends every wait (PROTOCOL); it starts closed.
pub fn reads_snapshot(role: Role) -> bool {
    role == Role::Successor
}

/// True if a taker takes on a message with `left` until its deadline; else it is pushed back, as it
/// might end late while nobody may send it.
pub fn accepts(left: Duration) -> bool {
    left > MAX_HOLD + HOLD_MARGIN
}
