//! The durable log of a relay: messages taken on, their legs and their ends, appended to one file. What was
//! written outlives the process, not the machine: nothing is synced. When the file grows, what is still
//! alive is written to a second one that takes its place by rename; both together stay within the limit.
#![forbid(unsafe_code)]

use log::warn;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The log's file in its folder.
pub const FILE_NAME: &str = "spool.log";
const NEW_NAME: &str = "spool.new";
/// The format of the log. Logs without a head record are of format 0, which differs in that alone; format 1
/// has no time of taking in its messages, which format 2 appends to each.
const FORMAT: u64 = 2;
const HEADER: usize = 8;
/// Files count in whole blocks of this size.
const BLOCK: u64 = 512;
/// No record is larger: a guard against reading a torn length.
const RECORD_MOST: usize = 1 << 20;
/// Bytes of a record without text: header, tag, number, and at most two more numbers.
const SMALL: u64 = HEADER as u64 + 1 + 8 + 16;
/// Bytes of the head record at most.
const HEAD: u64 = SMALL;

/// A message as it was handed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedMessage {
    pub id: Vec<u8>,
    pub key: u64,
    /// What came with it.
    pub metadata: String,
    /// Unix time in milliseconds.
    pub deadline: u64,
    pub body: Vec<u8>,
    /// When it was taken on, Unix time in microseconds; 0 if the log is older than that. Orders the messages
    /// of one key across two processes that took them on side by side.
    pub accepted_at_us: u64,
}

/// A leg, noted before its first byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    pub zone: String,
    /// Unix time in milliseconds.
    pub at: u64,
    pub may_have_run: bool,
}

/// An end that a message got and that has not been taken yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    Failed,
    /// With the pause in milliseconds.
    Rejected(u64),
}

/// A message that is not over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMessage {
    pub accepted: AcceptedMessage,
    pub attempts: Vec<AttemptRecord>,
    pub pending_outcome: Option<FinalOutcome>,
}

/// The open log. Messages go by a number that grows in the order in which they were handed in.
pub struct Spool {
    dir: PathBuf,
    file: File,
    written: u64,
    pending: Vec<u8>,
    limit: u64,
    zone_room: u64,
    max_attempts: u64,
    live: BTreeMap<u64, StoredMessage>,
    /// What the live messages take at most in a fresh file, with all their legs and ends to come.
    reserved: u64,
    next: u64,
}

