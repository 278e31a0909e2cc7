//! The handover snapshot.

use serde::{Deserialize, Serialize};

/// The format of the snapshot this program writes; newer ones are refused by name.
pub const FORMAT: u32 = 1;

pub const SNAPSHOT_FILE: &str = "handover.json";

/// What an owner leaves of a destination, or of one route where its endpoints are apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    #[serde(rename = "dst")]
    pub destination: u32,
    /// The endpoint's id as listed, where the route is one endpoint's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// A told wait binds until then (rule 6); 0 if none.
    #[serde(default, rename = "told_until_ms")]
    pub retry_after_until_ms: u64,
    /// The breaker is open until then, half-open if 0; closed if none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_until_ms: Option<u64>,
    /// The destination came back cold then, and is ramped from then on (rule 4).
    #[serde(default, rename = "cold_since_ms", skip_serializing_if = "Option::is_none")]
    pub slow_start_since_ms: Option<u64>,
}

/// All that an owner leaves to the next one beside its spool; endpoints out by hand have their own file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub format: u32,
    /// When it was written, Unix milliseconds.
    pub written_ms: u64,
    pub routes: Vec<RouteRecord>,
}

impl Snapshot {
    /// The text of the file.
    pub fn written(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads the file's text.
    ///
    /// # Errors
    /// A line for on-call staff if the text is no snapshot or one of a newer format.
    pub fn read(text: &str) -> Result<Snapshot, String> {
        #[derive(Deserialize)]
        struct Head {
            format: u32,
        }
        let head: Head = serde_json::from_str(text).map_err(|e| format!("no snapshot: {e}"))?;
        if head.format > FORMAT {
            return Err(format!(
                "it is of format {}; this program reads formats up to {FORMAT}",
                head.format
            ));
        }
        serde_json::from_str(text).map_err(|e| format!("no snapshot: {e}"))
    }

    /// What still binds at `now_ms`: waits that are over and closed breakers of warm routes are dropped.
    pub fn binding(mut self, now_ms: u64) -> Snapshot {
        for route in &mut self.routes {
            if route.retry_after_until_ms <= now_ms {
                route.retry_after_until_ms = 0;
            }
        }
        self.routes.retain(|r| {
            r.retry_after_until_ms > 0 || r.open_until_ms.is_some() || r.slow_start_since_ms.is_some()
        });
        self
    }
}
