//! The schedule of a run: its faults and their times, drawn from a seed alone.

use crate::SoakError;
use crate::fault_kind::FaultKind;
use crate::upgrade::MAX_UPGRADE_AMOUNT;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Maximum number of relays in a run.
pub const MAX_RELAYS: usize = 40;
/// Minimum length of a run in seconds, so that a fault can begin and end while messages are outstanding.
const MIN_SECONDS: u64 = 10;
/// Range of the time between the starts of two groups of faults, in milliseconds.
const GROUP_GAP_MS: (u64, u64) = (2_000, 5_000);
/// Maximum number of faults in a group. The faults of a group overlap.
const MAX_GROUP_FAULTS: usize = 4;
/// Probability that a fault has the same targets as an earlier fault of its group.
const SAME_TARGETS_PROBABILITY: f64 = 0.7;
/// Probability that a group without an endpoint fault gets one. Without it few messages are outstanding when a relay
/// fault begins.
const ENDPOINT_FAULT_PROBABILITY: f64 = 0.5;
/// Probability that a run draws from a few kinds of faults only. Among all kinds, a given combination of two or three
/// would be rare.
const FEW_KINDS_PROBABILITY: f64 = 0.7;
/// Range of the number of kinds in a run that draws from a few kinds only.
const FEW_KINDS_COUNT: (usize, usize) = (2, 5);
/// Minimum duration of a drawn fault in milliseconds.
const MIN_FAULT_MS: u64 = 300;
/// Number of [`FaultKind::DiskAtStart`] faults of which, on average, one is long.
const FAULTS_PER_LONG_DISK_AT_START: i64 = 3;
/// Range of the duration of a long [`FaultKind::DiskAtStart`] fault, in milliseconds. A relay starts 0.6 s after the
/// fault begins and has to be ready 10 s later.
const LONG_DISK_AT_START_MS: (u64, u64) = (7_000, 8_500);
/// Probability that the relays of a run belong to a large fleet that polls for the endpoint list.
const POLLING_PROBABILITY: f64 = 0.3;
/// Random stream of the polling fleet.
const POLLING_RANDOM_STREAM: u64 = 2;
/// Probability that the schedule of a run that may contain operators' commands contains them.
const MAINTENANCE_PROBABILITY: f64 = 0.5;
/// Random stream of the operators' commands.
const MAINTENANCE_RANDOM_STREAM: u64 = 3;
/// Random stream of the upgrades with operators' commands.
const COMMANDS_IN_UPGRADE_RANDOM_STREAM: u64 = 4;
/// Time between two of these upgrades, in milliseconds.
const COMMANDS_IN_UPGRADE_GAP_MS: usize = 12_000;
/// Range of the time for which an endpoint is out of service before the next change, in milliseconds. The policy forgets an
/// endpoint that is out for longer than the drain grace.
const MAINTENANCE_MS: (u64, u64) = (200, 2_500);
/// Exclusive upper bound of the drawn number of a maintenance, which selects its endpoint and the changes of the list.
const MAX_MAINTENANCE_AMOUNT: i64 = 10_000;
/// Range of the number of relays of such a fleet.
const FLEET_RELAYS: (usize, usize) = (16, 43);
/// Poll intervals of such a fleet, in milliseconds.
const POLL_INTERVALS_MS: [u64; 2] = [4_000, 10_000];
/// Time without faults at the beginning and at the end of a run, in milliseconds.
const FAULT_FREE_MS: u64 = 2_000;

/// A large fleet whose relays have to poll for the endpoint list; a run plays some of its relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollingFleet {
    /// Number of relays of the fleet.
    pub relays: usize,
    /// Interval at which a relay has to poll, in milliseconds.
    pub poll_interval_ms: u64,
}

impl PollingFleet {
    /// Draws whether the relays belong to such a fleet. A random stream of its own keeps all other draws of a seed the
    /// same, whether there is a fleet or not.
    fn draw(seed: u64, relays: usize, kinds: &[FaultKind]) -> Option<PollingFleet> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(POLLING_RANDOM_STREAM);
        let has_list_faults =
            [FaultKind::Drain, FaultKind::Discovery].iter().all(|kind| kinds.contains(kind));
        let fleet = PollingFleet {
            relays: random.random_range(FLEET_RELAYS.0..=FLEET_RELAYS.1).max(relays),
            poll_interval_ms: *POLL_INTERVALS_MS.choose(&mut random)?,
        };
        (random.random_bool(POLLING_PROBABILITY) && has_list_faults).then_some(fleet)
    }
}

/// A fault in a schedule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault in milliseconds from the beginning of the run.
    pub at_ms: u64,
    /// Duration of the fault in milliseconds.
    pub for_ms: u64,
    /// Numbers of the affected relays or endpoints.
    pub targets: Vec<usize>,
    /// A number whose meaning depends on the kind: the milliseconds of a clock step, Retry-After or delay, or a drawn
    /// number that selects a variant of the fault.
    pub amount: i64,
}

