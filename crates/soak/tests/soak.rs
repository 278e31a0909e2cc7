//! Short soaks of real relays, and tests of schedules. CI runs the fixed schedule in this folder; longer soaks are run
//! by hand (`mountshift soak`).

use mountshift_soak::{FaultKind, MAX_RELAYS, Programs, Schedule, ScheduledFault, run_schedule};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns the relay and the shim of this build. The relay exists already when the tests of the whole workspace run;
/// otherwise this builds it.
fn programs() -> Programs {
    let test = std::env::current_exe().expect("a program");
    let dependencies = test.parent().expect("a folder");
    let relay = dependencies.with_file_name("mountshift-relay");
    if !relay.exists() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-p", "mountshift-relay"]);
        assert!(build.status().expect("cargo").success());
    }
    Programs { relay, shim: Some(dependencies.join("libmountshift_fault_shim.so")) }
}

fn fixed_schedule() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixed-schedule.json")
}

#[test]
fn every_invariant_holds_under_the_fixed_schedule() {
    let schedule = Schedule::read(&fixed_schedule()).expect("a schedule");
    let report = run_schedule(&schedule, &programs(), None).expect("a report");
    assert!(report.has_no_breaches(), "{}\n{:#?}", report.timeline, report.breaches);
    assert!(report.delivered > 500 && report.process_exits >= 6 && report.injected_faults > 0, "{report:?}");
}

/// Kinds of faults that the fixed schedule lacks.
const OTHER_KINDS: [FaultKind; 7] = [
    FaultKind::CopiedIds,
    FaultKind::Crowd,
    FaultKind::Signals,
    FaultKind::UpgradeDisk,
    FaultKind::ClockHold,
    FaultKind::SpoiltAnswers,
    FaultKind::LateConnects,
];
/// Seed whose schedule contains all of them.
const SEED_OF_OTHER_KINDS: u64 = 193;
/// Seed whose schedule contains all of them, endless answers and late copies.
const SEED_OF_ALL_OTHER_KINDS: u64 = 767;

/// Number of relays in most runs.
const RELAYS: usize = 4;
/// Kinds of faults beside which a successor may have to wait for the handover, at most 6 s, while messages expire.
const KINDS_BESIDE_DELAYED_HANDOVERS: [FaultKind; 3] =
    [FaultKind::Upgrade, FaultKind::Hang, FaultKind::BadClients];
/// Seed whose schedule contains handovers 4.5 s after the start of the successor.
const SEED_OF_DELAYED_HANDOVERS: u64 = 2;
/// Number of relays in the run of that seed.
const RELAYS_WITH_DELAYED_HANDOVERS: usize = 8;

/// Kinds of faults that together move discovery during upgrades, and change the list meanwhile.
const KINDS_OF_DISCOVERY: [FaultKind; 4] =
    [FaultKind::Upgrade, FaultKind::Reload, FaultKind::Drain, FaultKind::Discovery];
/// Seed whose schedule contains reloads during upgrades.
const SEED_OF_RELOADS: u64 = 22;
/// Seed whose schedule plays relays of a large fleet that polls for the list, with watches that fall silent.
const SEED_OF_SILENT_WATCHES: u64 = 18;
/// Kinds of faults around the upgrade of relays that poll for the list.
const KINDS_AROUND_POLLED_UPGRADES: [FaultKind; 3] =
    [FaultKind::Upgrade, FaultKind::Drain, FaultKind::Discovery];
/// Seed whose schedule plays upgrades of relays of such a fleet.
const SEED_OF_POLLED_UPGRADES: u64 = 140;
/// Kinds of faults around endpoints that operators take out of service while the list changes.
const KINDS_AROUND_MAINTENANCE: [FaultKind; 4] =
    [FaultKind::Maintenance, FaultKind::Drain, FaultKind::Upgrade, FaultKind::Stop];
