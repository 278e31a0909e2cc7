//! Checks that the fields of a scenario are consistent with each other.

use crate::error::{Inconsistency, RecordingInconsistency, ScenarioError};
use crate::{
    FORMAT, FaultTarget, Group, Idempotency, MessageClass, RecordedMessage, RequiredFields, Scenario,
    ScriptedFault, ScriptedFaultKind, TargetKind,
};
use std::path::Path;

/// Maximum number of zones. Zone numbers fit into a byte; the remaining values are left for ids that stand for
/// no zone.
const MAX_ZONES: usize = 200;

/// Names with a special meaning among the targets of a fault.
const RESERVED_GROUP_NAMES: [&str; 3] = ["", "relay", "relays"];

/// Inconsistency with its byte position in the text of the scenario.
pub(crate) struct LocatedError {
    pub(crate) byte: usize,
    pub(crate) reason: Inconsistency,
}

impl LocatedError {
    fn at(byte: usize, reason: Inconsistency) -> LocatedError {
        LocatedError { byte, reason }
    }

    /// Creates an error about the scenario as a whole.
    fn without_position(reason: Inconsistency) -> LocatedError {
        LocatedError { byte: 0, reason }
    }
}

/// Checks a scenario after parsing.
pub(crate) fn check(scenario: &Scenario) -> Result<(), LocatedError> {
    check_structure(scenario)?;
    for class in &scenario.classes {
        check_class(class)?;
    }
    for group in &scenario.groups {
        check_group_name(group)?;
    }
    check_intervals(scenario)?;
    for peak in &scenario.traffic.peaks {
        let (byte, peak) = (peak.span().start, peak.as_ref());
        check_period(byte, "rush", peak.from.us(), peak.to.us(), scenario)?;
    }
    for fault in &scenario.faults {
        check_fault(fault.span().start, fault.as_ref(), scenario)?;
    }
    Ok(())
}

fn check_structure(scenario: &Scenario) -> Result<(), LocatedError> {
    let length_byte = scenario.length.span().start;
    if scenario.format != FORMAT {
        return Err(LocatedError::without_position(Inconsistency::UnknownFormat { found: scenario.format }));
    }
    if scenario.length.as_ref().us() == 0 {
        return Err(LocatedError::at(length_byte, Inconsistency::ZeroLength));
    }
    if scenario.zones.is_empty() || scenario.zones.len() > MAX_ZONES {
        return Err(LocatedError::without_position(Inconsistency::ZoneCount { count: scenario.zones.len() }));
    }
    if scenario.classes.is_empty() || scenario.groups.is_empty() {
        return Err(LocatedError::without_position(Inconsistency::MissingClassOrGroup));
    }
    let class_names = scenario.classes.iter().map(|class| (length_byte, class.name.as_str()));
    check_unique_names("lane", class_names)?;
    let group_names =
        scenario.groups.iter().map(|group| (group.name.span().start, group.name.as_ref().as_str()));
    check_unique_names("destinations", group_names)
}

fn check_unique_names<'a>(
    kind: &'static str,
    names: impl Iterator<Item = (usize, &'a str)>,
) -> Result<(), LocatedError> {
    let mut seen = std::collections::BTreeSet::new();
    for (byte, name) in names {
        if !seen.insert(name) {
            return Err(LocatedError::at(byte, Inconsistency::DuplicateName { kind, name: name.into() }));
        }
    }
    Ok(())
}

fn check_class(class: &MessageClass) -> Result<(), LocatedError> {
    let byte = class.deadline.span().start;
    let name = || class.name.clone();
    if class.deadline.as_ref().0 <= class.latency_objective.0 {
        return Err(LocatedError::at(byte, Inconsistency::DeadlineBeforeObjective { class: name() }));
    }
    let is_keyed = class.idempotency == Idempotency::WithKey;
    if is_keyed && class.deduplication_window.is_none() {
        return Err(LocatedError::at(byte, Inconsistency::MissingDeduplicationWindow { class: name() }));
    }
    if !is_keyed && class.deduplication_window.is_some() {
        return Err(LocatedError::at(byte, Inconsistency::UnexpectedDeduplicationWindow { class: name() }));
    }
    if let Some(scope) = &class.deduplication_scope
        && !is_keyed
    {
        let byte = scope.span().start;
        return Err(LocatedError::at(byte, Inconsistency::UnexpectedDeduplicationScope { class: name() }));
    }
    Ok(())
}

