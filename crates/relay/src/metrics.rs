//! Metrics of the process in the OpenMetrics text format, served on the admin address (`GET /metrics`).

use crate::violations::{ViolationKind, Violations};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Value of the gauge `shortest_key_gap_ms` until the first gap is measured.
const NO_KEY_GAP: i64 = -1;

/// Label of a counter by kind, outcome or reason.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Label {
    kind: String,
}

/// Metrics written by the tasks of the relay.
#[derive(Default)]
pub(crate) struct Metrics {
    registry: RefCell<Registry>,
    violations: Rc<Violations>,
    client_connections: Rc<Cell<usize>>,
    gauges: Gauges,
    counters: Counters,
}

/// Current values.
#[derive(Default)]
struct Gauges {
    client_connections: Gauge,
    held_messages: Gauge,
    calls_in_flight: Gauge,
    unwritten: Gauge,
    shortest_key_gap_ms: Gauge,
}

/// Numbers of events since the start.
#[derive(Default)]
struct Counters {
    violations: Family<Label, Counter>,
    final_answers: Family<Label, Counter>,
    sends_stopped: Family<Label, Counter>,
    connections_closed: Family<Label, Counter>,
    key_rests: Family<Label, Counter>,
    id_conflicts: Counter,
    write_failures: Counter,
}

impl Metrics {
    pub(crate) fn new(violations: Rc<Violations>, client_connections: Rc<Cell<usize>>) -> Metrics {
        let metrics = Metrics { violations, client_connections, ..Metrics::default() };
        let mut registry = Registry::with_prefix("mountshift");
        metrics.gauges.shortest_key_gap_ms.set(NO_KEY_GAP);
        metrics.gauges.register(&mut registry);
        metrics.counters.register(&mut registry);
        metrics.registry.replace(registry);
        metrics
    }

    /// Encodes all metrics as text.
    pub(crate) fn to_text(&self) -> String {
        self.gauges.client_connections.set(self.client_connections.get() as i64);
        for kind in ViolationKind::ALL {
            let counter = self.counters.violations.get_or_create(&label(kind.name()));
            let uncounted = self.violations.count(kind) - counter.get();
            counter.inc_by(uncounted);
        }
        let mut text = String::new();
        // Writing to a `String` does not fail.
        let _ = encode(&mut text, &self.registry.borrow());
        text
    }

    /// Sets the gauges of the dispatcher after a step.
    pub(crate) fn set_dispatcher_state(
        &self,
        held_messages: usize,
        calls_in_flight: usize,
        has_unwritten: bool,
    ) {
        self.gauges.held_messages.set(held_messages as i64);
        self.gauges.calls_in_flight.set(calls_in_flight as i64);
        self.gauges.unwritten.set(i64::from(has_unwritten));
    }

    pub(crate) fn count_final_answer(&self, kind: &str) {
        self.counters.final_answers.get_or_create(&label(kind)).inc();
    }

    pub(crate) fn count_stopped_send(&self, reason: &str) {
        self.counters.sends_stopped.get_or_create(&label(reason)).inc();
    }

    pub(crate) fn count_closed_connection(&self, reason: &str) {
        self.counters.connections_closed.get_or_create(&label(reason)).inc();
    }

    /// Counts a hold-off of an ordering key after an attempt with this outcome that may still be running.
    pub(crate) fn count_key_hold_off(&self, outcome: &str) {
        self.counters.key_rests.get_or_create(&label(outcome)).inc();
    }

    /// Records the time from the end of an attempt that may still be running to the next message of its ordering key.
    pub(crate) fn observe_key_gap(&self, gap: Duration) {
        let gap_ms = gap.as_millis() as i64;
        let gauge = &self.gauges.shortest_key_gap_ms;
        if gauge.get() == NO_KEY_GAP || gap_ms < gauge.get() {
            gauge.set(gap_ms);
        }
    }

    /// Counts a message rejected because another message with the same id is held or has ended.
    pub(crate) fn count_id_conflict(&self) {
        self.counters.id_conflicts.inc();
    }

    pub(crate) fn count_write_failure(&self) {
        self.counters.write_failures.inc();
    }
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        let mut register = |name, help, gauge: &Gauge| registry.register(name, help, gauge.clone());
        register("client_connections", "Open client connections", &self.client_connections);
        register(
            "held_messages",
            "Accepted messages in the spool: in progress, or with the notification of their end pending",
            &self.held_messages,
        );
        register("calls_in_flight", "Calls to endpoints in flight", &self.calls_in_flight);
        let help = "Shortest time, in milliseconds, from the end of an attempt that may still be running to the next \
            message of its ordering key; -1 if none was measured yet";
        register("shortest_key_gap_ms", help, &self.shortest_key_gap_ms);
        register(
            "unwritten",
            "1 while data for the state folder is not written yet, 0 otherwise",
            &self.unwritten,
        );
    }
}

impl Counters {
    fn register(&self, registry: &mut Registry) {
        let help = "Failures to commit the spool; consecutive ones count once";
        registry.register("write_failures", help, self.write_failures.clone());
        let help =
            "Messages rejected because their ids belong to different messages that are held or have ended";
        registry.register("id_conflicts", help, self.id_conflicts.clone());
        let mut register = |name, help, family: &Family<Label, Counter>| {
            registry.register(name, help, family.clone());
        };
        register(
            "violations",
            "Violations of rules that a check detected and, if possible, prevented; none is expected",
            &self.violations,
        );
        register("final_answers", "Final answers to messages, by outcome", &self.final_answers);
        register(
            "sends_stopped",
            "Attempts stopped right before their first byte was sent, by reason",
            &self.sends_stopped,
        );
        let help = "Hold-offs of ordering keys after an attempt that may still be running, by the outcome of the attempt";
        register("key_rests", help, &self.key_rests);
        register("connections_closed", "Closed client connections, by reason", &self.connections_closed);
    }
}

fn label(kind: &str) -> Label {
    Label { kind: kind.to_string() }
}
