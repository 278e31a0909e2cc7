//! What happens in a run, and when: drawn from a seed alone.

use crate::SoakError;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::str::FromStr;

/// Relays in a run at most.
pub const MAX_RELAYS: usize = 40;
/// The shortest run in which a fault can begin, be over and leave something owed, in seconds.
const MIN_SECONDS: u64 = 10;
/// Milliseconds between the beginnings of two groups of faults, drawn between these.
const GROUP_GAP_MS: (u64, u64) = (2_000, 5_000);
/// Faults in a group at most; they overlap.
const MAX_GROUP: usize = 4;
/// How often a fault of a group strikes what an earlier one strikes.
const SAME_TARGETS: f64 = 0.7;
/// How often a group that holds no trouble at endpoints gets one: without it little is owed when a relay is struck.
const ENDPOINT_TROUBLE: f64 = 0.5;
/// How often a run draws from few kinds of faults alone: what two or three of them do together is seldom drawn from all.
const FEW_KINDS: f64 = 0.7;
/// How many kinds such a run has.
const KINDS_OF_FEW: (usize, usize) = (2, 5);
/// The shortest fault.
const SHORTEST_MS: u64 = 300;
/// One fault of the folder at a start in so many is a long one, ...
const LONG_AT_START_IN: i64 = 3;
/// ... of so many milliseconds: a relay starts 0.6 s into it and has to be ready 10 s later.
const LONG_AT_START_MS: (u64, u64) = (7_000, 8_500);
/// Milliseconds before the first fault, and without one before the end.
const QUIET_MS: u64 = 2_000;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Relays are killed, and started again on their folders.
    Kill,
    /// Relays get SIGTERM, and are started again.
    Stop,
    /// A second process starts beside each relay and takes over; a quarter of the first ones are killed, and a quarter of
    /// the upgrades given up. Only where the platform holds the clients' sockets.
    Upgrade,
    /// Relays get SIGHUP and another address of discovery.
    Reload,
    /// Reload, then stop, within a tenth of a second.
    ReloadAndStop,
    /// The wall clock of relays is stepped.
    Clock,
    /// Writes to the state folder fail or are cut short, and can't be undone.
    Disk,
    /// A write to the state folder is cut short and the process killed.
    TornKill,
    /// Writes to the state folder fail while relays are killed and started again.
    DiskAtStart,
    /// System calls of sockets fail for a shortage of the machine, or are interrupted.
    Sockets,
    /// Writes to sockets are held up for 0.15 s.
    Hold,
    /// Endpoints read requests and never answer.
    Hang,
    /// Endpoints reject.
    Busy,
    /// Endpoints tell a wait.
    RetryAfter,
    /// Endpoints answer errors.
    Errors,
    /// Endpoints answer late.
    Slow,
    /// Endpoints reset connections in the middle of requests, or before the answer.
    Reset,
    /// Endpoints send half an answer and stop.
    HalfAnswer,
    /// Endpoints close idle connections.
    CloseIdle,
    /// An endpoint is drained and removed, and listed again later.
    Drain,
    /// Discovery is silent.
    Discovery,
    /// Clients end their sending, stop in the middle, send much at once and go.
    BadClients,
    /// A client hands in messages under the ids of others.
    CopiedIds,
    /// Idle clients fill the descriptors of relays.
    Crowd,
    /// Relays get SIGHUP and SIGTERM several times, in a drawn order, and are started again.
    Signals,
    /// As an upgrade, while the files of the state folder fail at times.
    UpgradeDisk,
    /// A process is held up for 0.15 s behind reading a clock.
    ClockHold,
    /// Endpoints answer with what is no whole answer: cut at each byte, dripped, too large, chunked wrongly, no HTTP.
    SpoiltAnswers,
    /// Connections to endpoints come up a second late.
    LateConnects,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 29] = [
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
    ];

    /// True if a second process starts beside a relay.
    pub(crate) fn is_upgrade(self) -> bool {
        matches!(self, FaultKind::Upgrade | FaultKind::UpgradeDisk)
    }

    /// True if the fault strikes relays, false if it strikes endpoints.
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
                | FaultKind::Drain
        )
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<FaultKind, String> {
        serde_json::from_value(text.into()).map_err(|_| {
            let names: Vec<String> = FaultKind::ALL.iter().map(ToString::to_string).collect();
            format!("{text} is no fault; there are {}", names.join(", "))
        })
    }
}

