//! The control file, mapped into the process.

use mountshift_faults::{
    CONTROL_BYTES, CONTROL_VARIABLE, ControlWord, FULL_RATE, SystemCall, SystemCallWord, system_call_word,
};
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// What a call has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// As without the shim.
    Pass,
    /// Fail with this error number.
    Fail(i32),
    /// Do half of the write.
    Short,
    /// Do half of the write, then end the process as SIGKILL does.
    ShortAndKill,
}

/// The words of the control file; none without one.
static WORDS: OnceLock<Option<&'static [AtomicU64]>> = OnceLock::new();
/// The state of the pseudo-random numbers: which calls fail needs no more than to be spread.
static RANDOM: AtomicU64 = AtomicU64::new(0x9E37_79B9_7F4A_7C15);

/// Maps the file that the environment names, by raw system calls: the functions are replaced by this library's own.
fn map() -> Option<&'static [AtomicU64]> {
    let path = CString::new(std::env::var(CONTROL_VARIABLE).ok()?).ok()?;
    // SAFETY: plain system calls; the mapping is never removed, has the length asked for, and holds only integers that
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

/// Nanoseconds by which the wall clock is ahead.
pub(crate) fn wall_clock_offset() -> i64 {
    word(ControlWord::WallClockOffset as usize) as i64
}

/// Milliseconds for which this write to a socket is held up.
pub(crate) fn hold_milliseconds() -> u64 {
    if draws(word(ControlWord::SocketWriteDelayRate as usize)) {
        word(ControlWord::SocketWriteDelayMs as usize)
    } else {
        0
    }
}

/// Milliseconds for which the process is held up behind this read of a clock.
pub(crate) fn clock_hold_milliseconds() -> u64 {
    if draws(word(ControlWord::ClockReadDelayRate as usize)) {
        word(ControlWord::ClockReadDelayMs as usize)
    } else {
        0
    }
}

/// Milliseconds for which this write to a file is held up; counted.
pub(crate) fn file_hold_milliseconds() -> u64 {
    let milliseconds = word(ControlWord::FileWriteDelayMs as usize);
    if milliseconds > 0
        && let Some(words) = WORDS.get_or_init(map)
    {
        words[ControlWord::DelayedFileWrites as usize].fetch_add(1, Ordering::Relaxed);
    }
    milliseconds
}

/// What this call has to do.
pub(crate) fn verdict(call: SystemCall) -> Verdict {
    let read = |part: SystemCallWord| word(system_call_word(call, part));
    let verdict = if draws(read(SystemCallWord::PartialWriteKillRate)) {
        Verdict::ShortAndKill
    } else if draws(read(SystemCallWord::PartialWriteRate)) {
        Verdict::Short
    } else if draws(read(SystemCallWord::FailRate)) {
        Verdict::Fail(read(SystemCallWord::Errno) as i32)
    } else {
        Verdict::Pass
    };
    if verdict != Verdict::Pass
        && let Some(words) = WORDS.get_or_init(map)
    {
        words[system_call_word(call, SystemCallWord::Injected)].fetch_add(1, Ordering::Relaxed);
    }
    verdict
}

/// True in so many of 1,000 cases.
fn draws(rate: u64) -> bool {
    rate > 0 && (rate >= FULL_RATE || next_random() % FULL_RATE < rate)
}

/// Xorshift64.
fn next_random() -> u64 {
    let mut value = RANDOM.load(Ordering::Relaxed);
    value ^= value << 13;
    value ^= value >> 7;
    value ^= value << 17;
    RANDOM.store(value, Ordering::Relaxed);
    value
}
