//! Runs the scenarios in `tests/scenarios`, small text files with a line for each of:
//!
//! - `facts name=value ..`: the settings: `relays` (their number), `slots` (maximum calls in flight), `held`
//!   (maximum messages held), `legs` (maximum attempts), `quota` (of each tenant), `rest` (hold-off), `watch`
//!   (polling is required), `ask` (poll interval), `untold` (no rates are listed); all durations in seconds
//! - `lane name=value ..`: a message class: its idempotency (`retriable`, `keyed`, any other word: not
//!   idempotent), `memory` and `zone` (window and scope of deduplication), `value` (priority weight), `target`
//!   (latency objective), `ordered`
//! - `kind name=value ..`: a kind of destination: `apart` (independent endpoints), `batch` (maximum batch size)
//! - `at T: event; event ..`: a step at time T with these inputs:
//!   - `list A dst=1 ..` (a list update), `whole A dst=1 ..` (a full list), `nolist` (polling failed),
//!     `oldlist` (the list may be stale), `listed` (discovery responded)
//!   - `msg 1 lane=0 ..` (a submission; `restored`: from before a restart)
//!   - `end 1 A delivered` (end of an attempt; `full`: rejected, with the `Retry-After` `wait`; `noroom`: the
//!     connection limit is reached; `over`: not sent, message closed; `running`: may still run)
//!   - `gone 1` (closed: withdrawn, or its final outcome was acknowledged)
//!   - `leg 1 ago=2 zone=0 [refused]` and `ended 1` (an attempt and a final outcome from before a restart)
//!   - `wait A for=1` (a `Retry-After`) and `limit A rate=2` (a rate limit), separate from outcomes
//! - `until T`: a step every 20 ms until T
//! - `=> a; b`: the decisions of the last `at` or `until` line are exactly these; `~> a`: at least one begins
//!   with `a`; `!> a`: none begins with `a`; `#> N a`: N begin with `a`
//!
//! Decisions: `send 1 A`, `push 1` (rejected), `fail 1`, `recall 1` (cancelled), `close A`, `forget A` (only
//! with `facts forgets`), `watch` (polls), `log ..`. With `facts notices`, a final outcome closes its message
//! only once it is acknowledged.

use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

/// Time between two steps in `until`.
const STEP: Duration = Duration::from_millis(20);

/// Records the decisions in the notation of the scenarios.
#[derive(Default)]
struct Recorder {
    decisions: Vec<String>,
    /// Whether final outcomes count only after an acknowledgement by the host.
    requires_acknowledgement: bool,
    records_forgotten: bool,
}

fn name(endpoint: EndpointId) -> char {
    char::from(endpoint.0 as u8)
}

impl Actions for Recorder {
    fn send(&mut self, message: MessageId, endpoint: EndpointId, _timeout: Duration) {
        self.decisions.push(format!("send {} {}", message.0, name(endpoint)));
    }
    fn reject(&mut self, message: MessageId, _retry_after: Duration) -> bool {
        self.decisions.push(format!("push {}", message.0));
        !self.requires_acknowledgement
    }
    fn fail(&mut self, message: MessageId) -> bool {
        self.decisions.push(format!("fail {}", message.0));
        !self.requires_acknowledgement
    }
    fn cancel(&mut self, message: MessageId, _attempt: AttemptNumber) {
        self.decisions.push(format!("recall {}", message.0));
    }
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.decisions.push(format!("close {}", name(endpoint)));
    }
    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        if self.records_forgotten {
            self.decisions.push(format!("forget {}", name(endpoint)));
        }
    }
    fn wake_after(&mut self, _delay: Duration) {}
    fn poll_endpoints(&mut self) {
        self.decisions.push("watch".into());
    }
    fn log(&mut self, line: &str) {
        self.decisions.push(format!("log {line}"));
    }
}

/// The words of a line or an event: plain words, and values by name.
struct Words<'a> {
    plain: Vec<&'a str>,
    values: BTreeMap<&'a str, &'a str>,
}

