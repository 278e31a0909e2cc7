//! Tests of the state's own transitions; the decisions based on them are tested by the scenarios.

use super::key_queues::KeyQueues;
use super::*;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn sliding_window_drops_values_outside_its_window() {
    let mut window: SlidingWindow<4> = SlidingWindow::default();
    window.add(seconds(0.5), 1.0);
    window.add(seconds(0.9), 3.0);
    window.add(seconds(2.0), 2.0);
    assert_eq!(window.totals(seconds(3.9)), Totals { count: 3.0, sum: 6.0, peak: 3.0 });
    assert_eq!(window.totals(seconds(4.0)), Totals { count: 1.0, sum: 2.0, peak: 2.0 });
    assert_eq!(window.totals(seconds(60.0)), Totals::default());
}

#[test]
fn sliding_window_reuses_the_bucket_of_an_old_second() {
    let mut window: SlidingWindow<4> = SlidingWindow::default();
    window.add_flag(seconds(1.0), true);
    window.add_flag(seconds(5.0), false);
    assert_eq!(window.totals(seconds(5.0)), Totals { count: 1.0, sum: 0.0, peak: 0.0 });
}

#[test]
fn token_bucket_refills_a_negative_balance_up_to_its_burst() {
    let mut bucket = TokenBucket::new(-1.0, seconds(0.0));
    bucket.refill(seconds(1.0), 0.5, 2.0);
    assert_eq!(bucket.tokens, -0.5);
    bucket.refill(seconds(1.0), 0.5, 2.0);
    assert_eq!(bucket.tokens, -0.5, "no time has passed");
    bucket.refill(seconds(100.0), 0.5, 2.0);
    assert_eq!(bucket.tokens, 2.0);
}

#[test]
fn backoff_grows_up_to_its_maximum() {
    let backoff = Backoff { first: seconds(0.1), growth: 2.0, max: seconds(0.5) };
    let delays: Vec<Duration> =
        [0, 1, 2, 3, u32::MAX].into_iter().map(|steps| backoff.after(steps)).collect();
    assert_eq!(delays, [0.1, 0.2, 0.4, 0.5, 0.5].map(seconds));
}

#[test]
fn jitter_depends_on_seed_and_relay_and_shares_its_counter() {
    let draws = |seed, relay| {
        let mut jitter = Jitter::new(seed, RelayId(relay));
        [jitter.draw(1), jitter.draw(1), jitter.draw(2)]
    };
    assert_eq!(draws(7, 0), draws(7, 0));
    assert_ne!(draws(7, 0), draws(8, 0));
    assert_ne!(draws(7, 0), draws(7, 1));
    assert_ne!(draws(7, 0)[0], draws(7, 0)[1]);
    assert!(draws(7, 0).iter().all(|draw| (0.0..1.0).contains(draw)));
    let mut jitter = Jitter::new(7, RelayId(0));
    jitter.draw(1);
    assert_eq!(jitter.next_number(), 2);
}

#[test]
fn breaker_admits_calls_while_closed_and_one_trial_after_its_open_time() {
    let now = seconds(10.0);
    assert!(Breaker::Closed.admits_call(now));
    assert!(!Breaker::Open(seconds(10.1)).admits_call(now));
    assert!(Breaker::Open(now).admits_call(now));
    assert!(Breaker::HalfOpen(None).admits_call(now));
    assert!(!Breaker::HalfOpen(Some(3)).admits_call(now));
}

#[test]
fn consecutive_failures_count_within_the_window_until_a_success() {
    let window = seconds(20.0);
    let mut route = Route::default();
    route.record_failure(seconds(1.0), window);
    route.record_failure(seconds(21.0), window);
    assert_eq!((route.consecutive_failures, route.failing_since), (2, seconds(1.0)));
    route.record_failure(seconds(21.1), window);
    assert_eq!((route.consecutive_failures, route.failing_since), (1, seconds(21.1)), "the count restarts");
    route.confirm_failure();
    assert!(route.failure_confirmed);
    route.record_success();
    assert_eq!((route.consecutive_failures, route.failure_confirmed), (0, false));
    route.confirm_failure();
    assert!(!route.failure_confirmed, "there was no failure since the success");
}

