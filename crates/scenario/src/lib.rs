//! The file format of a modelled fleet and its day, as TOML: destinations, endpoints, message classes, tenants,
//! relays, traffic, and a script of troubles. Unknown fields and impossible values are refused with file, line and
//! reason; what [`Scenario::read`] gives back fits together. See `docs/lab.md` for a field-by-field account.
//!
//! The names in files are older than those in code: `serde(rename)` translates them here, and nowhere else.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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

const fn non_zero(number: u32) -> NonZeroU32 {
    match NonZeroU32::new(number) {
        Some(number) => number,
        None => NonZeroU32::MIN,
    }
}

const fn milliseconds(number: u64) -> Span {
    Span(Duration::from_millis(number))
}

/// A modelled fleet and its day.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The version of the file format.
    pub format: u32,
    /// What the day is meant to show, in a sentence.
    pub about: String,
    /// Messages are submitted for so long; the day goes on until the last of them has its final answer.
    pub length: Spanned<Span>,
    /// The zones, by name.
    #[serde(default = "here")]
    pub zones: Vec<String>,
    /// The relays.
    #[serde(default)]
    pub relays: Relays,
    /// The thresholds of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// The clients.
    #[serde(default)]
    pub clients: Clients,
    /// The message classes.
    #[serde(rename = "lane")]
    pub classes: Vec<MessageClass>,
    /// The tenants.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// The groups of destinations.
    #[serde(rename = "destinations")]
    pub groups: Vec<Group>,
    /// The traffic.
    pub traffic: Traffic,
    /// What goes wrong, and when.
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

/// The relays, which are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Relays {
    /// How many there are.
    pub count: NonZeroU32,
    /// Calls that one relay may have in flight.
    #[serde(rename = "slots")]
    pub max_calls_in_flight: NonZeroU32,
    /// Messages that one relay may hold.
    #[serde(rename = "held")]
    pub max_queued: NonZeroU32,
    /// The shortest time between two steps of the decisions.
    #[serde(rename = "round_gap")]
    pub min_step_interval: Span,
    /// Idle connections are closed by endpoints after this span.
    #[serde(rename = "idle")]
    pub idle_timeout: Span,
    /// A connection that is not up by then has failed.
    #[serde(rename = "connect")]
    pub connect_timeout: Span,
    /// A relay may cancel a call in flight.
    #[serde(rename = "recall")]
    pub may_cancel: bool,
    /// How well the endpoint list knows a destination's rate.
    #[serde(rename = "rates")]
    pub listed_rate: ListedRate,
    /// The endpoint list comes only to a relay that watches it.
    pub watch: bool,
    /// With `watch`: what endpoint discovery can serve; anything if it is not told.
    pub discovery: Option<Discovery>,
    /// The price of a call into another zone, in points of service for each first attempt.
    pub cross_zone: Amount,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays {
            count: non_zero(3),
            max_calls_in_flight: non_zero(12),
            max_queued: non_zero(300),
            min_step_interval: milliseconds(5),
            idle_timeout: milliseconds(15_000),
            connect_timeout: milliseconds(1_500),
            may_cancel: true,
            listed_rate: ListedRate::Exact,
            watch: false,
            discovery: None,
            cross_zone: Amount(0.0),
        }
    }
}

/// An endpoint discovery of limited capacity: it answers calls for the list one after another. A call whose turn
/// comes after its time-out costs the same work, and its relay gets nothing.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Calls for the list a second.
    #[serde(rename = "calls")]
    pub calls_per_second: Rate,
    /// A call not answered by then has failed.
    #[serde(rename = "within", default = "within")]
    pub timeout: Span,
    /// A call that would wait longer is rejected at once.
    #[serde(rename = "queued", default = "queued")]
    pub max_queue_wait: Span,
}

fn within() -> Span {
    milliseconds(2_000)
}

fn queued() -> Span {
    milliseconds(6_000)
}

/// How well the endpoint list knows a destination's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Rates")]
pub enum ListedRate {
    /// Exactly.
    Exact,
    /// Up to half too high or too low.
    #[serde(rename = "rough")]
    Approximate,
    /// It tells no rate.
    #[serde(rename = "untold")]
    Unknown,
}