impl std::fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = serde_json::to_value(self).unwrap_or_default();
        formatter.write_str(name.as_str().unwrap_or_default())
    }
}

/// A fault in a schedule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// What happens.
    pub kind: FaultKind,
    /// Milliseconds from the beginning.
    pub at_ms: u64,
    /// For how many milliseconds.
    pub for_ms: u64,
    /// The numbers of the relays or endpoints that it strikes.
    pub targets: Vec<usize>,
    /// A number whose meaning depends on the kind: milliseconds of a step, a wait, a delay.
    pub amount: i64,
}

impl ScheduledFault {
    /// True if a folder fails for longer than a start waits for what it can do without.
    pub(crate) fn is_long_at_start(&self) -> bool {
        self.kind == FaultKind::DiskAtStart && self.for_ms >= LONG_AT_START_MS.0
    }
}

/// What happens in a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// From which settings, traffic and faults are drawn.
    pub seed: u64,
    /// Seconds of traffic; the run ends some seconds later, once all that was accepted is due.
    pub seconds: u64,
    /// Relays.
    pub relays: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// The platform holds the clients' sockets and passes them on: relays can be upgraded.
    pub inherited_sockets: bool,
    /// The faults, in the order of their beginnings.
    pub faults: Vec<ScheduledFault>,
}

/// The kind of a group's next fault.
fn draw_kind(kinds: &[FaultKind], group: &[ScheduledFault], random: &mut ChaCha8Rng) -> FaultKind {
    let lacks_endpoints = group.iter().all(|fault| fault.kind.targets_relays());
    let at_endpoints: Vec<FaultKind> = kinds.iter().copied().filter(|kind| !kind.targets_relays()).collect();
    if lacks_endpoints
        && random.random_bool(ENDPOINT_TROUBLE)
        && let Some(kind) = at_endpoints.choose(random)
    {
        return *kind;
    }
    kinds.choose(random).copied().unwrap_or(FaultKind::Kill)
}

/// The kinds of a run: all of them, or a few.
fn draw_kinds(kinds: Vec<FaultKind>, random: &mut ChaCha8Rng) -> Vec<FaultKind> {
    let count = random.random_range(KINDS_OF_FEW.0..=KINDS_OF_FEW.1);
    if !random.random_bool(FEW_KINDS) || kinds.len() <= count {
        return kinds;
    }
    let few = rand::seq::index::sample(random, kinds.len(), count);
    few.into_iter().map(|index| kinds[index]).collect()
}