#[test]
fn open_breaker_counts_failures_beyond_the_window() {
    let mut route = Route { breaker: Breaker::Open(seconds(2.0)), ..Route::default() };
    route.record_failure(seconds(1.0), seconds(20.0));
    route.record_failure(seconds(60.0), seconds(20.0));
    assert_eq!(route.consecutive_failures, 2);
}

#[test]
fn consecutive_rejections_start_at_the_first() {
    let mut route = Route::default();
    route.record_rejection(seconds(3.0));
    route.record_rejection(seconds(4.0));
    assert_eq!((route.consecutive_rejections, route.rejected_since), (2, seconds(3.0)));
    assert!(!route.has_retry_after_since_rejected());
    route.extend_retry_after(seconds(5.0));
    assert!(route.has_retry_after_since_rejected());
    route.extend_retry_after(seconds(4.5));
    assert_eq!(route.retry_after_until, seconds(5.0), "the later end applies");
}

#[test]
fn slow_start_in_progress_keeps_its_budget_unless_restarted() {
    let mut route = Route::default();
    route.start_slow_start(seconds(1.0));
    route.slow_start_budget.refill(seconds(2.0), 3.0, 10.0);
    route.start_slow_start(seconds(2.0));
    assert_eq!((route.slow_start_since, route.slow_start_budget.tokens), (Some(seconds(2.0)), 3.0));
    route.restart_slow_start(seconds(3.0));
    assert_eq!((route.slow_start_since, route.slow_start_budget.tokens), (Some(seconds(3.0)), 0.0));
}

#[test]
fn route_is_kept_during_a_retry_after_or_a_slow_start() {
    let mut route = Route::default();
    assert!(!route.must_be_kept(seconds(1.0), seconds(10.0)));
    route.extend_retry_after(seconds(2.0));
    assert!(
        route.must_be_kept(seconds(1.0), seconds(10.0)) && !route.must_be_kept(seconds(2.0), seconds(10.0))
    );
    route.start_slow_start(seconds(2.0));
    assert!(
        route.must_be_kept(seconds(11.9), seconds(10.0)) && !route.must_be_kept(seconds(12.0), seconds(10.0))
    );
}

fn route_id() -> RouteId {
    RouteId { destination: DestinationId(4), endpoint: None }
}

#[test]
fn breaker_logs_state_changes_but_not_extended_openings() {
    let mut routes = Routes::default();
    routes.get_or_insert(route_id(), Route::default()).consecutive_failures = 5;
    routes.set_breaker(route_id(), Breaker::Open(seconds(1.8)));
    routes.set_breaker(route_id(), Breaker::Open(seconds(2.0)));
    routes.set_breaker(route_id(), Breaker::HalfOpen(Some(9)));
    routes.end_trial(route_id(), 8, Breaker::Closed);
    assert!(routes[route_id()].is_trial(9), "call 8 is not the trial");
    routes.end_trial(route_id(), 9, Breaker::Closed);
    let lines = routes.take_log_lines();
    let expected = [
        "breaker of 4: Closed -> Open(1.8s), run 5",
        "breaker of 4: Open(2s) -> HalfOpen(Some(9)), run 5",
        "breaker of 4: HalfOpen(Some(9)) -> Closed, run 5",
    ];
    assert_eq!(lines, expected);
    assert!(routes.take_log_lines().is_empty());
}

#[test]
fn route_snapshot_is_reported_on_change_and_restored() {
    let (now, duration) = (seconds(5.0), seconds(10.0));
    let mut routes = Routes::default();
    routes.get_or_insert(route_id(), Route::default());
    assert_eq!(routes.changed_snapshots(now, duration), None, "there is nothing to keep");
    let route = routes.get_mut(route_id()).expect("inserted above");
    route.extend_retry_after(seconds(7.0));
    route.start_slow_start(seconds(4.0));
    route.breaker = Breaker::HalfOpen(Some(1));
    let snapshot = RouteSnapshot {
        destination: DestinationId(4),
        endpoint: None,
        retry_after_until: seconds(7.0),
        open_until: Some(Duration::ZERO),
        slow_start_since: Some(seconds(4.0)),
    };
    assert_eq!(routes.changed_snapshots(now, duration), Some(&[snapshot][..]));
    assert_eq!(routes.changed_snapshots(now, duration), None, "there is no change");

    let mut successor = Routes::default();
    successor.restore(&[snapshot], 5, now);
    assert!(successor.get(route_id()).is_none(), "routes that are not listed yet are ignored");
    successor.get_or_insert(route_id(), Route::default());
    successor.restore(&[snapshot], 5, now);
    let route = &successor[route_id()];
    assert_eq!((route.breaker, route.consecutive_failures), (Breaker::Open(Duration::ZERO), 5));
    assert_eq!((route.retry_after_until, route.slow_start_since), (seconds(7.0), Some(seconds(4.0))));
}

