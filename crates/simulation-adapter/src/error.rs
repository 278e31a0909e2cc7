//! Errors of the adapter.

use crate::wire::{LENGTH_BYTES, LIST_SLOTS};
use std::error::Error;
use std::io;

/// An error in the input, or in reading the input or writing a reply. Each message is one line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Standard input can't be read.
    #[error("can't read a frame: {0}")]
    ReadFrame(#[source] io::Error),
    /// Standard output can't be written.
    #[error("can't write a reply: {0}")]
    WriteReply(#[source] io::Error),
    /// The input ends inside the length at the start of a frame.
    #[error("frame: input ends after {received} of {LENGTH_BYTES} bytes of its length")]
    TruncatedLength { received: usize },
    /// The input ends inside a frame.
    #[error("frame: input ends after {received} of {length} bytes")]
    TruncatedFrame { received: usize, length: u32 },
    /// The frame is shorter than its own header.
    #[error("frame: {length} bytes, too short for its header")]
    FrameWithoutHeader { length: usize },
    /// A record, or the frame, ends before one of its fields.
    #[error("{record}: {field} needs {needed} bytes, {remaining} remain")]
    MissingField { record: &'static str, field: &'static str, needed: usize, remaining: usize },
    /// An endpoint list names a slot that does not exist.
    #[error("ROSTER: slot {slot} is greater than {}", LIST_SLOTS - 1)]
    UnknownSlot { slot: u8 },
    /// The settings of an instance are not text.
    #[error("HELLO: options are not UTF-8")]
    OptionsNotText,
    /// The settings of an instance are invalid.
    #[error("HELLO: {0}")]
    Settings(#[source] Box<dyn Error + Send + Sync>),
    /// A list change refers to a slot that holds no list.
    #[error("ROSTER_CHANGE: the slot holds no list")]
    MissingList,
    /// The outcome of an attempt has a code that the wire protocol does not define.
    #[error("OUTCOME: unknown code {code}")]
    UnknownOutcome { code: u8 },
}
