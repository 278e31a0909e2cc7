//! The record of endpoints that were listed as draining or removed.
//!
//! Lists from discovery may be full or partial, late or repeated, from another address with its own revision
//! numbers, or, at a start, from a file that may be old; the rule on drains applies in all these cases. An
//! endpoint listed as draining therefore stays draining until a newer list shows it as ready, even after a
//! restart of the process (the record is kept in the state folder) and after the endpoint has left the
//! relay's tables.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Name of the record's file in the state folder.
pub const DRAIN_RECORD_FILE: &str = "leaving";
/// Share of the folder's size limit for the record. While the file is replaced, the old and the new one exist
/// together and need twice this share.
pub const DRAIN_RECORD_DISK_SHARE: f64 = 0.05;
/// First line of the record's text: the type and the format of the file.
const HEADER_LINE: &str = "mountshift leaving 1";

/// State of an endpoint according to a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The endpoint accepts messages.
    Ready,
    /// The endpoint will stop soon; no new message may be sent to it.
    Draining,
    /// The endpoint was removed.
    Gone,
}

/// The fields of a list entry that the record uses.
#[derive(Clone, Copy, Debug)]
pub struct ListEntry<'a> {
    /// The endpoint's id as listed.
    pub id: &'a str,
    /// State of the endpoint according to the list.
    pub phase: Phase,
    /// Time of the endpoint's last start, Unix milliseconds; 0 if it was long ago.
    pub up_since_ms: u64,
}

/// The properties of the list to which the entries belong.
#[derive(Clone, Copy, Debug)]
pub struct ListHeader<'a> {
    /// Address of the discovery service that sent the list.
    pub source: &'a str,
    /// Revision of the list. The revisions of one source increase.
    pub revision: u64,
    /// Whether the list is complete, so that an endpoint missing from it was removed; false for a list of
    /// changes.
    pub is_full: bool,
    /// Current time, Unix milliseconds.
    pub now_ms: u64,
}

/// Result of applying a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectivePhases {
    /// The phase in effect for each entry, in the order of the entries.
    pub phases: Vec<Phase>,
    /// Number of entries that list an endpoint as ready although it stays draining.
    pub overridden_ready_count: usize,
}

/// A record parsed from its text.
#[derive(Debug)]
pub struct ParsedDrainRecord {
    /// The readable part of the record.
    pub record: DrainRecord,
    /// Number of unreadable lines, which are skipped.
    pub unreadable_lines: usize,
}

/// Time and source of the listing of an endpoint as draining or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Drain {
    /// Time at which the endpoint was first listed so, Unix milliseconds. Not earlier than its last start as
    /// listed, which is measured by discovery's clock.
    at_ms: u64,
    /// Newest revision of the source that lists the endpoint so.
    revision: u64,
    /// Address of the discovery service that listed it so.
    source: String,
}

impl Drain {
    /// Returns whether an entry that lists the endpoint as ready is newer than the drain. Revisions of one
    /// source increase; those of two sources can't be compared, so a list of another source ends the drain
    /// only if it is a list of changes. In any case the drain ends if the endpoint was started again after it.
    fn is_ended_by(&self, list: &ListHeader, entry: &ListEntry) -> bool {
        let is_newer = if list.source == self.source { list.revision > self.revision } else { !list.is_full };
        is_newer || entry.up_since_ms > self.at_ms
    }

    /// Returns the record's line for this drain, including the newline.
    fn line(&self, id: &str) -> String {
        format!("{id} {} {} {}\n", self.at_ms, self.revision, self.source)
    }
}

/// The endpoints that were listed as draining or removed.
#[derive(Debug, Default)]
pub struct DrainRecord {
    /// Drains by the endpoint's id as listed.
    drains: BTreeMap<String, Drain>,
    /// Endpoints listed as ready, with their last start as listed. Guards against an endpoint that is missing
    /// from a full list (it was removed) and then appears in an older list.
    ready_endpoints: BTreeMap<String, u64>,
    /// Whether the record has changed since [`DrainRecord::text_if_changed`] last returned its text.
    has_changed: bool,
}

impl DrainRecord {
    /// Applies a list. Lists must be applied in the order in which they arrived.
    pub fn apply(&mut self, list: &ListHeader, entries: &[ListEntry]) -> EffectivePhases {
        if list.is_full {
            self.record_absent_endpoints(list, entries);
        }
        let mut effective =
            EffectivePhases { phases: Vec::with_capacity(entries.len()), overridden_ready_count: 0 };
        for entry in entries {
            let phase = self.apply_entry(list, entry);
            if entry.phase == Phase::Ready && phase != Phase::Ready {
                effective.overridden_ready_count += 1;
            }
            effective.phases.push(phase);
        }
        effective
    }

