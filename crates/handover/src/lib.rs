//! What an upgrade carries from one process of a relay to the next, and who owns each message; no I/O.
//!
//! Two processes of one relay may share its state folder: the one that runs and a newer one beside it. The
//! *owner* holds the lock `lock`, keeps the spool `spool.log` and is the only one that sends. A process that
//! starts while another owns is a *taker*: it holds `next/lock`, answers clients and keeps what they hand
//! in in `next/spool.log`, and sends nothing. When the owner has ended (its lock is free), the taker becomes
//! the owner: both spools become one, in the order in which their messages were taken on, and what the owner
//! wrote down of its destinations (`handover.json`, a [`Snapshot`]) is read before the first decision.
//! Times in a snapshot are Unix milliseconds: the two processes share the machine's clock, not their starts.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The format of the snapshot this program writes; newer ones are refused by name.
pub const FORMAT: u32 = 1;
/// Names in the state folder.
pub const LOCK_FILE: &str = "lock";
pub const SUCCESSOR_DIR: &str = "next";
pub const SNAPSHOT_FILE: &str = "handover.json";
/// Between two looks at the owner's lock while taking in.
pub const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A taker holds a message for so long at most before it owns: the owner ends before its SIGKILL, which
/// comes 3.7 s after its SIGTERM, and the SIGTERM follows the taker's first yes.
pub const MAX_HOLD: Duration = Duration::from_millis(4_000);
/// A taker takes on a message only with so much more time left than it may hold it.
pub const HOLD_MARGIN: Duration = Duration::from_millis(500);
/// Shares of the folder's bytes: the owner's spool and the taker's. The rest is for small files, and for
/// the spool of an owner of an older version that took all.
pub const ACTIVE_DISK_SHARE: f64 = 0.6;
pub const SUCCESSOR_DISK_SHARE: f64 = 0.25;

/// What a process is at its start, by the locks it could take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Owns the spool; takes over what a taker left in `next/` if `merge_successor`.
    Active { merge_successor: bool },
    /// Another process owns: take in until its lock is free.
    Successor,
}

/// Decides the role from the locks: `owner_free` if this process took `lock`, `taker_free` if it took
/// `next/lock`, `taker_spool` if `next/spool.log` holds anything.
///
/// # Errors
/// If both locks are held by others: two processes run beside this one, and a third has no place.
pub fn role(owner_free: bool, taker_free: bool, taker_spool: bool) -> Result<Role, &'static str> {
    match (owner_free, taker_free) {
        (true, free) => Ok(Role::Active { merge_successor: free && taker_spool }),
        (false, true) => Ok(Role::Successor),
        (false, false) => Err("two processes of this relay hold the state folder already"),
    }
}

/// True if a process in this role reads what the process before it left of its destinations. A taker
/// does: it and the owner are one relay, so the owner's told waits bind it. An owner at its start does not:
/// the process before it ended or was killed, and a restart ends every wait (PROTOCOL); it starts closed.
pub fn reads_snapshot(role: Role) -> bool {
    role == Role::Successor
}

/// True if a taker takes on a message with `left` until its deadline; else it is pushed back, as it
/// might end late while nobody may send it.
pub fn accepts(left: Duration) -> bool {
    left > MAX_HOLD + HOLD_MARGIN
}

/// What an owner does once it is told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// New client connections are accepted for so long: the platform's front still sends them.
    pub accept_for: Duration,
    /// New legs go out for so long ...
    pub send_for: Duration,
    /// ... and it ends by then, whatever is still out.
    pub end_by: Duration,
    /// It ends as soon as nothing is out and no client is left, though it holds messages.
    pub hands_over: bool,
}

/// A stop for a restart: SIGKILL may come 3.7 s after SIGTERM.
pub const RESTART: StopPlan = StopPlan {
    accept_for: Duration::from_millis(500),
    send_for: Duration::from_millis(2_000),
    end_by: Duration::from_millis(3_500),
    hands_over: false,
};
/// A stop with a taker beside it: every new connection goes to the taker, every message it holds is the
/// taker's once it has ended, and the sooner it ends the sooner these are sent.
pub const HANDOVER: StopPlan = StopPlan {
    accept_for: Duration::ZERO,
    send_for: Duration::ZERO,
    end_by: Duration::from_millis(3_300),
    hands_over: true,
};

/// How to stop: a handover if a taker is there.
pub fn stop_plan(successor_present: bool) -> StopPlan {
    if successor_present { HANDOVER } else { RESTART }
}

/// Which spool a message comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Active,
    Successor,
}

/// The order of one spool made of two: each side's messages `(id, taken at)` in their own order, merged
/// by the time they were taken on, the owner's first at a tie. Messages of one key are handed in one after
/// another, each once the one before was taken on, so this keeps every key's order. A taker's message whose
/// id the owner holds already is left out: the one that came first stands.
pub fn merge(owner: &[(&[u8], u64)], taker: &[(&[u8], u64)]) -> Vec<(Side, usize)> {
    let held: std::collections::BTreeSet<&[u8]> = owner.iter().map(|(id, _)| *id).collect();
    let taker: Vec<(usize, u64)> =
        taker.iter().enumerate().filter(|(_, (id, _))| !held.contains(id)).map(|(i, m)| (i, m.1)).collect();
    let (mut o, mut t, mut order) = (0, 0, Vec::with_capacity(owner.len() + taker.len()));
    while o < owner.len() || t < taker.len() {
        if t == taker.len() || (o < owner.len() && owner[o].1 <= taker[t].1) {
            order.push((Side::Active, o));
            o += 1;
        } else {
            order.push((Side::Successor, taker[t].0));
            t += 1;
        }
    }
    order
}

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

#[cfg(test)]
mod tests;
