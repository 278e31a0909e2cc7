//! The kinds of faults that a schedule can contain.

use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Relays are killed and started again on their folders.
    Kill,
    /// Relays are stopped by SIGTERM and started again.
    Stop,
    /// Relays are upgraded: a successor starts, reports when asked 0 to 6 s later that it serves, and takes over. In a
    /// quarter of the upgrades the active process is killed, and a quarter is aborted. Requires inherited sockets.
    /// Where lists are polled, an endpoint is removed right afterwards.
    Upgrade,
    /// Relays get SIGHUP and another address of the discovery service. During an upgrade the active process, its
    /// successor or both get the signal.
    Reload,
    /// Relays reload their configuration and are stopped within 0.1 s.
    ReloadAndStop,
    /// The wall clock of relays is stepped.
    Clock,
    /// Writes to the state folder fail or are partial. At times truncation fails too, so that a partial write can't be
    /// undone.
    Disk,
    /// The process is killed after a partial write to the state folder.
    TornKill,
    /// System calls on the state folder, and `bind`, fail while relays are killed and started again.
    DiskAtStart,
    /// System calls on sockets fail for a shortage of resources, or are interrupted.
    Sockets,
    /// Writes to sockets are delayed by 0.15 s.
    Hold,
    /// Endpoints read requests and never respond.
    Hang,
    /// Endpoints respond with 503.
    Busy,
    /// Endpoints respond with 429 and Retry-After.
    RetryAfter,
    /// Endpoints respond with errors.
    Errors,
    /// Endpoints respond late.
    Slow,
    /// Endpoints reset connections in the middle of requests, or before the response.
    Reset,
    /// Endpoints send the beginning of a response and stop.
    HalfAnswer,
    /// Endpoints close idle connections.
    CloseIdle,
    /// Endpoints are drained and removed, and listed again later.
    Drain,
    /// The discovery service does not respond; where lists are polled, half of these faults only make the open watches
    /// fall silent.
    Discovery,
    /// Clients shut down their sending side, stop in the middle of a request, or send many requests at once and
    /// disconnect.
    BadClients,
    /// A client submits messages under the ids of other clients' messages.
    CopiedIds,
    /// Idle clients exhaust the descriptors of relays.
    Crowd,
    /// Relays get several SIGHUP and SIGTERM in a drawn order, and are started again.
    Signals,
    /// Relays are upgraded while system calls on the files of the state folder fail at times.
    UpgradeDisk,
    /// Threads of relays are delayed by 0.15 s after reading a clock.
    ClockHold,
    /// Endpoints send malformed responses: truncated at any byte, byte by byte, too large, without end, with invalid
    /// chunks, or not HTTP.
    SpoiltAnswers,
    /// Connections to endpoints are established a second late.
    LateConnects,
    /// The discovery service and the receiver of notifications send interim responses without end.
    EndlessAnswers,
    /// Endpoints send a second copy of some responses, also while the connection carries a later call.
    LateCopies,
    /// Operators take an endpoint out of service at relays and put it back, maybe twice. In three quarters of these faults
    /// the endpoint leaves the list meanwhile, and is listed again before or after it is put back.
    Maintenance,
    /// Relays are upgraded, and operators take one endpoint out of service at the active process and another one at the
    /// successor. Requires inherited sockets.
    CommandsInUpgrade,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 33] = [
        FaultKind::Kill,
        FaultKind::Stop,
        FaultKind::Upgrade,
        FaultKind::Reload,
        FaultKind::ReloadAndStop,
        FaultKind::Clock,
        FaultKind::Disk,
        FaultKind::TornKill,
        FaultKind::DiskAtStart,
        FaultKind::Sockets,
        FaultKind::Hold,
        FaultKind::Hang,
        FaultKind::Busy,
        FaultKind::RetryAfter,
        FaultKind::Errors,
        FaultKind::Slow,
        FaultKind::Reset,
        FaultKind::HalfAnswer,
        FaultKind::CloseIdle,
        FaultKind::Drain,
        FaultKind::Discovery,
        FaultKind::BadClients,
        FaultKind::CopiedIds,
        FaultKind::Crowd,
        FaultKind::Signals,
        FaultKind::UpgradeDisk,
        FaultKind::ClockHold,
        FaultKind::SpoiltAnswers,
        FaultKind::LateConnects,
        FaultKind::EndlessAnswers,
        FaultKind::LateCopies,
        FaultKind::Maintenance,
        FaultKind::CommandsInUpgrade,
    ];

    /// Returns whether the fault upgrades relays.
    pub(crate) fn is_upgrade(self) -> bool {
        matches!(self, FaultKind::Upgrade | FaultKind::UpgradeDisk | FaultKind::CommandsInUpgrade)
    }

    /// Returns whether the fault consists of operators' commands, whose draws are independent of all others.
    pub(crate) fn has_commands(self) -> bool {
        matches!(self, FaultKind::Maintenance | FaultKind::CommandsInUpgrade)
    }

    /// Returns whether the fault affects relays. All others affect endpoints.
    pub(crate) fn targets_relays(self) -> bool {
        !matches!(
            self,
            FaultKind::Hang
                | FaultKind::Busy
                | FaultKind::RetryAfter
                | FaultKind::Errors
                | FaultKind::Slow
                | FaultKind::Reset
                | FaultKind::HalfAnswer
                | FaultKind::CloseIdle
                | FaultKind::SpoiltAnswers
                | FaultKind::LateConnects
                | FaultKind::LateCopies
                | FaultKind::Drain
        )
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<FaultKind, String> {
        serde_json::from_value(text.into()).map_err(|_| {
            let names: Vec<String> = FaultKind::ALL.iter().map(ToString::to_string).collect();
            format!("{text} is not a kind of fault; the kinds are {}", names.join(", "))
        })
    }
}

impl std::fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = serde_json::to_value(self).unwrap_or_default();
        formatter.write_str(name.as_str().unwrap_or_default())
    }
}
