//! Reads the settings object that an instance gets at its start, for both hosts: as path=value lines, or as
//! nested JSON with the same names and units.
#![forbid(unsafe_code)]

use mountshift::port::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// The settings as text by path; a list of plain values is one text, joined by commas.
pub struct Pairs(BTreeMap<String, String>);

/// What a host on sockets reads beside the facts.
#[derive(Clone, Debug)]
pub struct SocketFacts {
    pub lanes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Idle connections are closed by the other side after this span at the latest.
    pub idle: Duration,
    /// A connection that is not up by then has failed.
    pub connect: Duration,
    /// The shortest gap between two rounds.
    pub round_gap: Duration,
    /// The name under which answers tell a limit.
    pub told_limit: Option<String>,
}

/// A name as it stands in a list of names.
pub fn plain(name: &str) -> String {
    name.replace([' ', ','], "_")
}

impl Pairs {
    /// From a path=value pair a line.
    pub fn from_text(text: &str) -> Pairs {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Pairs(pairs.map(|(path, text)| (path.to_string(), text.to_string())).collect())
    }

    pub fn from_json(value: &Value) -> Pairs {
        let mut pairs = Pairs(BTreeMap::new());
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
                let texts: Vec<String> = items.iter().map(Pairs::text).collect();
                self.0.insert(path, texts.join(","));
            }
            Value::Null => {}
            plain => {
                self.0.insert(path, Pairs::text(plain));
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
        Pairs::read(path, text)
    }

    /// The value, or what the wire means by its absence.
    fn or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, String> {
        self.0.get(path).map_or(Ok(absent), |text| Pairs::read(path, text))
    }

    fn list<T: FromStr>(&self, path: &str) -> Result<Vec<T>, String> {
        let text = self.0.get(path).map_or("", String::as_str);
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
pub fn me(pairs: &Pairs) -> Result<RelayId, String> {
    pairs.or("me", 0).map(RelayId)
}

pub fn socket_facts(pairs: &Pairs) -> Result<SocketFacts, String> {
    let zones = differ("localities", pairs.list("localities")?)?;
    let zone: usize = pairs.or("zone", 0)?;
    if !zones.is_empty() && zone >= zones.len() {
        return Err(format!("setting zone={zone} is none of the {} localities", zones.len()));
    }
    Ok(SocketFacts {
        lanes: pairs.names("classes")?,
        tenants: pairs.names("tenants")?,
        zones,
        kinds: differ("kinds", pairs.list("kinds")?)?,
        idle: pairs.span("limits.connIdle")?,
        connect: pairs.span("limits.dialTimeout")?,
        round_gap: pairs.span_or_none("quantum")?,
        told_limit: told_limit(pairs)?.map(|(_, name)| name),
    })
}

/// Which value of a report tells the limit in calls a second, and its name; none where answers hold no reports.
pub fn told_limit(pairs: &Pairs) -> Result<Option<(usize, String)>, String> {
    if pairs.or("loadInfo.source", "none".to_string())? != "answers" {
        return Ok(None);
    }
    let says = |i: usize| pairs.0.get(&format!("familyInfo.reportX{i}")).map_or("", String::as_str);
    let names = pairs.list::<String>("loadInfo.fields")?.into_iter().enumerate();
    let mut told = names.filter(|(i, _)| says(*i).starts_with("calls_a_second_that_the_limit_allows"));
    Ok(told.next())
}

pub fn facts(pairs: &Pairs, relay: RelayId, seed: u64) -> Result<StartupFacts, String> {
    let mut lanes = Vec::new();
    for i in 0..pairs.count::<u16>("classes.count")? {
        lanes.push(lane(pairs, &format!("classes.{i}"))?);
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
        slots: pairs.count::<u32>("familyInfo.callsOut")? as usize,
        max_held: pairs.count::<u32>("limits.openCap")? as usize,
        max_legs: pairs.count::<u32>("limits.maxAttempts")?.min(255) as u8,
        listed_rate: match pairs.or("weights", "none".to_string())?.as_str() {
            "nominal" => ListedRate::Exact,
            "rough" => ListedRate::Rough,
            _ => ListedRate::Untold,
        },
        must_watch: pairs.or("discovery", "automatic".to_string())? == "subscribe",
        ask_within: pairs.span_or_none("obligations.askWithin")?,
        may_recall: pairs.or("limits.cancel", false)?,
        max_pause: pairs.span_or_none("limits.maxRetryAfter")?,
        drain_grace: pairs.span_or_none("obligations.drainGrace")?,
        order_pause: pairs.span_or_none("obligations.orderPause")?,
        cold_from: pairs.number("obligations.coldFrom")?,
        warm_after: pairs.span("obligations.warmAfter")?,
        fall_multiple: pairs.number("obligations.fallMultiple")?,
        fall: pairs.span("obligations.fall")?,
        zone_fees: pairs.amounts("familyInfo.feeByZone")?,
        cross_zone_price: amount("penalties.crossZone", pairs.or("penalties.crossZone", 0.0)?)?,
    })
}

fn lane(pairs: &Pairs, at: &str) -> Result<LaneFacts, String> {
    let path = |name: &str| format!("{at}.{name}");
    let effect: String = pairs.need(&path("idempotency"))?;
    let deadline = pairs.span(&path("giveUp"))?;
    Ok(LaneFacts {
        // A target time beyond the deadline: full value up to the deadline.
        target: pairs.span(&path("aim"))?.min(deadline),
        deadline,
        value: pairs.number(&path("importance"))?,
        late_share: amount(&path("lateWorth"), pairs.or(&path("lateWorth"), 0.0)?)?,
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
            other => return Err(format!("setting {at}.idempotency={other} is not known")),
        },
        in_order: pairs.or(&path("inOrder"), false)?,
    })
}
