//! What an upgrade hands from one process of a relay to the next, and which process owns each message; no I/O.
//!
//! Two processes of one relay may share its state folder, as in a hot restart: the one that runs and a newer one
//! beside it.
//!
//! - The *active process* holds the lock [`LOCK_FILE`], keeps the spool `spool.log` and is the only one that sends.
//! - A process that starts while another is active is its *successor*: it holds the same lock in
//!   [`SUCCESSOR_DIR`], answers clients, keeps what they submit in `next/spool.log`, and sends nothing.
//! - When the active process has ended (its lock is free), the successor becomes active: both spools are merged in
//!   the order in which their messages were accepted, and what the process before it knew of its destinations
//!   ([`SNAPSHOT_FILE`], a [`Snapshot`]) is restored before the first decision.
//!
//! What one process tells the other ends with it: locks end with their process, the marker of a handover
//! ([`HANDING_OVER_FILE`]) is one, and a snapshot names its writer.
//!
//! Times in a snapshot are Unix milliseconds: the two processes share the machine's clock, not their starts.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod merge;
mod role;
mod snapshot;
mod start_plan;
mod stop_plan;

pub use error::HandoverError;
pub use merge::{SpoolOwner, merge};
pub use role::{
    ACTIVE_DISK_SHARE, ActiveProcessState, DEADLINE_MARGIN, HANDING_OVER_FILE, LOCK_FILE, LOCK_POLL_INTERVAL,
    MAX_TAKEOVER_DELAY, ORPHAN_CHECK_INTERVAL, PreviousSuccessor, Role, SUCCESSOR_DIR, SUCCESSOR_DISK_SHARE,
    active_accepts, determine_role, reads_snapshot, successor_accepts,
};
pub use snapshot::{FORMAT, RouteRecord, SNAPSHOT_FILE, Snapshot};
pub use start_plan::{
    LOCK_ACQUISITION_TIMEOUT, OPTIONAL_RESOURCE_TIMEOUT, RELOAD_RETRY_TIMEOUT, REQUIRED_RESOURCE_TIMEOUT,
    SPOOL_OPEN_TIMEOUT, SUCCESSOR_TAKEOVER_TIMEOUT,
};
pub use stop_plan::{HANDOVER, RESTART, StopPlan, stop_plan};

#[cfg(test)]
mod tests;
