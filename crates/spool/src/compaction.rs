//! The log written anew: which of it is still needed, and how much space that takes at most. Together the old
//! and the new file stay within the limit.

use crate::log_file::{FILE_NAME, Spool};
use crate::message::{AcceptedMessage, StoredMessage};
use crate::record::{
    BATCH_OVERHEAD_BYTES, MAX_SMALL_RECORD_BYTES, encode_accepted, encode_attempt, encode_format,
    encode_not_run, encode_outcome, frame,
};
use std::fs::{self, OpenOptions};
use std::io::{self, Write};

/// The fresh file, until it replaces the log.
pub(crate) const NEW_FILE_NAME: &str = "spool.new";
/// Files count in whole blocks of this size, in bytes.
const BLOCK_BYTES: u64 = 512;
/// Bytes of the format record at most.
const MAX_FORMAT_RECORD_BYTES: u64 = MAX_SMALL_RECORD_BYTES;
/// Bytes at most that a batch takes in the log beside its records, the first one's head of the log included.
const MAX_BATCH_HEAD_BYTES: u64 = MAX_FORMAT_RECORD_BYTES + BATCH_OVERHEAD_BYTES as u64;

impl Spool {
    /// Replaces all messages by these, numbered anew from 1 in the order given, in a fresh file that takes the
    /// place of the log by rename. For a handover, before any number was used. Messages that don't fit within
    /// the limit are not stored and come back, in the order given.
    ///
    /// # Errors
    /// If the fresh file can't be written; the log is then as it was.
    pub fn replace_all(&mut self, messages: Vec<StoredMessage>) -> io::Result<Vec<StoredMessage>> {
        let messages_before = std::mem::take(&mut self.messages);
        let reserved_before = self.reserved_bytes;
        let next_before = self.next_number;
        self.reserved_bytes = 0;
        self.next_number = 1;
        let mut left_over = Vec::new();
        for message in messages {
            let needed = self.max_bytes_of(&message.accepted);
            if !left_over.is_empty() || self.reserved_bytes + needed > self.max_bytes / 2 {
                left_over.push(message);
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
        Ok(left_over)
    }

    /// Bytes that a message takes at most in a fresh file, with all its attempts and outcomes to come.
    pub(crate) fn max_bytes_of(&self, accepted: &AcceptedMessage) -> u64 {
        let text = (accepted.id.len() + accepted.metadata.len() + accepted.body.len()) as u64;
        let message = MAX_SMALL_RECORD_BYTES + 24 + text;
        let attempts = self.max_attempts * (2 * MAX_SMALL_RECORD_BYTES + self.max_zone_bytes);
        let outcomes = 2 * MAX_SMALL_RECORD_BYTES;
        message + attempts + outcomes
    }

    /// True if the log with `more_in_log` bytes more and a fresh file with `more_reserved` bytes more fit
    /// within the limit together.
    pub(crate) fn fits(&self, more_in_log: usize, more_reserved: u64) -> bool {
        let pending = self.pending.len() as u64 + more_in_log as u64;
        let log = self.written_bytes + MAX_BATCH_HEAD_BYTES + pending;
        let fresh = MAX_FORMAT_RECORD_BYTES + self.reserved_bytes + more_reserved;
        whole_blocks(log) + whole_blocks(fresh) <= self.max_bytes || self.written_bytes == 0
    }

    /// Writes all messages to a fresh file, which takes the place of the old one: this commits them.
    pub(crate) fn compact(&mut self) -> io::Result<()> {
        self.write_fresh_log(self.next_number)?;
        self.pending.clear();
        self.first_uncommitted = self.next_number;
        Ok(())
    }

    /// As [`Spool::compact`], in the middle of a step: what was accepted since the last commit stays pending, as that
    /// commit may fail.
    pub(crate) fn compact_committed(&mut self) -> io::Result<()> {
        self.write_fresh_log(self.first_uncommitted)?;
        self.pending.clear();
        for (number, message) in self.messages.range(self.first_uncommitted..) {
            for payload in encode_message(*number, message) {
                self.pending.push(&payload);
            }
        }
        Ok(())
    }

    /// Writes the messages numbered below `end` to a fresh file, which takes the place of the log.
    fn write_fresh_log(&mut self, end: u64) -> io::Result<()> {
        let bytes = self.encode_below(end);
        let new_path = self.dir.join(NEW_FILE_NAME);
        let mut file = OpenOptions::new().create(true).append(true).open(&new_path)?;
        file.set_len(0)?;
        let written = file.write_all(&bytes);
        let replaced = written.and_then(|()| fs::rename(&new_path, self.dir.join(FILE_NAME)));
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

    /// A log that holds the messages numbered below `end` and nothing else.
    fn encode_below(&self, end: u64) -> Vec<u8> {
        let mut bytes = frame(&encode_format());
        for (number, message) in self.messages.range(..end) {
            for payload in encode_message(*number, message) {
                bytes.extend(frame(&payload));
            }
        }
        bytes
    }
}

/// All records of a message.
fn encode_message(number: u64, message: &StoredMessage) -> Vec<Vec<u8>> {
    let mut records = vec![encode_accepted(number, &message.accepted)];
    for attempt in &message.attempts {
        records.push(encode_attempt(number, attempt));
        if !attempt.may_have_run {
            records.push(encode_not_run(number));
        }
    }
    records.extend(message.pending_outcome.map(|outcome| encode_outcome(number, outcome)));
    records
}

/// What a file of so many bytes takes on disk.
pub(crate) fn whole_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}
