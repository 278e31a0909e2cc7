//! The file format of a modelled fleet and its day, as TOML: destinations, endpoints, message classes, tenants,
//! relays, traffic, and a script of troubles. Unknown fields and impossible values are refused with file, line and
//! reason; what [`Scenario::read`] gives back fits together. See `docs/lab.md` for a field-by-field account.
//!
//! The names in files are older than those in code: `serde(rename)` translates them here, and nowhere else.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
mod clients;
mod defaults;
mod destinations;
mod error;
mod fault;
mod limit;
mod message_class;
mod relays;
mod rules;
mod tenant;
mod traffic;
mod units;

pub use clients::Clients;
pub use destinations::Group;
pub use error::{Inconsistency, RecordingInconsistency, ScenarioError, TargetError};
pub use fault::{FaultTarget, RequiredFields, ScriptedFault, ScriptedFaultKind, TargetKind};
pub use limit::{Limit, LimitBy, RetryAfterAccuracy};
pub use message_class::{DeduplicationScope, Idempotency, MessageClass};
pub use relays::{Discovery, ListedRate, Relays};
pub use rules::{Decay, Rules};
pub use tenant::Tenant;
pub use traffic::{Arrivals, RecordedMessage, Traffic, TrafficPeak};
pub use units::{Amount, QuantityError, Rate, Share, Span};

use serde::{Deserialize, Serialize};
use std::path::Path;
use toml::Spanned;

/// The version of the format that this package reads.
pub const FORMAT: u32 = 1;

/// A modelled fleet and its day.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The version of the file format.
    pub format: u32,
    /// What the day is meant to show, in a sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// Messages are submitted for so long; the day goes on until the last of them has its final answer.
    pub length: Spanned<Span>,
    /// The zones, by name.
    #[serde(default = "here")]
    pub zones: Vec<String>,
    /// The relays.
    #[serde(default)]
    pub relays: Relays,
    /// The thresholds of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// The clients.
    #[serde(default)]
    pub clients: Clients,
    /// The message classes.
    #[serde(rename = "lane")]
    pub classes: Vec<MessageClass>,
    /// The tenants.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// The groups of destinations.
    #[serde(rename = "destinations")]
    pub groups: Vec<Group>,
    /// The traffic.
    pub traffic: Traffic,
    /// What goes wrong, and when.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Spanned<ScriptedFault>>,
    /// What the day is called: its file's name without the ending.
    #[serde(skip)]
    pub name: String,
    /// The messages of a recorded day, where `traffic.replay` names one.
    #[serde(skip)]
    pub recorded_messages: Vec<RecordedMessage>,
}

fn here() -> Vec<String> {
    vec!["here".into()]
}

impl Scenario {
    /// Reads and checks a file, and the recorded day that it may name.
    ///
    /// # Errors
    /// If the file can't be read, or is no scenario that fits together.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Read { file: file.clone(), source })?;
        let mut scenario = Scenario::from_text(&text, &file)?;
        scenario.name = path.file_stem().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        if let Some(replay) = &scenario.traffic.replay {
            let recording = path.parent().unwrap_or(Path::new("")).join(replay);
            scenario.recorded_messages = check::read_recording(&recording, &scenario)?;
        }
        Ok(scenario)
    }

    /// Reads and checks a text; `shown` names it in complaints.
    ///
    /// # Errors
    /// As [`Scenario::read`].
    pub fn from_text(text: &str, shown: &str) -> Result<Scenario, ScenarioError> {
        let line_at = |byte: usize| text.get(..byte).map_or(1, |before| before.matches('\n').count() + 1);
        let scenario: Scenario = toml::from_str(text).map_err(|source| ScenarioError::Parse {
            file: shown.to_string(),
            line: source.span().map_or(1, |span| line_at(span.start)),
            source: Box::new(source),
        })?;
        check::check(&scenario).map_err(|complaint| ScenarioError::Inconsistent {
            file: shown.to_string(),
            line: line_at(complaint.byte),
            source: complaint.reason,
        })?;
        Ok(scenario)
    }

    /// The scenario as a file, so that a found or changed day can be kept.
    ///
    /// # Errors
    /// What the serializer says; no scenario that was read causes one.
    pub fn to_text(&self) -> Result<String, ScenarioError> {
        Ok(toml::to_string(self)?)
    }

    /// Destinations in all.
    pub fn destination_count(&self) -> u32 {
        self.groups.iter().map(|g| g.count.get()).sum()
    }
}
