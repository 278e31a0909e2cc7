//! What can be wrong with the settings.

/// Why a settings object can't be used: one plain line each, which names the setting by its path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// A setting that every instance needs is not there.
    #[error("setting {path} is missing")]
    Missing {
        /// The setting's path, its parts joined by dots.
        path: String,
    },
    /// The text is not of the setting's type.
    #[error("setting {path}={text} can't be read")]
    Unreadable {
        /// The setting's path, its parts joined by dots.
        path: String,
        /// The text as given.
        text: String,
    },
    /// The number is negative, infinite or none.
    #[error("setting {path}={value} is no amount")]
    NotAnAmount {
        /// The setting's path, its parts joined by dots.
        path: String,
        /// The number as Rust writes it.
        value: String,
    },
    /// A count of zero, where at least one is needed.
    #[error("setting {path}={value} is none at all")]
    Zero {
        /// The setting's path, its parts joined by dots.
        path: String,
        /// The number as Rust writes it.
        value: String,
    },
    /// Two names in a list become one once spaces and commas are replaced.
    #[error("setting {list}: two names are read as {name}; they can't be told apart")]
    DuplicateName {
        /// The path of the list.
        list: String,
        /// The name that both become.
        name: String,
    },
    /// The number of the relay's zone is beyond the list of zones.
    #[error("setting zone={zone} is none of the {count} localities")]
    UnknownZone {
        /// The number given.
        zone: usize,
        /// How many zones are listed.
        count: usize,
    },
    /// A message class says what repeats of its messages do in a word that is none of the known ones.
    #[error("setting {path}={value} is not known")]
    UnknownIdempotency {
        /// The setting's path, its parts joined by dots.
        path: String,
        /// The word given.
        value: String,
    },
}
