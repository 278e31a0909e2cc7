//! What can go wrong in an experiment, apart from the days themselves.

use mountshift_scenario::ScenarioError;
use std::error::Error;

/// Why an experiment or its report could not be made. Its message is one line.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A report needs at least one day.
    #[error("there are no days")]
    NoDays,
    /// A comparison needs days of the same scenario and seed on both sides.
    #[error("no scenario and seed was played on both sides")]
    NothingToPair,
    /// A chart or the page could not be drawn.
    #[error("the report can't be drawn: {0}")]
    Report(#[source] Box<dyn Error + Send + Sync>),
    /// The text of a scenario is no TOML.
    #[error("{shown}: {}", .source.message())]
    Syntax {
        /// The scenario's file as it is shown.
        shown: String,
        /// Where and why.
        #[source]
        source: toml::de::Error,
    },
    /// A path that is to be changed leads nowhere.
    #[error("{shown}: there is no {path}: nothing at {step:?}")]
    NoSuchValue {
        /// The scenario's file as it is shown.
        shown: String,
        /// The whole path.
        path: String,
        /// The step of the path that failed.
        step: String,
    },
    /// A changed scenario can't be written down.
    #[error(transparent)]
    Unwritable(#[from] toml::ser::Error),
    /// A changed scenario is refused.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
}

impl LabError {
    pub(crate) fn report(error: impl Error + Send + Sync + 'static) -> LabError {
        LabError::Report(Box::new(error))
    }
}
