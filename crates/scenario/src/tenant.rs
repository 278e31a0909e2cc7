//! Tenants.

use crate::Rate;
use crate::defaults::one;
use serde::{Deserialize, Serialize};

/// Tenant with a quota of the fleet's capacity.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name in files and reports.
    pub name: String,
    /// Quota in messages per second, over all relays.
    pub quota: Rate,
    /// Share of the traffic relative to the other tenants.
    #[serde(default = "one")]
    pub traffic: Rate,
}
