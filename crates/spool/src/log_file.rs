//! The log file and the messages in it: opening and replaying, appending, committing.

use crate::batch::{Batch, encode_salt_record, new_salt};
use crate::compaction::{NEW_FILE_NAME, whole_blocks};
use crate::error::SpoolError;
use crate::message::{AcceptedMessage, AttemptRecord, FinalOutcome, StoredMessage};
use crate::record::{
    Record, encode_accepted, encode_attempt, encode_format, encode_not_run, encode_outcome, encode_removed,
    frame,
};
use crate::replay::replay;
use log::warn;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The log's file in its folder.
pub const FILE_NAME: &str = "spool.log";

/// The open log. A message goes by a number; numbers grow in the order in which messages were accepted.
/// Changes are kept in memory until [`Spool::commit`] writes them.
pub struct Spool {
    pub(crate) dir: PathBuf,
    pub(crate) file: File,
    /// Bytes of the log that are whole.
    pub(crate) written_bytes: u64,
    /// Bytes may follow these in the file that belong to no record: a write that failed or was cut short. Nothing is
    /// written before they are gone.
    pub(crate) has_torn_tail: bool,
    /// The number that heads of batches are checked with; none until the first batch.
    pub(crate) salt: Option<u32>,
    /// Records that are not written yet.
    pub(crate) pending: Batch,
    /// What the log and a fresh one may take together.
    pub(crate) max_bytes: u64,
    /// Bytes of a zone's name at most.
    pub(crate) max_zone_bytes: u64,
    pub(crate) max_attempts: u64,
    /// Messages that are not over, by number.
    pub(crate) messages: BTreeMap<u64, StoredMessage>,
    /// What these take at most in a fresh file, with all their attempts and outcomes to come.
    pub(crate) reserved_bytes: u64,
    /// The number of the next message.
    pub(crate) next_number: u64,
    /// Messages from this number on were accepted since the last commit.
    pub(crate) first_uncommitted: u64,
}

impl Spool {
    /// Opens the log in `dir` and reads the messages that are not over; a torn tail is dropped. The files take
    /// `max_bytes` at most; a message may have `max_attempts` attempts, at zones with names of
    /// `max_zone_bytes` bytes at most.
    ///
    /// # Errors
    /// If the folder can't be used, or the log holds whole records that this version can't read (of a newer
    /// format, say); the log is then left as it is.
    pub fn open(
        dir: &Path,
        max_bytes: u64,
        max_attempts: u64,
        max_zone_bytes: u64,
    ) -> Result<Spool, SpoolError> {
        if let Err(error) = remove_if_present(&dir.join(NEW_FILE_NAME)) {
            // It takes room, and is written over by the next compaction.
            warn!("spool: {NEW_FILE_NAME} is left over: {error}");
        }
        let path = dir.join(FILE_NAME);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let bytes = fs::read(&path)?;
        let mut spool = Spool {
            dir: dir.to_path_buf(),
            file,
            written_bytes: 0,
            has_torn_tail: false,
            salt: None,
            pending: Batch::default(),
            max_bytes,
            max_zone_bytes,
            max_attempts,
            messages: BTreeMap::new(),
            reserved_bytes: 0,
            next_number: 1,
            first_uncommitted: 1,
        };
        let log = replay(&bytes)?;
        for record in log.records {
            spool.apply(record);
        }
        if log.skipped_bytes > 0 {
            warn!("spool: {} bytes can't be read; what follows them is", log.skipped_bytes);
        }
        let torn_bytes = bytes.len() - log.whole_bytes;
        if torn_bytes > 0 {
            // Cut short by the end of a process: it was never committed.
            warn!("spool: dropped a torn tail of {torn_bytes} bytes after {}", log.whole_bytes);
        }
        spool.has_torn_tail = torn_bytes > 0;
        spool.written_bytes = log.whole_bytes as u64;
        spool.salt = log.salt;
        spool.first_uncommitted = spool.next_number;
        spool.reserved_bytes = spool.messages.values().map(|m| spool.max_bytes_of(&m.accepted)).sum();
        Ok(spool)
    }

    /// The messages that are not over, by number: in the order in which they were accepted.
    pub fn messages(&self) -> &BTreeMap<u64, StoredMessage> {
        &self.messages
    }

    /// The message with this number, unless it is over.
    pub fn get(&self, number: u64) -> Option<&StoredMessage> {
        self.messages.get(&number)
    }

    /// Accepts a message under a new number; none if it is not sure to fit with all that may follow.
    pub fn accept(&mut self, accepted: AcceptedMessage) -> Option<u64> {
        let number = self.next_number;
        let needed = self.max_bytes_of(&accepted);
        let record = encode_accepted(number, &accepted);
        // A tenth stays free so that a nearly full log is not written anew for every message.
        let half = (self.max_bytes / 2).saturating_sub(self.max_bytes / 20);
        if self.reserved_bytes + needed > half {
            return None;
        }
        if !self.fits(record.len(), needed)
            && (self.compact_committed().is_err() || !self.fits(record.len(), needed))
        {
            return None;
        }
        self.reserved_bytes += needed;
        self.next_number += 1;
        self.pending.push(&record);
        self.messages.insert(number, StoredMessage::new(accepted));
        Some(number)
    }

