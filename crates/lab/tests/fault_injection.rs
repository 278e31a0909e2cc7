//! The judge proved on whole days: the decisions are lied to, so that they break a rule on purpose, and the
//! judge must name that rule; the same day without the lie must be clean.

use mountshift::interface::*;
use mountshift::rules::DeliveryPolicy;
use mountshift_lab::day::{Day, Play};
use mountshift_lab::outcome::DayOutcome;
use mountshift_lab::policy::{GroundTruth, Policy};
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_scenario::Scenario;
use std::time::Duration;
use test_case::test_case;

/// What the decisions are told wrongly.
#[derive(Clone, Copy, PartialEq)]
enum Lie {
    None,
    /// Ends are swallowed.
    Lost,
    /// Each end is given twice.
    Twice,
    /// What has just been failed is sent once more.
    AfterItsEnd,
    /// Deadlines lie three seconds later.
    Deadline,
    /// Each leg goes to a second endpoint too.
    Beside,
    /// Every lane may be repeated.
    Repeats,
    /// Repeats are known for a minute, and everywhere.
    Memory,
    Everywhere,
    /// Failures are told to clients as push-backs.
    Pushed,
    /// What went out before a restart is forgotten.
    Amnesia,
    /// What a restart finds is given up at once.
    GiveUp,
    /// Draining endpoints are told as ready.
    Drains,
    /// One relay alone sends, and what is cold is warm.
    Cold,
    /// No lane keeps an order.
    Order,
    /// A key needs no rest.
    Rest,
    /// Told waits are kept from it.
    Waits,
}

struct Liar {
    policy: DeliveryPolicy,
    lie: Lie,
}

struct Meddler<'a> {
    out: &'a mut dyn Actions,
    lie: Lie,
    peers: Vec<EndpointId>,
    last: Option<EndpointId>,
}

