//! Access to the control file, which is mapped into the process.

use mountshift_faults::{
    CONTROL_BYTES, CONTROL_VARIABLE, ControlWord, FULL_RATE, SystemCall, SystemCallWord, system_call_word,
};
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The fault to inject into a system call, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// Call the original function.
    Pass,
    /// Fail with this error number.
    Fail(i32),
    /// Write only half of the bytes.
    PartialWrite,
    /// Write only half of the bytes, then end the process as SIGKILL does.
    PartialWriteAndKill,
}

/// Words of the control file; `None` if the process has no control file.
static WORDS: OnceLock<Option<&'static [AtomicU64]>> = OnceLock::new();
/// State of the pseudo-random numbers. A fixed seed is enough: failures only have to be spread over the calls.
static RANDOM: AtomicU64 = AtomicU64::new(0x9E37_79B9_7F4A_7C15);

/// Maps the file that the environment variable names. Uses raw system calls, because this library replaces the
/// functions of the C library.
fn map() -> Option<&'static [AtomicU64]> {
    let path = CString::new(std::env::var(CONTROL_VARIABLE).ok()?).ok()?;
    // SAFETY: plain system calls; the mapping is never removed, has the requested length, and holds only integers that
    // are read and written atomically.
    unsafe {
        let descriptor = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR);
        if descriptor < 0 {
            return None;
        }
        let address = libc::mmap(
            std::ptr::null_mut(),
            CONTROL_BYTES,
            libc::PROT_READ | libc::PROT_WRITE,
            libc::MAP_SHARED,
            descriptor as i32,
            0,
        );
        libc::syscall(libc::SYS_close, descriptor);
        if address == libc::MAP_FAILED {
            return None;
        }
        Some(std::slice::from_raw_parts(address.cast(), CONTROL_BYTES / size_of::<AtomicU64>()))
    }
}

fn word(index: usize) -> u64 {
    let words = WORDS.get_or_init(map);
    words.map_or(0, |words| words[index].load(Ordering::Relaxed))
}

/// Returns the nanoseconds by which the wall clock is ahead of the machine's.
pub(crate) fn wall_clock_offset() -> i64 {
    word(ControlWord::WallClockOffset as usize) as i64
}

/// Returns the milliseconds by which to delay this write to a socket.
pub(crate) fn socket_write_delay_ms() -> u64 {
    if should_inject(word(ControlWord::SocketWriteDelayRate as usize)) {
        word(ControlWord::SocketWriteDelayMs as usize)
    } else {
        0
    }
}

/// Returns the milliseconds by which to delay the calling thread after this read of a clock.
pub(crate) fn clock_read_delay_ms() -> u64 {
    if should_inject(word(ControlWord::ClockReadDelayRate as usize)) {
        word(ControlWord::ClockReadDelayMs as usize)
    } else {
        0
    }
}

/// Returns the milliseconds by which to delay this write to a file, and counts the write if it is delayed.
pub(crate) fn file_write_delay_ms() -> u64 {
    let milliseconds = word(ControlWord::FileWriteDelayMs as usize);
    if milliseconds > 0
        && let Some(words) = WORDS.get_or_init(map)
    {
        words[ControlWord::DelayedFileWrites as usize].fetch_add(1, Ordering::Relaxed);
    }
    milliseconds
}

/// Chooses the fault to inject into this call, and counts it.
pub(crate) fn choose_fault(call: SystemCall) -> InjectedFault {
    let read = |part: SystemCallWord| word(system_call_word(call, part));
    let fault = if should_inject(read(SystemCallWord::PartialWriteKillRate)) {
        InjectedFault::PartialWriteAndKill
    } else if should_inject(read(SystemCallWord::PartialWriteRate)) {
        InjectedFault::PartialWrite
    } else if should_inject(read(SystemCallWord::FailRate)) {
        InjectedFault::Fail(read(SystemCallWord::Errno) as i32)
    } else {
        InjectedFault::Pass
    };
    if fault != InjectedFault::Pass
        && let Some(words) = WORDS.get_or_init(map)
    {
        words[system_call_word(call, SystemCallWord::Injected)].fetch_add(1, Ordering::Relaxed);
    }
    fault
}

/// Returns true for `rate` of 1,000 calls, chosen pseudo-randomly.
fn should_inject(rate: u64) -> bool {
    rate > 0 && (rate >= FULL_RATE || next_random() % FULL_RATE < rate)
}

/// Returns the next number of an xorshift64 generator.
fn next_random() -> u64 {
    let mut value = RANDOM.load(Ordering::Relaxed);
    value ^= value << 13;
    value ^= value >> 7;
    value ^= value << 17;
    RANDOM.store(value, Ordering::Relaxed);
    value
}
