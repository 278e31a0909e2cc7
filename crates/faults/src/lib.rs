//! The control file of the fault injection. It selects which system calls of a process fail, how often, and the offset
//! of the process's wall clock. A test or the soak writes it with [`FaultControl`]. The library
//! `mountshift-fault-shim`, preloaded into a relay, maps the file and applies a change from the next call on.
//!
//! The file is a table of 64-bit words in native byte order: the words of [`ControlWord`], then
//! [`WORDS_PER_SYSTEM_CALL`] words for each [`SystemCall`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod control;
mod system_call;

pub use control::{FaultControl, SystemCallFault};
pub use system_call::{ParseSystemCallError, SystemCall};

/// Environment variable with the path of the control file, read by the shim.
pub const CONTROL_VARIABLE: &str = "MOUNTSHIFT_FAULTS";
/// Size of the control file in bytes.
pub const CONTROL_BYTES: usize = 4096;
/// Size of a word in bytes.
pub const WORD_BYTES: usize = 8;
/// Number of words per system call, see [`SystemCallWord`].
pub const WORDS_PER_SYSTEM_CALL: usize = 5;
/// Index of the first word of the first system call.
pub const FIRST_SYSTEM_CALL_WORD: usize = 8;
/// Rate at which every call is affected. Rates are numbers of affected calls per 1,000.
pub const FULL_RATE: u64 = 1000;

/// Indexes of the words that are not specific to a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum ControlWord {
    /// Nanoseconds by which the wall clock is ahead of the machine's, negative if it is behind.
    WallClockOffset = 0,
    /// Delay of a write to a socket, in milliseconds.
    SocketWriteDelayMs = 1,
    /// Number of delayed writes to sockets per 1,000.
    SocketWriteDelayRate = 2,
    /// Delay of each write to a file, in milliseconds.
    FileWriteDelayMs = 3,
    /// Number of writes to files delayed so far; written by the shim.
    DelayedFileWrites = 4,
    /// Delay of the reading thread after a read of a clock, in milliseconds.
    ClockReadDelayMs = 5,
    /// Number of delayed reads of a clock per 1,000.
    ClockReadDelayRate = 6,
}

/// Indexes of the words of a system call, relative to its first word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum SystemCallWord {
    /// Error number of a failed call.
    Errno = 0,
    /// Number of calls that fail, per 1,000.
    FailRate = 1,
    /// Number of writes per 1,000 that write only half of the bytes, without an error.
    PartialWriteRate = 2,
    /// Number of writes per 1,000 that write only half of the bytes and then kill the process.
    PartialWriteKillRate = 3,
    /// Number of faults injected so far; written by the shim.
    Injected = 4,
}

/// Returns the index of a word of a system call.
pub fn system_call_word(call: SystemCall, word: SystemCallWord) -> usize {
    FIRST_SYSTEM_CALL_WORD + call as usize * WORDS_PER_SYSTEM_CALL + word as usize
}
