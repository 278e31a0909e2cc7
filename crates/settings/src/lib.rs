//! Reads the settings object that an instance gets at its start, for both hosts: as path=value lines, or as
//! nested JSON with the same names and units.
#![forbid(unsafe_code)]

use mountshift::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// The settings as text by path; a list of plain values is one text, joined by commas.
pub struct FlatSettings(BTreeMap<String, String>);

/// What a host on sockets reads beside the facts.
#[derive(Clone, Debug)]
pub struct SocketSettings {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub destination_kinds: Vec<String>,
    /// Idle connections are closed by the other side after this span at the latest.
    pub idle_timeout: Duration,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// The shortest gap between two rounds.
    pub min_step_interval: Duration,
    /// The name under which answers tell a limit.
    pub rate_limit_field: Option<String>,
}

/// A name as it stands in a list of names.
pub fn plain(name: &str) -> String {
    name.replace([' ', ','], "_")
}

impl FlatSettings {
    /// From a path=value pair a line.
    pub fn from_text(text: &str) -> FlatSettings {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        FlatSettings(pairs.map(|(path, text)| (path.to_string(), text.to_string())).collect())
    }

    pub fn from_json(value: &Value) -> FlatSettings {
        let mut pairs = FlatSettings(BTreeMap::new());
        pairs.flatten(String::new(), value);
        pairs
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let under = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Object(fields) => fields.iter().for_each(|(name, v)| self.flatten(under(name), v)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(under("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, v)| self.flatten(under(&i.to_string()), v));
            }
            Value::Array(items) => {
                let texts: Vec<String> = items.iter().map(FlatSettings::text).collect();
                self.0.insert(path, texts.join(","));
            }
            Value::Null => {}
            plain => {
                self.0.insert(path, FlatSettings::text(plain));
            }
        }
    }

    fn text(value: &Value) -> String {
        value.as_str().map_or_else(|| value.to_string(), plain)
    }

    fn read<T: FromStr>(path: &str, text: &str) -> Result<T, String> {
        text.parse().map_err(|_| format!("setting {path}={text} can't be read"))
    }

    fn need<T: FromStr>(&self, path: &str) -> Result<T, String> {
        let text = self.0.get(path).ok_or_else(|| format!("setting {path} is missing"))?;
        FlatSettings::read(path, text)
    }

    /// The value, or what the wire means by its absence.
    fn or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, String> {
        self.0.get(path).map_or(Ok(absent), |text| FlatSettings::read(path, text))
    }

    fn list<T: FromStr>(&self, path: &str) -> Result<Vec<T>, String> {
        let text = self.0.get(path).map_or("", String::as_str);
        text.split(',').filter(|item| !item.is_empty()).map(|item| FlatSettings::read(path, item)).collect()
    }

    fn span(&self, path: &str) -> Result<Duration, String> {
        self.need(path).map(Duration::from_micros)
    }

    fn span_or_none(&self, path: &str) -> Result<Duration, String> {
        self.or(path, 0).map(Duration::from_micros)
    }

    /// A finite number of at least zero.
    fn number(&self, path: &str) -> Result<f64, String> {
        amount(path, self.need(path)?)
    }

    fn amounts(&self, path: &str) -> Result<Vec<f64>, String> {
        self.list(path)?.into_iter().map(|n| amount(path, n)).collect()
    }

    /// A whole number of at least one.
    fn count<T: FromStr + PartialOrd + From<u8> + std::fmt::Display>(&self, path: &str) -> Result<T, String> {
        let n: T = self.need(path)?;
        if n >= T::from(1) { Ok(n) } else { Err(format!("setting {path}={n} is none at all")) }
    }

    /// The names of a list of objects. Guards against two that would be taken for one another.
    fn names(&self, of: &str) -> Result<Vec<String>, String> {
        let count: u32 = self.or(&format!("{of}.count"), 0)?;
        let names: Result<Vec<String>, String> =
            (0..count).map(|i| self.need(&format!("{of}.{i}.name"))).collect();
        differ(of, names?)
    }
}

fn amount(path: &str, n: f64) -> Result<f64, String> {
    if n.is_finite() && n >= 0.0 { Ok(n) } else { Err(format!("setting {path}={n} is no amount")) }
}

fn differ(of: &str, names: Vec<String>) -> Result<Vec<String>, String> {
    let mut seen = std::collections::BTreeSet::new();
    match names.iter().find(|name| !seen.insert(*name)) {
        Some(twice) => Err(format!("setting {of}: two names are read as {twice}; they can't be told apart")),
        None => Ok(names),
    }
}

/// The number of this relay among its peers.
pub fn relay_id(pairs: &FlatSettings) -> Result<RelayId, String> {
    pairs.or("me", 0).map(RelayId)
}

pub fn socket_settings(pairs: &FlatSettings) -> Result<SocketSettings, String> {
    let zones = differ("localities", pairs.list("localities")?)?;
    let zone: usize = pairs.or("zone", 0)?;
    if !zones.is_empty() && zone >= zones.len() {
        return Err(format!("setting zone={zone} is none of the {} localities", zones.len()));
    }
    Ok(SocketSettings {
        classes: pairs.names("classes")?,
        tenants: pairs.names("tenants")?,
        zones,
        destination_kinds: differ("kinds", pairs.list("kinds")?)?,
        idle_timeout: pairs.span("limits.connIdle")?,
        connect_timeout: pairs.span("limits.dialTimeout")?,
        min_step_interval: pairs.span_or_none("quantum")?,
        rate_limit_field: rate_limit_field(pairs)?.map(|(_, name)| name),
    })
}

/// Which value of a report tells the limit in calls a second, and its name; none where answers hold no reports.
pub fn rate_limit_field(pairs: &FlatSettings) -> Result<Option<(usize, String)>, String> {
    if pairs.or("loadInfo.source", "none".to_string())? != "answers" {
        return Ok(None);
    }
    let says = |i: usize| pairs.0.get(&format!("familyInfo.reportX{i}")).map_or("", String::as_str);
    let names = pairs.list::<String>("loadInfo.fields")?.into_iter().enumerate();
    let mut told = names.filter(|(i, _)| says(*i).starts_with("calls_a_second_that_the_limit_allows"));
    Ok(told.next())
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
