//! Each rule broken in each way its text names, by hand, and clean histories beside them where the judge must
//! stay silent.

use mountshift_invariants::{
    AttemptOutcome, Fact, FinalAnswer, Idempotency, InvariantChecker, ListedStatus, MessageClass,
    RuleParameters, Time, Verdict,
};
use test_case::test_case;

/// Lanes: 0 retriable, 1 keyed everywhere, 2 keyed by zone, 3 non-retriable, 4 retriable in order.
fn figures() -> RuleParameters {
    let class = |idempotency, in_order| MessageClass { idempotency, in_order };
    RuleParameters {
        classes: vec![
            class(Idempotency::Idempotent, false),
            class(Idempotency::WithKey { window: 5_000_000, by_zone: false }, false),
            class(Idempotency::WithKey { window: 5_000_000, by_zone: true }, false),
            class(Idempotency::NotIdempotent, false),
            class(Idempotency::Idempotent, true),
        ],
        answer_slack: 300_000,
        restart_slack: 1_500_000,
        drain_grace: 1_000_000,
        order_hold_off: 300_000,
        slow_start_share: 0.3,
        slow_start_duration: 10_000_000,
        overload_multiple: 1.5,
        overload_window: 2_000_000,
        retry_after_grace: 0,
    }
}

/// Endpoints 0 and 1 of destination 0, in zones 0 and 1 on one route of 10 calls a second; 2 of destination 1.
struct Script {
    checker: InvariantChecker,
    at: Time,
}

const RELAY: u32 = 0;

impl Script {
    fn new() -> Script {
        let mut s = Script { checker: InvariantChecker::new(figures()), at: 0 };
        for (endpoint, dst, zone, route) in [(0, 0, 0, 0), (1, 0, 1, 0), (2, 1, 0, 1)] {
            s.tell(Fact::EndpointAdded { endpoint, destination: dst, zone, route, capacity: 10.0 });
            s.told(endpoint, ListedStatus::Ready);
        }
        s
    }
    fn tell(&mut self, fact: Fact) -> &mut Script {
        self.checker.observe(self.at, fact);
        self
    }
    fn at(&mut self, ms: u64) -> &mut Script {
        self.at = ms * 1_000;
        self
    }
    fn told(&mut self, endpoint: u32, listed: ListedStatus) -> &mut Script {
        self.tell(Fact::EndpointListed { relay: RELAY, endpoint, status: listed })
    }
    /// Handed in and taken, with a deadline at 8 s.
    fn take(&mut self, msg: u64, lane: u16, key: u64) -> &mut Script {
        let deadline = 8_000_000;
        self.tell(Fact::Submitted {
            message: msg,
            request: msg,
            relay: RELAY,
            class: lane,
            destination: 0,
            key,
            deadline,
        });
        self.tell(Fact::Accepted { message: msg })
    }
    fn leg(&mut self, msg: u64, call: u64, to: u32) -> &mut Script {
        self.tell(Fact::AttemptStarted { message: msg, call, relay: RELAY, endpoint: to })
    }
    fn end(&mut self, msg: u64, call: u64, outcome: AttemptOutcome) -> &mut Script {
        if outcome == AttemptOutcome::Delivered {
            self.tell(Fact::DeliveryAnswered { message: msg, call });
        }
        self.tell(Fact::AttemptEnded { message: msg, call, relay: RELAY, outcome })
    }
    fn ran(&mut self, msg: u64, call: u64, repeat: bool) -> &mut Script {
        self.tell(Fact::Executed { message: msg, call, endpoint: 0, duplicate: repeat })
    }
    fn ended(&mut self, msg: u64, end: FinalAnswer) -> &mut Script {
        self.tell(Fact::FinalAnswerGiven { message: msg, relay: RELAY, answer: end })
    }
    fn over(self) -> Verdict {
        self.checker.finish(60_000_000)
    }
}

/// Rules broken, each once for each breach.
fn broken(verdict: &Verdict) -> Vec<u8> {
    verdict.breaches.iter().map(|b| b.rule).collect()
}

