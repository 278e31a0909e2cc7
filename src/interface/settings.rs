//! The settings that the decisions read, fixed at startup.

use super::{Decay, MessageClass, RelayId, ZoneId};
use std::time::Duration;

/// Bytes of a call of several messages, or of several notifications, at most: the protocol lets a body hold no more.
pub const MAX_CALL_BYTES: usize = 64 * 1024;

/// A kind of destination, as the settings describe it.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// Each endpoint is a route of its own, with its own limit and outages.
    pub independent_endpoints: bool,
    /// Messages in one call at most.
    pub max_batch: usize,
}

/// How the rate in the endpoint list is to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRate {
    /// As it stands.
    Exact,
    /// It may be off.
    Approximate,
    /// No rate is listed.
    #[default]
    Unknown,
}

/// The settings that the decisions read, fixed at startup.
#[derive(Clone, Debug, Default)]
pub struct PolicySettings {
    /// This relay.
    pub relay: RelayId,
    /// Seeds the jitter.
    pub seed: u64,
    /// How many relays send to the same destinations.
    pub relay_count: u32,
    /// The zone of this relay.
    pub zone: ZoneId,
    /// The message classes, by [`super::ClassId`].
    pub classes: Vec<MessageClass>,
    /// The kinds of destinations, by [`super::DestinationKindId`].
    pub destination_kinds: Vec<DestinationKind>,
    /// Each tenant's messages a second within its quota, over all relays, by [`super::TenantId`].
    pub tenant_quotas: Vec<f64>,
    /// How priority weights fall after the latency objective.
    pub decay: Decay,
    /// Calls in flight at most.
    pub max_calls_in_flight: usize,
    /// Messages held at most.
    pub max_queued: usize,
    /// Attempts for one message at most.
    pub max_attempts: u8,
    /// How the rate in the endpoint list is to be read.
    pub listed_rate: ListedRate,
    /// The endpoint list comes only when asked for.
    pub requires_polling: bool,
    /// Where it does: how often a relay is to ask.
    pub poll_interval: Duration,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// The longest `Retry-After` that a client may be told.
    pub max_retry_after: Duration,
    /// How long after a drain was told new messages may still arrive.
    pub drain_grace: Duration,
    /// How long an attempt that may still be running holds off the next message of its key.
    pub order_hold_off: Duration,
    /// The share of its rate that a destination bears as it comes back from an outage.
    pub slow_start_share: f64,
    /// How long it takes until the destination bears its whole rate again.
    pub slow_start_duration: Duration,
    /// A destination in slow start fails again under this multiple of what it bears ...
    pub overload_multiple: f64,
    /// ... within this span.
    pub overload_window: Duration,
    /// What a call costs by zone of the endpoint, by [`super::ZoneId`].
    pub zone_fees: Vec<f64>,
    /// What a call to another zone costs.
    pub cross_zone_price: f64,
}
