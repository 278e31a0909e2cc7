//! The few system calls that the standard library lacks.

use std::fs::File;
use std::io;
use std::os::fd::RawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Descriptor under which a relay inherits its listening socket.
pub const LISTENER_FD: RawFd = 7;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Sends a signal to a process that this program started.
pub fn signal(process: u32, number: i32) {
    unsafe { kill(process as i32, number) };
}

/// Keeps the low descriptors open, so that no later one has the number of [`LISTENER_FD`].
pub fn reserve_low_descriptors() -> Vec<File> {
    (0..16).filter_map(|_| File::open("/dev/null").ok()).collect()
}

/// Lets the process inherit the descriptor as [`LISTENER_FD`], and ends it with the thread that starts it, so that no
/// process is left behind.
pub fn inherit_listener(command: &mut Command, listener: RawFd) {
    let install = move || {
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
        if unsafe { dup2(listener, LISTENER_FD) } < 0 { Err(io::Error::last_os_error()) } else { Ok(()) }
    };
    unsafe { command.pre_exec(install) };
}
