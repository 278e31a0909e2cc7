//! The handover snapshot: what a process knew of its destinations.

use crate::error::HandoverError;
use serde::{Deserialize, Serialize};

/// The format of the snapshot this program writes; newer ones are refused by name.
pub const FORMAT: u32 = 1;
/// The snapshot's file in the state folder.
pub const SNAPSHOT_FILE: &str = "handover.json";

/// What an active process leaves of a destination, or of one route where its endpoints are independent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// The destination's number.
    #[serde(rename = "dst")]
    pub destination: u32,
    /// The endpoint's id as listed, where the route is one endpoint's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// A Retry-After binds until then (rule 6), Unix milliseconds; 0 if there is none.
    #[serde(default, rename = "told_until_ms")]
    pub retry_after_until_ms: u64,
    /// The circuit breaker is open until then, Unix milliseconds, or half-open if 0; closed if none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_until_ms: Option<u64>,
    /// The slow start of a destination that came back began then, Unix milliseconds (rule 4).
    #[serde(default, rename = "cold_since_ms", skip_serializing_if = "Option::is_none")]
    pub slow_start_since_ms: Option<u64>,
}

impl RouteRecord {
    fn binds(&self) -> bool {
        self.retry_after_until_ms > 0 || self.open_until_ms.is_some() || self.slow_start_since_ms.is_some()
    }
}

/// All that an active process leaves to its successor beside its spool; the endpoints in maintenance have a file
/// of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The format it was written in.
    pub format: u32,
    /// The process that wrote it; none in one of an older version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub writer: Option<String>,
    /// When it was written, Unix milliseconds.
    pub written_ms: u64,
    /// Routes of which anything is to be known.
    pub routes: Vec<RouteRecord>,
}

/// What every format begins with.
#[derive(Deserialize)]
struct Header {
    format: u32,
}

impl Snapshot {
    /// The text of the file.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads the text of the file.
    ///
    /// # Errors
    /// If the text is no snapshot, or one of a newer format; the message is a line for on-call staff.
    pub fn from_json(text: &str) -> Result<Snapshot, HandoverError> {
        let header: Header = serde_json::from_str(text).map_err(HandoverError::NotASnapshot)?;
        if header.format > FORMAT {
            return Err(HandoverError::NewerFormat { format: header.format });
        }
        serde_json::from_str(text).map_err(HandoverError::NotASnapshot)
    }

    /// True unless another process than the active one is known to have written it: that one ended long ago, but could not
    /// remove what an earlier process had left.
    pub fn may_be_written_by(&self, active_process: Option<&str>) -> bool {
        active_process.is_none_or(|active| self.writer.as_deref() == Some(active))
    }

    /// What still binds at `now_ms`, Unix milliseconds: Retry-Afters that are over are dropped, and routes of
    /// which nothing is left.
    pub fn without_expired(mut self, now_ms: u64) -> Snapshot {
        for route in &mut self.routes {
            if route.retry_after_until_ms <= now_ms {
                route.retry_after_until_ms = 0;
            }
        }
        self.routes.retain(RouteRecord::binds);
        self
    }
}
