//! The file format of a world and its day, as TOML: destinations, endpoints, lanes, tenants, relays, traffic,
//! and a script of troubles. Unknown fields and impossible values are refused with file, line and reason; what
//! [`Scenario::read`] gives back is whole and fits together. See `docs/lab.md` for a field-by-field account.
#![forbid(unsafe_code)]

mod check;
mod error;
mod trouble;
mod units;

pub use error::{Inconsistency, RecordingInconsistency, ScenarioError, TargetError};
pub use trouble::{Knobs, Strikes, Trouble, TroubleKind, Whom};
pub use units::{Amount, QuantityError, Rate, Share, Span};

use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// The version of the format that this package reads.
pub const FORMAT: u32 = 1;

const fn n(n: u32) -> NonZeroU32 {
    match NonZeroU32::new(n) {
        Some(n) => n,
        None => NonZeroU32::MIN,
    }
}

const fn ms(n: u64) -> Span {
    Span(Duration::from_millis(n))
}

/// A world and its day.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub format: u32,
    /// What the day is meant to show, in a sentence.
    pub about: String,
    /// Messages are handed in for so long; the day goes on until the last of them has ended.
    pub length: Spanned<Span>,
    #[serde(default = "here")]
    pub zones: Vec<String>,
    #[serde(default)]
    pub relays: Relays,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub clients: Clients,
    #[serde(rename = "lane")]
    pub classes: Vec<MessageClass>,
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    #[serde(rename = "destinations")]
    pub groups: Vec<Group>,
    pub traffic: Traffic,
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Spanned<Trouble>>,
    /// What the day is called: its file's name without the ending.
    #[serde(skip)]
    pub name: String,
    /// The messages of a recorded day, where `traffic.replay` names one.
    #[serde(skip)]
    pub recorded: Vec<Recorded>,
}

fn here() -> Vec<String> {
    vec!["here".into()]
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Relays {
    pub count: NonZeroU32,
    /// Calls that one relay may have out.
    #[serde(rename = "slots")]
    pub max_calls_in_flight: NonZeroU32,
    /// Messages that one relay may hold.
    #[serde(rename = "held")]
    pub max_queued: NonZeroU32,
    /// The shortest gap between two rounds.
    #[serde(rename = "round_gap")]
    pub min_step_interval: Span,
    /// Idle connections are closed by endpoints after this span.
    #[serde(rename = "idle")]
    pub idle_timeout: Span,
    /// A connection that is not up by then has failed.
    #[serde(rename = "connect")]
    pub connect_timeout: Span,
    /// Calls may be recalled.
    #[serde(rename = "recall")]
    pub may_cancel: bool,
    /// What the list tells of a destination's rate.
    #[serde(rename = "rates")]
    pub listed_rate: ListedRate,
    /// The list comes only to a relay that watches it.
    pub watch: bool,
    /// With `watch`: what discovery bears; anything, if it is not told.
    pub discovery: Option<Discovery>,
    /// The price of a call into another zone, in points of service for each first leg.
    pub cross_zone: Amount,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays {
            count: n(3),
            max_calls_in_flight: n(12),
            max_queued: n(300),
            min_step_interval: ms(5),
            idle_timeout: ms(15_000),
            connect_timeout: ms(1_500),
            may_cancel: true,
            listed_rate: ListedRate::Exact,
            watch: false,
            discovery: None,
            cross_zone: Amount(0.0),
        }
    }
}

/// A discovery that is short of room: it answers calls for the list in turn. A call that comes too late in its
/// turn is work all the same, and its relay gets nothing.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Calls for the list a second.
    #[serde(rename = "calls")]
    pub calls_per_second: Rate,
    /// A call not answered by then has failed.
    #[serde(rename = "within", default = "within")]
    pub timeout: Span,
    /// A call that would wait longer is turned away at once.
    #[serde(rename = "queued", default = "queued")]
    pub max_queue_wait: Span,
}

fn within() -> Span {
    ms(2_000)
}

