//! Tests that the order of a key is checked again right before the first byte of an attempt.

use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use std::time::Duration;

const KEY: OrderingKey = OrderingKey(5);
const ENDPOINT: EndpointId = EndpointId(7);
const HOLD_OFF: Duration = Duration::from_millis(300);

/// A host that records only the sent messages.
#[derive(Default)]
struct SendRecorder(Vec<MessageId>);

impl Actions for SendRecorder {
    fn send(&mut self, message: MessageId, _endpoint: EndpointId, _timeout: Duration) {
        self.0.push(message);
    }
    fn reject(&mut self, _message: MessageId, _retry_after: Duration) -> bool {
        true
    }
    fn fail(&mut self, _message: MessageId) -> bool {
        true
    }
    fn cancel(&mut self, _message: MessageId, _attempt: AttemptNumber) {}
    fn close_idle_connections(&mut self, _endpoint: EndpointId) {}
    fn forget_endpoint(&mut self, _endpoint: EndpointId) {}
    fn wake_after(&mut self, _delay: Duration) {}
    fn poll_endpoints(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

fn policy() -> DeliveryPolicy {
    let class = MessageClass {
        latency_objective: Duration::from_secs(2),
        deadline: Duration::from_secs(12),
        priority_weight: 1.0,
        late_weight_share: 0.25,
        idempotency: Idempotency::Idempotent,
        in_order: true,
    };
    let kind = DestinationKind { independent_endpoints: false, max_batch: 1 };
    DeliveryPolicy::new(PolicySettings {
        relay_count: 1,
        classes: vec![class],
        destination_kinds: vec![kind],
        max_calls_in_flight: 10,
        max_queued: 100,
        max_attempts: 8,
        order_hold_off: HOLD_OFF,
        slow_start_share: 0.3,
        slow_start_duration: Duration::from_secs(10),
        overload_multiple: 1.5,
        overload_window: Duration::from_secs(2),
        zone_fees: vec![0.0],
        ..PolicySettings::default()
    })
}

fn submitted(message: u64) -> Input {
    let submission = Submission {
        class: ClassId(0),
        tenant: TenantId(0),
        destination: DestinationId(1),
        key: Some(KEY),
        deadline: Duration::from_secs(12),
        batch_entry_bytes: 0,
        restored: false,
    };
    Input::Submitted { message: MessageId(message), submission }
}

fn listed() -> Input {
    Input::EndpointListed(ListedEndpoint {
        endpoint: ENDPOINT,
        destination: DestinationId(1),
        kind: DestinationKindId(0),
        zone: ZoneId(0),
        status: EndpointStatus::Ready,
        rate: 1_000.0,
    })
}

#[test]
fn attempt_is_sent_only_in_the_order_of_its_key() {
    let (mut policy, mut sends) = (policy(), SendRecorder::default());
    let (first, second) = (MessageId(1), MessageId(2));
    let mut now = Duration::from_secs(1);
    policy.step(now, [listed(), submitted(1), submitted(2)], &mut sends);
    assert_eq!(sends.0, [first]);
    assert_eq!(policy.check_before_send(first, ENDPOINT, now), Ok(()));
    assert_eq!(policy.check_before_send(second, ENDPOINT, now), Err(SendError::OutOfOrder));
    assert_eq!(policy.ordering_state(second, now), Some(OrderingState::QueuedBehind(first)));
    now += Duration::from_millis(100);
    // The first line of the response confirms the delivery; then the relay stops reading.
    let ended = Input::AttemptEnded {
        message: first,
        endpoint: ENDPOINT,
        elapsed: Duration::from_millis(100),
        outcome: Outcome::Delivered,
        run: RunState::MayBeRunning,
        closed: true,
    };
    policy.step(now, [ended], &mut sends);
    assert_eq!(policy.ordering_state(second, now), Some(OrderingState::HeldOff(first, now + HOLD_OFF)));
    let almost = now + HOLD_OFF - Duration::from_millis(1);
    assert_eq!(policy.check_before_send(second, ENDPOINT, almost), Err(SendError::OutOfOrder));
    assert_eq!(policy.check_before_send(second, ENDPOINT, now + HOLD_OFF), Ok(()));
}
