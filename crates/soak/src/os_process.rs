//! Child processes and loopback ports of a run.

use rustix::process::Pid;
use smol::Timer;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, ExitStatus};
use std::time::{Duration, Instant};

/// Interval between two checks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns whether the process is a child of this one. The id of an ended process may belong to another program by now.
pub(crate) fn is_own_child(process: Pid) -> bool {
    own_child_state(process).is_some()
}

/// Returns whether the process is a child of this one that has not exited.
pub(crate) fn is_running(process: Pid) -> bool {
    own_child_state(process).is_some_and(|state| state != "Z" && state != "X")
}

/// Returns the state of a process if it is a child of this one.
fn own_child_state(process: Pid) -> Option<String> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.as_raw_nonzero())).ok()?;
    // The name in brackets is followed by the state and the parent's id.
    let mut fields = stat.rsplit(')').next()?.split_whitespace();
    let (state, parent) = (fields.next()?, fields.next()?);
    (parent.parse() == Ok(std::process::id())).then(|| state.to_string())
}

/// Waits for the end of a process and kills it after `kill_after`. Returns its exit status unless it was killed.
pub(crate) async fn wait_for_exit(child: &mut Child, kill_after: Duration) -> Option<ExitStatus> {
    let due = Instant::now() + kill_after;
    loop {
        if let Ok(Some(status)) = child.try_wait() {
            return Some(status);
        }
        if Instant::now() >= due {
            let _ = child.kill();
            let _ = child.wait();
            return None;
        }
        Timer::after(EXIT_POLL_INTERVAL).await;
    }
}

/// Returns a listener on a free port of a loopback address of its own, so that no other connection takes the port
/// before the relay uses it.
pub(crate) fn free_listener(number: usize) -> std::io::Result<TcpListener> {
    let process = std::process::id();
    let part = |n: u32| (n % 250) as u8 + 1;
    let own = [127, part(process / 250 % 100 + 20), part(process), part(number as u32)];
    TcpListener::bind(SocketAddr::from((own, 0)))
}
