//! Endpoints: what is known of each address of a destination.

use super::Ring;
use crate::interface::*;
use std::time::Duration;

#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) dst: DestinationId,
    pub(crate) zone: ZoneId,
    pub(crate) kind: DestinationKindId,
    pub(crate) off_since: Option<Duration>,
    pub(crate) limit: f64,
    pub(crate) out: u32,
    pub(crate) run: u32,
    pub(crate) rest_until: Duration,
    pub(crate) answers: Ring<24>,
    pub(crate) used_at: Duration,
}
