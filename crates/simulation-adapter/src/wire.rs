//! Reading and writing the wire's fields.

use mountshift::interface::*;
use std::time::Duration;

pub const START: u16 = 256;
pub const CHANGE: u16 = 258;
pub const STOP: u16 = 259;
pub const WITHDRAWN: u16 = 260;
pub const OUTCOME: u16 = 261;
pub const ALARM: u16 = 262;
pub const LIST: u16 = 263;
pub const PROBED: u16 = 265;
pub const MESSAGE: u16 = 266;

pub const LIST_FAILED: u8 = 1;
pub const LIST_DELTA: u8 = 2;
/// Bytes of a list's entry.
pub const ENTRY: usize = 24;

pub fn event_name(code: u16) -> &'static str {
    match code {
        START => "HELLO",
        CHANGE => "ROSTER_CHANGE",
        STOP => "SHUTDOWN",
        WITHDRAWN => "HANGUP",
        OUTCOME => "OUTCOME",
        ALARM => "ALARM",
        LIST => "ROSTER",
        PROBED => "SAMPLED",
        MESSAGE => "NEW_REQUEST",
        _ => "unknown event",
    }
}

/// Takes fields off the front, in order; says what is missing and where.
pub struct Cursor<'a> {
    left: &'a [u8],
    of: &'static str,
}

macro_rules! numbers {
    ($($name:ident)*) => {$(
        pub fn $name(&mut self, what: &str) -> Result<$name, String> {
            let bytes = self.bytes(size_of::<$name>(), what)?;
            Ok($name::from_le_bytes(bytes.try_into().map_err(|_| "a field's size is off")?))
        }
    )*};
}

impl<'a> Cursor<'a> {
    pub fn new(left: &'a [u8], of: &'static str) -> Cursor<'a> {
        Cursor { left, of }
    }

    pub fn bytes(&mut self, n: usize, what: &str) -> Result<&'a [u8], String> {
        let (taken, left) = self
            .left
            .split_at_checked(n)
            .ok_or_else(|| format!("{}: {what} wants {n} bytes, {} are left", self.of, self.left.len()))?;
        self.left = left;
        Ok(taken)
    }

    numbers!(u8 u16 u32 u64 f32);

    pub fn endpoint(&mut self, what: &str) -> Result<EndpointId, String> {
        let mut wide = [0; 8];
        wide[..6].copy_from_slice(self.bytes(6, what)?);
        Ok(EndpointId(u64::from_le_bytes(wide)))
    }
}

/// The reply being written; takes the decisions of the instance named in `relay`.
pub struct Reply {
    bytes: Vec<u8>,
    pub relay: u32,
}

fn micros(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

impl Reply {
    pub fn new() -> Reply {
        Reply { bytes: vec![0; 4], relay: 0 }
    }

    pub fn finish(&mut self) -> &[u8] {
        let length = (self.bytes.len() - 4) as u32;
        self.bytes[..4].copy_from_slice(&length.to_le_bytes());
        &self.bytes
    }

    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        let length: usize = 4 + fields.iter().map(|f| f.len()).sum::<usize>();
        self.bytes.extend(code.to_le_bytes());
        self.bytes.extend((length as u32).to_le_bytes());
        self.bytes.extend(self.relay.to_le_bytes());
        self.bytes.extend(fields.iter().copied().flatten());
    }
}

impl Actions for Reply {
    fn send(&mut self, msg: MessageId, to: EndpointId, limit: Duration) {
        // On the wire a limit of zero means none.
        let limit = limit.max(Duration::from_micros(1));
        self.record(263, &[&msg.0.to_le_bytes(), &to.0.to_le_bytes()[..6], &micros(limit)]);
    }

    fn reject(&mut self, msg: MessageId, pause: Duration) -> bool {
        self.record(261, &[&msg.0.to_le_bytes(), &micros(pause)]);
        true
    }

    fn fail(&mut self, msg: MessageId) -> bool {
        self.record(257, &[&msg.0.to_le_bytes()]);
        true
    }

    fn cancel(&mut self, msg: MessageId, leg: AttemptNumber) {
        self.record(267, &[&msg.0.to_le_bytes(), &[leg.0]]);
    }

    fn close_idle_connections(&mut self, to: EndpointId) {
        self.record(256, &[&to.0.to_le_bytes()[..6]]);
    }

    /// The wire's ids stand for themselves.
    fn forget_endpoint(&mut self, _endpoint: EndpointId) {}

    fn wake_after(&mut self, after: Duration) {
        self.record(258, &[&micros(after), &[0; 4]]);
    }

    fn poll_endpoints(&mut self) {
        self.record(262, &[&[1]]);
    }

    fn log(&mut self, line: &str) {
        let text = &line.as_bytes()[..line.len().min(u16::MAX as usize)];
        self.record(264, &[&(text.len() as u16).to_le_bytes(), text]);
    }
}
