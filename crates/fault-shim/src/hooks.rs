//! Replacements for functions of the C library. Each injects the fault that the control file selects, or calls the
//! original function.

use crate::control::{
    InjectedFault, choose_fault, clock_read_delay_ms, file_write_delay_ms, socket_write_delay_ms,
    wall_clock_offset,
};
use crate::original::original;
use libc::{
    c_char, c_int, c_uint, c_void, clockid_t, iovec, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use mountshift_faults::SystemCall;
use std::ffi::CStr;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;
/// Highest descriptor of the standard streams. No faults are injected up to it, so that logs are written.
const LAST_STANDARD_STREAM: c_int = 2;
/// Environment variable that names the state folder. Faults of path-based calls affect only files below it.
const STATE_VARIABLE: &str = "NODE_STATE";

fn set_errno(errno: c_int) {
    // SAFETY: the address is that of the calling thread's own variable.
    unsafe { *libc::__errno_location() = errno };
}

/// Kind of an open descriptor.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DescriptorKind {
    File,
    Socket,
    Other,
}

fn descriptor_kind(descriptor: c_int) -> DescriptorKind {
    if descriptor <= LAST_STANDARD_STREAM {
        return DescriptorKind::Other;
    }
    // SAFETY: the structure consists of plain integers, and the call writes it.
    let mode = unsafe {
        let mut status: libc::stat64 = std::mem::zeroed();
        if libc::fstat64(descriptor, &raw mut status) != 0 {
            return DescriptorKind::Other;
        }
        status.st_mode & libc::S_IFMT
    };
    match mode {
        libc::S_IFREG => DescriptorKind::File,
        libc::S_IFSOCK if is_network_socket(descriptor) => DescriptorKind::Socket,
        _ => DescriptorKind::Other,
    }
}

/// Returns whether the socket is an IPv4 socket. Socket pairs inside the process, which pass signals on, never fail.
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

/// Returns whether the path lies in the state folder.
fn is_in_state_folder(path: *const c_char) -> bool {
    // SAFETY: the replaced function takes a C string, so the caller passed one.
    let path = unsafe { CStr::from_ptr(path) }.to_bytes();
    std::env::var(STATE_VARIABLE).is_ok_and(|state| path.starts_with(state.as_bytes()))
}

/// Ends the process by SIGKILL, as a kill by another process does.
fn kill_self() -> ! {
    // SAFETY: plain system calls.
    unsafe {
        libc::kill(libc::getpid(), libc::SIGKILL);
        loop {
            libc::pause();
        }
    }
}

/// Writes `length` bytes, or injects the fault chosen for the call. `write` writes the given number of bytes.
fn write_or_inject(call: SystemCall, length: size_t, write: impl Fn(size_t) -> ssize_t) -> ssize_t {
    match choose_fault(call) {
        InjectedFault::Pass => write(length),
        InjectedFault::Fail(errno) => {
            set_errno(errno);
            -1
        }
        InjectedFault::PartialWrite => write(length.div_ceil(2)),
        InjectedFault::PartialWriteAndKill => {
            write(length.div_ceil(2));
            kill_self();
        }
    }
}

/// Returns the error number with which to fail this call, if a fault is injected.
fn injected_errno(call: SystemCall) -> Option<c_int> {
    match choose_fault(call) {
        InjectedFault::Pass => None,
        InjectedFault::Fail(errno) => Some(errno),
        InjectedFault::PartialWrite => Some(libc::EINTR),
        InjectedFault::PartialWriteAndKill => kill_self(),
    }
}

/// Sets `errno` and returns -1 from the enclosing function if a fault is injected into this call.
macro_rules! fail_if_injected {
    ($call:expr) => {
        if let Some(errno) = injected_errno($call) {
            set_errno(errno);
            return -1;
        }
    };
}

/// Replaces `clock_gettime` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Function = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    let result = original!(clock_gettime as Function, clock, time);
    sleep_ms(clock_read_delay_ms());
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    // SAFETY: the successful call wrote the structure.
    let time = unsafe { &mut *time };
    let nanoseconds = time.tv_sec * NANOSECONDS_PER_SECOND + time.tv_nsec + wall_clock_offset();
    time.tv_sec = nanoseconds.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND);
    result
}

/// Replaces `write` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    match descriptor_kind(descriptor) {
        DescriptorKind::File => {
            sleep_ms(file_write_delay_ms());
            write_or_inject(SystemCall::FileWrite, length, |count| {
                original!(write as Function, descriptor, bytes, count)
            })
        }
        DescriptorKind::Socket => {
            delay_socket_write();
            write_or_inject(SystemCall::Send, length, |count| {
                original!(write as Function, descriptor, bytes, count)
            })
        }
        DescriptorKind::Other => original!(write as Function, descriptor, bytes, length),
    }
}

