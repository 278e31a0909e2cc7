//! Rules by which a relay follows discovery's list of endpoints. No I/O.
//!
//! - [`PollSchedule`]: the delays between polls of discovery, and their timeouts. The polls of many relays
//!   may fail at the same time (a release, a restart of the whole fleet) while discovery is short of
//!   capacity. Polling again after a fixed delay would keep discovery saturated, and no relay would get a
//!   list. Polling again too late would leave changes unknown beyond the time by which a relay must know
//!   them.
//! - [`DrainRecord`]: the endpoints that were listed as draining or removed, and stay so even if an older
//!   list shows them as ready.
//! - [`Jitter`]: the seeded random source that spreads the delays.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod drain_record;
mod jitter;
mod poll_schedule;

pub use drain_record::{
    DRAIN_RECORD_DISK_SHARE, DRAIN_RECORD_FILE, DrainRecord, EffectivePhases, ListEntry, ListHeader,
    ParsedDrainRecord, Phase,
};
pub use jitter::Jitter;
pub use poll_schedule::{PollFailure, PollSchedule, PollTimeouts};