/// The thresholds of the rules, the same for every relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Attempts of a message at most.
    #[serde(rename = "legs")]
    pub max_attempts: NonZeroU32,
    /// New attempts to a draining or removed endpoint are allowed for this long.
    pub drain_grace: Span,
    /// The next message of a key waits this long after an attempt that may still be running.
    #[serde(rename = "order_pause")]
    pub order_hold_off: Span,
    /// A relay that polls for the endpoint list does so this often.
    #[serde(rename = "ask_within")]
    pub poll_interval: Span,
    /// Capacity just after an outage, as a share.
    #[serde(rename = "cold_from")]
    pub slow_start_share: Share,
    /// The time from the end of an outage to full capacity.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: Span,
    /// A route in slow start breaks down at this multiple of its capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: Rate,
    /// The load on a route in slow start is counted over this window.
    #[serde(rename = "fall")]
    pub overload_window: Span,
    /// The longest Retry-After that clients heed.
    #[serde(rename = "max_pause")]
    pub max_retry_after: Span,
    /// How a message's weight falls after its latency objective.
    pub decay: Decay,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            max_attempts: non_zero(8),
            drain_grace: milliseconds(1_000),
            order_hold_off: milliseconds(300),
            poll_interval: milliseconds(10_000),
            slow_start_share: Share(0.3),
            slow_start_duration: milliseconds(10_000),
            overload_multiple: Rate(1.5),
            overload_window: milliseconds(2_000),
            max_retry_after: milliseconds(3_000),
            decay: Decay::Linear,
        }
    }
}

/// How a message's weight falls after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decay {
    /// Evenly down to the late share at the deadline.
    Linear,
    /// By half with each further latency objective, down to the late share.
    Halving,
}

/// How clients submit messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// The share of rejected requests that their clients submit again.
    #[serde(rename = "again")]
    pub retry_share: Share,
    /// How long a client waits that was told no Retry-After.
    #[serde(rename = "pause")]
    pub default_retry_delay: Span,
    /// How long a client waits to hear that its message was accepted.
    #[serde(rename = "patience")]
    pub submit_timeout: Span,
    /// How long clients are still sent to a relay that is down.
    #[serde(rename = "front_notices")]
    pub failover_delay: Span,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retry_share: Share(1.0),
            default_retry_delay: milliseconds(500),
            submit_timeout: milliseconds(400),
            failover_delay: milliseconds(2_000),
        }
    }
}

/// A message class.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Lane")]
pub struct MessageClass {
    /// What files and reports call it.
    pub name: String,
    /// From submission to the time up to which a delivery has its whole weight.
    #[serde(rename = "target")]
    pub latency_objective: Span,
    /// From submission to the time after which a delivery counts for nothing.
    pub deadline: Spanned<Span>,
    /// What a delivery in time is worth, against the other classes.
    #[serde(rename = "value", default = "one")]
    pub priority_weight: Rate,
    /// The share of the weight that is left at the deadline.
    #[serde(rename = "late_share", default)]
    pub late_weight_share: Share,
    /// What running a message twice would do.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// With `keyed`: how long repeats are dropped, counted from the first attempt that may have run.
    #[serde(rename = "memory", default)]
    pub deduplication_window: Option<Span>,
    /// With `keyed`: which endpoints recognise a repeat.
    #[serde(rename = "group", default)]
    pub deduplication_scope: Option<Spanned<DeduplicationScope>>,
    /// Messages of one key go in the order of their submission.
    #[serde(default)]
    pub in_order: bool,
    /// Its part of the traffic, against the other classes.
    #[serde(default = "one")]
    pub traffic: Rate,
}

fn one() -> Rate {
    Rate(1.0)
}

/// What running a message twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Effect")]
pub enum Idempotency {
    /// No harm.
    #[serde(rename = "retriable")]
    Idempotent,
    /// No harm within the window: repeats are dropped by an idempotency key.
    #[serde(rename = "keyed")]
    WithKey,
    /// Harm.
    #[serde(rename = "non-retriable")]
    NotIdempotent,
}

