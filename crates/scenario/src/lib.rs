//! TOML format of a modelled fleet and its day: destinations, endpoints, message classes, tenants, relays, traffic
//! and scripted faults. Unknown fields and invalid values are rejected with file, line and reason; a scenario
//! returned by [`Scenario::read`] is consistent. `docs/lab.md` describes each field.
//!
//! Some names in files differ from those in code; only the `serde(rename)` attributes here translate them.
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

/// Version of the format that this package reads.
pub const FORMAT: u32 = 1;

/// Modelled fleet and its day.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Version of the file format.
    pub format: u32,
    /// Purpose of the day in a sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// Time during which messages are submitted; the day ends once the last of them has its final answer.
    pub length: Spanned<Span>,
    /// Names of the zones.
    #[serde(default = "default_zones")]
    pub zones: Vec<String>,
    /// Relays.
    #[serde(default)]
    pub relays: Relays,
    /// Thresholds of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// Clients.
    #[serde(default)]
    pub clients: Clients,
    /// Message classes.
    #[serde(rename = "lane")]
    pub classes: Vec<MessageClass>,
    /// Tenants.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// Groups of destinations.
    #[serde(rename = "destinations")]
    pub groups: Vec<Group>,
    /// Traffic.
    pub traffic: Traffic,
    /// Scripted faults.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Spanned<ScriptedFault>>,
    /// Name of the scenario: its file name without the extension.
    #[serde(skip)]
    pub name: String,
    /// Messages of the recorded day that `traffic.replay` names, if any.
    #[serde(skip)]
    pub recorded_messages: Vec<RecordedMessage>,
}

fn default_zones() -> Vec<String> {
    vec!["here".into()]
}

impl Scenario {
    /// Reads and checks a file and the recorded day that it may name.
    ///
    /// # Errors
    /// If a file can't be read, or does not hold a consistent scenario.
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

    /// Reads and checks a text; `file` is its name in errors.
    ///
    /// # Errors
    /// As [`Scenario::read`].
    pub fn from_text(text: &str, file: &str) -> Result<Scenario, ScenarioError> {
        let line_at = |byte: usize| text.get(..byte).map_or(1, |before| before.matches('\n').count() + 1);
        let scenario: Scenario = toml::from_str(text).map_err(|source| ScenarioError::Parse {
            file: file.to_string(),
            line: source.span().map_or(1, |span| line_at(span.start)),
            source: Box::new(source),
        })?;
        check::check(&scenario).map_err(|located| ScenarioError::Inconsistent {
            file: file.to_string(),
            line: line_at(located.byte),
            source: located.reason,
        })?;
        Ok(scenario)
    }

    /// Returns the scenario as the text of a file.
    ///
    /// # Errors
    /// If the serializer fails, which it does for no scenario that was read.
    pub fn to_text(&self) -> Result<String, ScenarioError> {
        Ok(toml::to_string(self)?)
    }

    /// Returns the number of destinations of all groups.
    pub fn destination_count(&self) -> u32 {
        self.groups.iter().map(|g| g.count.get()).sum()
    }
}
