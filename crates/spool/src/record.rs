//! Encoding of the log's records. A record is framed by its length and checksum; its payload is a tag, the
//! number of a message, and fields that depend on the tag. All numbers are little-endian. No I/O.

use crate::ended_ids::EndedId;
use crate::message::{AcceptedMessage, AttemptRecord, FinalOutcome};

/// Format of the logs that this program writes. Format 0 has no format record, which format 1 added. Format 2
/// appends the time of acceptance to each message.
pub(crate) const LOG_FORMAT: u64 = 2;
/// Size in bytes of a frame's header: length and checksum.
const FRAME_HEADER_BYTES: usize = 8;
/// Largest valid payload size in bytes. Guards against a torn length field.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// Upper bound of the size of a record without text: frame header, tag, number, and at most two more numbers.
pub(crate) const MAX_SMALL_RECORD_BYTES: u64 = FRAME_HEADER_BYTES as u64 + 1 + 8 + 16;

const TAG_FORMAT: u8 = b'V';
/// Format number that marks the head of a batch. Earlier programs read such a record as the format record of
/// an older format and continue.
const BATCH_MARK: u64 = 0;
/// Format number that marks a salt record. Earlier programs read such a record as the format record of an
/// older format and continue.
const SALT_MARK: u64 = 1;
/// Format number that marks the id of an ended message. Earlier programs read such a record as the format record
/// of an older format and continue.
const ENDED_ID_MARK: u64 = 1;
/// Payload size of a format record in bytes. Format records, salts, batch heads and ended ids are distinguished
/// by their size.
const FORMAT_PAYLOAD_BYTES: usize = 9;
const SALT_PAYLOAD_BYTES: usize = FORMAT_PAYLOAD_BYTES + 4;
const BATCH_PAYLOAD_BYTES: usize = FORMAT_PAYLOAD_BYTES + 8;
const ENDED_ID_PAYLOAD_BYTES: usize = FORMAT_PAYLOAD_BYTES + 16;
/// Size of the record of an ended id in bytes.
pub(crate) const ENDED_ID_RECORD_BYTES: usize = FRAME_HEADER_BYTES + ENDED_ID_PAYLOAD_BYTES;
/// Bytes that a salt and the head of a batch add to a log.
pub(crate) const BATCH_OVERHEAD_BYTES: usize =
    2 * FRAME_HEADER_BYTES + SALT_PAYLOAD_BYTES + BATCH_PAYLOAD_BYTES;
const TAG_ACCEPTED: u8 = b'M';
const TAG_ATTEMPT: u8 = b'L';
const TAG_NOT_PROCESSED: u8 = b'N';
const TAG_OUTCOME: u8 = b'F';
const TAG_REMOVED: u8 = b'E';
/// Value written in place of a Retry-After for the outcome `Failed`.
const FAILED: u64 = u64::MAX;

/// A decoded payload.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Record {
    Format(u64),
    /// A secret number of the log. The heads of batches are checked with it, so that no client can forge one.
    Salt(u32),
    /// The head of a batch of records that were committed together.
    Batch(BatchHead),
    /// The id of a message that had ended before a compaction.
    EndedId(EndedId),
    Accepted {
        number: u64,
        message: AcceptedMessage,
    },
    Attempt {
        number: u64,
        attempt: AttemptRecord,
    },
    NotProcessed {
        number: u64,
    },
    Outcome {
        number: u64,
        outcome: FinalOutcome,
    },
    Removed {
        number: u64,
    },
}

impl Record {
    /// Returns the number of the message that the record is about, if it is about one.
    pub(crate) fn message_number(&self) -> Option<u64> {
        match self {
            Record::Format(_) | Record::Salt(_) | Record::Batch(_) | Record::EndedId(_) => None,
            Record::Accepted { number, .. }
            | Record::Attempt { number, .. }
            | Record::NotProcessed { number }
            | Record::Outcome { number, .. }
            | Record::Removed { number } => Some(*number),
        }
    }