impl Schedule {
    /// Draws a schedule with faults of these kinds.
    ///
    /// # Errors
    /// If there are too many or no relays, or too little time.
    pub fn draw(seed: u64, seconds: u64, relays: usize, kinds: &[FaultKind]) -> Result<Schedule, SoakError> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let endpoints = random.random_range(6..=12);
        let inherited_sockets = random.random();
        let mut schedule =
            Schedule { seed, seconds, relays, endpoints, inherited_sockets, faults: Vec::new() };
        schedule.check()?;
        // Without inherited sockets there are no upgrades to draw.
        let can_happen = |kind: &&FaultKind| inherited_sockets || !kind.is_upgrade();
        let kinds: Vec<FaultKind> = kinds.iter().filter(can_happen).copied().collect();
        let kinds = draw_kinds(kinds, &mut random);
        let end_ms = seconds * 1_000 - QUIET_MS;
        let mut group_at = QUIET_MS;
        while group_at + QUIET_MS < end_ms && !kinds.is_empty() {
            let mut group: Vec<ScheduledFault> = Vec::new();
            for _ in 0..random.random_range(1..=MAX_GROUP) {
                let at_ms = group_at + random.random_range(0..1_000);
                let kind = draw_kind(&kinds, &group, &mut random);
                let mut fault = schedule.draw_fault(kind, at_ms, end_ms, &mut random);
                // What strikes the same relays is what crosses.
                let earlier = group.iter().find(|e| e.kind.targets_relays() == kind.targets_relays());
                if let Some(earlier) = earlier
                    && random.random_bool(SAME_TARGETS)
                {
                    fault.targets.clone_from(&earlier.targets);
                }
                group.push(fault);
            }
            schedule.faults.append(&mut group);
            group_at += random.random_range(GROUP_GAP_MS.0..=GROUP_GAP_MS.1);
        }
        schedule.faults.sort_by_key(|fault| fault.at_ms);
        Ok(schedule)
    }

    fn draw_fault(
        &self,
        kind: FaultKind,
        at_ms: u64,
        end_ms: u64,
        random: &mut ChaCha8Rng,
    ) -> ScheduledFault {
        let amount = match kind {
            FaultKind::Clock => *[-3_600_000, -5_000, 5_000, 3_600_000].choose(random).unwrap_or(&0),
            FaultKind::RetryAfter => random.random_range(300..3_000),
            FaultKind::Slow => random.random_range(100..1_500),
            _ => random.random_range(0..1_000),
        };
        let (shortest, longest) = match kind {
            FaultKind::DiskAtStart if amount % LONG_AT_START_IN == 0 => LONG_AT_START_MS,
            FaultKind::Disk | FaultKind::DiskAtStart | FaultKind::Sockets => (SHORTEST_MS, 1_500),
            FaultKind::Hold | FaultKind::ClockHold => (SHORTEST_MS, 1_000),
            FaultKind::UpgradeDisk => (SHORTEST_MS, 1_500),
            _ => (SHORTEST_MS, 4_000),
        };
        let for_ms = random.random_range(shortest..=longest).min(end_ms.saturating_sub(at_ms)).max(100);
        let count = if kind.targets_relays() { self.relays } else { self.endpoints };
        let struck = random.random_range(1..=count.div_ceil(3));
        let mut targets = rand::seq::index::sample(random, count, struck).into_vec();
        targets.sort_unstable();
        ScheduledFault { kind, at_ms, for_ms, targets, amount }
    }

    /// Reads a schedule from its file.
    ///
    /// # Errors
    /// If it can't be read, or asks for what the soak does not do.
    pub fn read(path: &Path) -> Result<Schedule, SoakError> {
        let text = std::fs::read_to_string(path).map_err(SoakError::io(path.display().to_string()))?;
        let schedule: Schedule = serde_json::from_str(&text)
            .map_err(|source| SoakError::Schedule { path: path.to_path_buf(), source })?;
        schedule.check()?;
        Ok(schedule)
    }

    /// The text of its file.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    fn check(&self) -> Result<(), SoakError> {
        if self.relays == 0 || self.relays > MAX_RELAYS {
            return Err(SoakError::Unplayable(format!(
                "{} relays: 1 to {MAX_RELAYS} are allowed",
                self.relays
            )));
        }
        if self.seconds < MIN_SECONDS {
            return Err(SoakError::Unplayable(format!(
                "{} s: {MIN_SECONDS} at least are needed",
                self.seconds
            )));
        }
        for fault in &self.faults {
            let count = if fault.kind.targets_relays() { self.relays } else { self.endpoints };
            if fault.kind.is_upgrade() && !self.inherited_sockets {
                return Err(SoakError::Unplayable("an upgrade needs inherited sockets".into()));
            }
            if fault.targets.iter().any(|target| *target >= count) {
                return Err(SoakError::Unplayable(format!("{}: a target that is not there", fault.kind)));
            }
        }
        Ok(())
    }
}
