//! The invariant checker proved on whole days: a fault is injected, so that a rule is broken on purpose, and the
//! checker must name that rule; the same day without the fault must be clean.

use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use mountshift_lab::day::{Day, DayOptions};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy::{GroundTruth, Policy};
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_scenario::Scenario;
use std::time::Duration;
use test_case::test_case;

/// The fault that is injected between the model and the decisions.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Final answers are dropped.
    AnswersDropped,
    /// Each final answer is given twice.
    AnswersDuplicated,
    /// What has just been failed is sent once more.
    AttemptAfterFailure,
    /// The decisions are told deadlines that fault three seconds later.
    LaterDeadlines,
    /// Each attempt goes to a second endpoint too.
    ParallelAttempts,
    /// The decisions are told that every class is idempotent.
    AllClassesIdempotent,
    /// They are told that endpoints recognise repeats for a minute.
    LongerDeduplicationWindow,
    /// They are told that all endpoints recognise repeats.
    DeduplicationAtAllEndpoints,
    /// Clients are told failures as rejections.
    FailuresAsRejections,
    /// What was sent before a restart is not restored.
    EarlierAttemptsForgotten,
    /// What is restored is told as out of time.
    RestoredMessagesExpired,
    /// Draining endpoints are told as ready.
    DrainsHidden,
    /// The decisions are told that one relay alone sends, and that destinations bear their whole rate at once.
    NoSlowStart,
    /// They are told that no class keeps an order.
    NoOrdering,
    /// They are told that a key needs no hold-off.
    NoHoldOff,
    /// Retry-After is kept from them.
    RetryAfterHidden,
}

struct FaultyPolicy {
    policy: DeliveryPolicy,
    fault: Fault,
}

struct FaultyActions<'a> {
    out: &'a mut dyn Actions,
    fault: Fault,
    peers: Vec<EndpointId>,
    last: Option<EndpointId>,
}

impl Actions for FaultyActions<'_> {
    fn send(&mut self, msg: MessageId, to: EndpointId, timeout: Duration) {
        self.out.send(msg, to, timeout);
        self.last = Some(to);
        if self.fault == Fault::ParallelAttempts {
            // Endpoints of a destination have neighbouring numbers.
            let other = if to.0 % 2 == 1 { to.0 + 1 } else { to.0 - 1 };
            if self.peers.contains(&EndpointId(other)) {
                self.out.send(msg, EndpointId(other), timeout);
            }
        }
    }
    fn reject(&mut self, msg: MessageId, pause: Duration) -> bool {
        self.out.reject(msg, pause)
    }
    fn fail(&mut self, msg: MessageId) -> bool {
        match self.fault {
            Fault::AnswersDropped => false,
            Fault::AnswersDuplicated => {
                self.out.fail(msg);
                self.out.fail(msg)
            }
            Fault::AttemptAfterFailure => {
                let at_once = self.out.fail(msg);
                let to = self.last.unwrap_or(EndpointId(1));
                self.out.send(msg, to, Duration::from_millis(500));
                at_once
            }
            Fault::FailuresAsRejections => self.out.reject(msg, Duration::from_millis(100)),
            _ => self.out.fail(msg),
        }
    }
    fn cancel(&mut self, msg: MessageId, leg: AttemptNumber) {
        self.out.cancel(msg, leg);
    }
    fn close_idle_connections(&mut self, to: EndpointId) {
        self.out.close_idle_connections(to);
    }
    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.out.forget_endpoint(endpoint);
    }
    fn wake_after(&mut self, delay: Duration) {
        self.out.wake_after(delay);
    }
    fn poll_endpoints(&mut self) {
        self.out.poll_endpoints();
    }
    fn log(&mut self, line: &str) {
        self.out.log(line);
    }
}

fn faulty_policy(fault: Fault, mut settings: PolicySettings) -> Box<dyn Policy> {
    for class in &mut settings.classes {
        match (fault, class.idempotency) {
            (Fault::AllClassesIdempotent, _) => class.idempotency = Idempotency::Idempotent,
            (Fault::LongerDeduplicationWindow, Idempotency::WithKey { scope, .. }) => {
                class.idempotency = Idempotency::WithKey { window: Duration::from_secs(60), scope };
            }
            (Fault::DeduplicationAtAllEndpoints, Idempotency::WithKey { window, .. }) => {
                class.idempotency = Idempotency::WithKey { window, scope: DeduplicationScope::AllEndpoints };
            }
            (Fault::NoOrdering, _) => class.in_order = false,
            _ => {}
        }
    }
    match fault {
        Fault::NoHoldOff => settings.order_hold_off = Duration::ZERO,
        Fault::NoSlowStart => {
            settings.relay_count = 1;
            settings.slow_start_share = 1.0;
            settings.overload_multiple = 100.0;
        }
        _ => {}
    }
    Box::new(FaultyPolicy { policy: DeliveryPolicy::new(settings), fault })
}

