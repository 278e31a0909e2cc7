//! How long a process waits at its start, and for what.

use std::time::Duration;

/// What a process can serve without is waited for so long: the platform wants it ready within 10 s.
pub const OPTIONAL_RESOURCE_TIMEOUT: Duration = Duration::from_secs(6);
/// What it can't serve without is waited for so long: later than 30 s after its start nobody waits for it.
pub const REQUIRED_RESOURCE_TIMEOUT: Duration = Duration::from_secs(25);
/// Both locks may be taken without a third process being one too many: a process that takes over holds both until it has merged
/// the spools, which on a folder that fails takes a while. Waited for as long as for all that a start can serve without.
pub const LOCK_ACQUISITION_TIMEOUT: Duration = OPTIONAL_RESOURCE_TIMEOUT;
/// A successor that still runs is left the free lock of the active process for so long: it looks every 20 ms, unless it is
/// ending.
pub const SUCCESSOR_TAKEOVER_TIMEOUT: Duration = Duration::from_millis(500);
/// A message waits so long for the spool to be opened, then it is rejected: its client waits 0.4 s for an answer.
pub const SPOOL_OPEN_TIMEOUT: Duration = Duration::from_millis(200);
/// A new configuration that can't be read is tried again for so long: nobody sends a second SIGHUP for it, and a file that
/// is bad stays so.
pub const RELOAD_RETRY_TIMEOUT: Duration = Duration::from_secs(30);