const PUSHED: FinalAnswer = FinalAnswer::Rejected { retry_after: 1_000 };

#[test_case(|s| { s.take(1, 0, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "delivered at once")]
#[test_case(|s| { s.take(1, 0, 0); } => vec![1]; "1 lost")]
#[test_case(|s| { s.take(1, 0, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::TimedOut); } => vec![1]; "1 lost after a leg")]
#[test_case(|s| { s.take(1, 0, 0).at(7_900).ended(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "failed in time")]
#[test_case(|s| { s.take(1, 0, 0).at(8_400).ended(1, FinalAnswer::Failed); } => vec![1, 1]; "1 ended too late, and lost before that")]
#[test_case(|s| { s.take(1, 0, 0).ended(1, FinalAnswer::Failed).ended(1, FinalAnswer::Failed); } => vec![1]; "1 ended twice")]
#[test_case(|s| { s.take(1, 0, 0).ended(1, FinalAnswer::Failed).tell(Fact::FinalAnswerReceived { message: 1 }).ended(1, PUSHED); } => vec![1]; "1 ended again after its end was taken")]
#[test_case(|s| { s.take(1, 0, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Delivered).ended(1, FinalAnswer::Failed); } => vec![1]; "1 failed after its delivery")]
#[test_case(|s| { s.take(1, 0, 0).ended(1, FinalAnswer::Failed).leg(1, 1, 0); } => vec![1]; "1 sent after its end")]
#[test_case(|s| { s.take(1, 0, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Delivered).leg(1, 2, 0); } => vec![1]; "1 sent after its delivery")]
#[test_case(|s| { s.take(1, 0, 0).ended(1, FinalAnswer::Failed).take(1, 0, 0); } => using(|b: Vec<u8>| assert_eq!(b[0], 1)); "1 an id used twice")]
#[test_case(|s| { s.tell(Fact::Submitted { message: 1, request: 1, relay: 0, class: 0, destination: 0, key: 0, deadline: 8_000_000 }).tell(Fact::Withdrawn { message: 1 }); } => Vec::<u8>::new(); "disowned and never ended")]
#[test_case(|s| { s.take(1, 0, 0).at(7_000).tell(Fact::RelayDown { relay: 0 }).at(9_000).tell(Fact::RelayUp { relay: 0 }).at(10_000).ended(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "late by a restart")]
#[test_case(|s| { s.take(1, 0, 0).at(7_000).tell(Fact::RelayDown { relay: 0 }).at(9_000).tell(Fact::RelayUp { relay: 0 }); } => vec![1]; "1 lost by a restart")]
#[test_case(|s| { s.take(1, 0, 0).tell(Fact::RelayDown { relay: 0 }).at(1_000).tell(Fact::RelayUp { relay: 0 }).told(0, ListedStatus::Ready).at(1_100).ended(1, PUSHED); } => vec![1]; "1 untried given up after a restart")]
#[test_case(|s| { s.take(1, 0, 0).take(2, 0, 0).tell(Fact::RelayDown { relay: 0 }).at(1_000).tell(Fact::RelayUp { relay: 0 }).told(0, ListedStatus::Ready).ended(1, PUSHED).leg(2, 1, 0).end(2, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "half of the untried tried")]
#[test_case(|s| { s.take(1, 0, 0).tell(Fact::RelayDown { relay: 0 }).at(1_000).tell(Fact::RelayUp { relay: 0 }).told(0, ListedStatus::Ready).at(7_950).ended(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "untried up to the deadline")]
#[test_case(|s| { s.take(1, 0, 0).leg(1, 1, 0).tell(Fact::RelayDown { relay: 0 }).at(1_000).tell(Fact::RelayUp { relay: 0 }).told(0, ListedStatus::Ready).at(1_100).ended(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "tried before the restart")]
#[test_case(|s| { s.take(1, 0, 0).at(7_000).tell(Fact::RelayStalled { relay: 0, until: 9_000_000 }).at(9_100).ended(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "late by standing still")]
#[test_case(|s| { s.take(1, 0, 0).at(7_000).tell(Fact::RelayStalled { relay: 0, until: 9_000_000 }).at(10_600).ended(1, FinalAnswer::Failed); } => vec![1, 1]; "1 late by more than standing still")]
#[test_case(|s| { s.take(1, 0, 0).leg(1, 1, 0).leg(1, 2, 1).end(1, 1, AttemptOutcome::Error).end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 two legs at once")]
#[test_case(|s| { s.take(1, 3, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Error).leg(1, 2, 0).end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 sent again though it may have run")]
#[test_case(|s| { s.take(1, 3, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Rejected { retry_after: 0 }).leg(1, 2, 0).end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "turned away may go again")]
#[test_case(|s| { s.take(1, 3, 0).leg(1, 1, 0).tell(Fact::RelayDown { relay: 0 }).tell(Fact::RelayUp { relay: 0 }).told(0, ListedStatus::Ready).leg(1, 2, 0).end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 sent again after a kill")]
#[test_case(|s| { s.take(1, 1, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Reset).at(4_900).leg(1, 2, 1).end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "within the memory")]
#[test_case(|s| { s.take(1, 1, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Reset).at(5_100).leg(1, 2, 1).end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 behind the memory")]
#[test_case(|s| { s.take(1, 2, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Reset).leg(1, 2, 1).end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 in another zone")]
#[test_case(|s| { s.take(1, 2, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::ConnectFailed).leg(1, 2, 1).end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "never ran in the first zone")]
#[test_case(|s| { s.take(1, 3, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Error).ended(1, PUSHED); } => vec![2]; "2 pushed back though it may have run")]
#[test_case(|s| { s.take(1, 2, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Error).ended(1, PUSHED); } => vec![2]; "2 pushed back though only a zone knows it")]
#[test_case(|s| { s.take(1, 1, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Error).ended(1, PUSHED); } => Vec::<u8>::new(); "pushed back where all know it")]
#[test_case(|s| { s.take(1, 3, 0).leg(1, 1, 0).ran(1, 1, false).ran(1, 1, false).end(1, 1, AttemptOutcome::Delivered); } => vec![2]; "2 took effect twice")]
#[test_case(|s| { s.take(1, 1, 0).leg(1, 1, 0).ran(1, 1, false).ran(1, 1, true).end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "a repeat that was dropped")]
#[test_case(|s| { s.take(1, 3, 0).leg(1, 1, 0).ran(1, 1, false).end(1, 1, AttemptOutcome::Delivered).at(30_000).ran(1, 1, false); } => vec![2]; "2 took effect again long after")]
#[test_case(|s| { s.take(1, 0, 0).told(0, ListedStatus::Draining).at(900).leg(1, 1, 0).end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "within the grace")]
#[test_case(|s| { s.take(1, 0, 0).told(0, ListedStatus::Draining).at(1_100).leg(1, 1, 0).end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 sent to a draining one")]
#[test_case(|s| { s.take(1, 0, 0).told(0, ListedStatus::Draining).at(900).told(0, ListedStatus::Removed).at(1_100).leg(1, 1, 0).end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 the grace begins with the first word")]
#[test_case(|s| { s.take(1, 0, 0).told(0, ListedStatus::Removed).told(0, ListedStatus::Ready).at(1_100).leg(1, 1, 0).end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "back on the list")]
#[test_case(|s| { s.take(1, 0, 0).leg(1, 1, 2).end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 sent to another destination")]
#[test_case(|s| { s.take(1, 0, 0).leg(1, 1, 9).end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 sent to one that was never listed")]
#[test_case(|s| { s.take(1, 4, 7).take(2, 4, 7).leg(2, 1, 0).end(2, 1, AttemptOutcome::Delivered).leg(1, 2, 0).end(1, 2, AttemptOutcome::Delivered); } => vec![5]; "5 out of order")]
#[test_case(|s| { s.take(1, 4, 7).take(2, 4, 7).leg(1, 1, 0).leg(2, 2, 0).end(1, 1, AttemptOutcome::Delivered).end(2, 2, AttemptOutcome::Delivered); } => vec![5]; "5 while the first is out")]
#[test_case(|s| { s.take(1, 4, 7).take(2, 4, 8).leg(2, 1, 0).end(2, 1, AttemptOutcome::Delivered).leg(1, 2, 0).end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "another key")]
#[test_case(|s| { s.take(1, 0, 7).take(2, 0, 7).leg(2, 1, 0).end(2, 1, AttemptOutcome::Delivered).leg(1, 2, 0).end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "a lane without order")]
#[test_case(|s| { s.take(1, 4, 7).take(2, 4, 7).leg(1, 1, 0).end(1, 1, AttemptOutcome::TimedOut).ended(1, FinalAnswer::Failed).tell(Fact::FinalAnswerReceived { message: 1 }).at(200).leg(2, 2, 0).end(2, 2, AttemptOutcome::Delivered); } => vec![5]; "5 while an earlier one may be running")]
#[test_case(|s| { s.take(1, 4, 7).take(2, 4, 7).leg(1, 1, 0).end(1, 1, AttemptOutcome::TimedOut).ended(1, FinalAnswer::Failed).tell(Fact::FinalAnswerReceived { message: 1 }).at(301).leg(2, 2, 0).end(2, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "after the rest")]
#[test_case(|s| { s.take(1, 4, 7).take(2, 4, 7).ended(1, FinalAnswer::Failed).at(200).leg(2, 2, 0).end(2, 2, AttemptOutcome::Delivered); } => vec![5]; "5 before the end is taken")]
#[test_case(|s| { s.take(1, 4, 7).leg(1, 1, 0).end(1, 1, AttemptOutcome::TimedOut).leg(1, 2, 0).end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "the same message need not rest")]
#[test_case(|s| { s.take(1, 4, 7).take(2, 4, 7).leg(1, 1, 0).at(50).tell(Fact::RelayDown { relay: 0 }).tell(Fact::RelayUp { relay: 0 }).told(0, ListedStatus::Ready).at(100).leg(2, 2, 0).end(2, 2, AttemptOutcome::Delivered).leg(1, 3, 0).end(1, 3, AttemptOutcome::Delivered); } => vec![5, 5]; "5 across a kill, out of order and too soon")]
#[test_case(|s| { s.take(1, 0, 0).take(2, 0, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Rejected { retry_after: 2_000_000 }).at(1_900).leg(2, 2, 1).end(2, 2, AttemptOutcome::Delivered).at(2_100).leg(1, 3, 0).end(1, 3, AttemptOutcome::Delivered); } => vec![6]; "6 another message to another endpoint of the route")]
#[test_case(|s| { s.take(1, 0, 0).take(2, 0, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Rejected { retry_after: 2_000_000 }).leg(2, 2, 1).end(2, 2, AttemptOutcome::Delivered).at(2_100).leg(1, 3, 0).end(1, 3, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "in the round that told it")]
#[test_case(|s| { s.take(1, 0, 0).tell(Fact::RetryAfterReceived { relay: 0, endpoint: 1, retry_after: 500_000 }).at(400).leg(1, 1, 0).end(1, 1, AttemptOutcome::Delivered); } => vec![6]; "6 a wait told beside ends")]
#[test_case(|s| { s.take(1, 0, 0).tell(Fact::RetryAfterReceived { relay: 0, endpoint: 1, retry_after: 500_000 }).at(100).tell(Fact::RelayDown { relay: 0 }).tell(Fact::RelayUp { relay: 0 }).told(0, ListedStatus::Ready).at(400).leg(1, 1, 0).end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "a restart ends a wait")]
fn a_history_is_judged(history: impl FnOnce(&mut Script)) -> Vec<u8> {
    let mut script = Script::new();
    history(&mut script);
    broken(&script.over())
}

