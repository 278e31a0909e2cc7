//! Quantities as people write them, refused where they are impossible.

use fundu::{CustomDurationParser, CustomTimeUnit, Multiplier, TimeUnit};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// The units that a span of time may be written in.
const UNITS: [(TimeUnit, [&str; 1]); 5] = [
    (TimeUnit::MicroSecond, ["us"]),
    (TimeUnit::MilliSecond, ["ms"]),
    (TimeUnit::Second, ["s"]),
    (TimeUnit::Minute, ["min"]),
    (TimeUnit::Hour, ["h"]),
];

/// A quantity that can't be.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum QuantityError {
    /// The text is no span of time with a unit.
    #[error("{text:?} is no span of time; write it as \"1.5 s\", \"200 ms\" or \"2 min\"")]
    Span {
        /// What was written.
        text: String,
    },
    /// The number lies outside 0 to 1.
    #[error("{number} is no share: it must lie from 0 to 1")]
    Share {
        /// What was written.
        number: f64,
    },
    /// The number is not above 0.
    #[error("{number} is no rate: it must be above 0")]
    Rate {
        /// What was written.
        number: f64,
    },
    /// The number is below 0.
    #[error("{number} is no amount: it must be at least 0")]
    Amount {
        /// What was written.
        number: f64,
    },
}

/// A span of time, written with its unit: `"1.5 s"`, `"200 ms"`, `"2 min"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Duration);

impl Span {
    /// Seconds, with their fraction.
    pub fn seconds(self) -> f64 {
        self.0.as_secs_f64()
    }

    /// Whole microseconds.
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
    ($($(#[$doc:meta])* $name:ident: $is_possible:expr;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(pub f64);

        impl TryFrom<f64> for $name {
            type Error = QuantityError;

            fn try_from(number: f64) -> Result<$name, QuantityError> {
                let is_possible: fn(f64) -> bool = $is_possible;
                if is_possible(number) { Ok($name(number)) } else { Err(QuantityError::$name { number }) }
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
    /// A part of a whole, 0 to 1.
    Share: |number| (0.0..=1.0).contains(&number);
    /// Something a second, above 0.
    Rate: |number| number.is_finite() && number > 0.0;
    /// A finite number of at least 0.
    Amount: |number| number.is_finite() && number >= 0.0;
}
