//! The handover snapshot: the state of the destinations that a process leaves to the next one.

use crate::error::HandoverError;
use serde::{Deserialize, Serialize};

/// Format of the snapshots that this program writes. Snapshots of newer formats are rejected.
pub const SNAPSHOT_FORMAT: u32 = 1;
/// Name of the snapshot file in the state folder.
pub const SNAPSHOT_FILE: &str = "handover.json";

/// State of a destination, or of one route where the destination's endpoints are independent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// The destination's number.
    #[serde(rename = "dst")]
    pub destination: u32,
    /// The endpoint's id as listed, if the route is that of a single endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// End of the Retry-After in force (rule 6), Unix milliseconds; 0 if there is none.
    #[serde(default, rename = "told_until_ms")]
    pub retry_after_until_ms: u64,
    /// Time until which the circuit breaker is open, Unix milliseconds. 0 if it is half-open, `None` if it is
    /// closed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_until_ms: Option<u64>,
    /// Start of the slow start after an outage of the destination, Unix milliseconds (rule 4).
    #[serde(default, rename = "cold_since_ms", skip_serializing_if = "Option::is_none")]
    pub slow_start_since_ms: Option<u64>,
}

impl RouteRecord {
    fn has_state(&self) -> bool {
        self.retry_after_until_ms > 0 || self.open_until_ms.is_some() || self.slow_start_since_ms.is_some()
    }
}

/// State that an active process leaves to its successor in addition to its spool. The endpoints in
/// maintenance have their own file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The format in which the snapshot was written.
    pub format: u32,
    /// The process that wrote the snapshot; `None` if an older version wrote it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub writer: Option<String>,
    /// Time at which the snapshot was written, Unix milliseconds.
    pub written_ms: u64,
    /// The routes that have state to restore.
    pub routes: Vec<RouteRecord>,
}

/// The part that snapshots of all formats have in common.
#[derive(Deserialize)]
struct Header {
    format: u32,
}

impl Snapshot {
    /// Returns the content of the snapshot file.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the content of the snapshot file.
    ///
    /// # Errors
    /// If the text is not a snapshot, or has a newer format. The error is one line, meant for on-call staff.
    pub fn from_json(text: &str) -> Result<Snapshot, HandoverError> {
        let header: Header = serde_json::from_str(text).map_err(HandoverError::InvalidSnapshot)?;
        if header.format > SNAPSHOT_FORMAT {
            return Err(HandoverError::NewerFormat { format: header.format });
        }
        serde_json::from_str(text).map_err(HandoverError::InvalidSnapshot)
    }

    /// Returns whether the active process may have written the snapshot: it is the writer, or its name is not
    /// known. A snapshot of another process is stale: an earlier process wrote it, and the active process
    /// could not remove the file.
    pub fn may_be_written_by(&self, active_process: Option<&str>) -> bool {
        active_process.is_none_or(|active| self.writer.as_deref() == Some(active))
    }

    /// Removes state that has expired at `now_ms`, Unix milliseconds: Retry-Afters that have ended, and
    /// routes that have no state left.
    pub fn without_expired(mut self, now_ms: u64) -> Snapshot {
        for route in &mut self.routes {
            if route.retry_after_until_ms <= now_ms {
                route.retry_after_until_ms = 0;
            }
        }
        self.routes.retain(RouteRecord::has_state);
        self
    }
}
