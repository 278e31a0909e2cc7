//! What an upgrade carries from one process of a relay to the next, and who owns each message; no I/O.
//!
//! Two processes of one relay may share its state folder: the one that runs and a newer one beside it. The
//! *owner* holds the lock `lock`, keeps the spool `spool.log` and is the only one that sends. A process that
//! starts while another owns is a *taker*: it holds `next/lock`, answers clients and keeps what they hand
//! in in `next/spool.log`, and sends nothing. When the owner has ended (its lock is free), the taker becomes
//! the owner: both spools become one, in the order in which their messages were taken on, and what the owner
//! wrote down of its destinations (`handover.json`, a [`Snapshot`]) is read before the first decision.
//! Times in a snapshot are Unix milliseconds: the two processes share the machine's clock, not their starts.
#![forbid(unsafe_code)]

mod merge;
mod role;
mod snapshot;
mod stop_plan;

pub use merge::{Side, merge};
pub use role::{
    ACTIVE_DISK_SHARE, HOLD_MARGIN, LOCK_FILE, LOCK_POLL_INTERVAL, MAX_HOLD, Role, SUCCESSOR_DIR,
    SUCCESSOR_DISK_SHARE, accepts, reads_snapshot, role,
};
pub use snapshot::{FORMAT, RouteRecord, SNAPSHOT_FILE, Snapshot};
pub use stop_plan::{HANDOVER, RESTART, StopPlan, stop_plan};

#[cfg(test)]
mod tests;
