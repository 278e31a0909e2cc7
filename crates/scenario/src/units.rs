//! Quantities as people write them, refused where they are impossible.

use fundu::{CustomDurationParser, CustomTimeUnit, Multiplier, TimeUnit};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A span of time, written with its unit: `"1.5 s"`, `"200 ms"`, `"2 min"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Duration);

impl Span {
    pub fn seconds(self) -> f64 {
        self.0.as_secs_f64()
    }

    /// Whole microseconds.
    pub fn us(self) -> u64 {
        self.0.as_micros() as u64
    }
}

impl TryFrom<String> for Span {
    type Error = String;

    fn try_from(text: String) -> Result<Span, String> {
        let refuse =
            || format!("{text:?} is no span of time; write it as \"1.5 s\", \"200 ms\" or \"2 min\"");
        let units = [
            (TimeUnit::MicroSecond, "us"),
            (TimeUnit::MilliSecond, "ms"),
            (TimeUnit::Second, "s"),
            (TimeUnit::Minute, "min"),
            (TimeUnit::Hour, "h"),
        ];
        let ids: Vec<[&str; 1]> = units.iter().map(|u| [u.1]).collect();
        let mut parser = CustomDurationParser::builder().allow_time_unit_delimiter().build();
        for (i, (unit, _)) in units.iter().enumerate() {
            parser.time_unit(CustomTimeUnit::new(*unit, &ids[i], Some(Multiplier(1, 0))));
        }
        // A bare number has no unit, and fundu would read it as seconds.
        if !text.trim_end().ends_with(|c: char| c.is_ascii_alphabetic()) {
            return Err(refuse());
        }
        let span = parser.parse(text.trim()).map_err(|_| refuse())?;
        span.try_into().map(Span).map_err(|_| refuse())
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

macro_rules! amounts {
    ($($(#[$doc:meta])* $name:ident: $fits:expr, $what:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(pub f64);

        impl TryFrom<f64> for $name {
            type Error = String;

            fn try_from(n: f64) -> Result<$name, String> {
                let fits: fn(f64) -> bool = $fits;
                if fits(n) { Ok($name(n)) } else { Err(format!(concat!("{} is no ", $what), n)) }
            }
        }

        impl From<$name> for f64 {
            fn from(n: $name) -> f64 {
                n.0
            }
        }
    )*};
}

amounts! {
    /// A part of a whole, 0 to 1.
    Share: |n| (0.0..=1.0).contains(&n), "share: it must lie from 0 to 1";
    /// Something a second, above 0.
    Rate: |n| n.is_finite() && n > 0.0, "rate: it must be above 0";
    /// A finite number of at least 0.
    Amount: |n| n.is_finite() && n >= 0.0, "amount: it must be at least 0";
}
