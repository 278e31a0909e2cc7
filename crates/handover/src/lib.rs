//! The handover of a relay during an upgrade: the state that one process leaves to the next, and the rules
//! that decide which process owns each message. No I/O.
//!
//! Two processes of one relay may share its state folder, as in a hot restart: the running one and a newer
//! one.
//!
//! - The *active process* holds the lock [`LOCK_FILE`], keeps the spool `spool.log` and is the only one that
//!   sends.
//! - A process that starts while another is active is its *successor*: it holds the lock file of the same
//!   name in [`SUCCESSOR_DIR`] and sends nothing. It accepts client connections from the moment when the active
//!   process no longer does ([`AcceptQueueMonitor`]), and stores their messages in `next/spool.log`. It accepts
//!   only messages that it can still send in time ([`TakeoverProgress`]).
//! - When the active process has exited (its lock is free), the successor becomes active: it merges both
//!   spools in the order in which their messages were accepted, and restores the previous process's state of
//!   the destinations ([`SNAPSHOT_FILE`], a [`Snapshot`]) before the first decision.
//! - A new configuration is for both processes, whichever of them gets the SIGHUP ([`Reload`]).
//!
//! State that one process publishes to the other is valid only while that process exists: locks are released
//! when their process exits, the handover marker ([`HANDING_OVER_FILE`]) is a lock too, and a snapshot names
//! its writer. A reload counts by its time alone.
//!
//! Times in a snapshot are Unix milliseconds, because the two processes share the machine's clock but not
//! their start times.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accept_queue;
mod acceptance;
mod error;
mod merge;
mod reload;
mod role;
mod snapshot;
mod start_plan;
mod stop_plan;

pub use accept_queue::{ACCEPT_QUEUE_POLL_INTERVAL, AcceptQueueMonitor, STALLED_QUEUE_POLLS};
pub use acceptance::{
    DEADLINE_MARGIN, MAX_READY_DELAY, MAX_TAKEOVER_DELAY, TakeoverProgress, active_accepts, successor_accepts,
};
pub use error::HandoverError;
pub use merge::{SpoolOwner, merge};
pub use reload::{RELOAD_CHECK_INTERVAL, RELOAD_FILE, Reload, ReloadState, ReloadStep};
pub use role::{
    ACTIVE_DISK_SHARE, HANDING_OVER_FILE, LOCK_FILE, LOCK_POLL_INTERVAL, ORPHAN_CHECK_INTERVAL,
    PreviousSuccessor, Role, SUCCESSOR_DIR, SUCCESSOR_DISK_SHARE, determine_role, reads_snapshot,
};
pub use snapshot::{RouteRecord, SNAPSHOT_FILE, SNAPSHOT_FORMAT, Snapshot};
pub use start_plan::{
    LOCK_ACQUISITION_TIMEOUT, OPTIONAL_RESOURCE_TIMEOUT, RELOAD_RETRY_TIMEOUT, REQUIRED_RESOURCE_TIMEOUT,
    SPOOL_OPEN_TIMEOUT, SUCCESSOR_LIST_TIMEOUT, SUCCESSOR_TAKEOVER_TIMEOUT,
};
pub use stop_plan::{HANDOVER_STOP_PLAN, RESTART_STOP_PLAN, StopPlan, stop_plan};

#[cfg(test)]
mod tests;
