//! Access to the control file.

use crate::{
    CONTROL_BYTES, ControlWord, FULL_RATE, SystemCall, SystemCallWord, WORD_BYTES, system_call_word,
};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Faults of a system call. Rates are numbers of affected calls per 1,000.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SystemCallFault {
    /// Error number of a failed call.
    pub errno: i32,
    /// Rate of calls that fail.
    pub fail_rate: u64,
    /// Rate of writes that write only half of the bytes.
    pub partial_write_rate: u64,
    /// Rate of writes that write only half of the bytes and then kill the process.
    pub partial_write_kill_rate: u64,
}

impl SystemCallFault {
    /// Returns a fault that makes every call fail with this error number.
    pub fn always(errno: i32) -> SystemCallFault {
        SystemCallFault { errno, fail_rate: FULL_RATE, ..SystemCallFault::default() }
    }
}

/// Control file of one process, or of several processes with the same faults.
#[derive(Debug)]
pub struct FaultControl {
    path: PathBuf,
    file: File,
}

impl FaultControl {
    /// Creates a control file without faults.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn create(path: &Path) -> io::Result<FaultControl> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(FaultControl { path: path.to_path_buf(), file })
    }

    /// Returns the path of the file, the value for [`crate::CONTROL_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets the number of milliseconds by which the wall clock is ahead of the machine's, or behind it if negative.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_wall_clock_offset_ms(&self, milliseconds: i64) -> io::Result<()> {
        self.set(ControlWord::WallClockOffset as usize, (milliseconds * 1_000_000) as u64)
    }

    /// Delays `rate` of 1,000 writes to sockets.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_socket_write_delay(&self, delay: Duration, rate: u64) -> io::Result<()> {
        self.set(ControlWord::SocketWriteDelayMs as usize, delay.as_millis() as u64)?;
        self.set(ControlWord::SocketWriteDelayRate as usize, rate)
    }

    /// Delays the reading thread after `rate` of 1,000 reads of a clock.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_clock_read_delay(&self, delay: Duration, rate: u64) -> io::Result<()> {
        self.set(ControlWord::ClockReadDelayMs as usize, delay.as_millis() as u64)?;
        self.set(ControlWord::ClockReadDelayRate as usize, rate)
    }

    /// Delays each write to a file.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_file_write_delay(&self, delay: Duration) -> io::Result<()> {
        self.set(ControlWord::FileWriteDelayMs as usize, delay.as_millis() as u64)
    }

    /// Returns the number of writes to files delayed so far, including a write that is being delayed.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn delayed_file_writes(&self) -> io::Result<u64> {
        self.get(ControlWord::DelayedFileWrites as usize)
    }

    /// Sets the faults of a system call. The default value injects none.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_system_call_fault(&self, call: SystemCall, fault: SystemCallFault) -> io::Result<()> {
        self.set(system_call_word(call, SystemCallWord::Errno), fault.errno as u64)?;
        self.set(system_call_word(call, SystemCallWord::FailRate), fault.fail_rate)?;
        self.set(system_call_word(call, SystemCallWord::PartialWriteRate), fault.partial_write_rate)?;
        self.set(system_call_word(call, SystemCallWord::PartialWriteKillRate), fault.partial_write_kill_rate)
    }

    /// Returns the number of faults injected into a system call so far.
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
