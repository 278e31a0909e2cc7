//! The functions of the C library that this one replaces. Each asks the control file what to do, and else calls the
//! function that it replaces.

use crate::control::{
    Verdict, clock_hold_milliseconds, file_hold_milliseconds, hold_milliseconds, verdict, wall_clock_offset,
};
use crate::original::original;
use libc::{
    c_char, c_int, c_uint, c_void, clockid_t, iovec, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use mountshift_faults::SystemCall;
use std::ffi::CStr;

const NANOSECONDS: i64 = 1_000_000_000;
/// Descriptors up to this one are the standard streams: logs never fail.
const LAST_STANDARD_STREAM: c_int = 2;
/// The variable that names the state folder: faults in files strike nothing else.
const STATE_VARIABLE: &str = "NODE_STATE";

fn set_errno(errno: c_int) {
    // SAFETY: the address is the thread's own.
    unsafe { *libc::__errno_location() = errno };
}

/// What a descriptor is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    File,
    Socket,
    Other,
}

fn kind(descriptor: c_int) -> Kind {
    if descriptor <= LAST_STANDARD_STREAM {
        return Kind::Other;
    }
    // SAFETY: the structure is plain integers, and written by the call.
    let mode = unsafe {
        let mut status: libc::stat64 = std::mem::zeroed();
        if libc::fstat64(descriptor, &raw mut status) != 0 {
            return Kind::Other;
        }
        status.st_mode & libc::S_IFMT
    };
    match mode {
        libc::S_IFREG => Kind::File,
        libc::S_IFSOCK if is_network_socket(descriptor) => Kind::Socket,
        _ => Kind::Other,
    }
}

/// True for a socket of the network: the process's own pairs, over which signals are told, never fail.
fn is_network_socket(descriptor: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: the option is an integer of this size.
    let result = unsafe {
        libc::getsockopt(
            descriptor,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            (&raw mut domain).cast(),
            &raw mut length,
        )
    };
    result == 0 && domain == libc::AF_INET
}

/// True for a path in the state folder.
fn is_state(path: *const c_char) -> bool {
    // SAFETY: the caller gave a C string to a function that wants one.
    let path = unsafe { CStr::from_ptr(path) }.to_bytes();
    std::env::var(STATE_VARIABLE).is_ok_and(|state| path.starts_with(state.as_bytes()))
}

/// Ends the process as SIGKILL from outside does.
fn kill_self() -> ! {
    // SAFETY: plain system calls.
    unsafe {
        libc::kill(libc::getpid(), libc::SIGKILL);
        loop {
            libc::pause();
        }
    }
}

/// Writes by the verdict of a call; `write` writes so many bytes of it.
fn write_by(call: SystemCall, length: size_t, write: impl Fn(size_t) -> ssize_t) -> ssize_t {
    match verdict(call) {
        Verdict::Pass => write(length),
        Verdict::Fail(errno) => {
            set_errno(errno);
            -1
        }
        Verdict::Short => write(length.div_ceil(2)),
        Verdict::ShortAndKill => {
            write(length.div_ceil(2));
            kill_self();
        }
    }
}

/// The error number of a call that fails now.
fn failure(call: SystemCall) -> Option<c_int> {
    match verdict(call) {
        Verdict::Pass => None,
        Verdict::Fail(errno) => Some(errno),
        Verdict::Short => Some(libc::EINTR),
        Verdict::ShortAndKill => kill_self(),
    }
}

