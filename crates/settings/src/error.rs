//! Errors of the settings.

/// Reason why a settings object can't be used. Each message is one line that names the setting by its path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("setting {path} is missing")]
    Missing {
        /// The setting's path, its parts joined by dots.
        path: String,
    },
    /// The text can't be parsed as the setting's type.
    #[error("setting {path}={text} can't be read")]
    Unreadable {
        /// The setting's path, its parts joined by dots.
        path: String,
        /// The text as given.
        text: String,
    },
    /// The number is negative, infinite or NaN.
    #[error("setting {path}={value} is not a finite number of at least 0")]
    NegativeOrNotFinite {
        /// The setting's path, its parts joined by dots.
        path: String,
        /// The number as Rust writes it.
        value: String,
    },
    /// A count is zero, but must be at least one.
    #[error("setting {path}={value} must be at least 1")]
    Zero {
        /// The setting's path, its parts joined by dots.
        path: String,
        /// The number as Rust writes it.
        value: String,
    },
    /// Two names in a list are equal once spaces and commas are replaced.
    #[error("setting {list}: two names are both read as {name} and can't be distinguished")]
    DuplicateName {
        /// The path of the list.
        list: String,
        /// The name as which both are read.
        name: String,
    },
    /// The number of the relay's zone is not in the list of zones.
    #[error("setting zone={zone} is out of range: there are {count} localities")]
    UnknownZone {
        /// The number given.
        zone: usize,
        /// The number of listed zones.
        count: usize,
    },
    /// The idempotency of a message class has an unknown value.
    #[error("setting {path}={value} is not known")]
    UnknownIdempotency {
        /// The setting's path, its parts joined by dots.
        path: String,
        /// The value as given.
        value: String,
    },
}
