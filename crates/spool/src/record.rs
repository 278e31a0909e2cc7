//! Records of the log as bytes.

use crate::message::{AcceptedMessage, AttemptRecord, FinalOutcome};

/// The format of the log. Logs without a head record are of format 0, which differs in that alone; format 1
/// has no time of taking in its messages, which format 2 appends to each.
pub(crate) const FORMAT: u64 = 2;

const HEADER: usize = 8;

/// No record is larger: a guard against reading a torn length.
const RECORD_MOST: usize = 1 << 20;

/// Bytes of a record without text: header, tag, number, and at most two more numbers.
pub(crate) const SMALL: u64 = HEADER as u64 + 1 + 8 + 16;

/// Bytes of the head record at most.
pub(crate) const HEAD: u64 = SMALL;

pub(crate) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// The first record's content and what follows it; none if it is not whole.
pub(crate) fn record(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, after) = bytes.split_first_chunk::<4>()?;
    let (sum, after) = after.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let (payload, after) = after.split_at_checked(length).filter(|_| length <= RECORD_MOST)?;
    (crc32fast::hash(payload) == u32::from_le_bytes(*sum)).then_some((payload, after))
}

pub(crate) fn small(tag: u8, n: u64) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend(n.to_le_bytes());
    bytes
}

pub(crate) fn message(n: u64, accepted: &AcceptedMessage) -> Vec<u8> {
    let mut bytes = small(b'M', n);
    [accepted.key, accepted.deadline].iter().for_each(|x| bytes.extend(x.to_le_bytes()));
    [&accepted.id[..], accepted.metadata.as_bytes(), &accepted.body].iter().for_each(|t| text(&mut bytes, t));
    bytes.extend(accepted.accepted_at_us.to_le_bytes());
    bytes
}

pub(crate) fn leg_out(n: u64, leg: &AttemptRecord) -> Vec<u8> {
    let mut bytes = small(b'L', n);
    bytes.extend(leg.at.to_le_bytes());
    text(&mut bytes, leg.zone.as_bytes());
    bytes
}

pub(crate) fn owed(n: u64, end: FinalOutcome) -> Vec<u8> {
    let mut bytes = small(b'F', n);
    let pause = if let FinalOutcome::Rejected(pause) = end { pause } else { u64::MAX };
    bytes.extend(pause.to_le_bytes());
    bytes
}

pub(crate) fn text(bytes: &mut Vec<u8>, text: &[u8]) {
    bytes.extend((text.len() as u32).to_le_bytes());
    bytes.extend(text);
}

pub(crate) struct Fields<'a>(pub(crate) &'a [u8]);

impl<'a> Fields<'a> {
    pub(crate) fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (taken, left) = self.0.split_at_checked(n)?;
        self.0 = left;
        Some(taken)
    }

    pub(crate) fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }

    pub(crate) fn text(&mut self) -> Option<&'a [u8]> {
        let n = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        self.take(n as usize)
    }
}
