//! Plays the scenarios in `tests/scenarios`, small texts in a notation of our own:
//!
//! - `facts name=value ..` (`untold`: no rates are listed), `lane name=value ..`, `kind name=value ..`: the
//!   settings, the message classes and the kinds of destinations; spans in seconds
//! - `at T: event; event ..`: one step; events: `list A dst=1 ..`, `whole A dst=1 ..`, `msg 1 lane=0 ..`
//!   (`restored`: from before a restart), `end 1 A delivered` (`over`: nothing more is sent; `running`: the answer broke off), `gone 1` (withdrawn, or its final outcome was
//!   taken), `nolist` (polling failed), `leg 1 ago=2 zone=0 [refused]` and `ended 1` (an attempt and a final
//!   outcome from before a restart), `wait A for=1` (a `Retry-After` beside outcomes), `limit A rate=2`
//!   (a rate limit beside outcomes); with `facts notices` final outcomes count only once taken
//! - `until T`: a step each 20 ms
//! - `=> a; b`: exactly these decisions in that span; `~> a`: this one among them; `!> a`: none like it;
//!   `#> N a`: N that begin so. Decisions: `send 1 A`, `push 1` (rejected), `fail 1`, `recall 1` (cancelled),
//!   `close A`, `forget A` with `facts forgets`, `watch` (polls), `log ..`

use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

/// The time between two steps in `until`.
const STEP: Duration = Duration::from_millis(20);

/// Writes down what was decided, in the words of the notation.
#[derive(Default)]
struct Recorder {
    decisions: Vec<String>,
    /// Final outcomes count only once the host says that they were taken.
    outcomes_must_be_taken: bool,
    shows_forgotten: bool,
}

fn name(endpoint: EndpointId) -> char {
    char::from(endpoint.0 as u8)
}

impl Actions for Recorder {
    fn send(&mut self, message: MessageId, endpoint: EndpointId, _limit: Duration) {
        self.decisions.push(format!("send {} {}", message.0, name(endpoint)));
    }
    fn reject(&mut self, message: MessageId, _retry_after: Duration) -> bool {
        self.decisions.push(format!("push {}", message.0));
        !self.outcomes_must_be_taken
    }
    fn fail(&mut self, message: MessageId) -> bool {
        self.decisions.push(format!("fail {}", message.0));
        !self.outcomes_must_be_taken
    }
    fn cancel(&mut self, message: MessageId, _attempt: AttemptNumber) {
        self.decisions.push(format!("recall {}", message.0));
    }
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.decisions.push(format!("close {}", name(endpoint)));
    }
    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        if self.shows_forgotten {
            self.decisions.push(format!("forget {}", name(endpoint)));
        }
    }
    fn wake_after(&mut self, _span: Duration) {}
    fn poll_endpoints(&mut self) {
        self.decisions.push("watch".into());
    }
    fn log(&mut self, line: &str) {
        self.decisions.push(format!("log {line}"));
    }
}

/// A line or an event of the notation: plain words, and values by name.
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
    fn number(&self, name: &str, absent: f64) -> f64 {
        let parse = |value: &&str| value.parse().unwrap_or_else(|_| panic!("{name}={value}"));
        self.values.get(name).map_or(absent, parse)
    }
    fn span(&self, name: &str, absent: f64) -> Duration {
        Duration::from_secs_f64(self.number(name, absent))
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
        MessageId(self.plain[1].parse().expect("a message's number"))
    }
}

fn message_class(words: &Words) -> MessageClass {
    let is_by_zone = words.has("zone");
    let scope = if is_by_zone { DeduplicationScope::SameZone } else { DeduplicationScope::AllEndpoints };
    MessageClass {
        latency_objective: words.span("target", 2.0),
        deadline: words.span("deadline", 20.0),
        priority_weight: words.number("value", 1.0),
        late_weight_share: words.number("late", 0.3),
        idempotency: match words.plain[1] {
            "retriable" => Idempotency::Idempotent,
            "keyed" => Idempotency::WithKey { window: words.span("memory", 5.0), scope },
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
        poll_interval: words.span("ask", 0.0),
        may_cancel: true,
        max_retry_after: words.span("pause", 3.0),
        drain_grace: Duration::from_secs(1),
        order_hold_off: words.span("rest", 0.3),
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
        "full" => Outcome::Rejected { retry_after: words.span("wait", 0.0) },
        "noroom" => Outcome::ConnectionLimit,
        "timeout" => Outcome::TimedOut,
        "unconnected" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "over" => Outcome::NotSent,
        other => panic!("no outcome {other}"),
    };
    Input::AttemptEnded {
        message: words.message(),
        endpoint: words.endpoint(2),
        elapsed: words.span("took", 0.1),
        outcome,
        run: if words.has("running") { RunState::MayBeRunning } else { RunState::from_outcome(outcome) },
        closed: matches!(outcome, Outcome::Delivered | Outcome::NotSent),
    }
}

fn earlier_attempt(words: &Words, now: Duration) -> Input {
    Input::EarlierAttempt {
        message: words.message(),
        zone: words.zone(),
        at: now.saturating_sub(words.span("ago", 0.0)),
        may_have_run: !words.has("refused"),
    }
}

/// The inputs that an event of the notation stands for.
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
        "wait" => vec![Input::RetryAfter { endpoint: words.endpoint(1), span: words.span("for", 0.0) }],
        "limit" => {
            vec![Input::RateLimitReported { endpoint: words.endpoint(1), rate: words.number("rate", 0.0) }]
        }
        "oldlist" => vec![Input::ListMayBeStale],
        "listed" => vec![Input::ListReceived],
        "nolist" => vec![Input::PollFailed { retry_after: None }],
        other => panic!("no event {other}"),
    }
}