#[test]
fn concurrency_limit_grows_while_fully_used_and_decreases_down_to_one() {
    let mut endpoint = Endpoint { concurrency_limit: 4.0, calls_in_flight: 1, ..Endpoint::default() };
    endpoint.record_success(seconds(1.0), seconds(0.1), 24.0);
    assert_eq!(endpoint.concurrency_limit, 4.0, "not fully used");
    endpoint.calls_in_flight = 3;
    endpoint.record_success(seconds(1.0), seconds(0.1), 24.0);
    assert_eq!(endpoint.concurrency_limit, 4.25);
    endpoint.record_success(seconds(1.0), seconds(0.1), 4.3);
    assert_eq!(endpoint.concurrency_limit, 4.3, "the maximum");
    endpoint.decrease_concurrency_limit(0.5);
    assert_eq!(endpoint.concurrency_limit, 2.15);
    endpoint.decrease_concurrency_limit(0.1);
    assert_eq!(endpoint.concurrency_limit, 1.0);
}

#[test]
fn endpoint_is_skipped_after_consecutive_failures() {
    let mut endpoint = Endpoint { concurrency_limit: 4.0, ..Endpoint::default() };
    endpoint.record_failure(0.6, 2, seconds(3.0));
    assert_eq!(endpoint.skip_until, Duration::ZERO);
    endpoint.record_success(seconds(1.0), seconds(0.1), 24.0);
    endpoint.record_failure(0.6, 2, seconds(4.0));
    assert_eq!(endpoint.skip_until, Duration::ZERO, "a success came between");
    endpoint.record_failure(0.6, 2, seconds(5.0));
    assert_eq!(endpoint.skip_until, seconds(5.0));
}

#[test]
fn connection_is_idle_after_a_time_without_calls() {
    let mut endpoint = Endpoint::default();
    let is_idle = |endpoint: &Endpoint, now| endpoint.has_idle_connection(seconds(now), seconds(1.0));
    assert!(!is_idle(&endpoint, 9.0), "no connection was used");
    endpoint.record_call_start(seconds(1.0));
    assert!(!is_idle(&endpoint, 9.0), "a call is in flight");
    endpoint.record_call_end(seconds(2.0));
    assert!(!is_idle(&endpoint, 3.0));
    assert!(is_idle(&endpoint, 3.1));
}

fn listed(endpoint: u64, status: EndpointStatus) -> ListedEndpoint {
    ListedEndpoint {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(4),
        zone: ZoneId(0),
        kind: DestinationKindId(0),
        status,
        rate: 0.0,
    }
}

#[test]
fn endpoint_is_unused_after_its_grace_without_calls_in_flight() {
    let mut endpoints = Endpoints::default();
    let mut update = |endpoint, status, now| {
        let listed = listed(endpoint, status);
        endpoints.update(listed.endpoint, Endpoint::new(&listed, route_id(), 4.0), status, seconds(now));
    };
    update(1, EndpointStatus::Ready, 0.0);
    update(2, EndpointStatus::Ready, 0.0);
    update(1, EndpointStatus::Draining, 1.0);
    update(1, EndpointStatus::Removed, 2.0);
    let grace = seconds(1.0);
    assert_eq!(endpoints.unused(seconds(1.9), grace), []);
    assert_eq!(endpoints.unused(seconds(2.0), grace), [EndpointId(1)], "the grace starts with the drain");
    endpoints.record_call(EndpointId(1), 7, seconds(1.0));
    assert_eq!(endpoints.unused(seconds(2.0), grace), []);
    assert_eq!(endpoints.last_call(DestinationId(4)), Some(7));
    assert!(!endpoints.is_last_of_route(route_id()));
    endpoints.remove(EndpointId(1));
    assert!(endpoints.is_last_of_route(route_id()) && !endpoints.has_unavailable());
    endpoints.mark_all_unavailable(seconds(5.0));
    assert_eq!(endpoints.unused(seconds(6.0), grace), [EndpointId(2)]);
    endpoints.remove(EndpointId(2));
    assert_eq!(endpoints.of_destination(DestinationId(4)), []);
    assert_eq!(endpoints.last_call(DestinationId(4)), None);
}

