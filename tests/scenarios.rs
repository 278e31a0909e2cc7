//! Plays the scenarios in `tests/scenarios`, small texts in a notation of our own:
//!
//! - `facts name=value ..` (`untold`: no rates are listed), `lane name=value ..`, `kind name=value ..`: what is told at startup; spans in seconds
//! - `at T: event; event ..`: one round; events: `list A dst=1 ..`, `whole A dst=1 ..`, `msg 1 lane=0 ..`,
//!   (`restored`: from before a restart), `end 1 A delivered`, `gone 1` (withdrawn, or its end was taken), `nolist` (the watch failed),
//!   `leg 1 ago=2 zone=0 [refused]` and `ended 1` (from before a restart), `wait A for=1` (told beside outcomes);
//!   `limit A rate=2` (told beside outcomes);
//!   with `facts notices` ends count only once taken
//! - `until T`: a round each 20 ms
//! - `=> a; b`: exactly these decisions in that span; `~> a`: this one among them; `!> a`: none like it;
//!   `#> N a`: N that begin so. Decisions: `send 1 A`, `push 1`, `fail 1`, `recall 1`, `close A`,
//!   `forget A` with `facts forgets`, `watch`, `log ..`

use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

/// What was decided, if ends count only once the host says that they were taken, and if forgetting shows.
#[derive(Default)]
struct Decisions(Vec<String>, bool, bool);

fn name(to: EndpointId) -> char {
    char::from(to.0 as u8)
}

impl Actions for Decisions {
    fn send(&mut self, msg: MessageId, to: EndpointId, _limit: Duration) {
        self.0.push(format!("send {} {}", msg.0, name(to)));
    }
    fn reject(&mut self, msg: MessageId, _pause: Duration) -> bool {
        self.0.push(format!("push {}", msg.0));
        !self.1
    }
    fn fail(&mut self, msg: MessageId) -> bool {
        self.0.push(format!("fail {}", msg.0));
        !self.1
    }
    fn cancel(&mut self, msg: MessageId, _leg: AttemptNumber) {
        self.0.push(format!("recall {}", msg.0));
    }
    fn close_idle_connections(&mut self, to: EndpointId) {
        self.0.push(format!("close {}", name(to)));
    }
    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.2.then(|| self.0.push(format!("forget {}", name(endpoint))));
    }
    fn wake_after(&mut self, _after: Duration) {}
    fn poll_endpoints(&mut self) {
        self.0.push("watch".into());
    }
    fn log(&mut self, line: &str) {
        self.0.push(format!("log {line}"));
    }
}

struct Words<'a>(Vec<&'a str>, BTreeMap<&'a str, &'a str>);

