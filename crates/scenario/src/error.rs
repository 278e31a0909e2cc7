//! What can be wrong with a scenario. Each error's text is one line: the file, the line where one can be told, and
//! the reason.

use crate::{FORMAT, ScriptedFaultKind, Span};
use std::num::NonZeroU32;
use thiserror::Error;

/// Why a scenario was not read or written.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The scenario's file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The file as the user named it.
        file: String,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// The text is no TOML, or a field is unknown, missing or of an impossible value.
    #[error("{file}:{line}: {}", .source.message().replace('\n', " "))]
    Parse {
        /// The file as the user named it.
        file: String,
        /// The line of the mistake, from 1.
        line: usize,
        /// What the TOML reader says.
        source: Box<toml::de::Error>,
    },
    /// Every field can be read, but the scenario does not fit together.
    #[error("{file}:{line}: {source}")]
    Inconsistent {
        /// The file as the user named it.
        file: String,
        /// The line of the mistake, from 1.
        line: usize,
        /// What does not fit.
        source: Inconsistency,
    },
    /// The recorded day can't be opened.
    #[error("{file}: {source}")]
    OpenRecording {
        /// The CSV file.
        file: String,
        /// What the CSV reader says.
        source: csv::Error,
    },
    /// A line of the recorded day is malformed.
    #[error("{file}:{line}: {source}")]
    ParseRecording {
        /// The CSV file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What the CSV reader says.
        source: csv::Error,
    },
    /// A line of the recorded day does not fit the scenario.
    #[error("{file}:{line}: {source}")]
    InconsistentRecording {
        /// The CSV file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What does not fit.
        source: RecordingInconsistency,
    },
    /// The scenario can't be written as TOML.
    #[error(transparent)]
    Write(#[from] toml::ser::Error),
}

impl From<ScenarioError> for String {
    /// For callers that report one plain line.
    fn from(error: ScenarioError) -> String {
        error.to_string()
    }
}

/// A reason why a scenario does not fit together.
#[allow(missing_docs, reason = "the message beside each variant says what its fields are")]
#[derive(Debug, PartialEq, Error)]
pub enum Inconsistency {
    #[error("format {found} is not known; this program reads format {FORMAT}")]
    UnknownFormat { found: u32 },
    #[error("length: a day of no length")]
    NoLength,
    #[error("zones: {count} places; one to 200 are possible")]
    ZoneCount { count: usize },
    #[error("a day needs a lane and a group of destinations")]
    NothingToSend,
    #[error("two {kind} are called {name}")]
    DuplicateName { kind: &'static str, name: String },
    #[error("lane {class}: its deadline must come after its target time")]
    DeadlineBeforeObjective { class: String },
    #[error("lane {class} needs a memory")]
    MissingDeduplicationWindow { class: String },
    #[error("lane {class} takes no memory: it is not keyed")]
    NeedlessDeduplicationWindow { class: String },
    #[error("lane {class} takes no group: it is not keyed")]
    NeedlessDeduplicationScope { class: String },
    #[error("{name:?} can't name a group of destinations")]
    ImpossibleGroupName { name: String },
    #[error("clients.patience and relays.round_gap must be above 0")]
    ZeroInterval,
    #[error("relays.discovery bounds calls for the list, which relays make only with watch")]
    DiscoveryWithoutWatch,
    #[error("{subject}: it ends before it begins")]
    EndsBeforeStart { subject: String },
    #[error("{subject}: it begins after the day, which lasts {}", String::from(*.length))]
    StartsAfterDay { subject: String, length: Span },
    #[error("{kind}: who is struck?")]
    NoTarget { kind: ScriptedFaultKind },
    #[error("{kind}: it strikes {expected}, and {text:?} names none")]
    WrongTarget { kind: ScriptedFaultKind, expected: &'static str, text: String },
    #[error("{kind}: it needs {field}")]
    MissingField { kind: ScriptedFaultKind, field: &'static str },
    #[error("{kind}: it takes no {field}")]
    NeedlessField { kind: ScriptedFaultKind, field: &'static str },
    #[error("{kind}: level {level} is no share: it must lie from 0 to 1")]
    LevelNoShare { kind: ScriptedFaultKind, level: f64 },
    #[error("{kind}: level 0 does nothing")]
    ZeroLevel { kind: ScriptedFaultKind },
    #[error("{kind}: it must last a while, and less than the gap to the next")]
    ImpossibleDuration { kind: ScriptedFaultKind },
    #[error("{kind}: there is no lane {class}")]
    UnknownClass { kind: ScriptedFaultKind, class: String },
    #[error("{kind}: relays are cut off from endpoints, and {text:?} names none")]
    CutFromRelays { kind: ScriptedFaultKind, text: String },
    #[error(transparent)]
    Target(#[from] TargetError),
    #[error("{text:?}: there are no destinations called {name}")]
    UnknownGroup { text: String, name: String },
    #[error("{text:?}: {name} has {count} destinations, no {number}")]
    UnknownDestination { text: String, name: String, count: NonZeroU32, number: u32 },
    #[error("{text:?}: it has {count} endpoints, no {number}")]
    UnknownEndpoint { text: String, count: NonZeroU32, number: u32 },
    #[error("{text:?}: there are {count} relays")]
    UnknownRelay { text: String, count: NonZeroU32 },
}

/// A reason why a line of a recorded day does not fit its scenario.
#[allow(missing_docs, reason = "the message beside each variant says what its fields are")]
#[derive(Debug, PartialEq, Error)]
pub enum RecordingInconsistency {
    #[error("{seconds} s lies outside the day or before the line above")]
    OutOfOrder { seconds: f64 },
    #[error("there is no lane {class}")]
    UnknownClass { class: String },
    #[error("there is no destination {group}/{number}")]
    UnknownDestination { group: String, number: u32 },
}

/// A text that should name whom a trouble strikes and does not.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("{text:?} is no number (as in \"banks/3#0\" or \"relay/2\")")]
pub struct TargetError {
    /// The part of the text that should be a number.
    pub text: String,
}
