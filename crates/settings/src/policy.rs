//! What the decisions read.

use crate::flat::{FlatSettings, amount};
use mountshift::interface::*;

/// The number of this relay among its peers.
pub fn relay_id(pairs: &FlatSettings) -> Result<RelayId, String> {
    pairs.or("me", 0).map(RelayId)
}

pub fn policy_settings(pairs: &FlatSettings, relay: RelayId, seed: u64) -> Result<PolicySettings, String> {
    let mut classes = Vec::new();
    for i in 0..pairs.count::<u16>("classes.count")? {
        classes.push(message_class(pairs, &format!("classes.{i}"))?);
    }
    let independent_endpoints: Vec<bool> = pairs.list("familyInfo.ownLimits")?;
    let batch: Vec<usize> = pairs.list("familyInfo.kindBatch")?;
    let kinds = pairs.list::<String>("kinds")?;
    let kind = |i: usize| DestinationKind {
        independent_endpoints: independent_endpoints.get(i).copied().unwrap_or(false),
        max_batch: batch.get(i).copied().unwrap_or(1).max(1),
    };
    let mut tenant_quotas = Vec::new();
    for i in 0..pairs.or::<u32>("tenants.count", 0)? {
        tenant_quotas.push(pairs.number(&format!("tenants.{i}.quotaPerS"))?);
    }
    Ok(PolicySettings {
        relay,
        seed,
        relay_count: pairs.need::<u32>("balancers")?.max(1),
        zone: ZoneId(pairs.or("zone", 0)?),
        classes,
        destination_kinds: (0..kinds.len()).map(kind).collect(),
        tenant_quotas,
        decay: match pairs.or("familyInfo.decay", "linear".to_string())?.as_str() {
            "halving" => Decay::Halving,
            _ => Decay::Linear,
        },
        max_calls_in_flight: pairs.count::<u32>("familyInfo.callsOut")? as usize,
        max_queued: pairs.count::<u32>("limits.openCap")? as usize,
        max_attempts: pairs.count::<u32>("limits.maxAttempts")?.min(255) as u8,
        listed_rate: match pairs.or("weights", "none".to_string())?.as_str() {
            "nominal" => ListedRate::Exact,
            "rough" => ListedRate::Approximate,
            _ => ListedRate::Unknown,
        },
        must_poll: pairs.or("discovery", "automatic".to_string())? == "subscribe",
        poll_interval: pairs.span_or_none("obligations.askWithin")?,
        may_cancel: pairs.or("limits.cancel", false)?,
        max_retry_after: pairs.span_or_none("limits.maxRetryAfter")?,
        drain_grace: pairs.span_or_none("obligations.drainGrace")?,
        order_hold_off: pairs.span_or_none("obligations.orderPause")?,
        slow_start_share: pairs.number("obligations.coldFrom")?,
        slow_start_duration: pairs.span("obligations.warmAfter")?,
        overload_multiple: pairs.number("obligations.fallMultiple")?,
        overload_window: pairs.span("obligations.fall")?,
        zone_fees: pairs.amounts("familyInfo.feeByZone")?,
        cross_zone_price: amount("penalties.crossZone", pairs.or("penalties.crossZone", 0.0)?)?,
    })
}

fn message_class(pairs: &FlatSettings, at: &str) -> Result<MessageClass, String> {
    let path = |name: &str| format!("{at}.{name}");
    let effect: String = pairs.need(&path("idempotency"))?;
    let deadline = pairs.span(&path("giveUp"))?;
    Ok(MessageClass {
        // A target time beyond the deadline: full value up to the deadline.
        latency_objective: pairs.span(&path("aim"))?.min(deadline),
        deadline,
        priority_weight: pairs.number(&path("importance"))?,
        late_weight_share: amount(&path("lateWorth"), pairs.or(&path("lateWorth"), 0.0)?)?,
        idempotency: match effect.as_str() {
            "idempotent" => Idempotency::Idempotent,
            "deduplicated" => Idempotency::WithKey {
                window: pairs.span(&path("memorySpan"))?,
                scope: match pairs.or(&path("group"), "all".to_string())?.as_str() {
                    "all" => DeduplicationScope::AllEndpoints,
                    _ => DeduplicationScope::SameZone,
                },
            },
            "at_most_once" => Idempotency::NotIdempotent,
            other => return Err(format!("setting {at}.idempotency={other} is not known")),
        },
        in_order: pairs.or(&path("inOrder"), false)?,
    })
}