    /// Decodes a payload; returns `None` if this program does not know its type.
    pub(crate) fn decode(payload: &[u8]) -> Option<Record> {
        let mut fields = Fields(payload);
        let tag = fields.take(1)?[0];
        let number = fields.u64()?;
        match (tag, number, payload.len()) {
            (TAG_FORMAT, SALT_MARK, SALT_PAYLOAD_BYTES) => return Some(Record::Salt(fields.u32()?)),
            (TAG_FORMAT, BATCH_MARK, BATCH_PAYLOAD_BYTES) => {
                let head = BatchHead { length: fields.u32()?, check: fields.u32()? };
                return Some(Record::Batch(head));
            }
            (TAG_FORMAT, ENDED_ID_MARK, ENDED_ID_PAYLOAD_BYTES) => {
                return Some(Record::EndedId(EndedId { id: fields.u64()?, content: fields.u64()? }));
            }
            _ => {}
        }
        match tag {
            TAG_FORMAT => Some(Record::Format(number)),
            TAG_ACCEPTED => Some(Record::Accepted { number, message: fields.message()? }),
            TAG_ATTEMPT => Some(Record::Attempt { number, attempt: fields.attempt()? }),
            TAG_NOT_PROCESSED => Some(Record::NotProcessed { number }),
            TAG_OUTCOME => Some(Record::Outcome { number, outcome: fields.outcome()? }),
            TAG_REMOVED => Some(Record::Removed { number }),
            _ => None,
        }
    }
}

/// The head of a batch of records that were committed together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BatchHead {
    /// Size in bytes of the records that follow.
    length: u32,
    /// Checksum that proves that the log's owner wrote the head at this offset.
    check: u32,
}

impl BatchHead {
    /// Returns the head of a batch of `length` bytes. The head's frame begins at `offset` in a log with this
    /// salt.
    pub(crate) fn new(salt: u32, offset: u64, length: usize) -> BatchHead {
        let length = length as u32;
        BatchHead { length, check: BatchHead::checksum(salt, offset, length) }
    }

    /// Returns the size in bytes of the records that follow, or `None` if the head does not belong to this
    /// offset in a log with this salt.
    pub(crate) fn length_at(self, salt: u32, offset: u64) -> Option<usize> {
        (self.check == BatchHead::checksum(salt, offset, self.length)).then_some(self.length as usize)
    }

    fn checksum(salt: u32, offset: u64, length: u32) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&salt.to_le_bytes());
        hasher.update(&offset.to_le_bytes());
        hasher.update(&length.to_le_bytes());
        hasher.finalize()
    }
}

/// Returns the framed payload.
pub(crate) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// Splits off the first record: returns its payload and the bytes that follow, or `None` if the record is
/// incomplete or its checksum is wrong.
pub(crate) fn split_first_record(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (payload, checksum, after) = split_first_frame(bytes)?;
    (crc32fast::hash(payload) == checksum).then_some((payload, after))
}

/// Returns the bytes that follow the first record, or `None` if its length is invalid. The record itself may
/// be unreadable.
pub(crate) fn skip_first_record(bytes: &[u8]) -> Option<&[u8]> {
    split_first_frame(bytes).map(|(_, _, after)| after)
}

/// Splits off the first frame: returns its payload, its checksum as written, and the bytes that follow.
fn split_first_frame(bytes: &[u8]) -> Option<(&[u8], u32, &[u8])> {
    let (length, after) = bytes.split_first_chunk::<4>()?;
    let (checksum, after) = after.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_RECORD_BYTES {
        return None;
    }
    let (payload, after) = after.split_at_checked(length)?;
    Some((payload, u32::from_le_bytes(*checksum), after))
}

pub(crate) fn encode_format() -> Vec<u8> {
    encode_tag_and_number(TAG_FORMAT, LOG_FORMAT)
}

