//! Reads a log back: its records, and the length of its complete part.
//!
//! Records that were committed together are read together or not at all: a truncated batch is dropped as a
//! whole. An unreadable record affects only itself: reading continues at the next readable position. In a log
//! with a salt that is the next valid head of a batch, which no client can forge by the content of a message.
//! In older logs, and in the part that a compaction wrote, it is the next record.

use crate::error::SpoolError;
use crate::record::{LOG_FORMAT, Record, skip_first_record, split_first_record};

/// The content of a log.
#[derive(Debug, Default)]
pub(crate) struct ReplayedLog {
    /// The records, in order, without those that only structure the log (format, salt, batch head).
    pub(crate) records: Vec<Record>,
    /// Length in bytes of the complete part of the log.
    pub(crate) complete_bytes: usize,
    /// The log's salt.
    pub(crate) salt: Option<u32>,
    /// Number of bytes of the complete part that can't be read.
    pub(crate) skipped_bytes: usize,
}

/// A position between two commits of a log, from which the log can be read on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogPosition {
    pub(crate) offset: u64,
    /// The log's salt, if it precedes the position.
    pub(crate) salt: Option<u32>,
}

/// Reads a whole log.
///
/// # Errors
/// If the log holds a complete record of unknown type, or is of a newer format.
pub(crate) fn replay(bytes: &[u8]) -> Result<ReplayedLog, SpoolError> {
    replay_from(bytes, LogPosition::default())
}

/// Reads the part of a log that begins at a position.
///
/// # Errors
/// If the part holds a complete record of unknown type, or is of a newer format.
pub(crate) fn replay_from(bytes: &[u8], start: LogPosition) -> Result<ReplayedLog, SpoolError> {
    let mut log = ReplayedLog { salt: start.salt, ..ReplayedLog::default() };
    let mut offset = 0;
    while offset < bytes.len() {
        let Some((payload, after)) = split_first_record(&bytes[offset..]) else {
            let Some(next) = next_readable_offset(bytes, offset + 1, log.salt, start.offset) else { break };
            log.skipped_bytes += next - offset;
            offset = next;
            continue;
        };
        let next = bytes.len() - after.len();
        // Guards against the log of a newer program: a complete record that can't be read must not be dropped
        // like a torn tail.
        match Record::decode(payload) {
            None => return Err(SpoolError::UnknownRecord { offset }),
            Some(Record::Format(format)) if format > LOG_FORMAT => {
                return Err(SpoolError::NewerFormat { offset, format });
            }
            Some(Record::Format(_)) => offset = next,
            Some(Record::Salt(salt)) => {
                log.salt = Some(salt);
                offset = next;
            }
            Some(Record::Batch(head)) => {
                let length = log.salt.and_then(|salt| head.length_at(salt, start.offset + offset as u64));
                let Some(length) = length else {
                    offset = next;
                    continue;
                };
                // The batch is truncated: all of its records are dropped.
                let Some(batch) = after.get(..length) else { break };
                log.skipped_bytes += read_batch(batch, &mut log.records);
                offset = next + length;
            }
            Some(record) => {
                log.records.push(record);
                offset = next;
            }
        }
    }
    log.complete_bytes = offset;
    Ok(log)
}

/// Appends the readable records of a batch to `records`; returns the number of bytes that can't be read.
fn read_batch(batch: &[u8], records: &mut Vec<Record>) -> usize {
    let mut rest = batch;
    let mut skipped = 0;
    while !rest.is_empty() {
        let Some(after) = skip_first_record(rest) else { return skipped + rest.len() };
        match split_first_record(rest).and_then(|(payload, _)| Record::decode(payload)) {
            Some(record) => records.push(record),
            None => skipped += rest.len() - after.len(),
        }
        rest = after;
    }
    skipped
}

/// Returns the offset, from `from` on, of the next valid batch head (in a log with a salt) or record (without
/// one). The bytes begin at `start` in the log.
fn next_readable_offset(bytes: &[u8], from: usize, salt: Option<u32>, start: u64) -> Option<usize> {
    (from..bytes.len()).find(|offset| {
        let record = split_first_record(&bytes[*offset..]).and_then(|(payload, _)| Record::decode(payload));
        match (record, salt) {
            (Some(Record::Batch(head)), Some(salt)) => head.length_at(salt, start + *offset as u64).is_some(),
            (Some(_), None) => true,
            _ => false,
        }
    })
}
