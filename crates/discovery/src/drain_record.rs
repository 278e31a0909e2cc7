//! What a relay was told of endpoints that leave. Discovery's lists come whole and in part, late, again, from
//! another address with its own count of revisions, and at a start from a file that may be old; the rule on
//! drains binds through all of it. So what was told as leaving stays told, beyond the process (the book is
//! kept in the state folder) and beyond the endpoint's place in the relay's tables, until discovery newly
//! lists it as ready.

use std::collections::{BTreeMap, BTreeSet};

/// The book's name in the state folder, and the share of the folder's bytes that it may hold. It is written
/// beside the old one first, so twice that is needed for a moment.
pub const DRAIN_RECORD_FILE: &str = "leaving";
pub const DRAIN_RECORD_DISK_SHARE: f64 = 0.05;
const HEAD: &str = "mountshift leaving 1";

/// What a list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// An entry of a list, as far as the book reads it.
#[derive(Clone, Copy, Debug)]
pub struct ListEntry<'a> {
    pub id: &'a str,
    pub phase: Phase,
    /// When the endpoint last started, Unix milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

/// The list that the entries stand in.
#[derive(Clone, Copy, Debug)]
pub struct ListHeader<'a> {
    /// Whose revisions these are: discovery's address.
    pub source: &'a str,
    pub revision: u64,
    /// What a whole list does not name is gone.
    pub whole: bool,
    /// Now, Unix milliseconds.
    pub now_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Told {
    at_ms: u64,
    revision: u64,
    source: String,
}

impl Told {
    /// True if an entry that says ready is news, and not an older state told again. Revisions of one source
    /// grow; those of two can't be compared, so another source is believed only where it tells a change. An
    /// endpoint that started since was started to serve.
    fn is_over(&self, list: &ListHeader, entry: &ListEntry) -> bool {
        let newer = if list.source == self.source { list.revision > self.revision } else { !list.whole };
        newer || entry.up_since_ms > self.at_ms
    }
}

/// Endpoints told as leaving.
#[derive(Debug, Default)]
pub struct DrainRecord {
    leaving: BTreeMap<String, Told>,
    /// Endpoints that the list holds as ready: guards against one that a whole list leaves out and an older
    /// one names again.
    ready: BTreeSet<String>,
    changed: bool,
}

impl DrainRecord {
    /// Takes a list in, in the order in which lists came: what each entry says is to be taken for, and how
    /// many of them said ready of an endpoint that stays told as leaving.
    pub fn take(&mut self, list: &ListHeader, entries: &[ListEntry]) -> (Vec<Phase>, usize) {
        if list.whole {
            let named: BTreeSet<&str> = entries.iter().map(|e| e.id).collect();
            let absent = self.ready.iter().filter(|id| !named.contains(id.as_str())).cloned();
            absent.collect::<Vec<_>>().iter().for_each(|id| self.note(id, list));
        }
        let mut old = 0;
        let said = entries.iter().map(|entry| {
            if entry.phase != Phase::Ready {
                self.note(entry.id, list);
                return entry.phase;
            }
            match self.leaving.get(entry.id) {
                Some(told) if !told.is_over(list, entry) => {
                    old += 1;
                    return Phase::Draining;
                }
                Some(_) => {
                    self.leaving.remove(entry.id);
                    self.changed = true;
                }
                None => {}
            }
            self.ready.insert(entry.id.to_string());
            Phase::Ready
        });
        (said.collect(), old)
    }

    /// Told as leaving: the first time counts, but the newest revision of a source must be passed.
    fn note(&mut self, id: &str, list: &ListHeader) {
        self.ready.remove(id);
        let told = Told { at_ms: list.now_ms, revision: list.revision, source: list.source.to_string() };
        match self.leaving.get_mut(id) {
            Some(old) if old.source == told.source && old.revision >= told.revision => return,
            Some(old) => *old = Told { at_ms: old.at_ms, ..told },
            None => drop(self.leaving.insert(id.to_string(), told)),
        }
        self.changed = true;
    }

    /// The text of the book, if it changed since the last call: `most` bytes at most, of which those told
    /// last. An id that no line can hold is kept in memory only.
    pub fn written(&mut self, most: usize) -> Option<String> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let mut rows: Vec<(&String, &Told)> =
            self.leaving.iter().filter(|(id, t)| is_word(id) && is_word(&t.source)).collect();
        rows.sort_by_key(|(_, told)| std::cmp::Reverse(told.at_ms));
        let mut text = format!("{HEAD}\n");
        for (id, told) in rows {
            let line = format!("{id} {} {} {}\n", told.at_ms, told.revision, told.source);
            if text.len() + line.len() > most {
                break;
            }
            text.push_str(&line);
        }
        Some(text)
    }

    /// Reads a book's text; with it, how many of its lines can't be read. They are left out one by one.
    pub fn read(text: &str) -> (DrainRecord, usize) {
        let mut book = DrainRecord::default();
        let mut lines = text.lines();
        if text.is_empty() {
            return (book, 0);
        }
        let mut bad = usize::from(lines.next() != Some(HEAD));
        for line in lines {
            match row(line) {
                Some((id, told)) => drop(book.leaving.insert(id, told)),
                None => bad += 1,
            }
        }
        (book, bad)
    }

    /// How many endpoints are told as leaving.
    pub fn len(&self) -> usize {
        self.leaving.len()
    }

    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty()
    }
}

fn is_word(text: &str) -> bool {
    !text.is_empty() && !text.chars().any(|c| c.is_whitespace() || c.is_control())
}

fn row(line: &str) -> Option<(String, Told)> {
    let mut words = line.split(' ');
    let mut word = || words.next();
    let (id, at, revision, source) = (word()?, word()?, word()?, word()?);
    let told = Told { at_ms: at.parse().ok()?, revision: revision.parse().ok()?, source: source.to_string() };
    (is_word(id) && words.next().is_none()).then(|| (id.to_string(), told))
}

#[cfg(test)]
#[path = "drain_record_tests.rs"]
mod tests;
