//! The spool written anew.

use crate::log_file::{FILE_NAME, NEW_NAME, Spool};
use crate::message::{AcceptedMessage, StoredMessage};
use crate::record::{FORMAT, HEAD, SMALL, frame, leg_out, message, owed, small};
use std::fs::{self, OpenOptions};
use std::io::{self, Write};

/// Files count in whole blocks of this size.
const BLOCK: u64 = 512;

impl Spool {
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

    pub(crate) fn room_for(&self, accepted: &AcceptedMessage) -> u64 {
        let own = SMALL + 24 + (accepted.id.len() + accepted.metadata.len() + accepted.body.len()) as u64;
        own + self.max_attempts * (2 * SMALL + self.zone_room) + 2 * SMALL
    }

    /// True if the log, `more` bytes and a fresh file with `room` more fit together.
    pub(crate) fn fits(&self, more: usize, room: u64) -> bool {
        let now = self.written + self.pending.len() as u64 + more as u64;
        blocks(now) + blocks(HEAD + self.reserved + room) <= self.limit || self.written == 0
    }

    /// Writes what is alive to a fresh file, which takes the place of the old one.
    pub(crate) fn compact(&mut self) -> io::Result<()> {
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
}

pub(crate) fn blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK) * BLOCK
}
