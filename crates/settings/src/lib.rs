//! Reads the settings object that an instance gets at its start, for both hosts: as path=value lines, or as
//! nested JSON with the same names and units.
#![forbid(unsafe_code)]

mod flat;
mod policy;
mod socket;

pub use flat::{FlatSettings, plain};
pub use policy::{policy_settings, relay_id};
pub use socket::{SocketSettings, rate_limit_field, socket_settings};
