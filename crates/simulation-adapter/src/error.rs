//! What is wrong with the input.

use crate::wire::{LENGTH_BYTES, LIST_SLOTS};
use std::error::Error;
use std::io;

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