fn queued() -> Span {
    ms(6_000)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Rates")]
pub enum ListedRate {
    Exact,
    /// Up to half too high or too low.
    #[serde(rename = "rough")]
    Approximate,
    #[serde(rename = "untold")]
    Unknown,
}

/// The figures of the rules, the same for every relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    #[serde(rename = "legs")]
    pub max_attempts: NonZeroU32,
    pub drain_grace: Span,
    #[serde(rename = "order_pause")]
    pub order_hold_off: Span,
    /// A relay that asks for lists is to ask so often.
    #[serde(rename = "ask_within")]
    pub poll_interval: Span,
    /// Capacity just after an outage, as a share.
    #[serde(rename = "cold_from")]
    pub slow_start_share: Share,
    #[serde(rename = "warm_after")]
    pub slow_start_duration: Span,
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: Rate,
    #[serde(rename = "fall")]
    pub overload_window: Span,
    /// The longest pause that clients heed.
    #[serde(rename = "max_pause")]
    pub max_retry_after: Span,
    /// How value falls after the target time.
    pub decay: Decay,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            max_attempts: n(8),
            drain_grace: ms(1_000),
            order_hold_off: ms(300),
            poll_interval: ms(10_000),
            slow_start_share: Share(0.3),
            slow_start_duration: ms(10_000),
            overload_multiple: Rate(1.5),
            overload_window: ms(2_000),
            max_retry_after: ms(3_000),
            decay: Decay::Linear,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decay {
    Linear,
    Halving,
}

/// The habits of those who hand messages in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// The share that comes again after a push-back.
    #[serde(rename = "again")]
    pub retry_share: Share,
    /// How long a client stays away that was told no pause.
    #[serde(rename = "pause")]
    pub default_retry_delay: Span,
    /// How long a client waits to hear that its message was taken.
    #[serde(rename = "patience")]
    pub submit_timeout: Span,
    /// How long the front goes on dealing out clients to a dead relay.
    #[serde(rename = "front_notices")]
    pub failover_delay: Span,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retry_share: Share(1.0),
            default_retry_delay: ms(500),
            submit_timeout: ms(400),
            failover_delay: ms(2_000),
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Lane")]
pub struct MessageClass {
    pub name: String,
    /// From arrival to the target time, and to the deadline.
    #[serde(rename = "target")]
    pub latency_objective: Span,
    pub deadline: Spanned<Span>,
    #[serde(rename = "value", default = "one")]
    pub priority_weight: Rate,
    #[serde(rename = "late_share", default)]
    pub late_weight_share: Share,
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// With `keyed`: how long repeats are dropped, counted from the first leg that may have run.
    #[serde(rename = "memory", default)]
    pub deduplication_window: Option<Span>,
    /// With `keyed`: which endpoints recognise a repeat.
    #[serde(rename = "group", default)]
    pub deduplication_scope: Option<Spanned<DeduplicationScope>>,
    #[serde(default)]
    pub in_order: bool,
    /// Its part of the traffic, against the other lanes.
    #[serde(default = "one")]
    pub traffic: Rate,
}

fn one() -> Rate {
    Rate(1.0)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Effect")]
pub enum Idempotency {
    #[serde(rename = "retriable")]
    Idempotent,
    #[serde(rename = "keyed")]
    WithKey,
    #[serde(rename = "non-retriable")]
    NotIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum RepeatGroup")]
pub enum DeduplicationScope {
    #[serde(rename = "all")]
    AllEndpoints,
    #[serde(rename = "zone")]
    SameZone,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Messages a second within its share, over all relays.
    pub quota: Rate,
    #[serde(default = "one")]
    pub traffic: Rate,
}

/// Destinations that are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub name: Spanned<String>,
    #[serde(default = "single")]
    pub count: NonZeroU32,
    /// Endpoints of each, dealt out over the zones.
    #[serde(default = "single")]
    pub endpoints: NonZeroU32,
    /// Endpoints are routes apart, each with its own limit and outages.
    #[serde(rename = "own_limits", default)]
    pub independent_endpoints: bool,
    /// Messages in one call at most.
    #[serde(rename = "batch", default = "single")]
    pub max_batch: NonZeroU32,
    /// Calls a second that each destination (or route apart) takes from all relays together; what the list tells.
    pub rate: Rate,
    /// What it can really work off, as a multiple of its rate.
    #[serde(default = "headroom")]
    pub headroom: Rate,
    /// The answer time while nothing waits, in the median, and its spread (sigma of its logarithm).
    #[serde(rename = "answers")]
    pub response_time: Span,
    #[serde(rename = "spread", default = "spread")]
    pub response_time_spread: Amount,
    /// Work of each further message of a call, as a share of the first one's.
    #[serde(rename = "further", default = "further")]
    pub batch_item_cost: Share,
    /// Calls that may wait at an endpoint beyond those it works on.
    #[serde(rename = "queue", default = "queue")]
    pub queue_capacity: u32,
    /// Connections that an endpoint takes, idle ones counted.
    #[serde(rename = "connections", default = "connections")]
    pub max_connections: NonZeroU32,
    #[serde(default)]
    pub limit: Option<Limit>,
    /// Its part of the traffic, against the other groups.
    #[serde(default = "one")]
    pub traffic: Rate,
}

fn single() -> NonZeroU32 {
    n(1)
}

fn headroom() -> Rate {
    Rate(1.3)
}

fn spread() -> Amount {
    Amount(0.35)
}

fn further() -> Share {
    Share(0.1)
}

fn queue() -> u32 {
    32
}

fn connections() -> NonZeroU32 {
    n(200)
}

/// A limit on calls, beside what the endpoints can work off.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    pub by: LimitBy,
    /// Calls a second; over `window` where calls are counted.
    pub rate: Rate,
    #[serde(default = "window")]
    pub window: Span,
    #[serde(rename = "waits", default)]
    pub retry_after: RetryAfterAccuracy,
    /// Refused calls use up the limit too.
    #[serde(rename = "spent_by_refused", default)]
    pub rejected_calls_count: bool,
}

fn window() -> Span {
    ms(1_000)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitBy {
    /// Evenly, a tenth of a second's worth at once.
    Rate,
    /// So many in each fixed window.
    Count,
}

/// What a refused caller is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Waits")]
pub enum RetryAfterAccuracy {
    #[default]
    #[serde(rename = "true")]
    Exact,
    Missing,
    /// Between a tenth and four times the true one.
    #[serde(rename = "lying")]
    Wrong,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Messages a second, over all relays.
    pub rate: Rate,
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Messages of a clump go to one destination, this many in the mean.
    #[serde(default)]
    pub clump: Option<Rate>,
    /// How uneven the destinations of a group are: the exponent of their shares.
    #[serde(default)]
    pub zipf: Amount,
    /// Keys in use at a time at each destination, for lanes that keep their order.
    #[serde(default = "keys")]
    pub keys: NonZeroU32,
    #[serde(default)]
    pub rush: Vec<Spanned<Rush>>,
    /// A recorded day in place of drawn messages: a CSV file beside the scenario, with a head line
    /// `seconds,lane,destinations,number,key`.
    #[serde(default)]
    pub replay: Option<PathBuf>,
}

fn keys() -> NonZeroU32 {
    n(20)
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    #[default]
    Poisson,
    /// Bursts for one destination, Poisson between them.
    Clumps,
    Even,
}

/// More traffic for a while.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rush {
    pub from: Span,
    pub to: Span,
    pub times: Rate,
}

/// A message of a recorded day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Recorded {
    pub seconds: f64,
    pub lane: String,
    pub destinations: String,
    pub number: u32,
    /// 0 for none.
    pub key: u64,
}

