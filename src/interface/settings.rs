//! The settings that the decisions read, fixed at startup.

use super::{Decay, MessageClass, RelayId, ZoneId};
use std::time::Duration;

/// Maximum body size, in bytes, of a call of several messages or notifications, as the protocol defines it.
pub const MAX_CALL_BYTES: usize = 64 * 1024;

/// A kind of destination, as defined by the settings.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// Whether each endpoint is a separate route, with its own rate limit and breaker.
    pub independent_endpoints: bool,
    /// Maximum number of messages in one call.
    pub max_batch: usize,
}

/// Accuracy of the rates in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRate {
    /// The rate is exact.
    Exact,
    /// The rate may deviate.
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
    /// Seed of the jitter.
    pub seed: u64,
    /// Number of relays that send to the same destinations.
    pub relay_count: u32,
    /// The zone of this relay.
    pub zone: ZoneId,
    /// The message classes, by [`super::ClassId`].
    pub classes: Vec<MessageClass>,
    /// The kinds of destinations, by [`super::DestinationKindId`].
    pub destination_kinds: Vec<DestinationKind>,
    /// Each tenant's quota, in messages per second over all relays, by [`super::TenantId`].
    pub tenant_quotas: Vec<f64>,
    /// Decay of priority weights after the latency objective.
    pub decay: Decay,
    /// Maximum number of calls in flight.
    pub max_calls_in_flight: usize,
    /// Maximum number of messages held.
    pub max_queued: usize,
    /// Maximum number of attempts for one message.
    pub max_attempts: u8,
    /// Accuracy of the rates in the endpoint list.
    pub listed_rate: ListedRate,
    /// Whether the relay must poll discovery for the endpoint list.
    pub requires_polling: bool,
    /// Interval between polls of a relay that must poll.
    pub poll_interval: Duration,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Longest `Retry-After` that may be sent to a client.
    pub max_retry_after: Duration,
    /// Time after the announcement of a drain in which new messages may still arrive at the endpoint.
    pub drain_grace: Duration,
    /// Hold-off of a key after an attempt that may still be running.
    pub order_hold_off: Duration,
    /// Share of its rate that a destination can handle right after an outage.
    pub slow_start_share: f64,
    /// Time after an outage until the destination can handle its whole rate again.
    pub slow_start_duration: Duration,
    /// Load under which a destination in slow start fails again, as a multiple of the rate that it can handle.
    pub overload_multiple: f64,
    /// Time within which an overload makes a destination in slow start fail again.
    pub overload_window: Duration,
    /// Cost of a call, by [`super::ZoneId`] of the endpoint.
    pub zone_fees: Vec<f64>,
    /// Cost of a call to another zone.
    pub cross_zone_price: f64,
}