/// A scenario as it is played.
#[derive(Default)]
struct Player {
    settings_line: String,
    classes: Vec<MessageClass>,
    kinds: Vec<DestinationKind>,
    policy: Option<DeliveryPolicy>,
    now: Duration,
    /// What was decided in the last span.
    recorder: Recorder,
    checks: usize,
}

impl Player {
    fn play_line(&mut self, line: &str, place: &str) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "facts" => self.settings_line = line.into(),
            "lane" => self.classes.push(message_class(&Words::new(line))),
            "kind" => self.kinds.push(destination_kind(&Words::new(line))),
            "at" | "until" => {
                let (time, events) = rest.split_once(':').unwrap_or((rest, ""));
                let seconds = time.parse().unwrap_or_else(|_| panic!("{place}: no time"));
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
            outcomes_must_be_taken: self.settings_line.contains("notices"),
            shows_forgotten: self.settings_line.contains("forgets"),
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
        let seen = format!("{place}\nseen: {}", decisions.join("; "));
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

#[test_case("rule1"; "rule 1 one final answer in time")]
#[test_case("rule2"; "rule 2 no effect twice")]
#[test_case("rule2-zone"; "rule 2 repeats stay in the zone")]
#[test_case("rule2-push"; "rule 2 rejected only where allowed")]
#[test_case("rule3"; "rule 3 drains are kept")]
#[test_case("rule3-start"; "rule 3 a list that may be old")]
#[test_case("rule4"; "rule 4 a destination in slow start is not overloaded")]
#[test_case("rule5"; "rule 5 order by key")]
#[test_case("rule6"; "rule 6 a retry after binds")]
#[test_case("rule6-apart"; "rule 6 by route where endpoints are independent")]
#[test_case("rule6-batch"; "rule 6 every retry after of a call binds")]
#[test_case("breaker"; "five failures open, one trial decides")]
#[test_case("breaker-apart"; "independent endpoints have breakers of their own")]
#[test_case("breaker-quiet"; "few calls open a quiet destination")]
#[test_case("breaker-hung"; "calls without an answer open")]
#[test_case("slow"; "a slow host is tried at once")]
#[test_case("partial"; "a few resets are no outage")]
#[test_case("refused-crowd"; "the first rejection in a large fleet")]
#[test_case("trial"; "the trial is a message that may run again")]
#[test_case("trial-crowd"; "trials of a large fleet leave a destination in slow start room")]
#[test_case("slots"; "free calls go where the fewest are in flight")]
#[test_case("slot-share"; "one destination cannot take all calls")]
#[test_case("suspects"; "failed destinations together leave calls free")]
#[test_case("recall"; "overdue calls are cancelled when calls run short")]
#[test_case("credits"; "a concurrency limit is used up and grows back")]
#[test_case("credits-grow"; "a cut limit grows again")]
#[test_case("suspect"; "one call at a time while failures run")]
#[test_case("dead-endpoint"; "a dead endpoint beside a live one is held off")]
#[test_case("stale"; "no stale connection after a reset")]
#[test_case("stale-silent"; "no stale connection after silence")]
#[test_case("crowd"; "no idle connections in a large fleet")]
#[test_case("crowd-room"; "idle connections in a large fleet where there is room")]
#[test_case("refused"; "a rejection without a retry after backs off")]
#[test_case("shut"; "a shut destination is asked with one message")]
#[test_case("limit"; "a limit that tells a retry after is no outage")]
#[test_case("pace"; "the listed rate paces")]
#[test_case("pace-crowd"; "in a large fleet no message waits for an even share")]
#[test_case("share"; "over its quota a tenant goes last")]
#[test_case("line"; "what holds others back goes first")]
#[test_case("batch"; "a batch is one call")]
#[test_case("batch-times"; "a call holds messages with like times left")]
#[test_case("batch-bytes"; "a call holds no more than a body may")]
#[test_case("hold"; "the least weight is rejected when places run out")]
#[test_case("legs"; "retries go by priority weight")]
#[test_case("list"; "lists whole and in part")]
#[test_case("forget"; "what is gone is forgotten once no rule needs it")]
#[test_case("watch-crowd"; "a large fleet does not poll together")]
#[test_case("watch"; "the list is polled again")]
#[test_case("stray"; "stray events are ignored")]
#[test_case("back"; "what failed for a while comes back in slow start")]
#[test_case("rule5-rest"; "rule 5 a key rests by what is known of the run")]
#[test_case("rule5-notice"; "rule 5 a final outcome that is not taken holds back its key")]
#[test_case("rule6-beside"; "rule 6 a retry after beside outcomes binds")]
#[test_case("restart"; "what was in flight before a restart may have run")]
#[test_case("restart-room"; "a restart's untried messages are not rejected for others")]
#[test_case("restart-untried"; "a restart's untried messages go first")]
#[test_case("untold-paced"; "what was rejected is paced where no rate is listed")]
#[test_case("one-place"; "one place holds one")]
#[test_case("untold-crowd"; "a large fleet reckons no rate from its own answers")]
#[test_case("told-limit"; "answers tell the limit where no rate is listed")]
#[test_case("worthless"; "a class of no weight is sent all the same")]
#[test_case("untold-cold"; "a slow start where no rate is listed")]
#[test_case("restart-order"; "rule 5 order by key across a restart")]
fn scenario(file: &str) {
    let path = format!("{}/tests/scenarios/{file}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let mut player = Player { settings_line: "facts".into(), ..Player::default() };
    for (index, line) in text.lines().enumerate() {
        if !line.trim().is_empty() && !line.starts_with("# ") {
            player.play_line(line, &format!("{file}:{}: {line}", index + 1));
        }
    }
    assert!(player.checks > 0, "{file} checks nothing");
}