fn check_group_name(group: &Group) -> Result<(), LocatedError> {
    let name = group.name.as_ref();
    if RESERVED_GROUP_NAMES.contains(&name.as_str()) || name.contains(['/', '#', '*']) {
        let byte = group.name.span().start;
        return Err(LocatedError::at(byte, Inconsistency::InvalidGroupName { name: name.clone() }));
    }
    Ok(())
}

fn check_intervals(scenario: &Scenario) -> Result<(), LocatedError> {
    if scenario.clients.submit_timeout.us() == 0 || scenario.relays.min_step_interval.us() == 0 {
        return Err(LocatedError::without_position(Inconsistency::ZeroInterval));
    }
    if scenario.relays.discovery.is_some() && !scenario.relays.watch {
        return Err(LocatedError::without_position(Inconsistency::DiscoveryWithoutWatch));
    }
    Ok(())
}

/// Checks that a period starts within the day and ends after its start. `subject` names it in errors.
fn check_period(
    byte: usize,
    subject: &str,
    from: u64,
    to: u64,
    scenario: &Scenario,
) -> Result<(), LocatedError> {
    let length = *scenario.length.as_ref();
    let subject = subject.to_string();
    if from >= to {
        return Err(LocatedError::at(byte, Inconsistency::EndsBeforeStart { subject }));
    }
    if from >= length.us() {
        return Err(LocatedError::at(byte, Inconsistency::StartsAfterDay { subject, length }));
    }
    Ok(())
}

fn check_fault(byte: usize, fault: &ScriptedFault, scenario: &Scenario) -> Result<(), LocatedError> {
    let kind = fault.kind;
    let required = kind.required_fields();
    check_period(byte, &kind.to_string(), fault.from.us(), fault.to.us(), scenario)?;
    check_targets(byte, fault, scenario)?;
    check_fields(fault, required).map_err(|reason| LocatedError::at(byte, reason))?;
    check_level(fault, required).map_err(|reason| LocatedError::at(byte, reason))?;
    if let (Some(every), Some(lasts)) = (fault.repeat_interval, fault.occurrence_duration)
        && (lasts.us() == 0 || lasts.us() >= every.us())
    {
        return Err(LocatedError::at(byte, Inconsistency::InvalidDuration { kind }));
    }
    if let Some(class) = &fault.class
        && !has_class(scenario, class)
    {
        return Err(LocatedError::at(byte, Inconsistency::UnknownClass { kind, class: class.clone() }));
    }
    for text in &fault.cut_from {
        if read_target(byte, text, scenario)?.kind() == TargetKind::Relays {
            return Err(LocatedError::at(byte, Inconsistency::CutFromRelays { kind, text: text.clone() }));
        }
    }
    Ok(())
}

fn check_targets(byte: usize, fault: &ScriptedFault, scenario: &Scenario) -> Result<(), LocatedError> {
    let kind = fault.kind;
    if fault.targets.is_empty() {
        return Err(LocatedError::at(byte, Inconsistency::NoTarget { kind }));
    }
    for text in &fault.targets {
        let target = read_target(byte, text, scenario)?;
        if target.kind() != kind.target_kind_and_description().0 {
            let expected = match kind.target_kind_and_description().0 {
                TargetKind::Endpoints => "endpoints",
                TargetKind::Relays => "relays",
            };
            let text = text.clone();
            return Err(LocatedError::at(byte, Inconsistency::WrongTarget { kind, expected, text }));
        }
    }
    Ok(())
}

/// Checks that a fault has the fields that its kind requires, and no others.
fn check_fields(fault: &ScriptedFault, required: RequiredFields) -> Result<(), Inconsistency> {
    let kind: ScriptedFaultKind = fault.kind;
    let fields = [
        ("level", required.level_fraction || required.level, fault.level.is_some()),
        (
            "every and lasts",
            required.repetition,
            fault.repeat_interval.is_some() && fault.occurrence_duration.is_some(),
        ),
        ("every", required.repetition, fault.repeat_interval.is_some()),
        ("lasts", required.repetition, fault.occurrence_duration.is_some()),
        ("lane", required.class, fault.class.is_some()),
        ("off", required.cut_from, !fault.cut_from.is_empty()),
    ];
    for (field, is_required, is_given) in fields {
        if is_required && !is_given {
            return Err(Inconsistency::MissingField { kind, field });
        }
        if is_given && !is_required {
            return Err(Inconsistency::UnexpectedField { kind, field });
        }
    }
    Ok(())
}