/// Replaces `writev` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
    match descriptor_kind(descriptor) {
        DescriptorKind::File => fail_if_injected!(SystemCall::FileWrite),
        DescriptorKind::Socket => fail_if_injected!(SystemCall::Send),
        DescriptorKind::Other => {}
    }
    original!(writev as Function, descriptor, parts, count)
}

/// Replaces `pwrite64` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn pwrite64(
    descriptor: c_int,
    bytes: *const c_void,
    length: size_t,
    offset: off64_t,
) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const c_void, size_t, off64_t) -> ssize_t;
    write_or_inject(SystemCall::FileWrite, length, |count| {
        original!(pwrite64 as Function, descriptor, bytes, count, offset)
    })
}

/// Replaces `fsync` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int) -> c_int;
    fail_if_injected!(SystemCall::FileSync);
    original!(fsync as Function, descriptor)
}

/// Replaces `fdatasync` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int) -> c_int;
    fail_if_injected!(SystemCall::FileSync);
    original!(fdatasync as Function, descriptor)
}

/// Replaces `ftruncate64` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    type Function = unsafe extern "C" fn(c_int, off64_t) -> c_int;
    fail_if_injected!(SystemCall::FileTruncate);
    original!(ftruncate64 as Function, descriptor, length)
}

/// Replaces `rename` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Function = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    if is_in_state_folder(to) {
        fail_if_injected!(SystemCall::FileRename);
    }
    original!(rename as Function, from, to)
}

/// Replaces `open64` of the C library. The mode is passed on even if the flags do not use it.
#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    type Function = unsafe extern "C" fn(*const c_char, c_int, ...) -> c_int;
    if is_in_state_folder(path) {
        fail_if_injected!(SystemCall::FileOpen);
    }
    original!(open64 as Function, path, flags, mode)
}

/// Replaces `unlink` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    type Function = unsafe extern "C" fn(*const c_char) -> c_int;
    if is_in_state_folder(path) {
        fail_if_injected!(SystemCall::FileUnlink);
    }
    original!(unlink as Function, path)
}

/// Replaces `flock` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn flock(descriptor: c_int, operation: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int, c_int) -> c_int;
    fail_if_injected!(SystemCall::FileLock);
    original!(flock as Function, descriptor, operation)
}

/// Replaces `read` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn read(descriptor: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
    match descriptor_kind(descriptor) {
        DescriptorKind::File => fail_if_injected!(SystemCall::FileRead),
        DescriptorKind::Socket => fail_if_injected!(SystemCall::Receive),
        DescriptorKind::Other => {}
    }
    original!(read as Function, descriptor, bytes, length)
}

/// Replaces `recv` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn recv(descriptor: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    if descriptor_kind(descriptor) == DescriptorKind::Socket {
        fail_if_injected!(SystemCall::Receive);
    }
    original!(recv as Function, descriptor, bytes, length, flags)
}

/// Replaces `send` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn send(descriptor: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    if descriptor_kind(descriptor) != DescriptorKind::Socket {
        return original!(send as Function, descriptor, bytes, length, flags);
    }
    delay_socket_write();
    write_or_inject(SystemCall::Send, length, |count| {
        original!(send as Function, descriptor, bytes, count, flags)
    })
}

/// Replaces `accept4` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    fail_if_injected!(SystemCall::Accept);
    original!(accept4 as Function, descriptor, address, length, flags)
}

/// Replaces `socket` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    if domain == libc::AF_INET {
        fail_if_injected!(SystemCall::Socket);
    }
    original!(socket as Function, domain, kind, protocol)
}

/// Replaces `connect` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    fail_if_injected!(SystemCall::Connect);
    original!(connect as Function, descriptor, address, length)
}

/// Replaces `bind` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn bind(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    fail_if_injected!(SystemCall::Bind);
    original!(bind as Function, descriptor, address, length)
}

/// Replaces `epoll_wait` of the C library.
#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
    fail_if_injected!(SystemCall::Wait);
    original!(epoll_wait as Function, descriptor, events, max_events, timeout)
}

/// Replaces `epoll_ctl` of the C library. Only changes of a registration fail: if adding a socket failed, async-io
/// would close the connection before the relay gets it.
#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_ctl(
    descriptor: c_int,
    operation: c_int,
    socket: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int;
    if operation == libc::EPOLL_CTL_MOD && descriptor_kind(socket) == DescriptorKind::Socket {
        fail_if_injected!(SystemCall::WaitControl);
    }
    original!(epoll_ctl as Function, descriptor, operation, socket, event)
}

/// Delays a write to a socket if the control file requests a delay.
fn delay_socket_write() {
    sleep_ms(socket_write_delay_ms());
}

fn sleep_ms(milliseconds: u64) {
    if milliseconds > 0 {
        std::thread::sleep(std::time::Duration::from_millis(milliseconds));
    }
}