    /// Records an attempt that is about to be sent at `at`, Unix time in milliseconds.
    pub fn record_attempt(&mut self, number: u64, zone: &str, at: u64) {
        let Some(message) = self.messages.get_mut(&number) else { return };
        let attempt = AttemptRecord { zone: zone.to_string(), at, may_have_run: true };
        let record = encode_attempt(number, &attempt);
        message.attempts.push(attempt);
        self.append(&record);
    }

    /// Records an attempt of each of these messages, about to be sent at `at`, and commits.
    ///
    /// # Errors
    /// If the file can't be written: then no attempt is recorded, now or later.
    pub fn record_and_commit_attempts(&mut self, numbers: &[u64], zone: &str, at: u64) -> io::Result<()> {
        let pending_before = self.pending.len();
        for number in numbers {
            self.record_attempt(*number, zone, at);
        }
        let committed = self.commit();
        if committed.is_err() {
            self.pending.truncate(pending_before);
            for number in numbers {
                if let Some(message) = self.messages.get_mut(number) {
                    message.attempts.pop();
                }
            }
        }
        committed
    }

    /// True if something recorded is not committed.
    pub fn has_uncommitted(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Records that the last attempt was not processed.
    pub fn record_not_processed(&mut self, number: u64) {
        let last = self.messages.get_mut(&number).and_then(|message| message.attempts.last_mut());
        if let Some(attempt) = last {
            attempt.may_have_run = false;
            self.append(&encode_not_run(number));
        }
    }

    /// Records a final outcome whose notification is pending until [`Spool::remove`].
    pub fn record_outcome(&mut self, number: u64, outcome: FinalOutcome) {
        if let Some(message) = self.messages.get_mut(&number) {
            message.pending_outcome = Some(outcome);
            self.append(&encode_outcome(number, outcome));
        }
    }

    /// The message is over: nothing of it is kept.
    pub fn remove(&mut self, number: u64) {
        if let Some(message) = self.messages.remove(&number) {
            self.reserved_bytes -= self.max_bytes_of(&message.accepted);
            self.append(&encode_removed(number));
        }
    }

    /// Writes what was recorded since the last call, all of it or nothing. Before this returns no message accepted since
    /// survives the process.
    ///
    /// # Errors
    /// If the file can't be written. What was recorded stays pending; a process that reads the log finds nothing of it.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        if self.has_torn_tail && !self.cut_torn_tail() {
            // The log can't be cut: a fresh one takes its place.
            return self.compact();
        }
        if !self.fits(0, 0) {
            return self.compact();
        }
        let (salt, head) = self.log_head();
        let offset = self.written_bytes + head.len() as u64;
        let bytes = [head, self.pending.encode(salt, offset)].concat();
        if let Err(error) = self.file.write_all(&bytes) {
            self.has_torn_tail = true;
            self.cut_torn_tail();
            return Err(error);
        }
        self.salt = Some(salt);
        self.written_bytes += bytes.len() as u64;
        self.pending.clear();
        self.first_uncommitted = self.next_number;
        Ok(())
    }

    /// The log's salt, and what has to stand in front of its first batch.
    fn log_head(&self) -> (u32, Vec<u8>) {
        if let Some(salt) = self.salt {
            return (salt, Vec::new());
        }
        let salt = new_salt();
        let mut head = Vec::new();
        if self.written_bytes == 0 {
            head.extend(frame(&encode_format()));
        }
        head.extend(encode_salt_record(salt));
        (salt, head)
    }

    /// Cuts off what follows the last whole record; false if that can't be done now. Written behind, a later record
    /// could not be told from the rest of the torn one.
    fn cut_torn_tail(&mut self) -> bool {
        let cut = self.file.set_len(self.written_bytes);
        if let Err(error) = &cut {
            warn!("spool: a torn tail can't be cut off: {error}");
        }
        self.has_torn_tail = cut.is_err();
        cut.is_ok()
    }

    /// The bytes that the log takes on disk now, in whole blocks.
    pub fn size(&self) -> u64 {
        whole_blocks(self.written_bytes)
    }

    fn append(&mut self, payload: &[u8]) {
        self.pending.push(payload);
    }

    /// Takes up one record of the log. Records of messages that are over change nothing.
    fn apply(&mut self, record: Record) {
        match record {
            Record::Format(_) | Record::Salt(_) | Record::Batch(_) => {}
            Record::Accepted { number, message } => {
                self.note_used(number);
                self.messages.insert(number, StoredMessage::new(message));
            }
            Record::Attempt { number, attempt } => {
                self.note_used(number);
                if let Some(message) = self.messages.get_mut(&number) {
                    message.attempts.push(attempt);
                }
            }
            Record::NotRun { number } => {
                self.note_used(number);
                let message = self.messages.get_mut(&number);
                if let Some(attempt) = message.and_then(|message| message.attempts.last_mut()) {
                    attempt.may_have_run = false;
                }
            }
            Record::Outcome { number, outcome } => {
                self.note_used(number);
                if let Some(message) = self.messages.get_mut(&number) {
                    message.pending_outcome = Some(outcome);
                }
            }
            Record::Removed { number } => {
                self.note_used(number);
                self.messages.remove(&number);
            }
        }
    }

    /// Guards against a number used twice.
    fn note_used(&mut self, number: u64) {
        self.next_number = self.next_number.max(number + 1);
    }
}

fn remove_if_present(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
