//! Reads the settings object that an instance of the delivery policy gets at its start. The simulation adapter
//! receives it as path=value lines, the relay as nested JSON with the same names and units. Durations are in
//! microseconds. The names of the settings are fixed by the protocol and are translated to the terms of the code
//! only here. Reads no file and makes no decisions.
//!
//! - [`FlatSettings`] holds the settings as text by path, from either form.
//! - [`policy_settings`] reads the settings of the delivery policy, [`socket_settings`] those of a host on
//!   sockets.
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
