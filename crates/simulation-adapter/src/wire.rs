//! The simulator's wire: record codes, fields of a frame, and replies.

use mountshift::interface::*;
use std::error::Error;
use std::io;
use std::time::Duration;

/// What is wrong with the input, or kept a reply from going out; its message is one plain line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Standard input can't be read.
    #[error("reading a frame: {0}")]
    ReadFrame(#[source] io::Error),
    /// Standard output can't be written.
    #[error("writing a reply: {0}")]
    WriteReply(#[source] io::Error),
    /// The input ends inside the length that opens a frame.
    #[error("frame: input ends after {received} of {LENGTH_BYTES} bytes of its length")]
    TruncatedLength { received: usize },
    /// The input ends inside a frame.
    #[error("frame: input ends after {received} of {length} bytes")]
    TruncatedFrame { received: usize, length: u32 },
    /// The frame is shorter than its own header.
    #[error("frame: {length} bytes, too short for its header")]
    FrameWithoutHeader { length: usize },
    /// A record, or the frame, ends before one of its fields.
    #[error("{record}: {field} wants {wanted} bytes, {left} are left")]
    MissingField { record: &'static str, field: &'static str, wanted: usize, left: usize },
    /// An endpoint list names a slot that does not exist.
    #[error("ROSTER: slot {slot} is over {}", LIST_SLOTS - 1)]
    UnknownSlot { slot: u8 },
    /// The settings of an instance are not text.
    #[error("HELLO: options are not UTF-8")]
    OptionsNotText,
    /// The settings of an instance are refused.
    #[error("HELLO: {0}")]
    Settings(#[source] Box<dyn Error + Send + Sync>),
    /// A list change names a slot into which no list has come.
    #[error("ROSTER_CHANGE: names a list that has not come")]
    MissingList,
    /// An attempt ended in a way that the wire does not define.
    #[error("OUTCOME: code {code} is not known")]
    UnknownOutcome { code: u8 },
}

/// Bytes of the length that opens a frame, of the input and of a reply.
pub(crate) const LENGTH_BYTES: usize = size_of::<u32>();
/// Slots that hold endpoint lists, as the wire defines.
pub(crate) const LIST_SLOTS: usize = 16;
/// Bytes of an entry of an endpoint list, as the wire defines.
pub(crate) const LIST_ENTRY_BYTES: usize = 24;
/// Bytes of an endpoint's id on the wire, the low ones first.
const ENDPOINT_ID_BYTES: usize = 6;

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

/// The records of a reply; the numbers are the wire's.
#[derive(Clone, Copy)]
enum ReplyCode {
    CloseIdleConnections = 256,
    Fail = 257,
    WakeAfter = 258,
    Reject = 261,
    PollEndpoints = 262,
    Send = 263,
    Log = 264,
    Cancel = 267,
}

/// The reply being written; takes the decisions of one instance after another.
pub(crate) struct Reply {
    bytes: Vec<u8>,
    instance: u32,
}

/// A span as the wire tells it; one too long for its field becomes the longest.
fn microseconds(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

fn endpoint_bytes(endpoint: EndpointId) -> [u8; ENDPOINT_ID_BYTES] {
    let mut bytes = [0; ENDPOINT_ID_BYTES];
    bytes.copy_from_slice(&endpoint.0.to_le_bytes()[..ENDPOINT_ID_BYTES]);
    bytes
}

impl Reply {
    /// A reply without records.
    pub(crate) fn new() -> Reply {
        Reply { bytes: vec![0; LENGTH_BYTES], instance: 0 }
    }

    /// Names the instance whose decisions come next.
    pub(crate) fn begin_instance(&mut self, instance: u32) {
        self.instance = instance;
    }

    /// Fills in the length; the bytes are then ready to be written.
    pub(crate) fn finish(&mut self) -> &[u8] {
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        &self.bytes
    }

    fn record(&mut self, code: ReplyCode, fields: &[&[u8]]) {
        let instance = self.instance.to_le_bytes();
        let length = instance.len() + fields.iter().map(|field| field.len()).sum::<usize>();
        self.bytes.extend((code as u16).to_le_bytes());
        self.bytes.extend((length as u32).to_le_bytes());
        self.bytes.extend(instance);
        self.bytes.extend(fields.iter().copied().flatten());
    }
}

impl Actions for Reply {
    fn send(&mut self, message: MessageId, endpoint: EndpointId, limit: Duration) {
        // On the wire a limit of zero means none.
        let limit = limit.max(Duration::from_micros(1));
        let fields: [&[u8]; 3] = [&message.0.to_le_bytes(), &endpoint_bytes(endpoint), &microseconds(limit)];
        self.record(ReplyCode::Send, &fields);
    }

    fn reject(&mut self, message: MessageId, retry_after: Duration) -> bool {
        self.record(ReplyCode::Reject, &[&message.0.to_le_bytes(), &microseconds(retry_after)]);
        true
    }

    fn fail(&mut self, message: MessageId) -> bool {
        self.record(ReplyCode::Fail, &[&message.0.to_le_bytes()]);
        true
    }

    fn cancel(&mut self, message: MessageId, attempt: AttemptNumber) {
        self.record(ReplyCode::Cancel, &[&message.0.to_le_bytes(), &[attempt.0]]);
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.record(ReplyCode::CloseIdleConnections, &[&endpoint_bytes(endpoint)]);
    }

    /// The wire's ids stand for themselves, so there is nothing to forget.
    fn forget_endpoint(&mut self, _endpoint: EndpointId) {}

    fn wake_after(&mut self, span: Duration) {
        // The timer's id follows; the adapter needs only one.
        self.record(ReplyCode::WakeAfter, &[&microseconds(span), &[0; 4]]);
    }

    fn poll_endpoints(&mut self) {
        self.record(ReplyCode::PollEndpoints, &[&[1]]);
    }

    fn log(&mut self, line: &str) {
        let text = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
        self.record(ReplyCode::Log, &[&(text.len() as u16).to_le_bytes(), text]);
    }
}