impl Spool {
    /// Opens the log in `dir`, reads what is alive, drops a torn tail. A message may have `max_attempts` legs,
    /// at places with names of `zone_room` bytes at most.
    ///
    /// # Errors
    /// If the folder can't be used, or the log holds whole records that this version can't read (of a newer
    /// format, say); the log is then left as it is.
    pub fn open(dir: &Path, limit: u64, max_attempts: u64, zone_room: u64) -> io::Result<Spool> {
        match fs::remove_file(dir.join(NEW_NAME)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let path = dir.join(FILE_NAME);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let bytes = fs::read(&path)?;
        let mut spool = Spool {
            dir: dir.to_path_buf(),
            file,
            written: 0,
            pending: Vec::new(),
            limit,
            zone_room,
            max_attempts,
            live: BTreeMap::new(),
            reserved: 0,
            next: 1,
        };
        let mut rest = &bytes[..];
        while let Some((payload, after)) = record(rest) {
            // Guards against the log of a newer program: what is whole and can't be read must not be dropped as
            // if it were a torn tail.
            spool.replay(payload).map_err(|what| {
                let at = bytes.len() - rest.len();
                io::Error::new(io::ErrorKind::InvalidData, format!("{FILE_NAME}, byte {at}: {what}"))
            })?;
            rest = after;
        }
        let good = bytes.len() - rest.len();
        if !rest.is_empty() {
            // Guards against a record cut short by the end of a process: what follows it is unreadable.
            warn!("spool: dropped a torn tail of {} bytes after {good}", rest.len());
            spool.file.set_len(good as u64)?;
        }
        spool.written = good as u64;
        if good == 0 {
            spool.append(&small(b'V', FORMAT));
        }
        spool.reserved = spool.live.values().map(|k| spool.room_for(&k.accepted)).sum();
        Ok(spool)
    }

    /// What is alive, in the order in which it was handed in.
    pub fn messages(&self) -> &BTreeMap<u64, StoredMessage> {
        &self.live
    }

    pub fn get(&self, n: u64) -> Option<&StoredMessage> {
        self.live.get(&n)
    }

    /// Takes a message on under a new number; none if it is not sure to fit with all that may follow.
    pub fn accept(&mut self, accepted: AcceptedMessage) -> Option<u64> {
        let (n, room) = (self.next, self.room_for(&accepted));
        let record = frame(&message(n, &accepted));
        // A tenth stays free so that a nearly full log is not written anew for every message.
        let half = (self.limit / 2).saturating_sub(self.limit / 20);
        if self.reserved + room > half {
            return None;
        }
        if !self.fits(record.len(), room) && (self.compact().is_err() || !self.fits(record.len(), room)) {
            return None;
        }
        self.reserved += room;
        self.next += 1;
        self.pending.extend(record);
        self.live.insert(n, StoredMessage { accepted, attempts: Vec::new(), pending_outcome: None });
        Some(n)
    }

    /// Notes a leg that is about to go out.
    pub fn record_attempt(&mut self, n: u64, zone: &str, at: u64) {
        let leg = AttemptRecord { zone: zone.to_string(), at, may_have_run: true };
        if let Some(kept) = self.live.get_mut(&n) {
            kept.attempts.push(leg.clone());
            self.append(&leg_out(n, &leg));
        }
    }

    /// Notes that the last leg never ran.
    pub fn record_not_run(&mut self, n: u64) {
        if let Some(leg) = self.live.get_mut(&n).and_then(|k| k.attempts.last_mut()) {
            leg.may_have_run = false;
            self.append(&small(b'N', n));
        }
    }

    /// Notes an end that is owed until `remove`.
    pub fn record_outcome(&mut self, n: u64, end: FinalOutcome) {
        if let Some(kept) = self.live.get_mut(&n) {
            kept.pending_outcome = Some(end);
            self.append(&owed(n, end));
        }
    }

    /// The message is over: nothing of it is kept.
    pub fn remove(&mut self, n: u64) {
        if let Some(kept) = self.live.remove(&n) {
            self.reserved -= self.room_for(&kept.accepted);
            self.append(&small(b'E', n));
        }
    }

    /// Takes the place of all that is alive: these messages, numbered anew from 1 in the order given, written
    /// to a fresh file that replaces the log by rename. For a handover, before any number was used.
    ///
    /// # Errors
    /// If the fresh file can't be written; the log is then as it was. Messages that don't fit within the limit
    /// are not taken and come back, in the order given.
    pub fn replace_all(&mut self, kept: Vec<StoredMessage>) -> io::Result<Vec<StoredMessage>> {
        let (live, reserved, next) = (std::mem::take(&mut self.live), self.reserved, self.next);
        (self.reserved, self.next) = (0, 1);
        let mut left = Vec::new();
        for k in kept {
            let room = self.room_for(&k.accepted);
            if !left.is_empty() || self.reserved + room > self.limit / 2 {
                left.push(k);
                continue;
            }
            self.reserved += room;
            self.live.insert(self.next, k);
            self.next += 1;
        }
        if let Err(e) = self.compact() {
            (self.live, self.reserved, self.next) = (live, reserved, next);
            return Err(e);
        }
        Ok(left)
    }

    /// Writes what was noted since the last call. Before this returns nothing of it is safe.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        if !self.fits(0, 0) {
            return self.compact();
        }
        if let Err(e) = self.file.write_all(&self.pending) {
            // Guards against half a record in the middle of the log.
            self.file.set_len(self.written)?;
            return Err(e);
        }
        self.written += self.pending.len() as u64;
        self.pending.clear();
        Ok(())
    }

    /// The bytes that the log takes now, in whole blocks.
    pub fn size(&self) -> u64 {
        blocks(self.written)
    }

    fn room_for(&self, accepted: &AcceptedMessage) -> u64 {
        let own = SMALL + 24 + (accepted.id.len() + accepted.metadata.len() + accepted.body.len()) as u64;
        own + self.max_attempts * (2 * SMALL + self.zone_room) + 2 * SMALL
    }

    /// True if the log, `more` bytes and a fresh file with `room` more fit together.
    fn fits(&self, more: usize, room: u64) -> bool {
        let now = self.written + self.pending.len() as u64 + more as u64;
        blocks(now) + blocks(HEAD + self.reserved + room) <= self.limit || self.written == 0
    }

    fn append(&mut self, payload: &[u8]) {
        self.pending.extend(frame(payload));
    }

    /// Writes what is alive to a fresh file, which takes the place of the old one.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = frame(&small(b'V', FORMAT));
        for (n, kept) in &self.live {
            bytes.extend(frame(&message(*n, &kept.accepted)));
            for leg in &kept.attempts {
                bytes.extend(frame(&leg_out(*n, leg)));
                if !leg.may_have_run {
                    bytes.extend(frame(&small(b'N', *n)));
                }
            }
            kept.pending_outcome.iter().for_each(|end| bytes.extend(frame(&owed(*n, *end))));
        }
        let new = self.dir.join(NEW_NAME);
        let mut file = OpenOptions::new().create(true).append(true).open(&new)?;
        file.set_len(0)?;
        let moved = file.write_all(&bytes).and_then(|()| fs::rename(&new, self.dir.join(FILE_NAME)));
        if let Err(e) = moved {
            let _ = fs::remove_file(&new);
            return Err(e);
        }
        (self.file, self.written) = (file, bytes.len() as u64);
        self.pending.clear();
        Ok(())
    }

    /// Takes a whole record in, or tells why that can't be.
    fn replay(&mut self, payload: &[u8]) -> Result<(), String> {
        let newer = |tag: u8, n: u64| tag == b'V' && n > FORMAT;
        match payload.split_first().and_then(|(tag, rest)| Some((*tag, Fields(rest).u64()?))) {
            Some((tag, n)) if newer(tag, n) => {
                Err(format!("it is of format {n}; this program reads formats up to {FORMAT}"))
            }
            _ => {
                self.read(payload).ok_or_else(|| "a record of a kind that this program does not know".into())
            }
        }
    }

    fn read(&mut self, payload: &[u8]) -> Option<()> {
        let mut f = Fields(payload);
        let (tag, n) = (f.take(1)?[0], f.u64()?);
        if tag == b'V' {
            return Some(());
        }
        self.next = self.next.max(n + 1);
        match tag {
            b'M' => {
                let (key, deadline) = (f.u64()?, f.u64()?);
                let (id, metadata) = (f.text()?.to_vec(), String::from_utf8(f.text()?.to_vec()).ok()?);
                let body = f.text()?.to_vec();
                // Format 1 ends here.
                let accepted_at_us = if f.0.is_empty() { 0 } else { f.u64()? };
                let accepted = AcceptedMessage { id, key, metadata, deadline, body, accepted_at_us };
                self.live.insert(n, StoredMessage { accepted, attempts: Vec::new(), pending_outcome: None });
            }
            b'L' => {
                let (at, zone) = (f.u64()?, String::from_utf8(f.text()?.to_vec()).ok()?);
                let leg = AttemptRecord { zone, at, may_have_run: true };
                self.live.get_mut(&n).into_iter().for_each(|k| k.attempts.push(leg.clone()));
            }
            b'N' => {
                let leg = self.live.get_mut(&n).and_then(|k| k.attempts.last_mut());
                leg.into_iter().for_each(|l| l.may_have_run = false);
            }
            b'F' => {
                let pause = f.u64()?;
                let end =
                    if pause == u64::MAX { FinalOutcome::Failed } else { FinalOutcome::Rejected(pause) };
                self.live.get_mut(&n).into_iter().for_each(|k| k.pending_outcome = Some(end));
            }
            b'E' => {
                self.live.remove(&n);
            }
            _ => return None,
        }
        Some(())
    }
}

