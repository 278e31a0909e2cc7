//! The simulator's wire protocol: record codes, and the fields of a record.

use crate::error::AdapterError;
use mountshift::interface::EndpointId;
use std::rc::Rc;
use std::time::Duration;

/// Size in bytes of the length at the start of a frame and of a reply.
pub(crate) const LENGTH_BYTES: usize = size_of::<u32>();
/// Number of slots for endpoint lists, as defined by the wire protocol.
pub(crate) const LIST_SLOTS: usize = 16;
/// Size in bytes of an entry of an endpoint list, as defined by the wire protocol.
pub(crate) const LIST_ENTRY_BYTES: usize = 24;
/// Size in bytes of an endpoint's id on the wire, which is little-endian.
pub(crate) const ENDPOINT_ID_BYTES: usize = 6;

/// The encoded entries of an endpoint list.
pub(crate) type EndpointList = Rc<[u8]>;

/// A time on the wire's clock, in microseconds.
#[derive(Clone, Copy)]
pub(crate) struct WireTime(pub(crate) u64);

impl WireTime {
    pub(crate) fn since(self, start: WireTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(start.0))
    }
}

/// Types of the records that the adapter reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordCode {
    /// Starts a policy instance.
    Start,
    /// The endpoint list of an instance changed.
    ListChanged,
    /// Stops an instance.
    Stop,
    /// The client withdrew a message.
    Withdrawn,
    /// An attempt ended.
    AttemptEnded,
    /// The timer that an instance requested has expired.
    Timer,
    /// An endpoint list. Later list changes refer to it by its slot.
    EndpointList,
    /// A sample of an endpoint's load, which the policy does not use.
    Sample,
    /// A message was submitted.
    Submitted,
}

impl RecordCode {
    /// Returns the type for a code, or `None` if the adapter skips such records.
    pub(crate) fn from_wire(code: u16) -> Option<RecordCode> {
        match code {
            256 => Some(RecordCode::Start),
            258 => Some(RecordCode::ListChanged),
            259 => Some(RecordCode::Stop),
            260 => Some(RecordCode::Withdrawn),
            261 => Some(RecordCode::AttemptEnded),
            262 => Some(RecordCode::Timer),
            263 => Some(RecordCode::EndpointList),
            265 => Some(RecordCode::Sample),
            266 => Some(RecordCode::Submitted),
            _ => None,
        }
    }

    /// Returns the name of the record in the wire protocol, for error messages.
    pub(crate) fn wire_name(self) -> &'static str {
        match self {
            RecordCode::Start => "HELLO",
            RecordCode::ListChanged => "ROSTER_CHANGE",
            RecordCode::Stop => "SHUTDOWN",
            RecordCode::Withdrawn => "HANGUP",
            RecordCode::AttemptEnded => "OUTCOME",
            RecordCode::Timer => "ALARM",
            RecordCode::EndpointList => "ROSTER",
            RecordCode::Sample => "SAMPLED",
            RecordCode::Submitted => "NEW_REQUEST",
        }
    }
}

/// Reads the fields of a record in order. An error names the missing field and its record.
#[derive(Clone)]
pub(crate) struct Cursor<'a> {
    remaining: &'a [u8],
    record: &'static str,
}

impl<'a> Cursor<'a> {
    /// Creates a cursor over the bytes of the record with this name.
    pub(crate) fn new(bytes: &'a [u8], record: &'static str) -> Cursor<'a> {
        Cursor { remaining: bytes, record }
    }

    fn missing(&self, field: &'static str, needed: usize) -> AdapterError {
        AdapterError::MissingField { record: self.record, field, needed, remaining: self.remaining.len() }
    }

    pub(crate) fn bytes(&mut self, needed: usize, field: &'static str) -> Result<&'a [u8], AdapterError> {
        let Some((taken, remaining)) = self.remaining.split_at_checked(needed) else {
            return Err(self.missing(field, needed));
        };
        self.remaining = remaining;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], AdapterError> {
        let Some((taken, remaining)) = self.remaining.split_first_chunk::<N>() else {
            return Err(self.missing(field, N));
        };
        self.remaining = remaining;
        Ok(*taken)
    }

    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, AdapterError> {
        Ok(u8::from_le_bytes(self.array(field)?))
    }

    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, AdapterError> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }

    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, AdapterError> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }

    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, AdapterError> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }

    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f32, AdapterError> {
        Ok(f32::from_le_bytes(self.array(field)?))
    }

    pub(crate) fn endpoint(&mut self, field: &'static str) -> Result<EndpointId, AdapterError> {
        let mut id = [0; size_of::<u64>()];
        id[..ENDPOINT_ID_BYTES].copy_from_slice(self.bytes(ENDPOINT_ID_BYTES, field)?);
        Ok(EndpointId(u64::from_le_bytes(id)))
    }
}
