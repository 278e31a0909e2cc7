//! Errors of scenarios. Each error is one line of text: the file, the line number where known, and the reason.

use crate::{FORMAT, ScriptedFaultKind, Span};
use std::num::NonZeroU32;
use thiserror::Error;

/// Reason why a scenario could not be read or written.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The scenario's file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// File as the user named it.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid TOML, or a field is unknown, missing or invalid.
    #[error("{file}:{line}: {}", .source.message().replace('\n', " "))]
    Parse {
        /// File as the user named it.
        file: String,
        /// Line of the error, counted from 1.
        line: usize,
        /// Error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// Each field is valid, but the scenario is inconsistent.
    #[error("{file}:{line}: {source}")]
    Inconsistent {
        /// File as the user named it.
        file: String,
        /// Line of the error, counted from 1.
        line: usize,
        /// Inconsistency.
        source: Inconsistency,
    },
    /// The recorded day can't be opened.
    #[error("{file}: {source}")]
    OpenRecording {
        /// CSV file.
        file: String,
        /// Error of the CSV reader.
        source: csv::Error,
    },
    /// A line of the recorded day is malformed.
    #[error("{file}:{line}: {source}")]
    ParseRecording {
        /// CSV file.
        file: String,
        /// Line, counted from 1.
        line: usize,
        /// Error of the CSV reader.
        source: csv::Error,
    },
    /// A line of the recorded day is inconsistent with the scenario.
    #[error("{file}:{line}: {source}")]
    InconsistentRecording {
        /// CSV file.
        file: String,
        /// Line, counted from 1.
        line: usize,
        /// Inconsistency.
        source: RecordingInconsistency,
    },
    /// The scenario can't be written as TOML.
    #[error(transparent)]
    Write(#[from] toml::ser::Error),
}

impl From<ScenarioError> for String {
    /// Returns the error as one line of text.
    fn from(error: ScenarioError) -> String {
        error.to_string()
    }
}

/// Reason why a scenario is inconsistent.
#[allow(missing_docs, reason = "the error text of each variant explains its fields")]
#[derive(Debug, PartialEq, Error)]
pub enum Inconsistency {
    #[error("format {found} is not supported; this program reads format {FORMAT}")]
    UnknownFormat { found: u32 },
    #[error("`length` must be above 0")]
    ZeroLength,
    #[error("zones: there are {count}, but 1 to 200 are allowed")]
    ZoneCount { count: usize },
    #[error("at least one [[lane]] and one [[destinations]] are required")]
    MissingClassOrGroup,
    #[error("two [[{kind}]] have the name {name}")]
    DuplicateName { kind: &'static str, name: String },
    #[error("lane {class}: `deadline` must be longer than `target`")]
    DeadlineBeforeObjective { class: String },
    #[error("lane {class}: effect `keyed` requires `memory`")]
    MissingDeduplicationWindow { class: String },
    #[error("lane {class}: `memory` requires effect `keyed`")]
    UnexpectedDeduplicationWindow { class: String },
    #[error("lane {class}: `group` requires effect `keyed`")]
    UnexpectedDeduplicationScope { class: String },
    #[error("{name:?} is not a valid name for a group of destinations")]
    InvalidGroupName { name: String },
    #[error("clients.patience and relays.round_gap must be above 0")]
    ZeroInterval,
    #[error("relays.discovery limits calls for the endpoint list, which relays make only with relays.watch")]
    DiscoveryWithoutWatch,
    #[error("{subject}: `to` must be later than `from`")]
    EndsBeforeStart { subject: String },
    #[error("{subject}: `from` must be within the day, which lasts {}", String::from(*.length))]
    StartsAfterDay { subject: String, length: Span },
    #[error("{kind}: `who` must name at least one target")]
    NoTarget { kind: ScriptedFaultKind },
    #[error("{kind}: `who` must name {expected}, but {text:?} does not")]
    WrongTarget { kind: ScriptedFaultKind, expected: &'static str, text: String },
    #[error("{kind}: missing {field}")]
    MissingField { kind: ScriptedFaultKind, field: &'static str },
    #[error("{kind}: unexpected {field}")]
    UnexpectedField { kind: ScriptedFaultKind, field: &'static str },
    #[error("{kind}: level {level} must be from 0 to 1")]
    LevelOutOfRange { kind: ScriptedFaultKind, level: f64 },
    #[error("{kind}: level 0 does nothing")]
    ZeroLevel { kind: ScriptedFaultKind },
    #[error("{kind}: `lasts` must be above 0 and shorter than `every`")]
    InvalidDuration { kind: ScriptedFaultKind },
    #[error("{kind}: there is no lane {class}")]
    UnknownClass { kind: ScriptedFaultKind, class: String },
    #[error("{kind}: `off` must name endpoints, but {text:?} does not")]
    CutFromRelays { kind: ScriptedFaultKind, text: String },
    #[error(transparent)]
    Target(#[from] TargetError),
    #[error("{text:?}: there is no group of destinations named {name}")]
    UnknownGroup { text: String, name: String },
    #[error("{text:?}: there is no destination {number}; {name} has {count}, numbered from 0")]
    UnknownDestination { text: String, name: String, count: NonZeroU32, number: u32 },
    #[error("{text:?}: there is no endpoint {number}; the destination has {count}, numbered from 0")]
    UnknownEndpoint { text: String, count: NonZeroU32, number: u32 },
    #[error("{text:?}: there is no such relay; there are {count}, numbered from 0")]
    UnknownRelay { text: String, count: NonZeroU32 },
}

/// Reason why a line of a recorded day is inconsistent with its scenario.
#[allow(missing_docs, reason = "the error text of each variant explains its fields")]
#[derive(Debug, PartialEq, Error)]
pub enum RecordingInconsistency {
    #[error("{seconds} s is outside the day or earlier than the previous line")]
    OutOfOrder { seconds: f64 },
    #[error("there is no lane {class}")]
    UnknownClass { class: String },
    #[error("there is no destination {group}/{number}")]
    UnknownDestination { group: String, number: u32 },
}

/// Text that should name a target of a fault and does not.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("{text:?} is not a number (as in \"banks/3#0\" or \"relay/2\")")]
pub struct TargetError {
    /// Part of the text that should be a number.
    pub text: String,
}
