//! Writes the control file.

use crate::{
    CONTROL_BYTES, ControlWord, FULL_RATE, SystemCall, SystemCallWord, WORD_BYTES, system_call_word,
};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How a system call fails. Rates are parts of 1,000 calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SystemCallFault {
    /// The error number of a call that fails.
    pub errno: i32,
    /// Calls that fail.
    pub fail_rate: u64,
    /// Writes that are done by half.
    pub partial_write_rate: u64,
    /// Writes that are done by half before the process is killed.
    pub partial_write_kill_rate: u64,
}

impl SystemCallFault {
    /// Every call fails with this error number.
    pub fn always(errno: i32) -> SystemCallFault {
        SystemCallFault { errno, fail_rate: FULL_RATE, ..SystemCallFault::default() }
    }
}

/// The control file of one process, or of several that fail alike.
#[derive(Debug)]
pub struct FaultControl {
    path: PathBuf,
    file: File,
}

impl FaultControl {
    /// Makes a control file in which nothing fails.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn create(path: &Path) -> io::Result<FaultControl> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(FaultControl { path: path.to_path_buf(), file })
    }

    /// Where the file is: the value of [`crate::CONTROL_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Steps the wall clock: from now on it is so many milliseconds ahead of the machine's; behind, if negative.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_wall_clock_offset_ms(&self, milliseconds: i64) -> io::Result<()> {
        self.set(ControlWord::WallClockOffset as usize, (milliseconds * 1_000_000) as u64)
    }

    /// Holds so many of 1,000 writes to sockets up for a span.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_socket_write_delay(&self, hold: Duration, rate: u64) -> io::Result<()> {
        self.set(ControlWord::SocketWriteDelayMs as usize, hold.as_millis() as u64)?;
        self.set(ControlWord::SocketWriteDelayRate as usize, rate)
    }

    /// Holds the process up for a span behind so many of 1,000 reads of a clock.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_clock_read_delay(&self, hold: Duration, rate: u64) -> io::Result<()> {
        self.set(ControlWord::ClockReadDelayMs as usize, hold.as_millis() as u64)?;
        self.set(ControlWord::ClockReadDelayRate as usize, rate)
    }

    /// Holds each write to a file up for a span.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_file_write_delay(&self, hold: Duration) -> io::Result<()> {
        self.set(ControlWord::FileWriteDelayMs as usize, hold.as_millis() as u64)
    }

    /// Writes to files that have been held up so far, the one that is held up now included.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn delayed_file_writes(&self) -> io::Result<u64> {
        self.get(ControlWord::DelayedFileWrites as usize)
    }

    /// From now on the system call fails like this; as it should by itself, with the default.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_system_call_fault(&self, call: SystemCall, fault: SystemCallFault) -> io::Result<()> {
        self.set(system_call_word(call, SystemCallWord::Errno), fault.errno as u64)?;
        self.set(system_call_word(call, SystemCallWord::FailRate), fault.fail_rate)?;
        self.set(system_call_word(call, SystemCallWord::PartialWriteRate), fault.partial_write_rate)?;
        self.set(system_call_word(call, SystemCallWord::PartialWriteKillRate), fault.partial_write_kill_rate)
    }

    /// Faults injected into a system call so far.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn injected_count(&self, call: SystemCall) -> io::Result<u64> {
        self.get(system_call_word(call, SystemCallWord::Injected))
    }

    fn get(&self, index: usize) -> io::Result<u64> {
        let mut bytes = [0; WORD_BYTES];
        self.file.read_exact_at(&mut bytes, (index * WORD_BYTES) as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    fn set(&self, index: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (index * WORD_BYTES) as u64)
    }
}