/// Seed whose schedule contains endpoints that leave the list in maintenance and are put back.
const SEED_OF_MAINTENANCE: u64 = 46;
/// Kinds of faults around upgrades in which both processes take operators' commands.
const KINDS_AROUND_COMMANDS_IN_UPGRADES: [FaultKind; 3] =
    [FaultKind::CommandsInUpgrade, FaultKind::Upgrade, FaultKind::Hang];
/// Seed whose schedule contains such upgrades.
const SEED_OF_COMMANDS_IN_UPGRADES: u64 = 27;
/// Number of relays in the runs of these seeds.
const RELAYS_WITH_DISCOVERY_FAULTS: usize = 8;

/// Runs the schedule of a seed, which must contain every one of the kinds.
fn assert_invariants_hold_under(kinds: &[FaultKind], seed: u64, relays: usize) {
    let schedule = Schedule::draw(seed, 20, relays, kinds).expect("a schedule");
    assert!(kinds.iter().all(|kind| contains(&schedule, *kind)), "{}", schedule.to_json());
    assert_invariants_hold(&schedule);
}

fn contains(schedule: &Schedule, kind: FaultKind) -> bool {
    schedule.faults.iter().any(|fault| fault.kind == kind)
}

fn assert_invariants_hold(schedule: &Schedule) {
    let report = run_schedule(schedule, &programs(), None).expect("a report");
    assert!(report.has_no_breaches(), "{}\n{:#?}", report.timeline, report.breaches);
    assert!(report.delivered > 500 && report.process_exits > 0, "{report:?}");
}

#[test]
fn every_invariant_holds_under_the_kinds_of_faults_that_the_fixed_schedule_lacks() {
    assert_invariants_hold_under(&OTHER_KINDS, SEED_OF_OTHER_KINDS, RELAYS);
}

#[test]
fn every_invariant_holds_under_endless_answers_and_late_copies_beside_the_other_kinds() {
    let kinds = [&OTHER_KINDS[..], &[FaultKind::EndlessAnswers, FaultKind::LateCopies]].concat();
    assert_invariants_hold_under(&kinds, SEED_OF_ALL_OTHER_KINDS, RELAYS);
}

// Guards against messages that expire in a successor that waits for the handover. The other runs ask a successor at once
// or at times at which nothing expires.
#[test]
fn every_invariant_holds_under_delayed_handovers_beside_hanging_endpoints() {
    let relays = RELAYS_WITH_DELAYED_HANDOVERS;
    assert_invariants_hold_under(&KINDS_BESIDE_DELAYED_HANDOVERS, SEED_OF_DELAYED_HANDOVERS, relays);
}

// Guards against a configuration that reaches one of the two processes of an upgrade.
#[test]
fn every_invariant_holds_under_reloads_during_upgrades() {
    let relays = RELAYS_WITH_DISCOVERY_FAULTS;
    let schedule = Schedule::draw(SEED_OF_RELOADS, 20, relays, &KINDS_OF_DISCOVERY).expect("a schedule");
    assert!(contains(&schedule, FaultKind::Upgrade) && contains(&schedule, FaultKind::Reload));
    assert_invariants_hold(&schedule);
}

/// Runs the schedule of a seed, which must play relays of a large fleet that polls for the list.
fn assert_invariants_hold_where_lists_are_polled(kinds: &[FaultKind], seed: u64) {
    let schedule = Schedule::draw(seed, 20, RELAYS_WITH_DISCOVERY_FAULTS, kinds).expect("a schedule");
    assert!(schedule.polling.is_some() && contains(&schedule, FaultKind::Drain), "{}", schedule.to_json());
    assert_invariants_hold(&schedule);
}

// Guards against relays that poll, behind a watch that fell silent, after what it missed counts as known.
#[test]
fn every_invariant_holds_in_a_large_fleet_whose_watches_fall_silent() {
    assert_invariants_hold_where_lists_are_polled(&KINDS_OF_DISCOVERY, SEED_OF_SILENT_WATCHES);
}

