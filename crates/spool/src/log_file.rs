//! The log file and the messages in it: opens and replays the log, appends records, commits.

use crate::batch::{Batch, encode_salt_record, new_salt};
use crate::compaction::{NEW_SPOOL_FILE, max_ended_ids, round_up_to_blocks};
use crate::ended_ids::{EndedId, EndedIds};
use crate::error::SpoolError;
use crate::message::{AcceptedMessage, AttemptRecord, FinalOutcome, StoredMessage};
use crate::record::{
    Record, encode_accepted, encode_attempt, encode_format, encode_not_processed, encode_outcome,
    encode_removed, frame,
};
use crate::replay::replay;
use log::warn;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Name of the log file in its folder.
pub const SPOOL_FILE: &str = "spool.log";

/// The open log. Messages are identified by numbers, which increase in the order in which messages were
/// accepted. Changes are kept in memory until [`Spool::commit`] writes them.
pub struct Spool {
    pub(crate) dir: PathBuf,
    pub(crate) file: File,
    /// Length in bytes of the complete part of the log.
    pub(crate) written_bytes: u64,
    /// Whether the file may continue after `written_bytes` with data of a write that failed or was cut short.
    /// Nothing is appended until that data is removed.
    pub(crate) has_torn_tail: bool,
    /// Secret number with which the heads of batches are checked; `None` until the first batch.
    pub(crate) salt: Option<u32>,
    /// Records that are not written yet.
    pub(crate) pending: Batch,
    /// Size limit in bytes of the log and a new log file together.
    pub(crate) max_bytes: u64,
    /// Upper bound of the length of a zone's name, in bytes.
    pub(crate) max_zone_bytes: u64,
    pub(crate) max_attempts: u64,
    /// Messages that are not finished, by number.
    pub(crate) messages: BTreeMap<u64, StoredMessage>,
    /// Upper bound of the bytes that these messages need in a new file, including all their future attempts
    /// and outcomes.
    pub(crate) reserved_bytes: u64,
    /// Number of the next message.
    pub(crate) next_number: u64,
    /// Messages from this number on were accepted since the last commit.
    pub(crate) first_uncommitted: u64,
    /// Messages in the log that had ended when it was opened, the earliest end first.
    pub(crate) ended: Vec<AcceptedMessage>,
    /// Ids of messages that ended recently.
    pub(crate) ended_ids: EndedIds,
}

