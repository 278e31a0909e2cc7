//! The log file.

use crate::compaction::blocks;
use crate::message::{AcceptedMessage, AttemptRecord, FinalOutcome, StoredMessage};
use crate::record::{FORMAT, Fields, frame, leg_out, message, owed, record, small};
use log::warn;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The log's file in its folder.
pub const FILE_NAME: &str = "spool.log";

pub(crate) const NEW_NAME: &str = "spool.new";

/// The open log. Messages go by a number that grows in the order in which they were handed in.
pub struct Spool {
    pub(crate) dir: PathBuf,
    pub(crate) file: File,
    pub(crate) written: u64,
    pub(crate) pending: Vec<u8>,
    pub(crate) limit: u64,
    pub(crate) zone_room: u64,
    pub(crate) max_attempts: u64,
    pub(crate) live: BTreeMap<u64, StoredMessage>,
    /// What the live messages take at most in a fresh file, with all their legs and ends to come.
    pub(crate) reserved: u64,
    pub(crate) next: u64,
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

    pub(crate) fn append(&mut self, payload: &[u8]) {
        self.pending.extend(frame(payload));
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