// Guards against a successor that polls for the first time after changes count as known to it.
#[test]
fn every_invariant_holds_in_upgrades_of_a_large_fleet_that_polls() {
    assert_invariants_hold_where_lists_are_polled(&KINDS_AROUND_POLLED_UPGRADES, SEED_OF_POLLED_UPGRADES);
}

// Guards against messages to endpoints that left the list while they were out of service, once they are put back.
#[test]
fn every_invariant_holds_beside_operators_commands_and_changing_lists() {
    let relays = RELAYS_WITH_DISCOVERY_FAULTS;
    assert_invariants_hold_under(&KINDS_AROUND_MAINTENANCE, SEED_OF_MAINTENANCE, relays);
}

// Guards against commands that one process of an upgrade forgets as the other one takes a command too.
#[test]
fn every_invariant_holds_in_upgrades_with_operators_commands_at_both_processes() {
    let relays = RELAYS_WITH_DISCOVERY_FAULTS;
    assert_invariants_hold_under(&KINDS_AROUND_COMMANDS_IN_UPGRADES, SEED_OF_COMMANDS_IN_UPGRADES, relays);
}

#[test]
fn operators_commands_leave_the_other_draws_of_a_seed_as_they_are() {
    let has_commands =
        |kind: FaultKind| matches!(kind, FaultKind::Maintenance | FaultKind::CommandsInUpgrade);
    let is_other = |fault: &ScheduledFault| !has_commands(fault.kind);
    let others: Vec<FaultKind> = FaultKind::ALL.into_iter().filter(|kind| !has_commands(*kind)).collect();
    let mut seeds_with_commands = 0;
    for seed in 1..=20 {
        let all = Schedule::draw(seed, 60, 20, &FaultKind::ALL).expect("a schedule");
        let without_commands = Schedule::draw(seed, 60, 20, &others).expect("a schedule");
        seeds_with_commands += usize::from(contains(&all, FaultKind::Maintenance));
        let remaining: Vec<_> = all.faults.into_iter().filter(is_other).collect();
        assert_eq!(remaining, without_commands.faults, "seed {seed}");
    }
    assert!((5..=15).contains(&seeds_with_commands), "{seeds_with_commands}");
}

#[test]
fn schedules_differ_by_seed_only_and_have_overlapping_faults() {
    let draw = |seed| Schedule::draw(seed, 60, 20, &FaultKind::ALL).expect("a schedule");
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    let overlap_count = |schedule: &Schedule| {
        let faults = &schedule.faults;
        faults.windows(2).filter(|pair| pair[1].at_ms < pair[0].at_ms + pair[0].for_ms).count()
    };
    assert!((1..=20).all(|seed| overlap_count(&draw(seed)) >= 3));
}

#[test]
fn a_schedule_is_read_back_from_its_file() {
    let schedule = Schedule::draw(7, 60, 20, &FaultKind::ALL).expect("a schedule");
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), schedule.to_json()).expect("written");
    assert_eq!(Schedule::read(file.path()).expect("read"), schedule);
}

#[test]
fn invalid_soaks_are_rejected_with_one_line() {
    let assert_rejected = |seconds, relays| {
        let error = Schedule::draw(1, seconds, relays, &FaultKind::ALL).expect_err("an invalid schedule");
        assert_eq!(error.to_string().lines().count(), 1);
    };
    assert_rejected(60, 0);
    assert_rejected(60, MAX_RELAYS + 1);
    assert_rejected(1, 20);
    let missing = Programs { relay: "/nowhere/relay".into(), shim: None };
    let schedule = Schedule::draw(1, 60, 2, &[]).expect("a schedule");
    let error = run_schedule(&schedule, &missing, None).expect_err("a missing program");
    assert_eq!(error.to_string(), "/nowhere/relay: file not found; build the program or name another one");
}