/// Calls into a route that came back cold at 10 s; the sender saw its outage or not.
fn cold(calls: u64, gap_ms: u64, seen: bool, began_ms: u64) -> Vec<u8> {
    let mut s = Script::new();
    s.at(5_000).tell(Fact::OutageStarted { route: 0 });
    if seen {
        s.take(1, 0, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::TimedOut);
    }
    s.at(10_000).tell(Fact::OutageEnded { route: 0 });
    for n in 0..calls {
        let msg = 100 + n;
        s.at(began_ms + n * gap_ms);
        let deadline = 60_000_000;
        s.tell(Fact::Submitted {
            message: msg,
            request: msg,
            relay: 0,
            class: 0,
            destination: 0,
            key: 0,
            deadline,
        });
        s.tell(Fact::Accepted { message: msg }).leg(msg, msg, 0);
        s.tell(Fact::CallReceived { call: msg, relay: 0, endpoint: 0, weight: 1.0 });
        s.end(msg, msg, AttemptOutcome::Delivered);
    }
    broken(&s.over()).into_iter().filter(|rule| *rule == 4).collect()
}

// 10 calls a second, cold at 0.3: 1.5 x 3 x 2 s = 9 calls in two seconds at first, and 2 for chance.
#[test_case(11, 50, true, 10_100 => Vec::<u8>::new(); "as many as it bears")]
#[test_case(14, 50, true, 10_100 => vec![4]; "4 pushed over by one who saw it")]
#[test_case(14, 50, false, 10_100 => Vec::<u8>::new(); "pushed over by one who could not know")]
#[test_case(14, 500, true, 10_100 => Vec::<u8>::new(); "as many, spread")]
#[test_case(40, 50, true, 20_100 => Vec::<u8>::new(); "warm again")]
fn a_cold_route_is_weighed(calls: u64, gap_ms: u64, seen: bool, began_ms: u64) -> Vec<u8> {
    cold(calls, gap_ms, seen, began_ms)
}