    /// Records endpoints that are missing from a full list as removed.
    fn record_absent_endpoints(&mut self, list: &ListHeader, entries: &[ListEntry]) {
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.id).collect();
        let absent = self.ready_endpoints.iter().filter(|(id, _)| !listed.contains(id.as_str()));
        let absent: Vec<(String, u64)> = absent.map(|(id, up_since_ms)| (id.clone(), *up_since_ms)).collect();
        for (id, up_since_ms) in absent {
            self.record_drain(&id, up_since_ms, list);
        }
    }

    fn apply_entry(&mut self, list: &ListHeader, entry: &ListEntry) -> Phase {
        if entry.phase != Phase::Ready {
            self.record_drain(entry.id, entry.up_since_ms, list);
            return entry.phase;
        }
        if let Some(drain) = self.drains.get(entry.id) {
            if !drain.is_ended_by(list, entry) {
                return Phase::Draining;
            }
            self.drains.remove(entry.id);
            self.has_changed = true;
        }
        self.ready_endpoints.insert(entry.id.to_string(), entry.up_since_ms);
        Phase::Ready
    }

    /// Records a drain. A repeated drain keeps the time of the first one and takes the newest revision. The
    /// endpoint's last start is measured by discovery's clock: if that is ahead of this relay's clock, a start
    /// before the drain must not appear to be later than the drain.
    fn record_drain(&mut self, id: &str, up_since_ms: u64, list: &ListHeader) {
        self.ready_endpoints.remove(id);
        let at_ms = list.now_ms.max(up_since_ms);
        let mut drain = Drain { at_ms, revision: list.revision, source: list.source.to_string() };
        if let Some(earlier) = self.drains.get(id) {
            if earlier.source == drain.source && earlier.revision >= drain.revision {
                return;
            }
            drain.at_ms = earlier.at_ms.max(up_since_ms);
        }
        self.drains.insert(id.to_string(), drain);
        self.has_changed = true;
    }

    /// Returns the record's text if it has changed since the last call. The text takes at most `max_bytes`;
    /// the most recent drains are kept. An entry whose id or source contains whitespace or control
    /// characters can't be written to a line and is kept in memory only.
    pub fn text_if_changed(&mut self, max_bytes: usize) -> Option<String> {
        if !self.has_changed {
            return None;
        }
        self.has_changed = false;
        let writable = |(id, drain): &(&String, &Drain)| is_single_word(id) && is_single_word(&drain.source);
        let mut drains: Vec<(&String, &Drain)> = self.drains.iter().filter(writable).collect();
        drains.sort_by_key(|(_, drain)| Reverse(drain.at_ms));
        let mut text = format!("{HEADER_LINE}\n");
        for (id, drain) in drains {
            let line = drain.line(id);
            if text.len() + line.len() > max_bytes {
                break;
            }
            text.push_str(&line);
        }
        Some(text)
    }

    /// Parses a record's text. An empty text is an empty record.
    pub fn from_text(text: &str) -> ParsedDrainRecord {
        let mut record = DrainRecord::default();
        let mut unreadable_lines = 0;
        let mut lines = text.lines();
        if !text.is_empty() && lines.next() != Some(HEADER_LINE) {
            unreadable_lines += 1;
        }
        for line in lines {
            match parse_line(line) {
                Some((id, drain)) => {
                    record.drains.insert(id, drain);
                }
                None => unreadable_lines += 1,
            }
        }
        ParsedDrainRecord { record, unreadable_lines }
    }

    /// Returns the number of endpoints on record.
    pub fn len(&self) -> usize {
        self.drains.len()
    }

    /// Returns whether no endpoint is on record.
    pub fn is_empty(&self) -> bool {
        self.drains.is_empty()
    }
}

/// Returns whether the text can be written as one word of a line.
fn is_single_word(text: &str) -> bool {
    !text.is_empty() && !text.chars().any(|c| c.is_whitespace() || c.is_control())
}

/// Parses a line into the endpoint's id and its drain; returns `None` if the line is unreadable.
fn parse_line(line: &str) -> Option<(String, Drain)> {
    let words: Vec<&str> = line.split(' ').collect();
    let [id, at_ms, revision, source] = words[..] else { return None };
    if !is_single_word(id) {
        return None;
    }
    let drain =
        Drain { at_ms: at_ms.parse().ok()?, revision: revision.parse().ok()?, source: source.to_string() };
    Some((id.to_string(), drain))
}

#[cfg(test)]
#[path = "drain_record_tests.rs"]
mod tests;
