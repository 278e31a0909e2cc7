//! Reads a log back: which records stand in it, where what is whole ends.
//!
//! Records that were committed together count together or not at all: a write that was cut short leaves no part of
//! them. An unreadable record costs itself only: what follows it is looked for. In a log with a salt that is the next
//! head of a batch, which no client can forge by what it submits; in older logs, and in the part that a compaction
//! wrote, the next record.

use crate::error::SpoolError;
use crate::record::{FORMAT, Record, skip_first_record, split_first_record};

/// What a log holds.
#[derive(Debug, Default)]
pub(crate) struct ReplayedLog {
    /// The records, in order; those that only structure the log are left out.
    pub(crate) records: Vec<Record>,
    /// Where what is whole ends, in bytes.
    pub(crate) whole_bytes: usize,
    /// The log's salt.
    pub(crate) salt: Option<u32>,
    /// Bytes in front of that end that can't be read.
    pub(crate) skipped_bytes: usize,
}

/// Reads a log.
///
/// # Errors
/// If it holds a whole record that this program does not know, or is of a newer format.
pub(crate) fn replay(bytes: &[u8]) -> Result<ReplayedLog, SpoolError> {
    let mut log = ReplayedLog::default();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some((payload, after)) = split_first_record(&bytes[offset..]) else {
            let Some(next) = next_readable(bytes, offset + 1, log.salt) else { break };
            log.skipped_bytes += next - offset;
            offset = next;
            continue;
        };
        let next = bytes.len() - after.len();
        // Guards against the log of a newer program: what is whole and can't be read must not be dropped as if it
        // were a torn tail.
        match Record::decode(payload) {
            None => return Err(SpoolError::UnknownRecord { offset }),
            Some(Record::Format(format)) if format > FORMAT => {
                return Err(SpoolError::NewerFormat { offset, format });
            }
            Some(Record::Format(_)) => offset = next,
            Some(Record::Salt(salt)) => {
                log.salt = Some(salt);
                offset = next;
            }
            Some(Record::Batch(head)) => {
                let length = log.salt.and_then(|salt| head.length_at(salt, offset as u64));
                let Some(length) = length else {
                    offset = next;
                    continue;
                };
                // Cut short: none of what was written together counts.
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
    log.whole_bytes = offset;
    Ok(log)
}

/// Reads the records of a batch; how many bytes of it can't be read.
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

/// Where the next thing that can be read begins, from `from` on.
fn next_readable(bytes: &[u8], from: usize, salt: Option<u32>) -> Option<usize> {
    (from..bytes.len()).find(|offset| {
        let record = split_first_record(&bytes[*offset..]).and_then(|(payload, _)| Record::decode(payload));
        match (record, salt) {
            (Some(Record::Batch(head)), Some(salt)) => head.length_at(salt, *offset as u64).is_some(),
            (Some(_), None) => true,
            _ => false,
        }
    })
}