impl<'a> Words<'a> {
    fn new(text: &'a str) -> Words<'a> {
        Words {
            plain: text.split_whitespace().filter(|word| !word.contains('=')).collect(),
            values: text.split_whitespace().filter_map(|word| word.split_once('=')).collect(),
        }
    }
    fn has(&self, word: &str) -> bool {
        self.plain.contains(&word)
    }
    fn number(&self, name: &str, default: f64) -> f64 {
        let parse = |value: &&str| value.parse().unwrap_or_else(|_| panic!("{name}={value}"));
        self.values.get(name).map_or(default, parse)
    }
    fn duration(&self, name: &str, default: f64) -> Duration {
        Duration::from_secs_f64(self.number(name, default))
    }
    fn endpoint(&self, position: usize) -> EndpointId {
        EndpointId(u64::from(self.plain[position].as_bytes()[0]))
    }
    fn destination(&self) -> DestinationId {
        DestinationId(self.number("dst", 1.0) as u32)
    }
    fn zone(&self) -> ZoneId {
        ZoneId(self.number("zone", 0.0) as u16)
    }
    fn message(&self) -> MessageId {
        MessageId(self.plain[1].parse().expect("the number of a message"))
    }
}

fn message_class(words: &Words) -> MessageClass {
    let is_zone_scoped = words.has("zone");
    let scope = if is_zone_scoped { DeduplicationScope::SameZone } else { DeduplicationScope::AllEndpoints };
    MessageClass {
        latency_objective: words.duration("target", 2.0),
        deadline: words.duration("deadline", 20.0),
        priority_weight: words.number("value", 1.0),
        late_weight_share: words.number("late", 0.3),
        idempotency: match words.plain[1] {
            "retriable" => Idempotency::Idempotent,
            "keyed" => Idempotency::WithKey { window: words.duration("memory", 5.0), scope },
            _ => Idempotency::NotIdempotent,
        },
        in_order: words.has("ordered"),
    }
}

fn destination_kind(words: &Words) -> DestinationKind {
    DestinationKind {
        independent_endpoints: words.has("apart"),
        max_batch: words.number("batch", 1.0) as usize,
    }
}

fn settings(
    words: &Words,
    classes: Vec<MessageClass>,
    destination_kinds: Vec<DestinationKind>,
) -> PolicySettings {
    PolicySettings {
        seed: 7,
        relay_count: words.number("relays", 1.0) as u32,
        classes,
        destination_kinds,
        max_calls_in_flight: words.number("slots", 20.0) as usize,
        max_queued: words.number("held", 100.0) as usize,
        max_attempts: words.number("legs", 8.0) as u8,
        tenant_quotas: vec![words.number("quota", 1e6); 2],
        listed_rate: if words.has("untold") { ListedRate::Unknown } else { ListedRate::Exact },
        requires_polling: words.has("watch"),
        poll_interval: words.duration("ask", 0.0),
        may_cancel: true,
        max_retry_after: words.duration("pause", 3.0),
        drain_grace: Duration::from_secs(1),
        order_hold_off: words.duration("rest", 0.3),
        slow_start_share: 0.3,
        slow_start_duration: Duration::from_secs(10),
        overload_multiple: 1.5,
        overload_window: Duration::from_secs(2),
        ..PolicySettings::default()
    }
}

fn listed_endpoint(words: &Words) -> Input {
    let status = match words.plain.get(2) {
        Some(&"draining") => EndpointStatus::Draining,
        Some(&"removed") => EndpointStatus::Removed,
        _ => EndpointStatus::Ready,
    };
    Input::EndpointListed(ListedEndpoint {
        endpoint: words.endpoint(1),
        destination: words.destination(),
        zone: words.zone(),
        kind: DestinationKindId(words.number("kind", 0.0) as u16),
        status,
        rate: words.number("rate", 1000.0),
    })
}

fn submitted(words: &Words, now: Duration, classes: &[MessageClass]) -> Input {
    let class = words.number("lane", 0.0) as u16;
    let key = words.number("key", 0.0) as u64;
    let submission = Submission {
        class: ClassId(class),
        tenant: TenantId(words.number("tenant", 0.0) as u32),
        destination: words.destination(),
        key: (key > 0).then_some(OrderingKey(key)),
        deadline: now + classes[class as usize].deadline,
        batch_entry_bytes: words.number("bytes", 0.0) as usize,
        restored: words.has("restored"),
    };
    Input::Submitted { message: words.message(), submission }
}

fn attempt_ended(words: &Words) -> Input {
    let outcome = match words.plain[3] {
        "delivered" => Outcome::Delivered,
        "error" => Outcome::Error,
        "full" => Outcome::Rejected { retry_after: words.duration("wait", 0.0) },
        "noroom" => Outcome::ConnectionLimit,
        "timeout" => Outcome::TimedOut,
        "unconnected" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "over" => Outcome::NotSent,
        other => panic!("unknown outcome {other}"),
    };
    Input::AttemptEnded {
        message: words.message(),
        endpoint: words.endpoint(2),
        elapsed: words.duration("took", 0.1),
        outcome,
        run: if words.has("running") { RunState::MayBeRunning } else { RunState::from_outcome(outcome) },
        closed: matches!(outcome, Outcome::Delivered | Outcome::NotSent),
    }
}

fn earlier_attempt(words: &Words, now: Duration) -> Input {
    Input::EarlierAttempt {
        message: words.message(),
        zone: words.zone(),
        at: now.saturating_sub(words.duration("ago", 0.0)),
        may_have_run: !words.has("refused"),
    }
}

/// Returns the inputs of an event in the notation.
fn inputs(now: Duration, classes: &[MessageClass], text: &str) -> Vec<Input> {
    let words = Words::new(text);
    match words.plain[0] {
        "list" => vec![listed_endpoint(&words)],
        "whole" => vec![Input::FullListBegins, listed_endpoint(&words)],
        "msg" => vec![submitted(&words, now, classes)],
        "end" => vec![attempt_ended(&words)],
        "gone" => vec![Input::Closed(words.message())],
        "leg" => vec![earlier_attempt(&words, now)],
        "ended" => vec![Input::FinalAnswerPending(words.message())],
        "wait" => {
            vec![Input::RetryAfter { endpoint: words.endpoint(1), duration: words.duration("for", 0.0) }]
        }
        "limit" => {
            vec![Input::RateLimitReported { endpoint: words.endpoint(1), rate: words.number("rate", 0.0) }]
        }
        "oldlist" => vec![Input::ListMayBeStale],
        "listed" => vec![Input::ListReceived],
        "nolist" => vec![Input::PollFailed(PollFailure::UNEXPLAINED)],
        other => panic!("unknown event {other}"),
    }
}

/// A scenario that is being run.
#[derive(Default)]
struct ScenarioRun {
    settings_line: String,
    classes: Vec<MessageClass>,
    kinds: Vec<DestinationKind>,
    policy: Option<DeliveryPolicy>,
    now: Duration,
    /// The decisions of the last `at` or `until` line.
    recorder: Recorder,
    checks: usize,
}

impl ScenarioRun {
    fn run_line(&mut self, line: &str, place: &str) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "facts" => self.settings_line = line.into(),
            "lane" => self.classes.push(message_class(&Words::new(line))),
            "kind" => self.kinds.push(destination_kind(&Words::new(line))),
            "at" | "until" => {
                let (time, events) = rest.split_once(':').unwrap_or((rest, ""));
                let seconds = time.parse().unwrap_or_else(|_| panic!("{place}: invalid time"));
                self.advance(Duration::from_secs_f64(seconds), word == "until", events);
            }
            _ => self.check(word, rest, place),
        }
    }

    fn advance(&mut self, end: Duration, in_steps: bool, events: &str) {
        let settings_words = Words::new(&self.settings_line);
        let start =
            || DeliveryPolicy::new(settings(&settings_words, self.classes.clone(), self.kinds.clone()));
        let policy = self.policy.get_or_insert_with(start);
        self.recorder = Recorder {
            decisions: Vec::new(),
            requires_acknowledgement: self.settings_line.contains("notices"),
            records_forgotten: self.settings_line.contains("forgets"),
        };
        while in_steps && self.now + STEP < end {
            self.now += STEP;
            policy.step(self.now, [], &mut self.recorder);
        }
        self.now = end;
        let events = events.split(';').filter(|event| !event.trim().is_empty());
        let inputs = events.flat_map(|event| inputs(end, &self.classes, event));
        policy.step(end, inputs, &mut self.recorder);
    }

    fn check(&mut self, word: &str, expected: &str, place: &str) {
        let decisions = &self.recorder.decisions;
        let seen = format!("{place}\ndecisions: {}", decisions.join("; "));
        let found = decisions.iter().filter(|decision| decision.starts_with(expected)).count();
        match word {
            "=>" => assert_eq!(decisions.join("; "), expected, "{seen}"),
            "~>" => assert!(found > 0, "{seen}"),
            "!>" => assert_eq!(found, 0, "{seen}"),
            "#>" => {
                let (count, expected) = expected.split_once(' ').expect("a count and a decision");
                let found = decisions.iter().filter(|decision| decision.starts_with(expected)).count();
                assert_eq!(found.to_string(), count, "{seen}");
            }
            _ => panic!("{seen}"),
        }
        self.checks += 1;
    }
}

