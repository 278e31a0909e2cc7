//! Tenants.

use crate::Rate;
use crate::defaults::one;
use serde::{Deserialize, Serialize};

/// A tenant, with a quota of the fleet's capacity.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// What files and reports call it.
    pub name: String,
    /// Messages a second within its share, over all relays.
    pub quota: Rate,
    /// Its part of the traffic, against the other tenants.
    #[serde(default = "one")]
    pub traffic: Rate,
}
