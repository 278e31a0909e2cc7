//! How a relay follows discovery's list of endpoints, decided without I/O: what stays told as leaving whatever
//! an older list says ([`DrainRecord`]), and when it asks again after a call that failed. Many relays may fail at one moment (a release, a fleet restarted at once) against an agent
//! that is short of room; asking again at a fixed pause keeps it full for all of them, and none gets a list.
#![forbid(unsafe_code)]

mod drain_record;
mod jitter;
mod poll_schedule;

pub use drain_record::{
    DRAIN_RECORD_DISK_SHARE, DRAIN_RECORD_FILE, DrainRecord, ListEntry, ListHeader, Phase,
};
pub use jitter::Jitter;
pub use poll_schedule::{
    ASKED_SLACK, FIRST, MOST, OWN_SLACK, PollSchedule, SPREAD, TOGETHER, TOLD_MOST, WAIT, WAIT_MOST,
    WATCH_SLACK, WITHIN_MOST,
};
