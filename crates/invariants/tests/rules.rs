//! Hand-written histories that break each rule in each way that its text names, and histories without a breach.

use mountshift_invariants::{
    AttemptOutcome, Fact, FinalAnswer, Idempotency, InvariantChecker, ListedStatus, MessageClass,
    RuleParameters, Time, Verdict,
};
use test_case::test_case;

/// Message classes: 0 idempotent, 1 with a key recognised by all endpoints, 2 with a key recognised within a zone,
/// 3 not idempotent, 4 idempotent and in order.
fn parameters() -> RuleParameters {
    let class = |idempotency, in_order| MessageClass { idempotency, in_order };
    RuleParameters {
        classes: vec![
            class(Idempotency::Idempotent, false),
            class(Idempotency::WithKey { window: 5_000_000, is_per_zone: false }, false),
            class(Idempotency::WithKey { window: 5_000_000, is_per_zone: true }, false),
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

/// History under construction. Endpoints 0 and 1 belong to destination 0, in zones 0 and 1 on one route of 10 calls
/// per second; endpoint 2 belongs to destination 1.
struct Script {
    checker: InvariantChecker,
    at: Time,
}

const RELAY: u32 = 0;

impl Script {
    fn new() -> Script {
        let mut s = Script { checker: InvariantChecker::new(parameters()), at: 0 };
        for (endpoint, destination, zone, route) in [(0, 0, 0, 0), (1, 0, 1, 0), (2, 1, 0, 1)] {
            s.observe(Fact::EndpointAdded { endpoint, destination, zone, route, capacity: 10.0 });
            s.listed(endpoint, ListedStatus::Ready);
        }
        s
    }
    fn observe(&mut self, fact: Fact) -> &mut Script {
        self.checker.observe(self.at, fact);
        self
    }
    fn at(&mut self, ms: u64) -> &mut Script {
        self.at = ms * 1_000;
        self
    }
    fn taken_out(&mut self, endpoint: u32) -> &mut Script {
        self.observe(Fact::EndpointTakenOut { relay: RELAY, endpoint })
    }
    fn put_back(&mut self, endpoint: u32) -> &mut Script {
        self.observe(Fact::EndpointPutBack { relay: RELAY, endpoint })
    }
    fn listed(&mut self, endpoint: u32, status: ListedStatus) -> &mut Script {
        self.observe(Fact::EndpointListed { relay: RELAY, endpoint, status })
    }
    /// Submits a message that is accepted, with a deadline at 8 s.
    fn submit(&mut self, message: u64, class: u16, key: u64) -> &mut Script {
        let deadline = 8_000_000;
        self.observe(Fact::Submitted {
            message,
            request: message,
            relay: RELAY,
            class,
            destination: 0,
            key,
            deadline,
        });
        self.observe(Fact::Accepted { message })
    }
    fn attempt(&mut self, message: u64, call: u64, to: u32) -> &mut Script {
        self.observe(Fact::AttemptStarted { message, call, relay: RELAY, endpoint: to })
    }
    fn attempt_end(&mut self, message: u64, call: u64, outcome: AttemptOutcome) -> &mut Script {
        if outcome == AttemptOutcome::Delivered {
            self.observe(Fact::DeliveryAnswered { message, call });
        }
        self.observe(Fact::AttemptEnded { message, call, relay: RELAY, outcome })
    }
    fn executed(&mut self, message: u64, call: u64, duplicate: bool) -> &mut Script {
        self.observe(Fact::Executed { message, call, endpoint: 0, duplicate })
    }
    fn answer(&mut self, message: u64, answer: FinalAnswer) -> &mut Script {
        self.observe(Fact::FinalAnswerGiven { message, relay: RELAY, answer })
    }
    fn finish(self) -> Verdict {
        self.checker.finish(60_000_000)
    }
}

/// Returns the rule of each breach.
fn broken_rules(verdict: &Verdict) -> Vec<u8> {
    verdict.breaches.iter().map(|b| b.rule).collect()
}

const REJECTED: FinalAnswer = FinalAnswer::Rejected { retry_after: 1_000 };

#[test_case(|s| { s.submit(1, 0, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "delivered at once")]
#[test_case(|s| { s.submit(1, 0, 0); } => vec![1]; "1 lost")]
#[test_case(|s| { s.submit(1, 0, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::TimedOut); } => vec![1]; "1 lost after an attempt")]
#[test_case(|s| { s.submit(1, 0, 0).at(7_900).answer(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "failed in time")]
#[test_case(|s| { s.submit(1, 0, 0).at(8_400).answer(1, FinalAnswer::Failed); } => vec![1, 1]; "1 answered too late, and lost before that")]
#[test_case(|s| { s.submit(1, 0, 0).answer(1, FinalAnswer::Failed).answer(1, FinalAnswer::Failed); } => vec![1]; "1 answered twice")]
#[test_case(|s| { s.submit(1, 0, 0).answer(1, FinalAnswer::Failed).observe(Fact::FinalAnswerReceived { message: 1 }).answer(1, REJECTED); } => vec![1]; "1 answered again after its answer was received")]
#[test_case(|s| { s.submit(1, 0, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered).answer(1, FinalAnswer::Failed); } => vec![1]; "1 failed after its delivery")]
#[test_case(|s| { s.submit(1, 0, 0).answer(1, FinalAnswer::Failed).attempt(1, 1, 0); } => vec![1]; "1 sent after its final answer")]
#[test_case(|s| { s.submit(1, 0, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered).attempt(1, 2, 0); } => vec![1]; "1 sent after its delivery")]
#[test_case(|s| { s.submit(1, 0, 0).answer(1, FinalAnswer::Failed).submit(1, 0, 0); } => using(|b: Vec<u8>| assert_eq!(b[0], 1)); "1 id used twice")]
#[test_case(|s| { s.observe(Fact::Submitted { message: 1, request: 1, relay: 0, class: 0, destination: 0, key: 0, deadline: 8_000_000 }).observe(Fact::Withdrawn { message: 1 }); } => Vec::<u8>::new(); "withdrawn and never answered")]
#[test_case(|s| { s.submit(1, 0, 0).at(7_000).observe(Fact::RelayDown { relay: 0 }).at(9_000).observe(Fact::RelayUp { relay: 0 }).at(10_000).answer(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "late because of a restart")]
#[test_case(|s| { s.submit(1, 0, 0).at(7_000).observe(Fact::RelayDown { relay: 0 }).at(9_000).observe(Fact::RelayUp { relay: 0 }); } => vec![1]; "1 lost in a restart")]
#[test_case(|s| { s.submit(1, 0, 0).observe(Fact::RelayDown { relay: 0 }).at(1_000).observe(Fact::RelayUp { relay: 0 }).listed(0, ListedStatus::Ready).at(1_100).answer(1, REJECTED); } => vec![1]; "1 unattempted and failed after a restart")]
#[test_case(|s| { s.submit(1, 0, 0).submit(2, 0, 0).observe(Fact::RelayDown { relay: 0 }).at(1_000).observe(Fact::RelayUp { relay: 0 }).listed(0, ListedStatus::Ready).answer(1, REJECTED).attempt(2, 1, 0).attempt_end(2, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "half of the unattempted are attempted after a restart")]
#[test_case(|s| { s.submit(1, 0, 0).observe(Fact::RelayDown { relay: 0 }).at(1_000).observe(Fact::RelayUp { relay: 0 }).listed(0, ListedStatus::Ready).at(7_950).answer(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "unattempted up to the deadline after a restart")]
#[test_case(|s| { s.submit(1, 0, 0).attempt(1, 1, 0).observe(Fact::RelayDown { relay: 0 }).at(1_000).observe(Fact::RelayUp { relay: 0 }).listed(0, ListedStatus::Ready).at(1_100).answer(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "attempted before the restart")]
#[test_case(|s| { s.submit(1, 0, 0).at(7_000).observe(Fact::RelayStalled { relay: 0, until: 9_000_000 }).at(9_100).answer(1, FinalAnswer::Failed); } => Vec::<u8>::new(); "late because of a stall")]
#[test_case(|s| { s.submit(1, 0, 0).at(7_000).observe(Fact::RelayStalled { relay: 0, until: 9_000_000 }).at(10_600).answer(1, FinalAnswer::Failed); } => vec![1, 1]; "1 late by more than the stall")]
#[test_case(|s| { s.submit(1, 0, 0).attempt(1, 1, 0).attempt(1, 2, 1).attempt_end(1, 1, AttemptOutcome::Error).attempt_end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 two attempts at once")]
#[test_case(|s| { s.submit(1, 3, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Error).attempt(1, 2, 0).attempt_end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 sent again though it may have run")]
#[test_case(|s| { s.submit(1, 3, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Rejected { retry_after: 0 }).attempt(1, 2, 0).attempt_end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "a rejected attempt may be repeated")]
#[test_case(|s| { s.submit(1, 3, 0).attempt(1, 1, 0).observe(Fact::RelayDown { relay: 0 }).observe(Fact::RelayUp { relay: 0 }).listed(0, ListedStatus::Ready).attempt(1, 2, 0).attempt_end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 sent again after a crash")]
#[test_case(|s| { s.submit(1, 1, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Reset).at(4_900).attempt(1, 2, 1).attempt_end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "sent again within the deduplication window")]
#[test_case(|s| { s.submit(1, 1, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Reset).at(5_100).attempt(1, 2, 1).attempt_end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 sent again after the deduplication window")]
#[test_case(|s| { s.submit(1, 2, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Reset).attempt(1, 2, 1).attempt_end(1, 2, AttemptOutcome::Delivered); } => vec![2]; "2 sent again to another zone")]
#[test_case(|s| { s.submit(1, 2, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::ConnectFailed).attempt(1, 2, 1).attempt_end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "sent to another zone as it never ran in the first")]
#[test_case(|s| { s.submit(1, 3, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Error).answer(1, REJECTED); } => vec![2]; "2 rejected though it may have run")]
#[test_case(|s| { s.submit(1, 2, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Error).answer(1, REJECTED); } => vec![2]; "2 rejected though only one zone recognises it")]
#[test_case(|s| { s.submit(1, 1, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Error).answer(1, REJECTED); } => Vec::<u8>::new(); "rejected where all endpoints recognise it")]
#[test_case(|s| { s.submit(1, 3, 0).attempt(1, 1, 0).executed(1, 1, false).executed(1, 1, false).attempt_end(1, 1, AttemptOutcome::Delivered); } => vec![2]; "2 took effect twice")]
#[test_case(|s| { s.submit(1, 1, 0).attempt(1, 1, 0).executed(1, 1, false).executed(1, 1, true).attempt_end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "a duplicate that was dropped")]
#[test_case(|s| { s.submit(1, 3, 0).attempt(1, 1, 0).executed(1, 1, false).attempt_end(1, 1, AttemptOutcome::Delivered).at(30_000).executed(1, 1, false); } => vec![2]; "2 took effect again long after")]
#[test_case(|s| { s.submit(1, 0, 0).listed(0, ListedStatus::Draining).at(900).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "sent to a draining endpoint within the grace")]
#[test_case(|s| { s.submit(1, 0, 0).listed(0, ListedStatus::Draining).at(1_100).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 sent to a draining endpoint after the grace")]
#[test_case(|s| { s.submit(1, 0, 0).listed(0, ListedStatus::Draining).at(900).listed(0, ListedStatus::Removed).at(1_100).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 removal does not restart the grace of a drain")]
#[test_case(|s| { s.submit(1, 0, 0).taken_out(0).at(900).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "sent within the grace to an endpoint out of service")]
#[test_case(|s| { s.submit(1, 0, 0).taken_out(0).at(500).taken_out(0).listed(0, ListedStatus::Ready).at(1_100).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 sent after the grace to an endpoint out of service, whatever the list says")]
#[test_case(|s| { s.submit(1, 0, 0).taken_out(0).at(500).put_back(0).at(1_100).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "sent to an endpoint that is back in service")]
#[test_case(|s| { s.submit(1, 0, 0).taken_out(0).listed(0, ListedStatus::Removed).at(500).put_back(0).at(1_100).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 sent to an endpoint that is back in service but no longer listed")]
#[test_case(|s| { s.submit(1, 0, 0).listed(0, ListedStatus::Removed).listed(0, ListedStatus::Ready).at(1_100).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "sent to an endpoint that is listed again")]
#[test_case(|s| { s.submit(1, 0, 0).attempt(1, 1, 2).attempt_end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 sent to another destination")]
#[test_case(|s| { s.submit(1, 0, 0).attempt(1, 1, 9).attempt_end(1, 1, AttemptOutcome::Delivered); } => vec![3]; "3 sent to an endpoint that was never listed")]
#[test_case(|s| { s.submit(1, 4, 7).submit(2, 4, 7).attempt(2, 1, 0).attempt_end(2, 1, AttemptOutcome::Delivered).attempt(1, 2, 0).attempt_end(1, 2, AttemptOutcome::Delivered); } => vec![5]; "5 out of order")]
#[test_case(|s| { s.submit(1, 4, 7).submit(2, 4, 7).attempt(1, 1, 0).attempt(2, 2, 0).attempt_end(1, 1, AttemptOutcome::Delivered).attempt_end(2, 2, AttemptOutcome::Delivered); } => vec![5]; "5 sent while the first is in flight")]
#[test_case(|s| { s.submit(1, 4, 7).submit(2, 4, 8).attempt(2, 1, 0).attempt_end(2, 1, AttemptOutcome::Delivered).attempt(1, 2, 0).attempt_end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "order does not apply between keys")]
#[test_case(|s| { s.submit(1, 0, 7).submit(2, 0, 7).attempt(2, 1, 0).attempt_end(2, 1, AttemptOutcome::Delivered).attempt(1, 2, 0).attempt_end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "order does not apply to a class without order")]
#[test_case(|s| { s.submit(1, 4, 7).submit(2, 4, 7).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::TimedOut).answer(1, FinalAnswer::Failed).observe(Fact::FinalAnswerReceived { message: 1 }).at(200).attempt(2, 2, 0).attempt_end(2, 2, AttemptOutcome::Delivered); } => vec![5]; "5 sent while an earlier one may be running")]
#[test_case(|s| { s.submit(1, 4, 7).submit(2, 4, 7).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::TimedOut).answer(1, FinalAnswer::Failed).observe(Fact::FinalAnswerReceived { message: 1 }).at(301).attempt(2, 2, 0).attempt_end(2, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "sent after the hold-off")]
#[test_case(|s| { s.submit(1, 4, 7).submit(2, 4, 7).answer(1, FinalAnswer::Failed).at(200).attempt(2, 2, 0).attempt_end(2, 2, AttemptOutcome::Delivered); } => vec![5]; "5 sent before the final answer is received")]
#[test_case(|s| { s.submit(1, 4, 7).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::TimedOut).attempt(1, 2, 0).attempt_end(1, 2, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "the same message needs no hold-off")]
#[test_case(|s| { s.submit(1, 4, 7).submit(2, 4, 7).attempt(1, 1, 0).at(50).observe(Fact::RelayDown { relay: 0 }).observe(Fact::RelayUp { relay: 0 }).listed(0, ListedStatus::Ready).at(100).attempt(2, 2, 0).attempt_end(2, 2, AttemptOutcome::Delivered).attempt(1, 3, 0).attempt_end(1, 3, AttemptOutcome::Delivered); } => vec![5, 5]; "5 across a crash, out of order and too soon")]
#[test_case(|s| { s.submit(1, 0, 0).submit(2, 0, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Rejected { retry_after: 2_000_000 }).at(1_900).attempt(2, 2, 1).attempt_end(2, 2, AttemptOutcome::Delivered).at(2_100).attempt(1, 3, 0).attempt_end(1, 3, AttemptOutcome::Delivered); } => vec![6]; "6 another message to another endpoint of the route")]
#[test_case(|s| { s.submit(1, 0, 0).submit(2, 0, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Rejected { retry_after: 2_000_000 }).attempt(2, 2, 1).attempt_end(2, 2, AttemptOutcome::Delivered).at(2_100).attempt(1, 3, 0).attempt_end(1, 3, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "sent in the step that received the Retry-After")]
#[test_case(|s| { s.submit(1, 0, 0).observe(Fact::RetryAfterReceived { relay: 0, endpoint: 1, retry_after: 500_000 }).at(400).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => vec![6]; "6 Retry-After without an outcome")]
#[test_case(|s| { s.submit(1, 0, 0).observe(Fact::RetryAfterReceived { relay: 0, endpoint: 1, retry_after: 500_000 }).at(100).observe(Fact::RelayDown { relay: 0 }).observe(Fact::RelayUp { relay: 0 }).listed(0, ListedStatus::Ready).at(400).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::Delivered); } => Vec::<u8>::new(); "a restart discards a Retry-After")]
fn history_breaks_the_expected_rules(history: impl FnOnce(&mut Script)) -> Vec<u8> {
    let mut script = Script::new();
    history(&mut script);
    broken_rules(&script.finish())
}

/// Sends calls over a route whose outage ended at 10 s. Returns the breaches of rule 4.
fn slow_start_breaches(calls: u64, gap_ms: u64, sender_saw_outage: bool, start_ms: u64) -> Vec<u8> {
    let mut s = Script::new();
    s.at(5_000).observe(Fact::OutageStarted { route: 0 });
    if sender_saw_outage {
        s.submit(1, 0, 0).attempt(1, 1, 0).attempt_end(1, 1, AttemptOutcome::TimedOut);
    }
    s.at(10_000).observe(Fact::OutageEnded { route: 0 });
    for n in 0..calls {
        let message = 100 + n;
        s.at(start_ms + n * gap_ms);
        let deadline = 60_000_000;
        s.observe(Fact::Submitted {
            message,
            request: message,
            relay: 0,
            class: 0,
            destination: 0,
            key: 0,
            deadline,
        });
        s.observe(Fact::Accepted { message }).attempt(message, message, 0);
        s.observe(Fact::CallReceived { call: message, relay: 0, endpoint: 0, weight: 1.0 });
        s.attempt_end(message, message, AttemptOutcome::Delivered);
    }
    broken_rules(&s.finish()).into_iter().filter(|rule| *rule == 4).collect()
}

// 10 calls per second and a slow start from 0.3 allow 1.5 x 3 x 2 s = 9 calls in the first two seconds, and 2 more by
// chance.
#[test_case(11, 50, true, 10_100 => Vec::<u8>::new(); "load within the budget")]
#[test_case(14, 50, true, 10_100 => vec![4]; "4 overloaded by a relay that saw the outage")]
#[test_case(14, 50, false, 10_100 => Vec::<u8>::new(); "overloaded by a relay that did not see the outage")]
#[test_case(14, 500, true, 10_100 => Vec::<u8>::new(); "as many calls spread over a longer time")]
#[test_case(40, 50, true, 20_100 => Vec::<u8>::new(); "same load after the slow start")]
fn slow_start_load_is_checked(calls: u64, gap_ms: u64, sender_saw_outage: bool, start_ms: u64) -> Vec<u8> {
    slow_start_breaches(calls, gap_ms, sender_saw_outage, start_ms)
}

#[test]
fn two_thirds_of_an_overload_must_come_from_relays_that_saw_the_outage() {
    // Relay 1 did not see the outage and sends half of the load.
    let mut s = Script::new();
    s.observe(Fact::EndpointListed { relay: 1, endpoint: 0, status: ListedStatus::Ready });
    s.at(5_000).observe(Fact::OutageStarted { route: 0 });
    s.submit(1, 0, 0)
        .attempt(1, 1, 0)
        .attempt_end(1, 1, AttemptOutcome::TimedOut)
        .answer(1, FinalAnswer::Failed);
    s.at(10_000).observe(Fact::OutageEnded { route: 0 });
    for n in 0..30u64 {
        let (message, relay) = (100 + n, (n % 2) as u32);
        s.at(10_100 + n * 20);
        s.observe(Fact::Submitted {
            message,
            request: message,
            relay,
            class: 0,
            destination: 0,
            key: 0,
            deadline: 60_000_000,
        });
        s.observe(Fact::Accepted { message }).observe(Fact::AttemptStarted {
            message,
            call: message,
            relay,
            endpoint: 0,
        });
        s.observe(Fact::CallReceived { call: message, relay, endpoint: 0, weight: 1.0 });
        s.observe(Fact::DeliveryAnswered { message, call: message });
        s.observe(Fact::AttemptEnded { message, call: message, relay, outcome: AttemptOutcome::Delivered });
    }
    assert_eq!(broken_rules(&s.finish()), Vec::<u8>::new());
}

#[test]
fn breach_includes_the_history_of_its_message() {
    let mut s = Script::new();
    s.submit(1, 3, 0)
        .attempt(1, 1, 0)
        .attempt_end(1, 1, AttemptOutcome::Error)
        .at(50)
        .attempt(1, 2, 1)
        .attempt_end(1, 2, AttemptOutcome::Delivered);
    let verdict = s.finish();
    assert_eq!(verdict.breach_counts, [0, 1, 0, 0, 0, 0]);
    let breach = &verdict.breaches[0];
    assert_eq!((breach.rule, breach.at), (2, 50_000));
    let history: Vec<String> = breach.history.iter().map(|(_, f)| f.to_string()).collect();
    assert_eq!(history.len(), 5, "{history:?}");
    assert!(
        history[0].starts_with("message 1 (request 1, lane 3") && history[3].contains("ended as Error"),
        "{history:?}"
    );
}
