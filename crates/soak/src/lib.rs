//! The fault soak: runs real processes of `mountshift-relay` on loopback addresses against stand-ins for their
//! environment, injects faults that overlap in time, and checks the rules on the observations of the stand-ins.
//!
//! - [`Schedule`] contains the faults and their times. It is drawn from a seed alone and can be saved, reduced and run
//!   again.
//! - `installation` draws the settings, destinations and limits of a run; `relay_process` runs the relays.
//! - `endpoint`, `platform`, `agent`, `client`, `bad_clients` and `copies` are the stand-ins. They record what they observe on
//!   the wire in the `recorder`.
//! - `wire_end` derives the outcome of a call from these observations, as the protocol defines it;
//!   `malformed_response` sends malformed responses.
//! - `injection` begins and ends the faults of a schedule, `maintenance` those that operators' commands belong to; `oracle`, `known_changes` and `early_end` find breaches in
//!   the record.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admin;
mod agent;
mod bad_clients;
mod client;
mod copies;
mod early_end;
mod endpoint;
mod error;
mod fault_kind;
mod http;
mod injection;
mod installation;
mod known_changes;
mod maintenance;
mod malformed_response;
mod oracle;
mod os_process;
mod platform;
mod recorder;
mod relay_process;
mod run;
mod schedule;
mod system_call_faults;
mod upgrade;
mod wire_end;

pub use error::SoakError;
pub use fault_kind::FaultKind;
pub use oracle::SoakBreach;
pub use relay_process::Programs;
pub use run::{SoakReport, run_schedule, shrink};
pub use schedule::{MAX_RELAYS, PollingFleet, Schedule, ScheduledFault};