impl ScheduledFault {
    /// Returns whether this is a [`FaultKind::DiskAtStart`] fault that lasts longer than a starting relay waits for
    /// files that it can do without.
    pub(crate) fn is_long_disk_at_start(&self) -> bool {
        self.kind == FaultKind::DiskAtStart && self.for_ms >= LONG_DISK_AT_START_MS.0
    }
}

/// Schedule of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Seed of the settings, the traffic and the faults.
    pub seed: u64,
    /// Duration of the traffic in seconds. The run ends some seconds later, when the deadlines of all messages have
    /// passed.
    pub seconds: u64,
    /// Number of relays.
    pub relays: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Whether relays inherit the clients' sockets from the platform, which upgrades require.
    pub inherited_sockets: bool,
    /// The fleet of the relays, if they have to poll for the endpoint list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub polling: Option<PollingFleet>,
    /// Faults in the order of their start.
    pub faults: Vec<ScheduledFault>,
}

/// Draws the kind of a group's next fault.
fn draw_kind(kinds: &[FaultKind], group: &[ScheduledFault], random: &mut ChaCha8Rng) -> FaultKind {
    let has_no_endpoint_fault = group.iter().all(|fault| fault.kind.targets_relays());
    let endpoint_kinds: Vec<FaultKind> =
        kinds.iter().copied().filter(|kind| !kind.targets_relays()).collect();
    if has_no_endpoint_fault
        && random.random_bool(ENDPOINT_FAULT_PROBABILITY)
        && let Some(kind) = endpoint_kinds.choose(random)
    {
        return *kind;
    }
    kinds.choose(random).copied().unwrap_or(FaultKind::Kill)
}

/// Draws the kinds of a run: all given ones, or a few of them.
fn draw_kinds(kinds: Vec<FaultKind>, random: &mut ChaCha8Rng) -> Vec<FaultKind> {
    let count = random.random_range(FEW_KINDS_COUNT.0..=FEW_KINDS_COUNT.1);
    if !random.random_bool(FEW_KINDS_PROBABILITY) || kinds.len() <= count {
        return kinds;
    }
    let few = rand::seq::index::sample(random, kinds.len(), count);
    few.into_iter().map(|index| kinds[index]).collect()
}

