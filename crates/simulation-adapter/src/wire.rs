//! The simulator's wire: record codes, and the fields of a record.

use crate::error::AdapterError;
use mountshift::interface::EndpointId;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of the length that opens a frame, of the input and of a reply.
pub(crate) const LENGTH_BYTES: usize = size_of::<u32>();
/// Slots that hold endpoint lists, as the wire defines.
pub(crate) const LIST_SLOTS: usize = 16;
/// Bytes of an entry of an endpoint list, as the wire defines.
pub(crate) const LIST_ENTRY_BYTES: usize = 24;
/// Bytes of an endpoint's id on the wire, the low ones first.
pub(crate) const ENDPOINT_ID_BYTES: usize = 6;

/// The entries of an endpoint list as they came.
pub(crate) type EndpointList = Rc<[u8]>;

/// A time of the wire's clock, in microseconds.
#[derive(Clone, Copy)]
pub(crate) struct WireTime(pub(crate) u64);

impl WireTime {
    pub(crate) fn since(self, start: WireTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(start.0))
    }
}

/// The records of a frame that the adapter reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordCode {
    /// An instance of the decisions starts.
    Start,
    /// Its endpoint list changed.
    ListChanged,
    /// An instance stops.
    Stop,
    /// A message was withdrawn by its client.
    Withdrawn,
    /// An attempt ended.
    AttemptEnded,
    /// The time for which an instance asked to be woken has come.
    Timer,
    /// An endpoint list, to which later list changes refer by its slot.
    EndpointList,
    /// A sample of an endpoint's load, which the decisions don't read.
    Sample,
    /// A message was submitted.
    Submitted,
}

impl RecordCode {
    /// None for records that the adapter skips.
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

    /// The record's name in the wire's words, for error messages.
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

/// Takes fields off the front of a record, in order; an error says what is missing and where.
#[derive(Clone)]
pub(crate) struct Cursor<'a> {
    left: &'a [u8],
    record: &'static str,
}

impl<'a> Cursor<'a> {
    /// A cursor over the bytes of the record with this name.
    pub(crate) fn new(bytes: &'a [u8], record: &'static str) -> Cursor<'a> {
        Cursor { left: bytes, record }
    }

    fn missing(&self, field: &'static str, wanted: usize) -> AdapterError {
        AdapterError::MissingField { record: self.record, field, wanted, left: self.left.len() }
    }

    pub(crate) fn bytes(&mut self, wanted: usize, field: &'static str) -> Result<&'a [u8], AdapterError> {
        let Some((taken, left)) = self.left.split_at_checked(wanted) else {
            return Err(self.missing(field, wanted));
        };
        self.left = left;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], AdapterError> {
        let Some((taken, left)) = self.left.split_first_chunk::<N>() else {
            return Err(self.missing(field, N));
        };
        self.left = left;
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