impl Scenario {
    /// Reads and checks a file, and the recorded day that it may name.
    ///
    /// # Errors
    /// If the file can't be read, or is no scenario that fits together.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Read { file: file.clone(), source })?;
        let mut scenario = Scenario::from_text(&text, &file)?;
        scenario.name = path.file_stem().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        if let Some(replay) = &scenario.traffic.replay {
            let recording = path.parent().unwrap_or(Path::new("")).join(replay);
            scenario.recorded = check::read_recording(&recording, &scenario)?;
        }
        Ok(scenario)
    }

    /// Reads and checks a text; `shown` names it in complaints.
    ///
    /// # Errors
    /// As [`Scenario::read`].
    pub fn from_text(text: &str, shown: &str) -> Result<Scenario, ScenarioError> {
        let line_at = |byte: usize| text.get(..byte).map_or(1, |before| before.matches('\n').count() + 1);
        let scenario: Scenario = toml::from_str(text).map_err(|source| ScenarioError::Parse {
            file: shown.to_string(),
            line: source.span().map_or(1, |span| line_at(span.start)),
            source: Box::new(source),
        })?;
        check::check(&scenario).map_err(|complaint| ScenarioError::Inconsistent {
            file: shown.to_string(),
            line: line_at(complaint.byte),
            source: complaint.reason,
        })?;
        Ok(scenario)
    }

    /// The scenario as a file, so that a found or changed day can be kept.
    ///
    /// # Errors
    /// What the serializer says; no scenario that was read causes one.
    pub fn to_text(&self) -> Result<String, ScenarioError> {
        Ok(toml::to_string(self)?)
    }

    /// Destinations in all.
    pub fn destinations(&self) -> u32 {
        self.groups.iter().map(|g| g.count.get()).sum()
    }
}
