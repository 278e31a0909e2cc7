//! Tests of the invariant checker on whole simulated days. A fault between the model and the policy breaks a rule, and
//! the checker must report that rule; the same day without the fault must have no breaches.

use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use mountshift_lab::day::{Day, DayOptions};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy::{GroundTruth, Policy};
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_scenario::Scenario;
use std::time::Duration;
use test_case::test_case;

/// Fault injected between the model and the policy.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Failed messages get no final answer.
    AnswersDropped,
    /// Failed messages get two final answers.
    AnswersDuplicated,
    /// A message is sent again after it was reported as failed.
    AttemptAfterFailure,
    /// The policy receives deadlines that are three seconds too late.
    LaterDeadlines,
    /// Each attempt is also sent to a second endpoint.
    ParallelAttempts,
    /// The settings declare every message class idempotent.
    AllClassesIdempotent,
    /// The settings contain a deduplication window of one minute.
    LongerDeduplicationWindow,
    /// The settings declare that all endpoints of a destination share idempotency keys.
    DeduplicationAtAllEndpoints,
    /// Failed messages are reported to clients as rejected.
    FailuresAsRejections,
    /// Attempts from before a restart are not restored.
    EarlierAttemptsForgotten,
    /// Messages restored after a restart have reached their deadlines.
    RestoredMessagesExpired,
    /// Draining endpoints are listed as ready.
    DrainsHidden,
    /// The settings declare a fleet of one relay and destinations that bear their full rate right after an outage.
    NoSlowStart,
    /// The settings declare no message class ordered.
    NoOrdering,
    /// The settings contain no hold-off of ordering keys.
    NoHoldOff,
    /// The policy receives no Retry-After.
    RetryAfterHidden,
}

struct FaultyPolicy {
    policy: DeliveryPolicy,
    fault: Fault,
}

struct FaultyActions<'a> {
    actions: &'a mut dyn Actions,
    fault: Fault,
    endpoints: Vec<EndpointId>,
    last_endpoint: Option<EndpointId>,
}

impl Actions for FaultyActions<'_> {
    fn send(&mut self, message: MessageId, endpoint: EndpointId, timeout: Duration) {
        self.actions.send(message, endpoint, timeout);
        self.last_endpoint = Some(endpoint);
        if self.fault == Fault::ParallelAttempts {
            // Endpoints of a destination have neighbouring numbers.
            let other = if endpoint.0 % 2 == 1 { endpoint.0 + 1 } else { endpoint.0 - 1 };
            if self.endpoints.contains(&EndpointId(other)) {
                self.actions.send(message, EndpointId(other), timeout);
            }
        }
    }
    fn reject(&mut self, message: MessageId, retry_after: Duration) -> bool {
        self.actions.reject(message, retry_after)
    }
    fn fail(&mut self, message: MessageId) -> bool {
        match self.fault {
            Fault::AnswersDropped => false,
            Fault::AnswersDuplicated => {
                self.actions.fail(message);
                self.actions.fail(message)
            }
            Fault::AttemptAfterFailure => {
                let is_closed = self.actions.fail(message);
                let endpoint = self.last_endpoint.unwrap_or(EndpointId(1));
                self.actions.send(message, endpoint, Duration::from_millis(500));
                is_closed
            }
            Fault::FailuresAsRejections => self.actions.reject(message, Duration::from_millis(100)),
            _ => self.actions.fail(message),
        }
    }
    fn cancel(&mut self, message: MessageId, attempt: AttemptNumber) {
        self.actions.cancel(message, attempt);
    }
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.actions.close_idle_connections(endpoint);
    }
    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.actions.forget_endpoint(endpoint);
    }
    fn wake_after(&mut self, delay: Duration) {
        self.actions.wake_after(delay);
    }
    fn poll_endpoints(&mut self) {
        self.actions.poll_endpoints();
    }
    fn log(&mut self, line: &str) {
        self.actions.log(line);
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
        actions: &mut dyn Actions,
    ) {
        let fault = self.fault;
        let mut endpoints = Vec::new();
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
                if let Outcome::Rejected { retry_after } = outcome {
                    *retry_after = Duration::ZERO;
                }
                true
            }
            _ => true,
        });
        if fault == Fault::ParallelAttempts {
            endpoints = (1..=200).map(EndpointId).collect();
        }
        let mut faulty_actions = FaultyActions { actions, fault, endpoints, last_endpoint: None };
        Policy::step(&mut self.policy, now, inputs, None, &mut faulty_actions);
    }
}

