//! The system call faults that a fault of the schedule injects into relays.

use crate::fault_kind::FaultKind;
use crate::schedule::ScheduledFault;
use mountshift_faults::{FULL_RATE, SystemCall, SystemCallFault};

/// Number of system calls per 1,000 that fail for a shortage of resources, or with an intermittent disk fault.
const SHORTAGE_RATE: u64 = 500;
/// Number of system calls per 1,000 that are interrupted or fail with a transient error.
const INTERRUPTION_RATE: u64 = 200;

/// Returns the faults of system calls on sockets.
pub(crate) fn socket_faults(fault: &ScheduledFault) -> Vec<(SystemCall, SystemCallFault)> {
    let shortages = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let shortage = shortages[fault.amount as usize % shortages.len()];
    let connect_errors = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS, libc::EAGAIN];
    let connect_error = connect_errors[fault.amount as usize / 4 % connect_errors.len()];
    let fails_with = |errno, fail_rate| SystemCallFault { errno, fail_rate, ..SystemCallFault::default() };
    let wait_control_error = libc::ENOMEM;
    let transient_errors = [libc::EINTR, libc::ENOBUFS, libc::ENOMEM];
    let transient_error = transient_errors[fault.amount as usize % transient_errors.len()];
    let send_fault = SystemCallFault {
        partial_write_rate: INTERRUPTION_RATE,
        ..fails_with(transient_error, INTERRUPTION_RATE)
    };
    vec![
        (SystemCall::Accept, fails_with(shortage, SHORTAGE_RATE)),
        (SystemCall::Socket, fails_with(shortage, SHORTAGE_RATE)),
        (SystemCall::Connect, fails_with(connect_error, SHORTAGE_RATE)),
        (SystemCall::Receive, fails_with(transient_error, INTERRUPTION_RATE)),
        (SystemCall::Wait, fails_with(libc::EINTR, INTERRUPTION_RATE)),
        (SystemCall::WaitControl, fails_with(wait_control_error, INTERRUPTION_RATE)),
        (SystemCall::Send, send_fault),
    ]
}

/// Returns the faults of system calls on the state folder.
pub(crate) fn disk_faults(fault: &ScheduledFault) -> Vec<(SystemCall, SystemCallFault)> {
    let errno = if fault.amount % 2 == 0 { libc::ENOSPC } else { libc::EIO };
    let partial_or_failed = SystemCallFault {
        errno,
        fail_rate: FULL_RATE,
        partial_write_rate: FULL_RATE / 2,
        partial_write_kill_rate: 0,
    };
    let always_fails = SystemCallFault::always(errno);
    let intermittent = SystemCallFault { errno, fail_rate: SHORTAGE_RATE, ..SystemCallFault::default() };
    match fault.kind {
        FaultKind::TornKill => {
            let partial_and_kill = SystemCallFault {
                errno,
                fail_rate: 0,
                partial_write_rate: 0,
                partial_write_kill_rate: FULL_RATE / 5,
            };
            vec![(SystemCall::FileWrite, partial_and_kill)]
        }
        FaultKind::UpgradeDisk => vec![
            (SystemCall::FileOpen, intermittent),
            (SystemCall::FileLock, intermittent),
            (SystemCall::FileRead, intermittent),
            (SystemCall::FileRename, intermittent),
            (SystemCall::FileUnlink, always_fails),
        ],
        FaultKind::DiskAtStart => vec![
            (SystemCall::FileWrite, partial_or_failed),
            (SystemCall::FileOpen, if fault.is_long_disk_at_start() { always_fails } else { intermittent }),
            (SystemCall::FileLock, intermittent),
            (SystemCall::FileRead, intermittent),
            (SystemCall::FileRename, always_fails),
            (SystemCall::FileTruncate, always_fails),
            (SystemCall::FileUnlink, intermittent),
            (SystemCall::Bind, SystemCallFault { errno: libc::EADDRINUSE, ..intermittent }),
        ],
        _ => vec![
            (SystemCall::FileWrite, partial_or_failed),
            (
                SystemCall::FileTruncate,
                if fault.amount % 3 == 0 { always_fails } else { SystemCallFault::default() },
            ),
            (
                SystemCall::FileRename,
                if fault.amount % 5 == 0 { always_fails } else { SystemCallFault::default() },
            ),
        ],
    }
}