impl Policy for FaultyPolicy {
    fn step(
        &mut self,
        now: Duration,
        inputs: &mut Vec<Input>,
        _: Option<&mut GroundTruth>,
        out: &mut dyn Actions,
    ) {
        let fault = self.fault;
        let mut peers = Vec::new();
        inputs.retain_mut(|input| match input {
            Input::Submitted { submission, .. } if fault == Fault::LaterDeadlines => {
                submission.deadline += Duration::from_secs(3);
                true
            }
            Input::Submitted { submission, .. }
                if fault == Fault::RestoredMessagesExpired && submission.restored =>
            {
                submission.deadline = now;
                true
            }
            Input::EarlierAttempt { .. } => fault != Fault::EarlierAttemptsForgotten,
            Input::EndpointListed(listed) if fault == Fault::DrainsHidden => {
                listed.status = EndpointStatus::Ready;
                true
            }
            Input::RetryAfter { .. } => fault != Fault::RetryAfterHidden,
            Input::AttemptEnded { outcome, .. } if fault == Fault::RetryAfterHidden => {
                if let Outcome::Rejected { retry_after: wait } = outcome {
                    *wait = Duration::ZERO;
                }
                true
            }
            _ => true,
        });
        if fault == Fault::ParallelAttempts {
            peers = (1..=200).map(EndpointId).collect();
        }
        let mut faulty_actions = FaultyActions { out, fault, peers, last: None };
        Policy::step(&mut self.policy, now, inputs, None, &mut faulty_actions);
    }
}

fn scenario(name: &str) -> Scenario {
    let path = format!("{}/../../examples/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    Scenario::read(path.as_ref()).expect("a scenario")
}

fn play(name: &str, fault: Fault, seed: u64, change: impl FnOnce(&mut Scenario)) -> DayOutcome {
    let mut s = scenario(name);
    // One key a destination: a queue stands behind every message that keeps its order.
    s.traffic.keys = std::num::NonZeroU32::MIN;
    change(&mut s);
    let play = DayOptions { policy: PolicyKind::Mountshift, seed, keep_timeline: false };
    Day::new(&s, play).with_policy(Box::new(move |settings| faulty_policy(fault, settings))).run()
}

/// Rule by rule, if it was broken.
fn broken(day: &DayOutcome) -> Vec<usize> {
    (1..=6).filter(|rule| day.breach_counts[rule - 1] > 0).collect()
}

#[test_case("hang", Fault::AnswersDropped, 1; "final answers dropped")]
#[test_case("hang", Fault::AnswersDuplicated, 1; "final answers duplicated")]
#[test_case("hang", Fault::AttemptAfterFailure, 1; "attempt after a failure")]
#[test_case("vanish", Fault::LaterDeadlines, 1; "final answer after the deadline")]
#[test_case("calm", Fault::ParallelAttempts, 2; "parallel attempts")]
#[test_case("half-errors", Fault::AllClassesIdempotent, 2; "every class treated as idempotent")]
#[test_case("half-errors", Fault::FailuresAsRejections, 2; "failure told as a rejection")]
#[test_case("fast-errors", Fault::LongerDeduplicationWindow, 2; "repeat after the deduplication window")]
#[test_case("relays-in-waves", Fault::EarlierAttemptsForgotten, 2; "earlier attempts forgotten")]
#[test_case("relays-in-waves", Fault::RestoredMessagesExpired, 1; "restored messages expired")]
#[test_case("rolling-drain", Fault::DrainsHidden, 3; "drains hidden")]
#[test_case("crowd-cold", Fault::NoSlowStart, 4; "no slow start")]
#[test_case("slow", Fault::NoOrdering, 5; "no ordering")]
#[test_case("resets", Fault::NoHoldOff, 5; "no hold off for a key")]
#[test_case("limit-count", Fault::RetryAfterHidden, 6; "retry after hidden")]
fn an_injected_fault_is_found(name: &str, fault: Fault, rule: usize) {
    let clean = play(name, Fault::None, 5, |_| {});
    assert_eq!(broken(&clean), Vec::<usize>::new(), "{:?}", clean.breaches.first());
    // Not every day gives every fault its chance.
    let mut days = (5..15).map(|seed| play(name, fault, seed, |_| {}));
    let faulty = days.find(|day| broken(day).contains(&rule)).expect("a day on which the rule is broken");
    let breach = faulty.breaches.iter().find(|b| usize::from(b.rule) == rule).expect("a breach");
    assert!(!breach.history.is_empty() && !breach.reason.is_empty());
}

#[test]
fn a_repeat_outside_the_deduplication_zone_is_found() {
    let by_zone = |s: &mut Scenario| {
        let text = s.to_text().expect("a text").replace("memory = ", "group = \"zone\"\nmemory = ");
        *s = Scenario::from_text(&text, "by zone").expect("a scenario");
    };
    assert_eq!(broken(&play("fast-errors", Fault::None, 5, by_zone)), Vec::<usize>::new());
    assert_eq!(broken(&play("fast-errors", Fault::DeduplicationAtAllEndpoints, 5, by_zone)), vec![2]);
}