#[test]
fn key_queue_allows_its_first_message_and_applies_the_hold_off_to_others() {
    let (first, second, key) = (MessageId(1), MessageId(2), Some(OrderingKey(9)));
    let mut queues = KeyQueues::default();
    assert_eq!(
        queues.ordering_state(None, first, seconds(0.0)),
        OrderingState::Next,
        "a message without a key"
    );
    queues.push(OrderingKey(9), first);
    queues.push(OrderingKey(9), second);
    assert_eq!((queues.length(key), queues.length(None)), (2, 1));
    assert_eq!(queues.ordering_state(key, first, seconds(0.0)), OrderingState::Next);
    assert_eq!(queues.ordering_state(key, second, seconds(0.0)), OrderingState::QueuedBehind(first));
    queues.add_hold_off(key, seconds(1.0), first);
    assert_eq!(
        queues.ordering_state(key, first, seconds(0.5)),
        OrderingState::Next,
        "a retry of the message that caused the hold-off"
    );
    queues.remove(key, first);
    queues.discard_unused(seconds(0.5));
    assert_eq!(queues.ordering_state(key, second, seconds(0.9)), OrderingState::HeldOff(first, seconds(1.0)));
    assert_eq!(queues.ordering_state(key, second, seconds(1.0)), OrderingState::Next);
    queues.remove(key, second);
    queues.discard_unused(seconds(1.0));
    assert_eq!(queues.length(key), 1, "the queue was removed");
}

// An attempt of a closed message may still be running while the next message, restored by a restart, is sent. A hold-off of
// the second message must not end the hold-off of the first.
#[test]
fn hold_offs_of_different_messages_are_independent() {
    let (first, second, key) = (MessageId(1), MessageId(2), Some(OrderingKey(9)));
    let mut queues = KeyQueues::default();
    queues.push(OrderingKey(9), second);
    queues.add_hold_off(key, seconds(2.0), first);
    queues.add_hold_off(key, seconds(1.0), second);
    queues.add_hold_off(key, seconds(1.5), first);
    assert_eq!(queues.ordering_state(key, second, seconds(1.2)), OrderingState::HeldOff(first, seconds(2.0)));
    assert_eq!(queues.ordering_state(key, second, seconds(2.0)), OrderingState::Next);
}

// Checks each kind of response with each end of a call.
#[test]
fn run_state_depends_on_the_end_of_the_call_first() {
    let rejected = Outcome::Rejected { retry_after: Duration::ZERO };
    let answers = [Outcome::Delivered, Outcome::Error, rejected, Outcome::ConnectionLimit, Outcome::NotSent];
    let complete = answers.map(|outcome| RunState::from_call(outcome, CallEnd::Answered));
    let (never, may_have) = (RunState::NeverRan, RunState::MayHaveRun);
    assert_eq!(complete, [RunState::Ran, may_have, never, never, never]);
    assert_eq!(
        answers.map(|outcome| RunState::from_call(outcome, CallEnd::Interrupted)),
        [RunState::MayBeRunning; 5]
    );
    assert_eq!(answers.map(|outcome| RunState::from_call(outcome, CallEnd::NotWritten)), [never; 5]);
    let unanswered = [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled];
    assert_eq!(unanswered.map(RunState::from_outcome), [RunState::MayBeRunning; 3]);
    let unsent = [Outcome::ConnectFailed, Outcome::LocalFailure, Outcome::NotSent];
    assert_eq!(unsent.map(RunState::from_outcome), [never; 3]);
}

fn class(idempotency: Idempotency) -> MessageClass {
    MessageClass {
        latency_objective: seconds(2.0),
        deadline: seconds(12.0),
        priority_weight: 8.0,
        late_weight_share: 0.25,
        idempotency,
        in_order: false,
    }
}

/// Creates routes of `count` destinations without state to persist.
fn idle_routes(count: u32) -> Routes {
    let mut routes = Routes::default();
    for destination in 0..count {
        let id = RouteId { destination: DestinationId(destination), endpoint: None };
        routes.get_or_insert(id, Route::default());
    }
    routes
}

