//! The control file of the fault injection: which system calls of a process fail, how often, and how far its wall
//! clock is off. A test or the soak writes it with [`FaultControl`]; the library `mountshift-fault-shim`, preloaded
//! into a relay, maps it and obeys it from the next call on.
//!
//! The file is a table of 64-bit words in the machine's byte order: the words of [`ControlWord`], then
//! [`WORDS_PER_SYSTEM_CALL`] words for each [`SystemCall`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod control;
mod system_call;

pub use control::{FaultControl, SystemCallFault};
pub use system_call::{ParseSystemCallError, SystemCall};

/// The environment variable that names the control file to the shim.
pub const CONTROL_VARIABLE: &str = "MOUNTSHIFT_FAULTS";
/// Bytes of the control file.
pub const CONTROL_BYTES: usize = 4096;
/// Bytes of a word.
pub const WORD_BYTES: usize = 8;
/// Words for each system call, see [`SystemCallWord`].
pub const WORDS_PER_SYSTEM_CALL: usize = 5;
/// Where the words of the first system call begin.
pub const FIRST_SYSTEM_CALL_WORD: usize = 8;
/// Rates count in parts of this.
pub const FULL_RATE: u64 = 1000;

/// Words that belong to no system call, by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum ControlWord {
    /// Nanoseconds by which the wall clock is ahead, signed.
    WallClockOffset = 0,
    /// Milliseconds for which a write to a socket is held up, ...
    SocketWriteDelayMs = 1,
    /// ... in so many of 1,000 writes.
    SocketWriteDelayRate = 2,
    /// Milliseconds for which each write to a file is held up.
    FileWriteDelayMs = 3,
    /// Written by the shim: writes to files held up so far.
    DelayedFileWrites = 4,
    /// Milliseconds for which the process is held up behind reading a clock, ...
    ClockReadDelayMs = 5,
    /// ... at so many of 1,000 reads.
    ClockReadDelayRate = 6,
}

/// Words of a system call, by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum SystemCallWord {
    /// The error number that the call fails with.
    Errno = 0,
    /// So many of 1,000 calls fail.
    FailRate = 1,
    /// So many of 1,000 writes are done by half, without an error.
    PartialWriteRate = 2,
    /// So many of 1,000 writes are done by half, and the process kills itself.
    PartialWriteKillRate = 3,
    /// Written by the shim: faults injected so far.
    Injected = 4,
}

/// The index of a word of a system call.
pub fn system_call_word(call: SystemCall, word: SystemCallWord) -> usize {
    FIRST_SYSTEM_CALL_WORD + call as usize * WORDS_PER_SYSTEM_CALL + word as usize
}
