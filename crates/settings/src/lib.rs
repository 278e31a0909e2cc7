//! Reads the settings object that an instance gets at its start, for both hosts: as path=value lines, or as
//! nested JSON with the same names and units. Spans are in microseconds. The names on the wire are the pages';
//! they are translated to the terms of the code here and nowhere else. Reads no file and decides nothing.
//!
//! - [`FlatSettings`] holds the settings as text by path, whichever form they came in.
//! - [`policy_settings`] reads those of the decisions, [`socket_settings`] those of a host on sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod flat;
mod policy;
mod socket;

pub use error::SettingsError;
pub use flat::{FlatSettings, normalize_name};
pub use policy::{policy_settings, relay_id};
pub use socket::{RateLimitField, SocketSettings, rate_limit_field, socket_settings};