fn blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK) * BLOCK
}

fn frame(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// The first record's content and what follows it; none if it is not whole.
fn record(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, after) = bytes.split_first_chunk::<4>()?;
    let (sum, after) = after.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let (payload, after) = after.split_at_checked(length).filter(|_| length <= RECORD_MOST)?;
    (crc32fast::hash(payload) == u32::from_le_bytes(*sum)).then_some((payload, after))
}

fn small(tag: u8, n: u64) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend(n.to_le_bytes());
    bytes
}

fn message(n: u64, accepted: &AcceptedMessage) -> Vec<u8> {
    let mut bytes = small(b'M', n);
    [accepted.key, accepted.deadline].iter().for_each(|x| bytes.extend(x.to_le_bytes()));
    [&accepted.id[..], accepted.metadata.as_bytes(), &accepted.body].iter().for_each(|t| text(&mut bytes, t));
    bytes.extend(accepted.accepted_at_us.to_le_bytes());
    bytes
}

fn leg_out(n: u64, leg: &AttemptRecord) -> Vec<u8> {
    let mut bytes = small(b'L', n);
    bytes.extend(leg.at.to_le_bytes());
    text(&mut bytes, leg.zone.as_bytes());
    bytes
}

fn owed(n: u64, end: FinalOutcome) -> Vec<u8> {
    let mut bytes = small(b'F', n);
    let pause = if let FinalOutcome::Rejected(pause) = end { pause } else { u64::MAX };
    bytes.extend(pause.to_le_bytes());
    bytes
}

fn text(bytes: &mut Vec<u8>, text: &[u8]) {
    bytes.extend((text.len() as u32).to_le_bytes());
    bytes.extend(text);
}

struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (taken, left) = self.0.split_at_checked(n)?;
        self.0 = left;
        Some(taken)
    }

    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }

    fn text(&mut self) -> Option<&'a [u8]> {
        let n = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        self.take(n as usize)
    }
}