/// Returns -1 from the function if the call fails now.
macro_rules! fail_if_told {
    ($call:expr) => {
        if let Some(errno) = failure($call) {
            set_errno(errno);
            return -1;
        }
    };
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Function = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    let result = original!(clock_gettime as Function, clock, time);
    hold_for(clock_hold_milliseconds());
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    // SAFETY: the call just wrote it.
    let time = unsafe { &mut *time };
    let nanoseconds = time.tv_sec * NANOSECONDS + time.tv_nsec + wall_clock_offset();
    time.tv_sec = nanoseconds.div_euclid(NANOSECONDS);
    time.tv_nsec = nanoseconds.rem_euclid(NANOSECONDS);
    result
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    match kind(descriptor) {
        Kind::File => {
            hold_for(file_hold_milliseconds());
            write_by(SystemCall::FileWrite, length, |count| {
                original!(write as Function, descriptor, bytes, count)
            })
        }
        Kind::Socket => {
            hold();
            write_by(SystemCall::Send, length, |count| original!(write as Function, descriptor, bytes, count))
        }
        Kind::Other => original!(write as Function, descriptor, bytes, length),
    }
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
    match kind(descriptor) {
        Kind::File => fail_if_told!(SystemCall::FileWrite),
        Kind::Socket => fail_if_told!(SystemCall::Send),
        Kind::Other => {}
    }
    original!(writev as Function, descriptor, parts, count)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn pwrite64(
    descriptor: c_int,
    bytes: *const c_void,
    length: size_t,
    offset: off64_t,
) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const c_void, size_t, off64_t) -> ssize_t;
    write_by(SystemCall::FileWrite, length, |count| {
        original!(pwrite64 as Function, descriptor, bytes, count, offset)
    })
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int) -> c_int;
    fail_if_told!(SystemCall::FileSync);
    original!(fsync as Function, descriptor)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int) -> c_int;
    fail_if_told!(SystemCall::FileSync);
    original!(fdatasync as Function, descriptor)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    type Function = unsafe extern "C" fn(c_int, off64_t) -> c_int;
    fail_if_told!(SystemCall::FileTruncate);
    original!(ftruncate64 as Function, descriptor, length)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Function = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    if is_state(to) {
        fail_if_told!(SystemCall::FileRename);
    }
    original!(rename as Function, from, to)
}

/// Replaces the function of the C library; the mode is passed on also where the flags make no use of it.
#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    type Function = unsafe extern "C" fn(*const c_char, c_int, ...) -> c_int;
    if is_state(path) {
        fail_if_told!(SystemCall::FileOpen);
    }
    original!(open64 as Function, path, flags, mode)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    type Function = unsafe extern "C" fn(*const c_char) -> c_int;
    if is_state(path) {
        fail_if_told!(SystemCall::FileUnlink);
    }
    original!(unlink as Function, path)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn flock(descriptor: c_int, operation: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int, c_int) -> c_int;
    fail_if_told!(SystemCall::FileLock);
    original!(flock as Function, descriptor, operation)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn read(descriptor: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
    match kind(descriptor) {
        Kind::File => fail_if_told!(SystemCall::FileRead),
        Kind::Socket => fail_if_told!(SystemCall::Receive),
        Kind::Other => {}
    }
    original!(read as Function, descriptor, bytes, length)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn recv(descriptor: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    if kind(descriptor) == Kind::Socket {
        fail_if_told!(SystemCall::Receive);
    }
    original!(recv as Function, descriptor, bytes, length, flags)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn send(descriptor: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    if kind(descriptor) != Kind::Socket {
        return original!(send as Function, descriptor, bytes, length, flags);
    }
    hold();
    write_by(SystemCall::Send, length, |count| original!(send as Function, descriptor, bytes, count, flags))
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    fail_if_told!(SystemCall::Accept);
    original!(accept4 as Function, descriptor, address, length, flags)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    if domain == libc::AF_INET {
        fail_if_told!(SystemCall::Socket);
    }
    original!(socket as Function, domain, kind, protocol)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    fail_if_told!(SystemCall::Connect);
    original!(connect as Function, descriptor, address, length)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn bind(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    fail_if_told!(SystemCall::Bind);
    original!(bind as Function, descriptor, address, length)
}

/// Replaces the function of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
    fail_if_told!(SystemCall::Wait);
    original!(epoll_wait as Function, descriptor, events, max_events, timeout)
}

/// Replaces the function of the C library. Only a change of what is waited for fails: a connection that can't be added is
/// closed by async-io before the relay has it.
#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_ctl(
    descriptor: c_int,
    operation: c_int,
    socket: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int;
    if operation == libc::EPOLL_CTL_MOD && kind(socket) == Kind::Socket {
        fail_if_told!(SystemCall::WaitControl);
    }
    original!(epoll_ctl as Function, descriptor, operation, socket, event)
}

/// Holds a write to a socket up, where the control file says so.
fn hold() {
    hold_for(hold_milliseconds());
}

fn hold_for(milliseconds: u64) {
    if milliseconds > 0 {
        std::thread::sleep(std::time::Duration::from_millis(milliseconds));
    }
}
