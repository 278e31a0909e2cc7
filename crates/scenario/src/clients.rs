//! The clients.

use crate::defaults::milliseconds;
use crate::{Share, Span};
use serde::{Deserialize, Serialize};

/// How clients submit messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// The share of rejected requests that their clients submit again.
    #[serde(rename = "again")]
    pub retry_share: Share,
    /// How long a client waits that was told no Retry-After.
    #[serde(rename = "pause")]
    pub default_retry_delay: Span,
    /// How long a client waits to hear that its message was accepted.
    #[serde(rename = "patience")]
    pub submit_timeout: Span,
    /// How long clients are still sent to a relay that is down.
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