impl Actions for Meddler<'_> {
    fn send(&mut self, msg: MessageId, to: EndpointId, limit: Duration) {
        self.out.send(msg, to, limit);
        self.last = Some(to);
        if self.lie == Lie::Beside {
            // Endpoints of a destination have neighbouring numbers.
            let other = if to.0 % 2 == 1 { to.0 + 1 } else { to.0 - 1 };
            if self.peers.contains(&EndpointId(other)) {
                self.out.send(msg, EndpointId(other), limit);
            }
        }
    }
    fn reject(&mut self, msg: MessageId, pause: Duration) -> bool {
        self.out.reject(msg, pause)
    }
    fn fail(&mut self, msg: MessageId) -> bool {
        match self.lie {
            Lie::Lost => false,
            Lie::Twice => {
                self.out.fail(msg);
                self.out.fail(msg)
            }
            Lie::AfterItsEnd => {
                let at_once = self.out.fail(msg);
                let to = self.last.unwrap_or(EndpointId(1));
                self.out.send(msg, to, Duration::from_millis(500));
                at_once
            }
            Lie::Pushed => self.out.reject(msg, Duration::from_millis(100)),
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
    fn wake_after(&mut self, after: Duration) {
        self.out.wake_after(after);
    }
    fn poll_endpoints(&mut self) {
        self.out.poll_endpoints();
    }
    fn log(&mut self, line: &str) {
        self.out.log(line);
    }
}

fn lied_to(lie: Lie, mut facts: PolicySettings) -> Box<dyn Policy> {
    for lane in &mut facts.classes {
        match (lie, lane.idempotency) {
            (Lie::Repeats, _) => lane.idempotency = Idempotency::Idempotent,
            (Lie::Memory, Idempotency::WithKey { scope: group, .. }) => {
                lane.idempotency = Idempotency::WithKey { window: Duration::from_secs(60), scope: group };
            }
            (Lie::Everywhere, Idempotency::WithKey { window: memory, .. }) => {
                lane.idempotency =
                    Idempotency::WithKey { window: memory, scope: DeduplicationScope::AllEndpoints };
            }
            (Lie::Order, _) => lane.in_order = false,
            _ => {}
        }
    }
    match lie {
        Lie::Rest => facts.order_hold_off = Duration::ZERO,
        Lie::Cold => (facts.relay_count, facts.slow_start_share, facts.overload_multiple) = (1, 1.0, 100.0),
        _ => {}
    }
    Box::new(Liar { policy: DeliveryPolicy::new(facts), lie })
}

impl Policy for Liar {
    fn step(
        &mut self,
        now: Duration,
        inputs: &mut Vec<Input>,
        _: Option<&mut GroundTruth>,
        out: &mut dyn Actions,
    ) {
        let lie = self.lie;
        let mut peers = Vec::new();
        inputs.retain_mut(|input| match input {
            Input::Submitted { submission, .. } if lie == Lie::Deadline => {
                submission.deadline += Duration::from_secs(3);
                true
            }
            Input::Submitted { submission, .. } if lie == Lie::GiveUp && submission.restored => {
                submission.deadline = now;
                true
            }
            Input::EarlierAttempt { .. } => lie != Lie::Amnesia,
            Input::EndpointListed(listed) if lie == Lie::Drains => {
                listed.status = EndpointStatus::Ready;
                true
            }
            Input::RetryAfter { .. } => lie != Lie::Waits,
            Input::AttemptEnded { outcome, .. } if lie == Lie::Waits => {
                if let Outcome::Rejected { retry_after: wait } = outcome {
                    *wait = Duration::ZERO;
                }
                true
            }
            _ => true,
        });
        if lie == Lie::Beside {
            peers = (1..=200).map(EndpointId).collect();
        }
        let mut meddler = Meddler { out, lie, peers, last: None };
        Policy::step(&mut self.policy, now, inputs, None, &mut meddler);
    }
}

fn scenario(name: &str) -> Scenario {
    let path = format!("{}/../../examples/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    Scenario::read(path.as_ref()).expect("a scenario")
}

fn play(name: &str, lie: Lie, seed: u64, change: impl FnOnce(&mut Scenario)) -> DayOutcome {
    let mut s = scenario(name);
    // One key a destination: a line stands behind every message that keeps its order.
    s.traffic.keys = std::num::NonZeroU32::MIN;
    change(&mut s);
    let play = Play { which: PolicyKind::Mountshift, seed, course: false };
    Day::new(&s, play).with_policy(Box::new(move |facts| lied_to(lie, facts))).play()
}

/// Rule by rule, if it was broken.
fn broken(day: &DayOutcome) -> Vec<usize> {
    (1..=6).filter(|rule| day.rules[rule - 1] > 0).collect()
}

#[test_case("hang", Lie::Lost, 1; "swallowed ends")]
#[test_case("hang", Lie::Twice, 1; "ends given twice")]
#[test_case("hang", Lie::AfterItsEnd, 1; "sent after its end")]
#[test_case("vanish", Lie::Deadline, 1; "ends after the deadline")]
#[test_case("calm", Lie::Beside, 2; "two legs at once")]
#[test_case("half-errors", Lie::Repeats, 2; "repeats that may not be")]
#[test_case("half-errors", Lie::Pushed, 2; "pushed back what may have run")]
#[test_case("fast-errors", Lie::Memory, 2; "behind the memory")]
#[test_case("relays-in-waves", Lie::Amnesia, 2; "forgets what was out")]
#[test_case("relays-in-waves", Lie::GiveUp, 1; "gives up what a restart finds untried")]
#[test_case("rolling-drain", Lie::Drains, 3; "sends to what drains")]
#[test_case("crowd-cold", Lie::Cold, 4; "pushes over what is cold")]
#[test_case("slow", Lie::Order, 5; "keeps no order")]
#[test_case("resets", Lie::Rest, 5; "no rest for a key")]
#[test_case("limit-count", Lie::Waits, 6; "heeds no wait")]
fn a_lie_that_breaks_a_rule_is_found(name: &str, lie: Lie, rule: usize) {
    let clean = play(name, Lie::None, 5, |_| {});
    assert_eq!(broken(&clean), Vec::<usize>::new(), "{:?}", clean.breaches.first());
    // Not every day gives every lie its chance.
    let mut days = (5..15).map(|seed| play(name, lie, seed, |_| {}));
    let lied = days.find(|day| broken(day).contains(&rule)).expect("a day on which the rule is broken");
    let breach = lied.breaches.iter().find(|b| usize::from(b.rule) == rule).expect("a breach");
    assert!(!breach.story.is_empty() && !breach.why.is_empty());
}

#[test]
fn a_repeat_where_only_a_zone_knows_it_is_found() {
    let by_zone = |s: &mut Scenario| {
        let text = s.to_text().expect("a text").replace("memory = ", "group = \"zone\"\nmemory = ");
        *s = Scenario::from_text(&text, "by zone").expect("a scenario");
    };
    assert_eq!(broken(&play("fast-errors", Lie::None, 5, by_zone)), Vec::<usize>::new());
    assert_eq!(broken(&play("fast-errors", Lie::Everywhere, 5, by_zone)), vec![2]);
}
