//! Default values that several parts of a scenario share.

use crate::{Rate, Span};
use std::num::NonZeroU32;
use std::time::Duration;

pub(crate) const fn non_zero(number: u32) -> NonZeroU32 {
    match NonZeroU32::new(number) {
        Some(number) => number,
        None => NonZeroU32::MIN,
    }
}

pub(crate) const fn milliseconds(number: u64) -> Span {
    Span(Duration::from_millis(number))
}

pub(crate) fn one() -> Rate {
    Rate(1.0)
}

pub(crate) fn single() -> NonZeroU32 {
    non_zero(1)
}
