//! Quantities in scenario files; parsing rejects invalid values.

use fundu::{CustomDurationParser, CustomTimeUnit, Multiplier, TimeUnit};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Units of durations in files.
const UNITS: [(TimeUnit, [&str; 1]); 5] = [
    (TimeUnit::MicroSecond, ["us"]),
    (TimeUnit::MilliSecond, ["ms"]),
    (TimeUnit::Second, ["s"]),
    (TimeUnit::Minute, ["min"]),
    (TimeUnit::Hour, ["h"]),
];

/// Invalid quantity.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum QuantityError {
    /// The text is not a duration with a unit.
    #[error("{text:?} is not a duration; write it as \"1.5 s\", \"200 ms\" or \"2 min\"")]
    Span {
        /// Value in the file.
        text: String,
    },
    /// The number is outside 0 to 1.
    #[error("{number} is not a valid share: it must be from 0 to 1")]
    Share {
        /// Value in the file.
        number: f64,
    },
    /// The number is not above 0.
    #[error("{number} is not a valid rate: it must be above 0")]
    Rate {
        /// Value in the file.
        number: f64,
    },
    /// The number is below 0.
    #[error("{number} is not a valid amount: it must be at least 0")]
    Amount {
        /// Value in the file.
        number: f64,
    },
}

/// Duration, written with its unit: `"1.5 s"`, `"200 ms"`, `"2 min"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Duration);

impl Span {
    /// Returns the duration in seconds, with the fraction.
    pub fn seconds(self) -> f64 {
        self.0.as_secs_f64()
    }

    /// Returns the duration in whole microseconds.
    pub fn us(self) -> u64 {
        self.0.as_micros() as u64
    }
}

impl TryFrom<String> for Span {
    type Error = QuantityError;

    fn try_from(text: String) -> Result<Span, QuantityError> {
        let mut parser = CustomDurationParser::builder().allow_time_unit_delimiter().build();
        for (unit, names) in &UNITS {
            parser.time_unit(CustomTimeUnit::new(*unit, names, Some(Multiplier(1, 0))));
        }
        // A bare number has no unit, and fundu would read it as seconds.
        if !text.trim_end().ends_with(|c: char| c.is_ascii_alphabetic()) {
            return Err(QuantityError::Span { text });
        }
        let Ok(parsed) = parser.parse(text.trim()) else { return Err(QuantityError::Span { text }) };
        parsed.try_into().map(Span).map_err(|_| QuantityError::Span { text })
    }
}

impl From<Span> for String {
    fn from(span: Span) -> String {
        if span.us().is_multiple_of(1_000_000) {
            format!("{} s", span.us() / 1_000_000)
        } else {
            format!("{} ms", span.us() as f64 / 1e3)
        }
    }
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident: $is_valid:expr;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(pub f64);

        impl TryFrom<f64> for $name {
            type Error = QuantityError;

            fn try_from(number: f64) -> Result<$name, QuantityError> {
                let is_valid: fn(f64) -> bool = $is_valid;
                if is_valid(number) { Ok($name(number)) } else { Err(QuantityError::$name { number }) }
            }
        }

        impl From<$name> for f64 {
            fn from(number: $name) -> f64 {
                number.0
            }
        }
    )*};
}

numbers! {
    /// Share of a whole, from 0 to 1.
    Share: |number| (0.0..=1.0).contains(&number);
    /// Rate per second, above 0.
    Rate: |number| number.is_finite() && number > 0.0;
    /// Finite number of at least 0.
    Amount: |number| number.is_finite() && number >= 0.0;
}