impl Spool {
    /// Opens the log in `dir` and reads the messages that are not finished. Data of an interrupted write at its
    /// end is ignored, and removed before the next write. The files take at most `max_bytes`. A message may have
    /// up to `max_attempts` attempts, to zones with names of up to `max_zone_bytes` bytes.
    ///
    /// # Errors
    /// If the folder can't be used, or if the log holds complete records that this version can't read (such
    /// as those of a newer format); the log is then left unchanged.
    pub fn open(
        dir: &Path,
        max_bytes: u64,
        max_attempts: u64,
        max_zone_bytes: u64,
    ) -> Result<Spool, SpoolError> {
        if let Err(error) = remove_if_present(&dir.join(NEW_SPOOL_FILE)) {
            // The file takes up space until the next compaction overwrites it.
            warn!("spool: can't remove the leftover {NEW_SPOOL_FILE}: {error}");
        }
        let path = dir.join(SPOOL_FILE);
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
            ended: Vec::new(),
            ended_ids: EndedIds::with_limit(max_ended_ids(max_bytes)),
        };
        let log = replay(&bytes)?;
        for record in log.records {
            spool.apply(record);
        }
        if log.skipped_bytes > 0 {
            warn!("spool: skipped {} unreadable bytes; the records after them were read", log.skipped_bytes);
        }
        let torn_bytes = bytes.len() - log.complete_bytes;
        if torn_bytes > 0 {
            // A process exited during a write, so that the data was never committed.
            warn!(
                "spool: dropped {torn_bytes} bytes of an interrupted write at offset {}",
                log.complete_bytes
            );
        }
        spool.has_torn_tail = torn_bytes > 0;
        spool.written_bytes = log.complete_bytes as u64;
        spool.salt = log.salt;
        spool.first_uncommitted = spool.next_number;
        spool.reserved_bytes = spool.messages.values().map(|m| spool.max_bytes_of(&m.accepted)).sum();
        Ok(spool)
    }

    /// Returns the messages that are not finished, by number, which is the order in which they were accepted.
    pub fn messages(&self) -> &BTreeMap<u64, StoredMessage> {
        &self.messages
    }

    /// Takes the messages that had ended before the log was opened, as far as the log still holds them. Their ids
    /// must not be used again, so the caller has to pass them to [`Spool::record_ended`]. A message that was
    /// withdrawn before it could run is not among them.
    pub fn take_ended(&mut self) -> Vec<AcceptedMessage> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the ids of the messages that ended recently.
    pub fn ended_ids(&self) -> &EndedIds {
        &self.ended_ids
    }

    /// Records the id of a message that has ended; compactions keep it.
    pub fn record_ended(&mut self, ended: EndedId) {
        self.ended_ids.push(ended);
    }

    /// Returns the message with this number, or `None` if it is finished.
    pub fn get(&self, number: u64) -> Option<&StoredMessage> {
        self.messages.get(&number)
    }

    /// Accepts a message and returns its new number, or `None` if there may be too little space for the
    /// message with all its future attempts and outcomes.
    pub fn accept(&mut self, accepted: AcceptedMessage) -> Option<u64> {
        let number = self.next_number;
        let needed = self.max_bytes_of(&accepted);
        let record = encode_accepted(number, &accepted);
        // A tenth of the space stays free so that a nearly full log is not compacted for every message.
        let max_reserved_bytes = (self.max_bytes / 2).saturating_sub(self.max_bytes / 20);
        if self.reserved_bytes + needed > max_reserved_bytes {
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
    /// If the file can't be written; the attempts are then discarded, and no later commit writes them.
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

    /// Returns whether recorded changes are not committed yet.
    pub fn has_uncommitted(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Records that the endpoint did not process the last attempt.
    pub fn record_not_processed(&mut self, number: u64) {
        let last = self.messages.get_mut(&number).and_then(|message| message.attempts.last_mut());
        if let Some(attempt) = last {
            attempt.may_have_run = false;
            self.append(&encode_not_processed(number));
        }
    }

    /// Records a final outcome whose notification is pending until [`Spool::remove`].
    pub fn record_outcome(&mut self, number: u64, outcome: FinalOutcome) {
        if let Some(message) = self.messages.get_mut(&number) {
            message.pending_outcome = Some(outcome);
            self.append(&encode_outcome(number, outcome));
        }
    }

    /// Removes a finished message with all its attempts and outcomes.
    pub fn remove(&mut self, number: u64) {
        if let Some(message) = self.messages.remove(&number) {
            self.reserved_bytes -= self.max_bytes_of(&message.accepted);
            self.append(&encode_removed(number));
        }
    }

    /// Writes all changes recorded since the last commit, or none of them. Until this returns, no message
    /// accepted since then survives the end of the process.
    ///
    /// # Errors
    /// If the file can't be written. The changes stay pending; a process that reads the log finds none of
    /// them.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        if self.has_torn_tail && !self.truncate_torn_tail() {
            // The log can't be truncated: a new file replaces it.
            return self.compact();
        }
        if !self.fits(0, 0) {
            return self.compact();
        }
        let (salt, header) = self.log_header();
        let offset = self.written_bytes + header.len() as u64;
        let bytes = [header, self.pending.encode(salt, offset)].concat();
        if let Err(error) = self.file.write_all(&bytes) {
            self.has_torn_tail = true;
            self.truncate_torn_tail();
            return Err(error);
        }
        self.salt = Some(salt);
        self.written_bytes += bytes.len() as u64;
        self.pending.clear();
        self.first_uncommitted = self.next_number;
        Ok(())
    }

    /// Returns the log's salt, and the records to write in front of the next batch if the log has no salt
    /// yet.
    fn log_header(&self) -> (u32, Vec<u8>) {
        if let Some(salt) = self.salt {
            return (salt, Vec::new());
        }
        let salt = new_salt();
        let mut header = Vec::new();
        if self.written_bytes == 0 {
            header.extend(frame(&encode_format()));
        }
        header.extend(encode_salt_record(salt));
        (salt, header)
    }

    /// Truncates the file after the last complete record; returns false if that fails. A record written
    /// behind torn data could not be distinguished from the rest of that data.
    fn truncate_torn_tail(&mut self) -> bool {
        let truncated = self.file.set_len(self.written_bytes);
        if let Err(error) = &truncated {
            warn!("spool: can't remove the data of a failed write: {error}");
        }
        self.has_torn_tail = truncated.is_err();
        truncated.is_ok()
    }

    /// Returns the disk space that the log takes now, in bytes, rounded up to whole blocks.
    pub fn size(&self) -> u64 {
        round_up_to_blocks(self.written_bytes)
    }

    fn append(&mut self, payload: &[u8]) {
        self.pending.push(payload);
    }

    /// Applies one record of the log. Records of finished messages have no effect.
    fn apply(&mut self, record: Record) {
        if let Record::EndedId(ended) = record {
            self.ended_ids.push(ended);
        }
        let Some(number) = record.message_number() else { return };
        self.mark_used(number);
        match record {
            Record::Accepted { message, .. } => {
                self.messages.insert(number, StoredMessage::new(message));
            }
            Record::Removed { .. } => {
                let removed = self.messages.remove(&number);
                self.ended
                    .extend(removed.filter(StoredMessage::uses_up_its_id).map(|stored| stored.accepted));
            }
            progress => {
                if let Some(message) = self.messages.get_mut(&number) {
                    message.apply(progress);
                }
            }
        }
    }

    /// Advances the next number beyond a number in the log. Guards against a number used twice.
    fn mark_used(&mut self, number: u64) {
        self.next_number = self.next_number.max(number + 1);
    }
}

fn remove_if_present(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
