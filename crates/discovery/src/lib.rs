//! How a relay follows discovery's list of endpoints, decided without I/O.
//!
//! - [`PollSchedule`]: when discovery is polled, and when a poll is given up. Many relays may fail at one moment
//!   (a release, a fleet restarted at once) against a discovery short of capacity; polling again after a fixed
//!   pause keeps it saturated by all of them, and none gets a list.
//! - [`DrainRecord`]: which endpoints were listed as draining or removed, and stay so whatever an older list says.
//! - [`Jitter`]: the seeded random source that spreads the pauses.
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
pub use poll_schedule::{PollSchedule, PollTimeouts};
