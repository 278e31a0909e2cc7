//! The settings of the delivery policy.

use crate::error::SettingsError;
use crate::flat::FlatSettings;
use mountshift::interface::*;

/// Returns the number of this relay among its peers.
///
/// # Errors
/// If the setting is not a number.
pub fn relay_id(settings: &FlatSettings) -> Result<RelayId, SettingsError> {
    settings.value_or("me", 0).map(RelayId)
}

/// Reads the settings of the delivery policy for the given relay. `seed` is the seed of its random source.
///
/// # Errors
/// If a setting is missing, can't be read, or is out of range.
pub fn policy_settings(
    settings: &FlatSettings,
    relay: RelayId,
    seed: u64,
) -> Result<PolicySettings, SettingsError> {
    // The order matters: of several invalid settings, the first one read is reported.
    let classes = message_classes(settings)?;
    let destination_kinds = destination_kinds(settings)?;
    let tenant_quotas = tenant_quotas(settings)?;
    Ok(PolicySettings {
        relay,
        seed,
        relay_count: settings.required::<u32>("balancers")?.max(1),
        zone: ZoneId(settings.value_or("zone", 0)?),
        classes,
        destination_kinds,
        tenant_quotas,
        decay: decay(settings)?,
        max_calls_in_flight: settings.count::<u32>("familyInfo.callsOut")? as usize,
        max_queued: settings.count::<u32>("limits.openCap")? as usize,
        max_attempts: settings.count::<u32>("limits.maxAttempts")?.min(255) as u8,
        listed_rate: listed_rate(settings)?,
        requires_polling: settings.value_or("discovery", "automatic".to_string())? == "subscribe",
        poll_interval: settings.duration_or_zero("obligations.askWithin")?,
        may_cancel: settings.value_or("limits.cancel", false)?,
        max_retry_after: settings.duration_or_zero("limits.maxRetryAfter")?,
        drain_grace: settings.duration_or_zero("obligations.drainGrace")?,
        order_hold_off: settings.duration_or_zero("obligations.orderPause")?,
        slow_start_share: settings.amount("obligations.coldFrom")?,
        slow_start_duration: settings.duration("obligations.warmAfter")?,
        overload_multiple: settings.amount("obligations.fallMultiple")?,
        overload_window: settings.duration("obligations.fall")?,
        zone_fees: settings.amounts("familyInfo.feeByZone")?,
        cross_zone_price: settings.amount_or_zero("penalties.crossZone")?,
    })
}

fn message_classes(settings: &FlatSettings) -> Result<Vec<MessageClass>, SettingsError> {
    let count = settings.count::<u16>("classes.count")?;
    (0..count).map(|index| message_class(settings, &format!("classes.{index}"))).collect()
}

/// Reads the message class at the path `class`.
fn message_class(settings: &FlatSettings, class: &str) -> Result<MessageClass, SettingsError> {
    let path = |name: &str| format!("{class}.{name}");
    let idempotency_value: String = settings.required(&path("idempotency"))?;
    let deadline = settings.duration(&path("giveUp"))?;
    Ok(MessageClass {
        // A message keeps its full weight up to its deadline if the latency objective is later than that.
        latency_objective: settings.duration(&path("aim"))?.min(deadline),
        deadline,
        priority_weight: settings.amount(&path("importance"))?,
        late_weight_share: settings.amount_or_zero(&path("lateWorth"))?,
        idempotency: idempotency(settings, class, &idempotency_value)?,
        in_order: settings.value_or(&path("inOrder"), false)?,
    })
}

fn idempotency(settings: &FlatSettings, class: &str, value: &str) -> Result<Idempotency, SettingsError> {
    match value {
        "idempotent" => Ok(Idempotency::Idempotent),
        "deduplicated" => Ok(Idempotency::WithKey {
            window: settings.duration(&format!("{class}.memorySpan"))?,
            scope: deduplication_scope(settings, class)?,
        }),
        "at_most_once" => Ok(Idempotency::NotIdempotent),
        other => Err(SettingsError::UnknownIdempotency {
            path: format!("{class}.idempotency"),
            value: other.to_string(),
        }),
    }
}

fn deduplication_scope(settings: &FlatSettings, class: &str) -> Result<DeduplicationScope, SettingsError> {
    let group = settings.value_or(&format!("{class}.group"), "all".to_string())?;
    Ok(match group.as_str() {
        "all" => DeduplicationScope::AllEndpoints,
        _ => DeduplicationScope::SameZone,
    })
}

fn destination_kinds(settings: &FlatSettings) -> Result<Vec<DestinationKind>, SettingsError> {
    let independent_endpoints: Vec<bool> = settings.list("familyInfo.ownLimits")?;
    let max_batch: Vec<usize> = settings.list("familyInfo.kindBatch")?;
    let names: Vec<String> = settings.list("kinds")?;
    let kind = |index: usize| DestinationKind {
        independent_endpoints: independent_endpoints.get(index).copied().unwrap_or(false),
        max_batch: max_batch.get(index).copied().unwrap_or(1).max(1),
    };
    Ok((0..names.len()).map(kind).collect())
}

fn tenant_quotas(settings: &FlatSettings) -> Result<Vec<f64>, SettingsError> {
    let count = settings.value_or::<u32>("tenants.count", 0)?;
    (0..count).map(|index| settings.amount(&format!("tenants.{index}.quotaPerS"))).collect()
}

fn decay(settings: &FlatSettings) -> Result<Decay, SettingsError> {
    let value = settings.value_or("familyInfo.decay", "linear".to_string())?;
    Ok(match value.as_str() {
        "halving" => Decay::Halving,
        _ => Decay::Linear,
    })
}

fn listed_rate(settings: &FlatSettings) -> Result<ListedRate, SettingsError> {
    let value = settings.value_or("weights", "none".to_string())?;
    Ok(match value.as_str() {
        "nominal" => ListedRate::Exact,
        "rough" => ListedRate::Approximate,
        _ => ListedRate::Unknown,
    })
}