#[test_case("rule1"; "rule 1 one final answer before the deadline")]
#[test_case("rule2"; "rule 2 no message takes effect twice")]
#[test_case("rule2-zone"; "rule 2 repeats stay in the deduplication zone")]
#[test_case("rule2-push"; "rule 2 messages that may have run are rejected only where allowed")]
#[test_case("rule3"; "rule 3 draining endpoints get no new messages")]
#[test_case("rule3-start"; "rule 3 a possibly stale list is not used at once")]
#[test_case("rule4"; "rule 4 a destination in slow start is not overloaded")]
#[test_case("rule5"; "rule 5 order by key")]
#[test_case("rule6"; "rule 6 a retry after applies to the destination")]
#[test_case("rule6-apart"; "rule 6 a retry after applies to one independent endpoint")]
#[test_case("rule6-batch"; "rule 6 every retry after of a call applies")]
#[test_case("breaker"; "five failures open the breaker and one trial decides")]
#[test_case("breaker-apart"; "independent endpoints have separate breakers")]
#[test_case("breaker-quiet"; "few failures open the breaker of a quiet destination")]
#[test_case("breaker-hung"; "overdue calls open the breaker")]
#[test_case("slow"; "a late success allows the trial at once")]
#[test_case("partial"; "resets among successes are no outage")]
#[test_case("refused-crowd"; "a large fleet backs off on the first rejection")]
#[test_case("trial"; "the trial prefers a message that may run again")]
#[test_case("trial-crowd"; "trials of a large fleet do not overload a destination in slow start")]
#[test_case("slots"; "destinations with the fewest calls in flight are served first")]
#[test_case("slot-share"; "one destination cannot take all calls")]
#[test_case("suspects"; "failing destinations together leave calls free")]
#[test_case("recall"; "overdue calls are cancelled when few calls are free")]
#[test_case("credits"; "a concurrency limit bounds calls in flight")]
#[test_case("credits-grow"; "a decreased concurrency limit grows again")]
#[test_case("suspect"; "one call at a time after a failure")]
#[test_case("dead-endpoint"; "a failing endpoint of several is skipped")]
#[test_case("stale"; "idle connections are closed after resets")]
#[test_case("stale-silent"; "idle connections are closed after missing responses")]
#[test_case("crowd"; "no idle connections in a large fleet")]
#[test_case("crowd-room"; "idle connections in a large fleet while tables are not full")]
#[test_case("refused"; "a rejection without a retry after backs off")]
#[test_case("shut"; "a destination that rejects all gets one message per call")]
#[test_case("limit"; "rejections with a retry after are no outage")]
#[test_case("pace"; "calls are paced by the listed rate")]
#[test_case("pace-crowd"; "a large fleet is not paced by an even share of a low rate")]
#[test_case("share"; "messages over a tenant quota are sent last")]
#[test_case("line"; "a message with a longer key queue is sent first")]
#[test_case("batch"; "messages to one endpoint share a call")]
#[test_case("batch-times"; "messages that share a call have similar times left")]
#[test_case("batch-bytes"; "a call of several messages fits the maximum body size")]
#[test_case("hold"; "the message of the lowest weight is rejected under load")]
#[test_case("legs"; "the number of retries depends on the priority weight")]
#[test_case("list"; "full lists and list updates")]
#[test_case("forget"; "removed endpoints are forgotten once no rule needs them")]
#[test_case("watch-crowd"; "a large fleet does not poll at the same time")]
#[test_case("watch"; "a failed poll is retried")]
#[test_case("stray"; "stray events are ignored")]
#[test_case("back"; "a quiet destination recovers in slow start after an outage")]
#[test_case("rule5-rest"; "rule 5 a hold-off depends on the run state")]
#[test_case("rule5-notice"; "rule 5 an unacknowledged final outcome delays its key")]
#[test_case("rule6-beside"; "rule 6 a retry after separate from outcomes applies")]
#[test_case("restart"; "attempts in flight before a restart may have run")]
#[test_case("restart-room"; "restored messages without attempts are not rejected for others")]
#[test_case("restart-untried"; "restored messages without attempts are sent first")]
#[test_case("untold-paced"; "a route is paced after a rejection if no rate is listed")]
#[test_case("one-place"; "a relay with room for one message holds one")]
#[test_case("untold-crowd"; "a large fleet is not paced by its own rate estimate")]
#[test_case("told-limit"; "a reported rate limit applies if no rate is listed")]
#[test_case("worthless"; "messages of a class of weight zero are sent")]
#[test_case("untold-cold"; "slow start uses the estimated rate if none is listed")]
#[test_case("restart-order"; "rule 5 order by key after a restart")]
fn scenario(file: &str) {
    let path = format!("{}/tests/scenarios/{file}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let mut run = ScenarioRun { settings_line: "facts".into(), ..ScenarioRun::default() };
    for (index, line) in text.lines().enumerate() {
        if !line.trim().is_empty() && !line.starts_with("# ") {
            run.run_line(line, &format!("{file}:{}: {line}", index + 1));
        }
    }
    assert!(run.checks > 0, "{file} contains no checks");
}
