//! Errors of experiments and reports.

use mountshift_scenario::ScenarioError;
use std::error::Error;

/// Error of an experiment or a report. Its message is one line.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A report was requested without any simulated day.
    #[error("no days to report on")]
    NoDays,
    /// The two sides of a comparison have no scenario and seed in common.
    #[error("the two sides have no scenario and seed in common")]
    NoCommonDays,
    /// A chart or the page of a report could not be rendered.
    #[error("can't render the report: {0}")]
    Report(#[source] Box<dyn Error + Send + Sync>),
    /// The text of a scenario is not valid TOML.
    #[error("{file}: {}", .source.message())]
    Syntax {
        /// Scenario file as the user named it.
        file: String,
        /// Error of the TOML parser.
        #[source]
        source: toml::de::Error,
    },
    /// The path of a value to change does not exist in the scenario.
    #[error("{file}: no value at {path}: {step:?} does not exist")]
    NoSuchValue {
        /// Scenario file as the user named it.
        file: String,
        /// Complete path.
        path: String,
        /// First step of the path that does not exist.
        step: String,
    },
    /// A changed scenario can't be written as TOML.
    #[error(transparent)]
    Serialize(#[from] toml::ser::Error),
    /// A changed scenario is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
}

impl LabError {
    pub(crate) fn report(error: impl Error + Send + Sync + 'static) -> LabError {
        LabError::Report(Box::new(error))
    }
}