// Snapshots are reported whenever they change, also when they expire, and not again without a change.
#[test]
fn snapshots_are_reported_on_change() {
    let mut routes = idle_routes(5);
    let id = |destination| RouteId { destination: DestinationId(destination), endpoint: None };
    let reported = |routes: &mut Routes, at: f64| {
        let changed = routes.changed_snapshots(seconds(at), seconds(2.0));
        changed.map(|snapshots| snapshots.iter().map(|snapshot| snapshot.destination.0).collect::<Vec<_>>())
    };
    assert_eq!(reported(&mut routes, 0.0), None);
    routes.set_breaker(id(3), Breaker::Open(seconds(1.0)));
    routes.get_mut(id(1)).expect("known").extend_retry_after(seconds(4.0));
    assert_eq!(reported(&mut routes, 0.5), Some(vec![1, 3]));
    assert_eq!(reported(&mut routes, 1.0), None);
    routes.set_breaker(id(3), Breaker::Closed);
    routes.get_mut(id(3)).expect("known").start_slow_start(seconds(1.5));
    assert_eq!(reported(&mut routes, 1.5), Some(vec![1, 3]));
    assert_eq!(reported(&mut routes, 3.6), Some(vec![1]), "its slow start is over");
    routes.remove(id(1));
    assert_eq!(reported(&mut routes, 3.7), Some(vec![]));
    assert_eq!(reported(&mut routes, 9.0), None);
}

// Each step checks for changed snapshots: the check must not iterate over unchanged routes.
#[test]
fn check_for_changed_snapshots_skips_unchanged_routes() {
    let mut routes = idle_routes(50_000);
    routes.changed_snapshots(seconds(0.0), seconds(2.0));
    assert_eq!(routes.persist_candidate_count(), 0);
    let id = RouteId { destination: DestinationId(7), endpoint: None };
    routes.set_breaker(id, Breaker::Open(seconds(1.0)));
    routes.changed_snapshots(seconds(0.5), seconds(2.0));
    assert_eq!(routes.persist_candidate_count(), 1);
}

fn submission(key: u64) -> Submission {
    Submission {
        class: ClassId(0),
        tenant: TenantId(0),
        destination: DestinationId(4),
        key: Some(OrderingKey(key)),
        deadline: seconds(12.0),
        batch_entry_bytes: 0,
        restored: false,
    }
}

#[test]
fn attempt_may_have_run_unless_its_outcome_proves_the_contrary() {
    let mut message = Message::default();
    let run = PossibleRun { at: seconds(1.0), zone: ZoneId(2) };
    message.record_sent(1, run);
    message.record_outcome(Outcome::ConnectFailed, RunState::NeverRan);
    assert_eq!((message.attempts, message.possible_runs, message.first_possible_run), (1, 0, None));
    message.record_sent(2, run);
    message.record_outcome(Outcome::TimedOut, RunState::MayBeRunning);
    message.record_sent(3, PossibleRun { at: seconds(9.0), zone: ZoneId(3) });
    message.record_outcome(Outcome::Rejected { retry_after: Duration::ZERO }, RunState::NeverRan);
    assert_eq!((message.attempts, message.possible_runs, message.timeouts), (3, 1, 1));
    assert_eq!(message.first_possible_run, Some(run));
}

#[test]
fn message_weight_decays_after_its_latency_objective() {
    let class = class(Idempotency::Idempotent);
    let message = Message::new(&submission(1), &class);
    assert_eq!((message.objective, message.key), (seconds(2.0), None));
    let weight = |decay, now| message.remaining_weight(&class, decay, seconds(now));
    assert_eq!([0.0, 2.0, 7.0, 12.0, 99.0].map(|now| weight(Decay::Linear, now)), [8.0, 8.0, 5.0, 2.0, 2.0]);
    assert_eq!([2.0, 4.0, 6.0, 99.0].map(|now| weight(Decay::Halving, now)), [8.0, 4.0, 2.0, 2.0]);
}

