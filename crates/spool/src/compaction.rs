//! Compaction: writes the messages that are still needed to a new log file, and computes the maximum space
//! that they need. The old and the new file together stay within the size limit.

use crate::ended_ids::MAX_ENDED_IDS;
use crate::log_file::{SPOOL_FILE, Spool};
use crate::message::{AcceptedMessage, StoredMessage};
use crate::record::{
    BATCH_OVERHEAD_BYTES, ENDED_ID_RECORD_BYTES, MAX_SMALL_RECORD_BYTES, encode_accepted, encode_attempt,
    encode_ended_id, encode_format, encode_not_processed, encode_outcome, frame,
};
use std::fs::{self, OpenOptions};
use std::io::{self, Write};

/// Name of the new log file until it replaces the log.
pub(crate) const NEW_SPOOL_FILE: &str = "spool.new";
/// Size in bytes of the disk blocks in which file sizes are counted.
const BLOCK_BYTES: u64 = 512;
/// Upper bound of the size of the format record, in bytes.
const MAX_FORMAT_RECORD_BYTES: u64 = MAX_SMALL_RECORD_BYTES;
/// Upper bound of the bytes that a batch adds to its records, including the log header in front of the first
/// batch.
const MAX_BATCH_OVERHEAD_BYTES: u64 = MAX_FORMAT_RECORD_BYTES + BATCH_OVERHEAD_BYTES as u64;

/// Divisor of the size limit that gives the maximum size of the ended ids in the log.
const ENDED_IDS_DIVISOR: u64 = 50;

impl Spool {
    /// Replaces all messages by the given ones, renumbered from 1 in the order given, in a new file that
    /// replaces the log by rename. Used in a handover, before any message number is in use. Returns the
    /// messages that don't fit within the size limit, in the order given; they are not stored.
    ///
    /// # Errors
    /// If the new file can't be written; the log is then unchanged.
    pub fn replace_all(&mut self, messages: Vec<StoredMessage>) -> io::Result<Vec<StoredMessage>> {
        let messages_before = std::mem::take(&mut self.messages);
        let reserved_before = self.reserved_bytes;
        let next_before = self.next_number;
        self.reserved_bytes = 0;
        self.next_number = 1;
        let max_reserved_bytes = (self.max_bytes / 2).saturating_sub(self.ended_ids_bytes());
        let mut not_stored = Vec::new();
        for message in messages {
            let needed = self.max_bytes_of(&message.accepted);
            if !not_stored.is_empty() || self.reserved_bytes + needed > max_reserved_bytes {
                not_stored.push(message);
                continue;
            }
            self.reserved_bytes += needed;
            self.messages.insert(self.next_number, message);
            self.next_number += 1;
        }
        if let Err(error) = self.compact() {
            self.messages = messages_before;
            self.reserved_bytes = reserved_before;
            self.next_number = next_before;
            return Err(error);
        }
        Ok(not_stored)
    }

    /// Returns the upper bound of the bytes that a message needs in a new file, including all its future
    /// attempts and outcomes.
    pub(crate) fn max_bytes_of(&self, accepted: &AcceptedMessage) -> u64 {
        let text = (accepted.id.len() + accepted.metadata.len() + accepted.body.len()) as u64;
        let message = MAX_SMALL_RECORD_BYTES + 24 + text;
        let attempts = self.max_attempts * (2 * MAX_SMALL_RECORD_BYTES + self.max_zone_bytes);
        let outcomes = 2 * MAX_SMALL_RECORD_BYTES;
        message + attempts + outcomes
    }

    /// Returns whether the log with `more_in_log` additional bytes and a new file with `more_reserved`
    /// additional bytes together fit within the size limit.
    pub(crate) fn fits(&self, more_in_log: usize, more_reserved: u64) -> bool {
        let pending = self.pending.len() as u64 + more_in_log as u64;
        let log = self.written_bytes + MAX_BATCH_OVERHEAD_BYTES + pending;
        let new_log = MAX_FORMAT_RECORD_BYTES + self.ended_ids_bytes() + self.reserved_bytes + more_reserved;
        round_up_to_blocks(log) + round_up_to_blocks(new_log) <= self.max_bytes || self.written_bytes == 0
    }

    /// Returns the size of the ended ids in a new file, in bytes.
    fn ended_ids_bytes(&self) -> u64 {
        (self.ended_ids.len() * ENDED_ID_RECORD_BYTES) as u64
    }

    /// Writes all messages to a new file that replaces the log. This commits them.
    pub(crate) fn compact(&mut self) -> io::Result<()> {
        self.write_new_log(self.next_number)?;
        self.pending.clear();
        self.first_uncommitted = self.next_number;
        Ok(())
    }

    /// Like [`Spool::compact`], but in the middle of a step: messages accepted since the last commit stay
    /// pending, because their commit may fail.
    pub(crate) fn compact_committed(&mut self) -> io::Result<()> {
        self.write_new_log(self.first_uncommitted)?;
        self.pending.clear();
        for (number, message) in self.messages.range(self.first_uncommitted..) {
            for payload in encode_message(*number, message) {
                self.pending.push(&payload);
            }
        }
        Ok(())
    }

    /// Writes the messages with numbers below `end` to a new file that replaces the log.
    fn write_new_log(&mut self, end: u64) -> io::Result<()> {
        let bytes = self.encode_messages_below(end);
        let new_path = self.dir.join(NEW_SPOOL_FILE);
        let mut file = OpenOptions::new().create(true).append(true).open(&new_path)?;
        file.set_len(0)?;
        let written = file.write_all(&bytes);
        let replaced = written.and_then(|()| fs::rename(&new_path, self.dir.join(SPOOL_FILE)));
        if let Err(error) = replaced {
            let _ = fs::remove_file(&new_path);
            return Err(error);
        }
        self.file = file;
        self.written_bytes = bytes.len() as u64;
        self.has_torn_tail = false;
        self.salt = None;
        Ok(())
    }

    /// Returns a log that holds only the ended ids and the messages with numbers below `end`.
    fn encode_messages_below(&self, end: u64) -> Vec<u8> {
        let mut bytes = frame(&encode_format());
        for ended in self.ended_ids.iter() {
            bytes.extend(frame(&encode_ended_id(ended)));
        }
        for (number, message) in self.messages.range(..end) {
            for payload in encode_message(*number, message) {
                bytes.extend(frame(&payload));
            }
        }
        bytes
    }
}

/// Returns the payloads of all records of a message.
fn encode_message(number: u64, message: &StoredMessage) -> Vec<Vec<u8>> {
    let mut records = vec![encode_accepted(number, &message.accepted)];
    for attempt in &message.attempts {
        records.push(encode_attempt(number, attempt));
        if !attempt.may_have_run {
            records.push(encode_not_processed(number));
        }
    }
    records.extend(message.pending_outcome.map(|outcome| encode_outcome(number, outcome)));
    records
}

/// Returns the maximum number of ended ids in a log with this size limit in bytes.
pub(crate) fn max_ended_ids(max_bytes: u64) -> usize {
    let fitting = max_bytes / ENDED_IDS_DIVISOR / ENDED_ID_RECORD_BYTES as u64;
    usize::try_from(fitting).unwrap_or(usize::MAX).min(MAX_ENDED_IDS)
}

/// Returns the disk space that a file of this size takes, in bytes.
pub(crate) fn round_up_to_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}