fn scenario(name: &str) -> Scenario {
    let path = format!("{}/../../examples/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    Scenario::read(path.as_ref()).expect("a scenario")
}

fn run_day(name: &str, fault: Fault, seed: u64, change: impl FnOnce(&mut Scenario)) -> DayOutcome {
    let mut s = scenario(name);
    // One ordering key per destination, so that a queue forms behind each ordered message.
    s.traffic.keys = std::num::NonZeroU32::MIN;
    change(&mut s);
    let options = DayOptions { policy: PolicyKind::Mountshift, seed, keep_timeline: false };
    Day::new(&s, options).with_policy(Box::new(move |settings| faulty_policy(fault, settings))).run()
}

/// Returns the numbers of the rules that were broken.
fn broken_rules(day: &DayOutcome) -> Vec<usize> {
    (1..=6).filter(|rule| day.breach_counts[rule - 1] > 0).collect()
}

#[test_case("hang", Fault::AnswersDropped, 1; "final answers dropped")]
#[test_case("hang", Fault::AnswersDuplicated, 1; "final answers duplicated")]
#[test_case("hang", Fault::AttemptAfterFailure, 1; "attempt after a failure")]
#[test_case("vanish", Fault::LaterDeadlines, 1; "final answer after the deadline")]
#[test_case("calm", Fault::ParallelAttempts, 2; "parallel attempts")]
#[test_case("half-errors", Fault::AllClassesIdempotent, 2; "every class treated as idempotent")]
#[test_case("half-errors", Fault::FailuresAsRejections, 2; "failure reported as a rejection")]
#[test_case("fast-errors", Fault::LongerDeduplicationWindow, 2; "repeat after the deduplication window")]
#[test_case("relays-in-waves", Fault::EarlierAttemptsForgotten, 2; "earlier attempts forgotten")]
#[test_case("relays-in-waves", Fault::RestoredMessagesExpired, 1; "restored messages expired")]
#[test_case("rolling-drain", Fault::DrainsHidden, 3; "drains hidden")]
#[test_case("crowd-cold", Fault::NoSlowStart, 4; "no slow start")]
#[test_case("slow", Fault::NoOrdering, 5; "no ordering")]
#[test_case("resets", Fault::NoHoldOff, 5; "no hold-off of ordering keys")]
#[test_case("limit-count", Fault::RetryAfterHidden, 6; "retry after hidden")]
fn checker_reports_the_rule_that_a_fault_breaks(name: &str, fault: Fault, rule: usize) {
    let clean = run_day(name, Fault::None, 5, |_| {});
    assert_eq!(broken_rules(&clean), Vec::<usize>::new(), "{:?}", clean.breaches.first());
    // A fault does not break its rule on every seed.
    let mut days = (5..15).map(|seed| run_day(name, fault, seed, |_| {}));
    let faulty =
        days.find(|day| broken_rules(day).contains(&rule)).expect("a day on which the rule is broken");
    let breach = faulty.breaches.iter().find(|b| usize::from(b.rule) == rule).expect("a breach");
    assert!(!breach.history.is_empty() && !breach.reason.is_empty());
}

#[test]
fn checker_reports_a_repeat_outside_the_deduplication_zone() {
    let deduplicate_per_zone = |s: &mut Scenario| {
        let text = s.to_text().expect("a text").replace("memory = ", "group = \"zone\"\nmemory = ");
        *s = Scenario::from_text(&text, "by zone").expect("a scenario");
    };
    assert_eq!(
        broken_rules(&run_day("fast-errors", Fault::None, 5, deduplicate_per_zone)),
        Vec::<usize>::new()
    );
    assert_eq!(
        broken_rules(&run_day("fast-errors", Fault::DeduplicationAtAllEndpoints, 5, deduplicate_per_zone)),
        vec![2]
    );
}