pub(crate) fn encode_salt(salt: u32) -> Vec<u8> {
    let mut bytes = encode_tag_and_number(TAG_FORMAT, SALT_MARK);
    bytes.extend(salt.to_le_bytes());
    bytes
}

pub(crate) fn encode_batch_head(head: BatchHead) -> Vec<u8> {
    let mut bytes = encode_tag_and_number(TAG_FORMAT, BATCH_MARK);
    bytes.extend(head.length.to_le_bytes());
    bytes.extend(head.check.to_le_bytes());
    bytes
}

pub(crate) fn encode_ended_id(ended: EndedId) -> Vec<u8> {
    let mut bytes = encode_tag_and_number(TAG_FORMAT, ENDED_ID_MARK);
    bytes.extend(ended.id.to_le_bytes());
    bytes.extend(ended.content.to_le_bytes());
    bytes
}

pub(crate) fn encode_accepted(number: u64, message: &AcceptedMessage) -> Vec<u8> {
    let mut bytes = encode_tag_and_number(TAG_ACCEPTED, number);
    bytes.extend(message.key.to_le_bytes());
    bytes.extend(message.deadline.to_le_bytes());
    append_text(&mut bytes, &message.id);
    append_text(&mut bytes, message.metadata.as_bytes());
    append_text(&mut bytes, &message.body);
    bytes.extend(message.accepted_at_us.to_le_bytes());
    bytes
}

pub(crate) fn encode_attempt(number: u64, attempt: &AttemptRecord) -> Vec<u8> {
    let mut bytes = encode_tag_and_number(TAG_ATTEMPT, number);
    bytes.extend(attempt.at.to_le_bytes());
    append_text(&mut bytes, attempt.zone.as_bytes());
    bytes
}

pub(crate) fn encode_not_processed(number: u64) -> Vec<u8> {
    encode_tag_and_number(TAG_NOT_PROCESSED, number)
}

pub(crate) fn encode_outcome(number: u64, outcome: FinalOutcome) -> Vec<u8> {
    let retry_after_ms = match outcome {
        FinalOutcome::Failed => FAILED,
        FinalOutcome::Rejected(retry_after_ms) => retry_after_ms,
    };
    let mut bytes = encode_tag_and_number(TAG_OUTCOME, number);
    bytes.extend(retry_after_ms.to_le_bytes());
    bytes
}

pub(crate) fn encode_removed(number: u64) -> Vec<u8> {
    encode_tag_and_number(TAG_REMOVED, number)
}

fn encode_tag_and_number(tag: u8, number: u64) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend(number.to_le_bytes());
    bytes
}

fn append_text(bytes: &mut Vec<u8>, text: &[u8]) {
    bytes.extend((text.len() as u32).to_le_bytes());
    bytes.extend(text);
}

/// The part of a payload that is not decoded yet.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.take(4)?.try_into().ok()?))
    }

    fn text(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()?;
        self.take(length as usize)
    }

    fn string(&mut self) -> Option<String> {
        String::from_utf8(self.text()?.to_vec()).ok()
    }

    fn message(&mut self) -> Option<AcceptedMessage> {
        let key = self.u64()?;
        let deadline = self.u64()?;
        let id = self.text()?.to_vec();
        let metadata = self.string()?;
        let body = self.text()?.to_vec();
        // Messages of formats 0 and 1 end here.
        let accepted_at_us = if self.0.is_empty() { 0 } else { self.u64()? };
        Some(AcceptedMessage { id, key, metadata, deadline, body, accepted_at_us })
    }

    fn attempt(&mut self) -> Option<AttemptRecord> {
        let at = self.u64()?;
        let zone = self.string()?;
        Some(AttemptRecord { zone, at, may_have_run: true })
    }

    fn outcome(&mut self) -> Option<FinalOutcome> {
        match self.u64()? {
            FAILED => Some(FinalOutcome::Failed),
            retry_after_ms => Some(FinalOutcome::Rejected(retry_after_ms)),
        }
    }
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