#[test]
fn deduplication_window_starts_at_the_first_possible_run() {
    let scope = DeduplicationScope::AllEndpoints;
    let class = class(Idempotency::WithKey { window: seconds(5.0), scope });
    let mut message = Message::new(&submission(1), &class);
    assert_eq!(message.remaining_deduplication_time(&class, seconds(1.0)), None, "it has not run");
    message.record_sent(1, PossibleRun { at: seconds(1.0), zone: ZoneId(0) });
    assert_eq!(message.remaining_deduplication_time(&class, seconds(4.0)), Some(seconds(2.0)));
    assert_eq!(message.remaining_deduplication_time(&class, seconds(9.0)), Some(Duration::ZERO));
}

#[test]
fn ended_message_stays_queued_until_acknowledged_and_its_attempt_has_ended() {
    let class = MessageClass { in_order: true, ..class(Idempotency::Idempotent) };
    let (first, second) = (MessageId(1), MessageId(2));
    let mut messages = Messages::default();
    messages.insert(first, Message::new(&submission(9), &class));
    messages.insert(second, Message::new(&submission(9), &class));
    let is_next = |messages: &Messages, id| messages.is_next_for_key(id, &messages[id], seconds(0.0));
    assert_eq!(messages.waiting(seconds(0.0))[&DestinationId(4)], [first]);
    messages.end(first, false);
    assert!(messages.waiting(seconds(0.0)).is_empty());
    assert!(!is_next(&messages, second), "the end is not acknowledged");
    messages.get_mut(first).expect("inserted above").call = Some(3);
    messages.close(first);
    assert!(!is_next(&messages, second), "an attempt is in flight");
    assert_eq!(messages.carried_by(3).map(|(id, _)| id).collect::<Vec<_>>(), [first]);
    assert_eq!(messages.count_without_call(DestinationId(4)), 1);
    messages.get_mut(first).expect("an attempt is in flight").call = None;
    messages.close(first);
    assert!(messages.get(first).is_none() && is_next(&messages, second));
}

#[test]
fn call_counts_its_first_result_and_is_over_with_its_last_attempt() {
    let mut calls = Calls::default();
    let mut draft = CallDraft::new(5, EndpointId(1), 2);
    draft.add(seconds(4.0), seconds(1.0), 10);
    draft.add(seconds(2.0), seconds(0.6), 20);
    assert!(draft.is_full());
    assert_eq!(draft.shortest_time_with(seconds(3.0)), seconds(2.0));
    assert_eq!(draft.longest_time_with(seconds(3.0)), seconds(4.0));
    calls.insert(draft.number, draft.call(route_id(), seconds(10.0), true));
    assert_eq!(calls.in_flight_to(DestinationId(4)), 1);
    assert!(calls.has_pending_result(route_id()));
    assert!(calls.count_overdue(seconds(10.9)).is_empty());
    let first = calls.end_attempt(5, EndpointId(1)).expect("in flight");
    assert!(first.is_first_result && first.filled && first.on_idle_connection && !first.is_over);
    assert!(!calls.has_pending_result(route_id()));
    assert!(calls.count_overdue(seconds(11.0)).is_empty(), "its result is counted");
    let last = calls.end_attempt(5, EndpointId(1)).expect("in flight");
    assert!(!last.is_first_result && !last.filled && !last.on_idle_connection && last.is_over);
    assert_eq!(calls.len(), 0);
    assert!(calls.end_attempt(5, EndpointId(1)).is_none());
}

#[test]
fn overdue_call_counts_once_and_stays_in_flight() {
    let mut calls = Calls::default();
    let mut draft = CallDraft::new(5, EndpointId(1), 2);
    draft.add(seconds(4.0), seconds(1.0), 10);
    calls.insert(draft.number, draft.call(route_id(), seconds(10.0), false));
    let overdue = calls.count_overdue(seconds(11.0));
    assert_eq!(overdue.iter().map(|call| (call.number, call.is_over)).collect::<Vec<_>>(), [(5, false)]);
    assert!(calls.count_overdue(seconds(12.0)).is_empty());
    let late = calls.end_attempt(5, EndpointId(1)).expect("in flight");
    assert!(!late.is_first_result && late.is_over);
}

#[test]
fn slow_start_share_grows_linearly() {
    let settings = PolicySettings {
        slow_start_share: 0.25,
        slow_start_duration: seconds(10.0),
        ..PolicySettings::default()
    };
    let share = |elapsed| slow_start_share(&settings, slow_start_progress(&settings, seconds(elapsed)));
    assert_eq!([0.0, 5.0, 10.0].map(share), [0.25, 0.625, 1.0]);
}
