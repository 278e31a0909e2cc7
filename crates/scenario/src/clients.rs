//! Clients of the modelled fleet.

use crate::defaults::milliseconds;
use crate::{Share, Span};
use serde::{Deserialize, Serialize};

/// Behaviour of clients when they submit messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Share of rejected requests that their clients submit again.
    #[serde(rename = "again")]
    pub retry_share: Share,
    /// Delay before a client submits again after a rejection without Retry-After.
    #[serde(rename = "pause")]
    pub default_retry_delay: Span,
    /// Time for which a client waits for the acceptance of its message.
    #[serde(rename = "patience")]
    pub submit_timeout: Span,
    /// Time for which clients are still directed to a relay that is down.
    #[serde(rename = "front_notices")]
    pub failover_delay: Span,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retry_share: Share(1.0),
            default_retry_delay: milliseconds(500),
            submit_timeout: milliseconds(400),
            failover_delay: milliseconds(2_000),
        }
    }
}
