//! The fault soak: real processes of `mountshift-relay` on loopback, stand-ins for all that they meet, faults that
//! overlap in time, and a checker of the rules that sees only what the stand-ins saw.
//!
//! - [`Schedule`] says what happens when; it is drawn from a seed alone and can be written, cut down and played again.
//! - `installation` draws the settings, destinations and limits of a run; `relay_process` runs the relays.
//! - `endpoint`, `platform`, `client`, `bad_clients` and `copies` are the stand-ins; they record what they see on the wire in the `recorder`.
//! - `wire_end` derives outcomes of calls from that by the protocol's table, `malformed_response` plays answers that are no answers.
//! - `injection` makes the faults of a schedule begin and end; `oracle` reads the record and tells breaches.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bad_clients;
mod client;
mod copies;
mod early_end;
mod endpoint;
mod error;
mod http;
mod injection;
mod installation;
mod malformed_response;
mod oracle;
mod platform;
mod recorder;
mod relay_process;
mod run;
mod schedule;
mod wire_end;

pub use error::SoakError;
pub use oracle::SoakBreach;
pub use relay_process::Programs;
pub use run::{SoakReport, play, shrink};
pub use schedule::{FaultKind, MAX_RELAYS, Schedule, ScheduledFault};