impl Schedule {
    /// Draws a schedule with faults of these kinds.
    ///
    /// # Errors
    /// If the number of relays is 0 or too high, or the time is too short.
    pub fn draw(seed: u64, seconds: u64, relays: usize, kinds: &[FaultKind]) -> Result<Schedule, SoakError> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let endpoints = random.random_range(6..=12);
        let inherited_sockets = random.random();
        let polling = PollingFleet::draw(seed, relays, kinds);
        let mut schedule =
            Schedule { seed, seconds, relays, endpoints, inherited_sockets, polling, faults: Vec::new() };
        schedule.check()?;
        // Upgrades require inherited sockets. Operators' commands are drawn apart.
        let is_possible =
            |kind: &&FaultKind| (inherited_sockets || !kind.is_upgrade()) && !kind.has_commands();
        let has_maintenance = kinds.contains(&FaultKind::Maintenance);
        let has_commands_in_upgrade = inherited_sockets && kinds.contains(&FaultKind::CommandsInUpgrade);
        let kinds: Vec<FaultKind> = kinds.iter().filter(is_possible).copied().collect();
        let kinds = draw_kinds(kinds, &mut random);
        let end_ms = seconds * 1_000 - FAULT_FREE_MS;
        let mut group_at = FAULT_FREE_MS;
        while group_at + FAULT_FREE_MS < end_ms && !kinds.is_empty() {
            let mut group: Vec<ScheduledFault> = Vec::new();
            for _ in 0..random.random_range(1..=MAX_GROUP_FAULTS) {
                let at_ms = group_at + random.random_range(0..1_000);
                let kind = draw_kind(&kinds, &group, &mut random);
                let mut fault = schedule.draw_fault(kind, at_ms, end_ms, &mut random);
                // Faults interact mainly if they affect the same targets.
                let earlier = group.iter().find(|other| other.kind.targets_relays() == kind.targets_relays());
                if let Some(earlier) = earlier
                    && random.random_bool(SAME_TARGETS_PROBABILITY)
                {
                    fault.targets.clone_from(&earlier.targets);
                }
                group.push(fault);
            }
            schedule.faults.append(&mut group);
            group_at += random.random_range(GROUP_GAP_MS.0..=GROUP_GAP_MS.1);
        }
        if has_maintenance {
            schedule.draw_maintenance(end_ms);
        }
        if has_commands_in_upgrade {
            schedule.draw_commands_in_upgrades(end_ms);
        }
        schedule.faults.sort_by_key(|fault| fault.at_ms);
        Ok(schedule)
    }

    /// Draws operators' commands. A random stream of their own keeps all other draws of a seed the same, whether there are
    /// commands or not.
    fn draw_maintenance(&mut self, end_ms: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(MAINTENANCE_RANDOM_STREAM);
        if !random.random_bool(MAINTENANCE_PROBABILITY) {
            return;
        }
        let mut at_ms = FAULT_FREE_MS;
        while at_ms + FAULT_FREE_MS < end_ms {
            let targets = self.draw_command_targets(&mut random);
            let for_ms = random.random_range(MAINTENANCE_MS.0..=MAINTENANCE_MS.1);
            let amount = random.random_range(0..MAX_MAINTENANCE_AMOUNT);
            self.faults.push(ScheduledFault { kind: FaultKind::Maintenance, at_ms, for_ms, targets, amount });
            at_ms += random.random_range(GROUP_GAP_MS.0..=GROUP_GAP_MS.1);
        }
    }

    /// Draws upgrades with operators' commands, from a random stream of their own as well.
    fn draw_commands_in_upgrades(&mut self, end_ms: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(COMMANDS_IN_UPGRADE_RANDOM_STREAM);
        if !random.random_bool(MAINTENANCE_PROBABILITY) {
            return;
        }
        let starts = (FAULT_FREE_MS..).step_by(COMMANDS_IN_UPGRADE_GAP_MS);
        for at_ms in starts.take_while(|at_ms| at_ms + FAULT_FREE_MS < end_ms) {
            let targets = self.draw_command_targets(&mut random);
            let amount = random.random_range(0..MAX_UPGRADE_AMOUNT);
            let (kind, for_ms) = (FaultKind::CommandsInUpgrade, MAINTENANCE_MS.1);
            self.faults.push(ScheduledFault { kind, at_ms, for_ms, targets, amount });
        }
    }

    /// Draws the relays that get operators' commands.
    fn draw_command_targets(&self, random: &mut ChaCha8Rng) -> Vec<usize> {
        let count = random.random_range(1..=self.relays.div_ceil(2));
        let mut targets = rand::seq::index::sample(random, self.relays, count).into_vec();
        targets.sort_unstable();
        targets
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
            FaultKind::Upgrade | FaultKind::UpgradeDisk => random.random_range(0..MAX_UPGRADE_AMOUNT),
            _ => random.random_range(0..1_000),
        };
        let (shortest, longest) = match kind {
            FaultKind::DiskAtStart if amount % FAULTS_PER_LONG_DISK_AT_START == 0 => LONG_DISK_AT_START_MS,
            FaultKind::Disk | FaultKind::DiskAtStart | FaultKind::Sockets => (MIN_FAULT_MS, 1_500),
            FaultKind::Hold | FaultKind::ClockHold => (MIN_FAULT_MS, 1_000),
            FaultKind::UpgradeDisk => (MIN_FAULT_MS, 1_500),
            _ => (MIN_FAULT_MS, 4_000),
        };
        let for_ms = random.random_range(shortest..=longest).min(end_ms.saturating_sub(at_ms)).max(100);
        let count = if kind.targets_relays() { self.relays } else { self.endpoints };
        let target_count = random.random_range(1..=count.div_ceil(3));
        let mut targets = rand::seq::index::sample(random, count, target_count).into_vec();
        targets.sort_unstable();
        ScheduledFault { kind, at_ms, for_ms, targets, amount }
    }

    /// Reads a schedule from its file.
    ///
    /// # Errors
    /// If the file can't be read, or the schedule contains something that the soak does not support.
    pub fn read(path: &Path) -> Result<Schedule, SoakError> {
        let text = std::fs::read_to_string(path).map_err(SoakError::io(path.display().to_string()))?;
        let schedule: Schedule = serde_json::from_str(&text)
            .map_err(|source| SoakError::Schedule { path: path.to_path_buf(), source })?;
        schedule.check()?;
        Ok(schedule)
    }

    /// Returns the text of a schedule file.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    fn check(&self) -> Result<(), SoakError> {
        if self.relays == 0 || self.relays > MAX_RELAYS {
            return Err(SoakError::UnsupportedSchedule(format!(
                "{} relays: 1 to {MAX_RELAYS} are allowed",
                self.relays
            )));
        }
        if self.seconds < MIN_SECONDS {
            return Err(SoakError::UnsupportedSchedule(format!(
                "{} s: at least {MIN_SECONDS} s are needed",
                self.seconds
            )));
        }
        for fault in &self.faults {
            let count = if fault.kind.targets_relays() { self.relays } else { self.endpoints };
            if fault.kind.is_upgrade() && !self.inherited_sockets {
                return Err(SoakError::UnsupportedSchedule("an upgrade needs inherited sockets".into()));
            }
            if fault.targets.iter().any(|target| *target >= count) {
                return Err(SoakError::UnsupportedSchedule(format!(
                    "{}: a target does not exist",
                    fault.kind
                )));
            }
        }
        Ok(())
    }
}