fn check_level(fault: &ScriptedFault, required: RequiredFields) -> Result<(), Inconsistency> {
    let kind = fault.kind;
    let Some(level) = fault.level.map(|level| level.0) else { return Ok(()) };
    if required.level_fraction && level > 1.0 {
        return Err(Inconsistency::LevelOutOfRange { kind, level });
    }
    if level == 0.0 {
        return Err(Inconsistency::ZeroLevel { kind });
    }
    Ok(())
}

/// Parses a target and checks that the scenario has it.
fn read_target(byte: usize, text: &str, scenario: &Scenario) -> Result<FaultTarget, LocatedError> {
    let locate = |reason| LocatedError::at(byte, reason);
    let target = FaultTarget::parse(text).map_err(|error| locate(error.into()))?;
    match &target {
        FaultTarget::Group(name, destination, endpoint) => {
            check_group_target(text, name, *destination, *endpoint, scenario).map_err(locate)?;
        }
        FaultTarget::Relay(number) if *number >= scenario.relays.count.get() => {
            let count = scenario.relays.count;
            return Err(locate(Inconsistency::UnknownRelay { text: text.into(), count }));
        }
        _ => {}
    }
    Ok(target)
}

fn check_group_target(
    text: &str,
    name: &str,
    destination: Option<u32>,
    endpoint: Option<u32>,
    scenario: &Scenario,
) -> Result<(), Inconsistency> {
    let (text, name) = (text.to_string(), name.to_string());
    let Some(group) = find_group(scenario, &name) else {
        return Err(Inconsistency::UnknownGroup { text, name });
    };
    if let Some(number) = destination
        && number >= group.count.get()
    {
        return Err(Inconsistency::UnknownDestination { text, name, count: group.count, number });
    }
    if let Some(number) = endpoint
        && number >= group.endpoints.get()
    {
        return Err(Inconsistency::UnknownEndpoint { text, count: group.endpoints, number });
    }
    Ok(())
}

fn find_group<'a>(scenario: &'a Scenario, name: &str) -> Option<&'a Group> {
    scenario.groups.iter().find(|group| group.name.as_ref() == name)
}

fn has_class(scenario: &Scenario, name: &str) -> bool {
    scenario.classes.iter().any(|class| class.name == name)
}

/// Reads a recorded day and checks each line against the scenario.
pub(crate) fn read_recording(
    path: &Path,
    scenario: &Scenario,
) -> Result<Vec<RecordedMessage>, ScenarioError> {
    let file = path.display().to_string();
    let mut reader = csv::Reader::from_path(path)
        .map_err(|source| ScenarioError::OpenRecording { file: file.clone(), source })?;
    let mut rows: Vec<RecordedMessage> = Vec::new();
    for (index, row) in reader.deserialize::<RecordedMessage>().enumerate() {
        // Lines count from 1, and the first is the header.
        let line = index + 2;
        let row = row.map_err(|source| ScenarioError::ParseRecording { file: file.clone(), line, source })?;
        let earliest = rows.last().map_or(0.0, |previous| previous.seconds);
        check_row(&row, earliest, scenario).map_err(|source| ScenarioError::InconsistentRecording {
            file: file.clone(),
            line,
            source,
        })?;
        rows.push(row);
    }
    Ok(rows)
}

fn check_row(
    row: &RecordedMessage,
    earliest: f64,
    scenario: &Scenario,
) -> Result<(), RecordingInconsistency> {
    let day = earliest..=scenario.length.as_ref().seconds();
    if !day.contains(&row.seconds) {
        return Err(RecordingInconsistency::OutOfOrder { seconds: row.seconds });
    }
    if !has_class(scenario, &row.class) {
        return Err(RecordingInconsistency::UnknownClass { class: row.class.clone() });
    }
    let group = find_group(scenario, &row.group);
    if group.is_none_or(|group| row.number >= group.count.get()) {
        return Err(RecordingInconsistency::UnknownDestination {
            group: row.group.clone(),
            number: row.number,
        });
    }
    Ok(())
}
