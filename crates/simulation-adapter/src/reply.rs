//! Replies: encodes the actions of the policy as records of the wire protocol.

use crate::wire::{ENDPOINT_ID_BYTES, LENGTH_BYTES};
use mountshift::interface::*;
use std::time::Duration;

/// Codes of the records of a reply, as defined by the wire protocol.
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

/// The reply being written. Collects the actions of one instance after another.
pub(crate) struct Reply {
    bytes: Vec<u8>,
    instance: u32,
}

/// Encodes a duration in microseconds. A duration too long for the field becomes the largest value.
fn microseconds(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

fn endpoint_bytes(endpoint: EndpointId) -> [u8; ENDPOINT_ID_BYTES] {
    let mut bytes = [0; ENDPOINT_ID_BYTES];
    bytes.copy_from_slice(&endpoint.0.to_le_bytes()[..ENDPOINT_ID_BYTES]);
    bytes
}

impl Reply {
    /// Creates a reply without records.
    pub(crate) fn new() -> Reply {
        Reply { bytes: vec![0; LENGTH_BYTES], instance: 0 }
    }

    /// Sets the instance to which the following actions belong.
    pub(crate) fn begin_instance(&mut self, instance: u32) {
        self.instance = instance;
    }

    /// Fills in the length and returns the complete reply.
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
    fn send(&mut self, message: MessageId, endpoint: EndpointId, timeout: Duration) {
        // On the wire a timeout of zero means no timeout.
        let timeout = timeout.max(Duration::from_micros(1));
        let fields: [&[u8]; 3] =
            [&message.0.to_le_bytes(), &endpoint_bytes(endpoint), &microseconds(timeout)];
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

    /// Does nothing: the wire protocol uses the endpoint ids directly, so the adapter keeps no state for
    /// them.
    fn forget_endpoint(&mut self, _endpoint: EndpointId) {}

    fn wake_after(&mut self, delay: Duration) {
        // The timer's id follows; the adapter needs only one.
        self.record(ReplyCode::WakeAfter, &[&microseconds(delay), &[0; 4]]);
    }

    fn poll_endpoints(&mut self) {
        self.record(ReplyCode::PollEndpoints, &[&[1]]);
    }

    fn log(&mut self, line: &str) {
        let text = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
        self.record(ReplyCode::Log, &[&(text.len() as u16).to_le_bytes(), text]);
    }
}