impl<'a> Words<'a> {
    fn new(text: &'a str) -> Words<'a> {
        let plain = text.split_whitespace().filter(|w| !w.contains('=')).collect();
        Words(plain, text.split_whitespace().filter_map(|w| w.split_once('=')).collect())
    }
    fn n(&self, key: &str, absent: f64) -> f64 {
        self.1.get(key).map_or(absent, |v| v.parse().unwrap_or_else(|_| panic!("{key}={v}")))
    }
    fn span(&self, key: &str, absent: f64) -> Duration {
        Duration::from_secs_f64(self.n(key, absent))
    }
    fn endpoint(&self, i: usize) -> EndpointId {
        EndpointId(u64::from(self.0[i].as_bytes()[0]))
    }
    fn msg(&self) -> MessageId {
        MessageId(self.0[1].parse().expect("a message's number"))
    }
}

fn message_class(w: &Words) -> MessageClass {
    let group =
        if w.0.contains(&"zone") { DeduplicationScope::SameZone } else { DeduplicationScope::AllEndpoints };
    MessageClass {
        latency_objective: w.span("target", 2.0),
        deadline: w.span("deadline", 20.0),
        priority_weight: w.n("value", 1.0),
        late_weight_share: w.n("late", 0.3),
        idempotency: match w.0[1] {
            "retriable" => Idempotency::Idempotent,
            "keyed" => Idempotency::WithKey { window: w.span("memory", 5.0), scope: group },
            _ => Idempotency::NotIdempotent,
        },
        in_order: w.0.contains(&"ordered"),
    }
}

fn settings(
    w: &Words,
    classes: Vec<MessageClass>,
    destination_kinds: Vec<DestinationKind>,
) -> PolicySettings {
    PolicySettings {
        seed: 7,
        relay_count: w.n("relays", 1.0) as u32,
        classes,
        destination_kinds,
        max_calls_in_flight: w.n("slots", 20.0) as usize,
        max_queued: w.n("held", 100.0) as usize,
        max_attempts: w.n("legs", 8.0) as u8,
        tenant_quotas: vec![w.n("quota", 1e6); 2],
        listed_rate: if w.0.contains(&"untold") { ListedRate::Unknown } else { ListedRate::Exact },
        must_poll: w.0.contains(&"watch"),
        poll_interval: w.span("ask", 0.0),
        may_cancel: true,
        max_retry_after: w.span("pause", 3.0),
        drain_grace: Duration::from_secs(1),
        order_hold_off: w.span("rest", 0.3),
        slow_start_share: 0.3,
        slow_start_duration: Duration::from_secs(10),
        overload_multiple: 1.5,
        overload_window: Duration::from_secs(2),
        ..PolicySettings::default()
    }
}

/// The inputs that an event of the notation stands for.
fn event(now: Duration, classes: &[MessageClass], text: &str) -> Vec<Input> {
    let w = Words::new(text);
    match w.0[0] {
        how @ ("list" | "whole") => {
            let status = match w.0.get(2) {
                Some(&"draining") => EndpointStatus::Draining,
                Some(&"removed") => EndpointStatus::Removed,
                _ => EndpointStatus::Ready,
            };
            let (destination, zone) =
                (DestinationId(w.n("dst", 1.0) as u32), ZoneId(w.n("zone", 0.0) as u16));
            let kind = DestinationKindId(w.n("kind", 0.0) as u16);
            let rate = w.n("rate", 1000.0);
            let endpoint = w.endpoint(1);
            let listed = ListedEndpoint { endpoint, destination, zone, kind, status, rate };
            let begins = (how == "whole").then_some(Input::FullListBegins);
            begins.into_iter().chain([Input::EndpointListed(listed)]).collect()
        }
        "msg" => {
            let (of, key) = (w.n("lane", 0.0) as u16, w.n("key", 0.0) as u64);
            let deadline = now + classes[of as usize].deadline;
            let destination = DestinationId(w.n("dst", 1.0) as u32);
            let tenant = TenantId(w.n("tenant", 0.0) as u32);
            let (key, restored) = ((key > 0).then_some(OrderingKey(key)), w.0.contains(&"restored"));
            let submission = Submission { class: ClassId(of), tenant, destination, key, deadline, restored };
            vec![Input::Submitted { message: w.msg(), submission }]
        }
        "end" => {
            let outcome = match w.0[3] {
                "delivered" => Outcome::Delivered,
                "error" => Outcome::Error,
                "full" => Outcome::Rejected { retry_after: w.span("wait", 0.0) },
                "noroom" => Outcome::ConnectionLimit,
                "timeout" => Outcome::TimedOut,
                "unconnected" => Outcome::ConnectFailed,
                "reset" => Outcome::Reset,
                "cancelled" => Outcome::Cancelled,
                other => panic!("no outcome {other}"),
            };
            let over = outcome == Outcome::Delivered;
            let waited = w.span("took", 0.1);
            let (message, endpoint) = (w.msg(), w.endpoint(2));
            vec![Input::AttemptEnded { message, endpoint, waited, outcome, closed: over }]
        }
        "gone" => vec![Input::Closed(w.msg())],
        "leg" => {
            let at = now.saturating_sub(w.span("ago", 0.0));
            let (zone, may_have_run) = (ZoneId(w.n("zone", 0.0) as u16), !w.0.contains(&"refused"));
            vec![Input::EarlierAttempt { message: w.msg(), zone, at, may_have_run }]
        }
        "ended" => vec![Input::FinalAnswerPending(w.msg())],
        "wait" => vec![Input::RetryAfter { endpoint: w.endpoint(1), span: w.span("for", 0.0) }],
        "limit" => vec![Input::RateLimitReported { endpoint: w.endpoint(1), rate: w.n("rate", 0.0) }],
        "oldlist" => vec![Input::ListMayBeStale],
        "listed" => vec![Input::ListReceived],
        "nolist" => vec![Input::PollFailed { retry_after: None }],
        other => panic!("no event {other}"),
    }
}

#[test_case("rule1"; "rule 1 one final answer in time")]
#[test_case("rule2"; "rule 2 no effect twice")]
#[test_case("rule2-zone"; "rule 2 repeats stay in the group")]
#[test_case("rule2-push"; "rule 2 pushback only where allowed")]
#[test_case("rule3"; "rule 3 drains are kept")]
#[test_case("rule3-start"; "rule 3 a list that may be old")]
#[test_case("rule4"; "rule 4 a cold destination is not pushed over")]
#[test_case("rule5"; "rule 5 order by key")]
#[test_case("rule6"; "rule 6 waits are heeded")]
#[test_case("rule6-apart"; "rule 6 by route where apart")]
#[test_case("rule6-batch"; "rule 6 every wait of a call binds")]
#[test_case("breaker"; "five failures open, one trial decides")]
#[test_case("breaker-apart"; "routes apart have breakers of their own")]
#[test_case("breaker-quiet"; "few calls open a quiet destination")]
#[test_case("breaker-hung"; "calls without an answer open")]
#[test_case("slow"; "a slow host is tried at once")]
#[test_case("partial"; "a few resets are no outage")]
#[test_case("refused-crowd"; "the first refusal in a crowd")]
#[test_case("trial"; "the trial is a message that may run again")]
#[test_case("trial-crowd"; "trials of a crowd leave a cold destination room")]
#[test_case("slots"; "slots go to the fewest calls out")]
#[test_case("slot-share"; "one destination cannot take all slots")]
#[test_case("suspects"; "failed destinations together leave slots free")]
#[test_case("recall"; "overdue calls are recalled when slots run short")]
#[test_case("credits"; "credits are spent and earned back")]
#[test_case("credits-grow"; "a cut limit grows again")]
#[test_case("suspect"; "one call at a time while failures run")]
#[test_case("dead-endpoint"; "a dead endpoint beside a live one rests")]
#[test_case("stale"; "no stale connection after a reset")]
#[test_case("stale-silent"; "no stale connection after silence")]
#[test_case("crowd"; "no idle connections in a crowd")]
#[test_case("crowd-room"; "idle connections in a crowd where there is room")]
#[test_case("refused"; "a refusal without a wait pauses")]
#[test_case("shut"; "a shut destination is asked with one message")]
#[test_case("limit"; "a limit that tells waits is no outage")]
#[test_case("pace"; "the listed rate paces")]
#[test_case("pace-crowd"; "among many relays no message waits for an even portion")]
#[test_case("share"; "over its share a tenant goes last")]
#[test_case("line"; "what holds others back goes first")]
#[test_case("batch"; "a batch is one call")]
#[test_case("batch-times"; "a call holds messages with like times left")]
#[test_case("hold"; "least worth is pushed back when places run out")]
#[test_case("legs"; "further legs go by value")]
#[test_case("list"; "lists whole and in part")]
#[test_case("forget"; "what is gone is forgotten once no rule needs it")]
#[test_case("watch-crowd"; "a crowd does not ask for the list together")]
#[test_case("watch"; "the list is asked for again")]
#[test_case("stray"; "stray events are ignored")]
#[test_case("back"; "what came to nothing for a while comes back cold")]
#[test_case("rule5-notice"; "rule 5 an end that is not taken holds back its key")]
#[test_case("rule6-beside"; "rule 6 a wait told beside outcomes binds")]
#[test_case("restart"; "what was out before a restart may have run")]
#[test_case("restart-room"; "a restart's untried messages are not pushed back for others")]
#[test_case("restart-untried"; "a restart's untried messages go first")]
#[test_case("untold-paced"; "what was refused is paced where no rate is told")]
#[test_case("one-place"; "one place holds one")]
#[test_case("untold-crowd"; "a crowd reckons no rate from its own answers")]
#[test_case("told-limit"; "answers tell the limit where no rate is listed")]
#[test_case("worthless"; "a lane worth nothing is sent all the same")]
#[test_case("untold-cold"; "a cold ramp where no rate is listed")]
#[test_case("restart-order"; "rule 5 order by key across a restart")]
fn scenario(file: &str) {
    let path = format!("{}/tests/scenarios/{file}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
    let (mut classes, mut kinds, mut told) = (Vec::new(), Vec::new(), "facts");
    let (mut policy, mut now, mut out): (Option<DeliveryPolicy>, _, _) =
        (None, Duration::ZERO, Decisions::default());
    let mut checks = 0;
    for (at, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty() && !l.starts_with("# ")) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let seen = || format!("{file}:{}: {line}\nseen: {}", at + 1, out.0.join("; "));
        match word {
            "facts" => told = line,
            "lane" => classes.push(message_class(&Words::new(line))),
            "kind" => {
                let w = Words::new(line);
                let independent_endpoints = w.0.contains(&"apart");
                kinds.push(DestinationKind { independent_endpoints, max_batch: w.n("batch", 1.0) as usize });
            }
            "at" | "until" => {
                let start =
                    || DeliveryPolicy::new(settings(&Words::new(told), classes.clone(), kinds.clone()));
                let policy = policy.get_or_insert_with(start);
                let (time, events) = rest.split_once(':').unwrap_or((rest, ""));
                let end = Duration::from_secs_f64(time.parse().unwrap_or_else(|_| panic!("{}", seen())));
                out = Decisions(Vec::new(), told.contains("notices"), told.contains("forgets"));
                while word == "until" && now + Duration::from_millis(20) < end {
                    now += Duration::from_millis(20);
                    policy.step(now, [], &mut out);
                }
                now = end;
                let events: Vec<&str> = events.split(';').filter(|e| !e.trim().is_empty()).collect();
                let inputs = events.iter().flat_map(|e| event(now, &classes, e));
                policy.step(now, inputs, &mut out);
                continue;
            }
            "=>" => assert_eq!(out.0.join("; "), rest, "{}", seen()),
            "~>" => assert!(out.0.iter().any(|d| d.starts_with(rest)), "{}", seen()),
            "!>" => assert!(!out.0.iter().any(|d| d.starts_with(rest)), "{}", seen()),
            "#>" => {
                let (n, what) = rest.split_once(' ').expect("a count and a decision");
                let found = out.0.iter().filter(|d| d.starts_with(what)).count();
                assert_eq!(found.to_string(), n, "{}", seen());
            }
            _ => panic!("{}", seen()),
        }
        checks += usize::from(word.ends_with('>'));
    }
    assert!(checks > 0, "{file} checks nothing");
}
