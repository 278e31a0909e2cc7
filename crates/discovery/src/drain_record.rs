//! Which endpoints were listed as draining or removed. Discovery's lists come whole and in part, late, again, from
//! another address with its own count of revisions, and at a start from a file that may be old; the rule on drains
//! binds through all of it. So an endpoint listed as draining stays draining, beyond the process (the record is
//! kept in the state folder) and beyond its place in the relay's tables, until discovery newly lists it as ready.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The record's name in the state folder.
pub const DRAIN_RECORD_FILE: &str = "leaving";
/// The share of the folder's bytes that the record may take. It is written beside the old one first, so twice
/// that is needed for a moment.
pub const DRAIN_RECORD_DISK_SHARE: f64 = 0.05;
/// The first line of the record's text: what it is, and its format.
const FIRST_LINE: &str = "mountshift leaving 1";

/// What a list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes messages.
    Ready,
    /// It ends soon: no new message may be sent to it.
    Draining,
    /// It was removed.
    Gone,
}

/// An entry of a list, as far as the record reads it.
#[derive(Clone, Copy, Debug)]
pub struct ListEntry<'a> {
    /// The endpoint's id as listed.
    pub id: &'a str,
    /// What the list says of it.
    pub phase: Phase,
    /// When the endpoint last started, Unix milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

/// The list that the entries stand in.
#[derive(Clone, Copy, Debug)]
pub struct ListHeader<'a> {
    /// Whose revisions these are: discovery's address.
    pub source: &'a str,
    /// The list's revision; those of one source grow.
    pub revision: u64,
    /// True if an endpoint that the list does not name was removed; false for a list of changes.
    pub is_full: bool,
    /// Now, Unix milliseconds.
    pub now_ms: u64,
}

/// What came of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectivePhases {
    /// What each entry's phase is to be taken for, in the order of the entries.
    pub phases: Vec<Phase>,
    /// How many entries said ready of an endpoint that stays draining.
    pub overridden_ready_count: usize,
}

/// A record as it was read from its text.
#[derive(Debug)]
pub struct ParsedDrainRecord {
    /// What could be read.
    pub record: DrainRecord,
    /// How many lines could not; each is left out by itself.
    pub unreadable_lines: usize,
}

/// When and where an endpoint was listed as draining or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Drain {
    /// When it was first listed so, Unix milliseconds; not before its last start as listed, which another clock tells.
    at_ms: u64,
    /// The newest revision of the source that lists it so.
    revision: u64,
    source: String,
}

impl Drain {
    /// True if an entry that says ready is news, and not an older state listed again. Revisions of one source
    /// grow; those of two can't be compared, so another source is believed only where it lists a change. An
    /// endpoint that started since was started to serve.
    fn is_over(&self, list: &ListHeader, entry: &ListEntry) -> bool {
        let is_newer = if list.source == self.source { list.revision > self.revision } else { !list.is_full };
        is_newer || entry.up_since_ms > self.at_ms
    }

    /// The record's line for it, with its end of line.
    fn line(&self, id: &str) -> String {
        format!("{id} {} {} {}\n", self.at_ms, self.revision, self.source)
    }
}

/// Endpoints that were listed as draining or removed.
#[derive(Debug, Default)]
pub struct DrainRecord {
    /// By id as listed.
    drains: BTreeMap<String, Drain>,
    /// Endpoints that the list holds as ready, with their last start as listed: guards against one that a whole
    /// list leaves out and an older one names again.
    ready: BTreeMap<String, u64>,
    /// The text has changed since it was last asked for.
    changed: bool,
}

impl DrainRecord {
    /// Applies a list; lists must be applied in the order in which they came.
    pub fn apply(&mut self, list: &ListHeader, entries: &[ListEntry]) -> EffectivePhases {
        if list.is_full {
            self.record_absent(list, entries);
        }
        let mut applied =
            EffectivePhases { phases: Vec::with_capacity(entries.len()), overridden_ready_count: 0 };
        for entry in entries {
            let phase = self.apply_entry(list, entry);
            if entry.phase == Phase::Ready && phase != Phase::Ready {
                applied.overridden_ready_count += 1;
            }
            applied.phases.push(phase);
        }
        applied
    }

    /// What a whole list leaves out is removed.
    fn record_absent(&mut self, list: &ListHeader, entries: &[ListEntry]) {
        let named: BTreeSet<&str> = entries.iter().map(|entry| entry.id).collect();
        let absent = self.ready.iter().filter(|(id, _)| !named.contains(id.as_str()));
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
            if !drain.is_over(list, entry) {
                return Phase::Draining;
            }
            self.drains.remove(entry.id);
            self.changed = true;
        }
        self.ready.insert(entry.id.to_string(), entry.up_since_ms);
        Phase::Ready
    }

    /// The first time counts, but the newest revision of a source must be passed. The last start of the endpoint is
    /// told by another clock than this relay's: where that one is ahead, a start before the drain must not look as
    /// if it were behind it.
    fn record_drain(&mut self, id: &str, up_since_ms: u64, list: &ListHeader) {
        self.ready.remove(id);
        let at_ms = list.now_ms.max(up_since_ms);
        let mut drain = Drain { at_ms, revision: list.revision, source: list.source.to_string() };
        if let Some(earlier) = self.drains.get(id) {
            if earlier.source == drain.source && earlier.revision >= drain.revision {
                return;
            }
            drain.at_ms = earlier.at_ms.max(up_since_ms);
        }
        self.drains.insert(id.to_string(), drain);
        self.changed = true;
    }

    /// The record's text, if it changed since the last call: `max_bytes` at most, of which those drained last.
    /// An id that no line can hold is kept in memory only.
    pub fn text_if_changed(&mut self, max_bytes: usize) -> Option<String> {
        if !self.changed {
            return None;
        }
        self.changed = false;
        let writable = |(id, drain): &(&String, &Drain)| is_word(id) && is_word(&drain.source);
        let mut drains: Vec<(&String, &Drain)> = self.drains.iter().filter(writable).collect();
        drains.sort_by_key(|(_, drain)| Reverse(drain.at_ms));
        let mut text = format!("{FIRST_LINE}\n");
        for (id, drain) in drains {
            let line = drain.line(id);
            if text.len() + line.len() > max_bytes {
                break;
            }
            text.push_str(&line);
        }
        Some(text)
    }

    /// Reads a record's text; an empty one is an empty record.
    pub fn from_text(text: &str) -> ParsedDrainRecord {
        let mut record = DrainRecord::default();
        let mut unreadable_lines = 0;
        let mut lines = text.lines();
        if !text.is_empty() && lines.next() != Some(FIRST_LINE) {
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

    /// How many endpoints are on record.
    pub fn len(&self) -> usize {
        self.drains.len()
    }

    /// True if no endpoint is on record.
    pub fn is_empty(&self) -> bool {
        self.drains.is_empty()
    }
}

/// True if the text can stand as one word of a line.
fn is_word(text: &str) -> bool {
    !text.is_empty() && !text.chars().any(|c| c.is_whitespace() || c.is_control())
}

/// The endpoint's id and its drain; none if the line can't be read.
fn parse_line(line: &str) -> Option<(String, Drain)> {
    let words: Vec<&str> = line.split(' ').collect();
    let [id, at_ms, revision, source] = words[..] else { return None };
    if !is_word(id) {
        return None;
    }
    let drain =
        Drain { at_ms: at_ms.parse().ok()?, revision: revision.parse().ok()?, source: source.to_string() };
    Some((id.to_string(), drain))
}

#[cfg(test)]
#[path = "drain_record_tests.rs"]
mod tests;