/// The endpoints that recognise a repeat of a message that one of them ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum RepeatGroup")]
pub enum DeduplicationScope {
    /// All of the destination.
    #[serde(rename = "all")]
    AllEndpoints,
    /// Those of the same zone.
    #[serde(rename = "zone")]
    SameZone,
}

/// A tenant, with a quota of the fleet's capacity.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// What files and reports call it.
    pub name: String,
    /// Messages a second within its share, over all relays.
    pub quota: Rate,
    /// Its part of the traffic, against the other tenants.
    #[serde(default = "one")]
    pub traffic: Rate,
}

/// Destinations that are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// What files and reports call it.
    pub name: Spanned<String>,
    /// How many destinations it has.
    #[serde(default = "single")]
    pub count: NonZeroU32,
    /// Endpoints of each, dealt out over the zones.
    #[serde(default = "single")]
    pub endpoints: NonZeroU32,
    /// Each endpoint is a route of its own, with its own limit and outages.
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
    /// The median response time while nothing waits.
    #[serde(rename = "answers")]
    pub response_time: Span,
    /// The spread of the response time: sigma of its logarithm.
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
    /// A rate limit of each route, if there is one.
    #[serde(default)]
    pub limit: Option<Limit>,
    /// Its part of the traffic, against the other groups.
    #[serde(default = "one")]
    pub traffic: Rate,
}

fn single() -> NonZeroU32 {
    non_zero(1)
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
    non_zero(200)
}

/// A limit on calls, beside what the endpoints can work off.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// How calls are counted.
    pub by: LimitBy,
    /// Calls a second; over `window` where calls are counted.
    pub rate: Rate,
    /// The window over which calls are counted.
    #[serde(default = "window")]
    pub window: Span,
    /// What a rejected caller is told.
    #[serde(rename = "waits", default)]
    pub retry_after: RetryAfterAccuracy,
    /// Rejected calls use up the limit too.
    #[serde(rename = "spent_by_refused", default)]
    pub rejected_calls_count: bool,
}

fn window() -> Span {
    milliseconds(1_000)
}

/// How a limit counts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitBy {
    /// Evenly, a tenth of a second's worth at once.
    Rate,
    /// So many in each fixed window.
    Count,
}

/// How good the Retry-After is that a rejected caller is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Waits")]
pub enum RetryAfterAccuracy {
    /// It is exact.
    #[default]
    #[serde(rename = "true")]
    Exact,
    /// There is none.
    Missing,
    /// It lies between a tenth and four times the exact one.
    #[serde(rename = "lying")]
    Wrong,
}

/// The messages that clients submit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Messages a second, over all relays.
    pub rate: Rate,
    /// How requests follow one another.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Messages of a clump go to one destination, this many in the mean.
    #[serde(default)]
    pub clump: Option<Rate>,
    /// How uneven the destinations of a group are: the exponent of their shares.
    #[serde(default)]
    pub zipf: Amount,
    /// Keys in use at a time at each destination, for classes that keep their order.
    #[serde(default = "keys")]
    pub keys: NonZeroU32,
    /// Times of more traffic.
    #[serde(default)]
    pub rush: Vec<Spanned<Rush>>,
    /// A recorded day in place of drawn messages: a CSV file beside the scenario, with a head line
    /// `seconds,lane,destinations,number,key`.
    #[serde(default)]
    pub replay: Option<PathBuf>,
}

fn keys() -> NonZeroU32 {
    non_zero(20)
}

/// How requests follow one another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Independent of one another.
    #[default]
    Poisson,
    /// Bursts for one destination, Poisson between them.
    Clumps,
    /// At equal intervals.
    Even,
}

/// More traffic for a while.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rush {
    /// When it begins.
    pub from: Span,
    /// When it ends.
    pub to: Span,
    /// The multiple of the usual rate.
    pub times: Rate,
}

/// A message of a recorded day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Recorded {
    /// When it was submitted, from the day's beginning.
    pub seconds: f64,
    /// The name of its message class.
    pub lane: String,
    /// The name of its group of destinations.
    pub destinations: String,
    /// The number of its destination in the group.
    pub number: u32,
    /// The key that orders it; 0 for none.
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
