//! Concurrency limits: additive increase with answers, multiplicative decrease with failures.

use super::DeliveryPolicy;
use crate::interface::*;

pub(super) const CREDITS_AT_START: f64 = 4.0;
pub(super) const CREDITS_MOST: f64 = 24.0;
pub(super) const CREDITS_CUT: f64 = 0.6;
pub(super) const DEAD_ENDPOINT_RUN: u32 = 3; // failures in a row at one endpoint of several
pub(super) const SLOT_SHARE: f64 = 2.0; // calls out to one destination, as a multiple of the free slots

impl DeliveryPolicy {
    pub(super) fn calls_out(&self, dst: DestinationId) -> usize {
        self.calls.values().filter(|c| c.route.0 == dst).count()
    }
}
