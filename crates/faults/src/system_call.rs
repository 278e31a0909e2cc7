//! System calls into which faults can be injected.

use std::fmt;
use std::str::FromStr;

/// A system call, or a group of similar system calls, into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum SystemCall {
    /// `write`, `writev`, `pwrite` to a file of the state folder.
    FileWrite,
    /// `fsync`, `fdatasync`.
    FileSync,
    /// `ftruncate` of a file of the state folder.
    FileTruncate,
    /// `rename` in the state folder.
    FileRename,
    /// `open` of a file of the state folder.
    FileOpen,
    /// `unlink` in the state folder.
    FileUnlink,
    /// `flock`.
    FileLock,
    /// `read` of a file of the state folder.
    FileRead,
    /// `accept`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `bind`.
    Bind,
    /// `recv`, and `read` from a socket.
    Receive,
    /// `send`, and `write` to a socket.
    Send,
    /// `epoll_wait`.
    Wait,
    /// `epoll_ctl` that changes the registration of a network socket.
    WaitControl,
}

impl SystemCall {
    /// All system calls, in the order of the control file.
    pub const ALL: [SystemCall; 16] = [
        SystemCall::FileWrite,
        SystemCall::FileSync,
        SystemCall::FileTruncate,
        SystemCall::FileRename,
        SystemCall::FileOpen,
        SystemCall::FileUnlink,
        SystemCall::FileLock,
        SystemCall::FileRead,
        SystemCall::Accept,
        SystemCall::Socket,
        SystemCall::Connect,
        SystemCall::Bind,
        SystemCall::Receive,
        SystemCall::Send,
        SystemCall::Wait,
        SystemCall::WaitControl,
    ];

    /// Returns the name that `Display` writes and `FromStr` reads.
    pub fn name(self) -> &'static str {
        match self {
            SystemCall::FileWrite => "file-write",
            SystemCall::FileSync => "file-sync",
            SystemCall::FileTruncate => "file-truncate",
            SystemCall::FileRename => "file-rename",
            SystemCall::FileOpen => "file-open",
            SystemCall::FileUnlink => "file-unlink",
            SystemCall::FileLock => "file-lock",
            SystemCall::FileRead => "file-read",
            SystemCall::Accept => "accept",
            SystemCall::Socket => "socket",
            SystemCall::Connect => "connect",
            SystemCall::Bind => "bind",
            SystemCall::Receive => "receive",
            SystemCall::Send => "send",
            SystemCall::Wait => "wait",
            SystemCall::WaitControl => "wait-control",
        }
    }
}

impl fmt::Display for SystemCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The error for a name that is not the name of a system call.
#[derive(Debug, thiserror::Error)]
#[error("{0} is not the name of a system call into which faults can be injected")]
pub struct ParseSystemCallError(String);

impl FromStr for SystemCall {
    type Err = ParseSystemCallError;

    fn from_str(text: &str) -> Result<SystemCall, ParseSystemCallError> {
        let found = SystemCall::ALL.into_iter().find(|call| call.name() == text);
        found.ok_or_else(|| ParseSystemCallError(text.to_string()))
    }
}