#[test]
fn two_thirds_must_come_from_those_who_saw_it() {
    // Relay 1 saw nothing and sends half of the load.
    let mut s = Script::new();
    s.tell(Fact::EndpointListed { relay: 1, endpoint: 0, status: ListedStatus::Ready });
    s.at(5_000).tell(Fact::OutageStarted { route: 0 });
    s.take(1, 0, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::TimedOut).ended(1, FinalAnswer::Failed);
    s.at(10_000).tell(Fact::OutageEnded { route: 0 });
    for n in 0..30u64 {
        let (msg, relay) = (100 + n, (n % 2) as u32);
        s.at(10_100 + n * 20);
        s.tell(Fact::Submitted {
            message: msg,
            request: msg,
            relay,
            class: 0,
            destination: 0,
            key: 0,
            deadline: 60_000_000,
        });
        s.tell(Fact::Accepted { message: msg }).tell(Fact::AttemptStarted {
            message: msg,
            call: msg,
            relay,
            endpoint: 0,
        });
        s.tell(Fact::CallReceived { call: msg, relay, endpoint: 0, weight: 1.0 });
        s.tell(Fact::DeliveryAnswered { message: msg, call: msg });
        s.tell(Fact::AttemptEnded { message: msg, call: msg, relay, outcome: AttemptOutcome::Delivered });
    }
    assert_eq!(broken(&s.over()), Vec::<u8>::new());
}

#[test]
fn a_breach_comes_with_its_story() {
    let mut s = Script::new();
    s.take(1, 3, 0).leg(1, 1, 0).end(1, 1, AttemptOutcome::Error).at(50).leg(1, 2, 1).end(
        1,
        2,
        AttemptOutcome::Delivered,
    );
    let verdict = s.over();
    assert_eq!(verdict.breach_counts, [0, 1, 0, 0, 0, 0]);
    let breach = &verdict.breaches[0];
    assert_eq!((breach.rule, breach.at), (2, 50_000));
    let story: Vec<String> = breach.history.iter().map(|(_, f)| f.to_string()).collect();
    assert_eq!(story.len(), 5, "{story:?}");
    assert!(
        story[0].starts_with("message 1 (request 1, lane 3") && story[3].contains("ended as Error"),
        "{story:?}"
    );
}
