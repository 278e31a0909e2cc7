//! Reads the settings text that comes with an instance's start: a path=value pair a line.

use mountshift::port::*;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn read<T: FromStr>(path: &str, text: &str) -> Result<T, String> {
        text.parse().map_err(|_| format!("HELLO: setting {path}={text} can't be read"))
    }

    fn need<T: FromStr>(&self, path: &str) -> Result<T, String> {
        let text = self.0.get(path).ok_or_else(|| format!("HELLO: setting {path} is missing"))?;
        Pairs::read(path, text)
    }

    /// The value, or what the wire means by its absence.
    fn or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, String> {
        self.0.get(path).map_or(Ok(absent), |text| Pairs::read(path, text))
    }

    fn list<T: FromStr>(&self, path: &str) -> Result<Vec<T>, String> {
        let text = self.0.get(path).copied().unwrap_or("");
        text.split(',').filter(|item| !item.is_empty()).map(|item| Pairs::read(path, item)).collect()
    }

    fn span(&self, path: &str) -> Result<Duration, String> {
        self.need(path).map(Duration::from_micros)
    }

    fn span_or_none(&self, path: &str) -> Result<Duration, String> {
        self.or(path, 0).map(Duration::from_micros)
    }

    /// A finite number of at least zero.
    fn number(&self, path: &str) -> Result<f64, String> {
        let n: f64 = self.need(path)?;
        if n.is_finite() && n >= 0.0 { Ok(n) } else { Err(format!("HELLO: setting {path}={n} is no amount")) }
    }
}

pub fn facts(text: &[u8], relay: RelayId, seed: u64) -> Result<StartupFacts, String> {
    let text = std::str::from_utf8(text).map_err(|_| "HELLO: options are not UTF-8")?;
    let pairs = Pairs(text.lines().filter_map(|line| line.split_once('=')).collect());
    let mut lanes = Vec::new();
    for i in 0..pairs.need::<u16>("classes.count")? {
        lanes.push(lane(&pairs, &format!("classes.{i}"))?);
    }
    let own_limits: Vec<bool> = pairs.list("familyInfo.ownLimits")?;
    let batch: Vec<usize> = pairs.list("familyInfo.kindBatch")?;
    let kinds = pairs.list::<String>("kinds")?;
    let kind = |i: usize| KindFacts {
        own_limits: own_limits.get(i).copied().unwrap_or(false),
        batch: batch.get(i).copied().unwrap_or(1).max(1),
    };
    let mut quotas = Vec::new();
    for i in 0..pairs.or::<u32>("tenants.count", 0)? {
        quotas.push(pairs.number(&format!("tenants.{i}.quotaPerS"))?);
    }
    Ok(StartupFacts {
        relay,
        seed,
        relays: pairs.need::<u32>("balancers")?.max(1),
        zone: ZoneId(pairs.or("zone", 0)?),
        lanes,
        kinds: (0..kinds.len()).map(kind).collect(),
        quotas,
        decay: match pairs.or("familyInfo.decay", "linear".to_string())?.as_str() {
            "halving" => Decay::Halving,
            _ => Decay::Linear,
        },
        slots: pairs.need("familyInfo.callsOut")?,
        max_held: pairs.need("limits.openCap")?,
        max_legs: pairs.need::<u32>("limits.maxAttempts")?.min(255) as u8,
        listed_rate: match pairs.or("weights", "none".to_string())?.as_str() {
            "nominal" => ListedRate::Exact,
            "rough" => ListedRate::Rough,
            _ => ListedRate::Untold,
        },
        must_watch: pairs.or("discovery", "automatic".to_string())? == "subscribe",
        may_recall: pairs.or("limits.cancel", false)?,
        max_pause: pairs.span_or_none("limits.maxRetryAfter")?,
        drain_grace: pairs.span_or_none("obligations.drainGrace")?,
        order_pause: pairs.span_or_none("obligations.orderPause")?,
        cold_from: pairs.number("obligations.coldFrom")?,
        warm_after: pairs.span("obligations.warmAfter")?,
        fall_multiple: pairs.number("obligations.fallMultiple")?,
        fall: pairs.span("obligations.fall")?,
        zone_fees: pairs.list("familyInfo.feeByZone")?,
        cross_zone_price: pairs.or("penalties.crossZone", 0.0)?,
    })
}

fn lane(pairs: &Pairs, at: &str) -> Result<LaneFacts, String> {
    let path = |name: &str| format!("{at}.{name}");
    let effect: String = pairs.need(&path("idempotency"))?;
    Ok(LaneFacts {
        target: pairs.span(&path("aim"))?,
        deadline: pairs.span(&path("giveUp"))?,
        value: pairs.number(&path("importance"))?,
        late_share: pairs.or(&path("lateWorth"), 0.0)?,
        effect: match effect.as_str() {
            "idempotent" => Effect::Retriable,
            "deduplicated" => Effect::Keyed {
                memory: pairs.span(&path("memorySpan"))?,
                group: match pairs.or(&path("group"), "all".to_string())?.as_str() {
                    "all" => Group::All,
                    _ => Group::Zone,
                },
            },
            "at_most_once" => Effect::NonRetriable,
            other => return Err(format!("HELLO: setting {at}.idempotency={other} is not known")),
        },
        in_order: pairs.or(&path("inOrder"), false)?,
    })
}
