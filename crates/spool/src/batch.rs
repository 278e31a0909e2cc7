//! Records that are not written yet and will be written together.

use crate::record::{BatchHead, encode_batch_head, encode_salt, frame};
use std::hash::{BuildHasher, RandomState};

/// Records to be written together.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    records: Vec<u8>,
}

impl Batch {
    pub(crate) fn push(&mut self, payload: &[u8]) {
        self.records.extend(frame(payload));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of the records in bytes.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Removes the records that were pushed since the batch had this length in bytes.
    pub(crate) fn truncate(&mut self, bytes: usize) {
        self.records.truncate(bytes);
    }

    pub(crate) fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns the batch as written at `offset` in a log with this salt.
    pub(crate) fn encode(&self, salt: u32, offset: u64) -> Vec<u8> {
        let mut bytes = frame(&encode_batch_head(BatchHead::new(salt, offset, self.records.len())));
        bytes.extend(&self.records);
        bytes
    }
}

/// Returns a random salt for a log that has none.
pub(crate) fn new_salt() -> u32 {
    RandomState::new().hash_one(0) as u32
}

/// Returns the salt's record as written in the log.
pub(crate) fn encode_salt_record(salt: u32) -> Vec<u8> {
    frame(&encode_salt(salt))
}
