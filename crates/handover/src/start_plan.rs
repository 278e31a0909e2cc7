//! Time limits of the startup of a process.

use std::time::Duration;

/// Time limit for resources that a process can serve without. The platform expects the process to be ready
/// within 10 s.
pub const OPTIONAL_RESOURCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time limit for resources that a process can't serve without. The platform stops waiting for a process 30 s
/// after its start.
pub const REQUIRED_RESOURCE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time limit for acquiring one of the two locks. Both may be taken although only one other process is
/// running: a process that takes over holds both until it has merged the spools, which is slow if the state
/// folder fails.
pub const LOCK_ACQUISITION_TIMEOUT: Duration = OPTIONAL_RESOURCE_TIMEOUT;
/// Time for which a starting process leaves the free lock of the active process to a running successor.
/// Unless that successor is stopping, it tries the lock every 20 ms.
pub const SUCCESSOR_TAKEOVER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a successor waits for its first endpoint list, where it has to poll for it, before it reports that
/// it serves. The platform waits 6 s for that report.
pub const SUCCESSOR_LIST_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Time for which a message waits for the spool to be opened before it is rejected. Its client waits 0.4 s
/// for an answer.
pub const SPOOL_OPEN_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which an unreadable new configuration is retried. The platform does not send a second SIGHUP for
/// it, but a file that is invalid does not become valid by itself.
pub const RELOAD_RETRY_TIMEOUT: Duration = Duration::from_secs(30);
