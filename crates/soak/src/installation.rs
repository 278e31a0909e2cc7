//! The installation of a run, drawn from its seed: message classes, destinations, limits, and the configuration of each
//! relay.

use crate::schedule::{PollingFleet, Schedule};
use mountshift_invariants::{Idempotency, MessageClass, RuleParameters};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Random stream of the installation, which makes its draws independent of those of the schedule.
const RANDOM_STREAM: u64 = 1;
/// Zones of the installation.
const ZONES: [&str; 2] = ["north", "south"];
/// Range of the maximum number of descriptors of a relay, small enough for idle clients to exhaust them.
const RELAY_DESCRIPTORS: (u64, u64) = (64, 256);
/// Maximum number of messages in a call in installations with batches.
const BATCH_MESSAGES: u64 = 4;
/// Probability that an installation has batches.
const BATCH_PROBABILITY: f64 = 0.5;
/// Maximum memory of a relay in megabytes.
pub(crate) const RELAY_MEMORY_MB: u64 = 64;
/// Time after an endpoint is listed as draining or removed until no new work may be sent to it, in milliseconds.
const DRAIN_GRACE_MS: u64 = 1_000;
/// The same where the relays poll for the list.
const POLLING_DRAIN_GRACE_MS: u64 = 250;
/// Range of the hold-off of an ordering key, in milliseconds. The longer ones outlast a restart.
const ORDER_HOLD_OFF_MS: (u64, u64) = (200, 1_200);
/// Maximum delay of a final answer after the deadline: 300 ms by the rule, 50 ms for sockets, and 400 ms for a busy
/// machine.
const ANSWER_SLACK_MS: u64 = 350 + 400;
/// Maximum delay of a final answer after a restart: 1.5 s from readiness, and 500 ms for a busy machine.
const RESTART_SLACK_MS: u64 = 1_500 + 500;
/// Tolerance of the hold-off, in milliseconds, that the protocol allows for delays of sockets.
const ORDER_SLACK_MS: u64 = 50;
/// Maximum delay of a relay between its decision to send and the send, in milliseconds.
const SEND_DELAY_SLACK_MS: u64 = 250;

/// A message class of the run.
#[derive(Clone, Debug)]
pub(crate) struct ClassPlan {
    pub(crate) name: &'static str,
    pub(crate) idempotency: &'static str,
    pub(crate) is_per_zone: bool,
    pub(crate) in_order: bool,
    pub(crate) deadline_ms: u64,
    /// Time for which endpoints recognise duplicates.
    pub(crate) deduplication_window_ms: u64,
}

/// An endpoint of the run.
#[derive(Clone, Debug)]
pub(crate) struct EndpointPlan {
    pub(crate) name: String,
    pub(crate) destination: u32,
    pub(crate) zone: usize,
}

/// The installation of a run.
#[derive(Clone, Debug)]
pub(crate) struct Installation {
    pub(crate) classes: Vec<ClassPlan>,
    pub(crate) endpoints: Vec<EndpointPlan>,
    pub(crate) destinations: u32,
    pub(crate) relays: usize,
    max_queued: u64,
    max_calls_in_flight: u64,
    max_batch: u64,
    max_attempts: u64,
    order_hold_off_ms: u64,
    /// The fleet of the relays, if they have to poll for the endpoint list.
    pub(crate) polling: Option<PollingFleet>,
    /// Maximum number of descriptors of a relay.
    pub(crate) max_descriptors: u64,
}

impl Installation {
    pub(crate) fn draw(schedule: &Schedule) -> Installation {
        let mut random = ChaCha8Rng::seed_from_u64(schedule.seed);
        random.set_stream(RANDOM_STREAM);
        let classes = [
            ("any", "idempotent", false, false),
            ("once", "at_most_once", false, false),
            ("keyed", "deduplicated", false, false),
            ("zoned", "deduplicated", true, false),
            ("line", "idempotent", false, true),
            ("pay", "at_most_once", false, true),
        ];
        let classes = classes.map(|(name, idempotency, is_per_zone, in_order)| ClassPlan {
            name,
            idempotency,
            is_per_zone,
            in_order,
            deadline_ms: random.random_range(2_000..9_000),
            deduplication_window_ms: random.random_range(1_500..6_000),
        });
        let destinations = (schedule.endpoints as u32).div_ceil(2);
        let endpoints = (0..schedule.endpoints).map(|number| EndpointPlan {
            name: format!("e{number}"),
            destination: number as u32 % destinations,
            zone: (number / destinations as usize) % ZONES.len(),
        });
        Installation {
            classes: classes.to_vec(),
            endpoints: endpoints.collect(),
            destinations,
            relays: schedule.relays,
            polling: schedule.polling,
            max_queued: random.random_range(40..200),
            max_calls_in_flight: random.random_range(6..24),
            max_attempts: random.random_range(4..9),
            max_descriptors: random.random_range(RELAY_DESCRIPTORS.0..RELAY_DESCRIPTORS.1),
            order_hold_off_ms: random.random_range(ORDER_HOLD_OFF_MS.0..ORDER_HOLD_OFF_MS.1),
            max_batch: if random.random_bool(BATCH_PROBABILITY) { BATCH_MESSAGES } else { 1 },
        }
    }

    /// Returns the entry of an endpoint in discovery's list.
    pub(crate) fn list_entry(&self, endpoint: usize, address: SocketAddr, phase: &str) -> Value {
        let plan = &self.endpoints[endpoint];
        json!({"id": plan.name, "host_port": address.to_string(), "locality": ZONES[plan.zone], "flavor": "single",
            "cell": plan.destination, "phase": phase, "size": 200.0, "up_since_ms": 0})
    }

    fn drain_grace_ms(&self) -> u64 {
        if self.polling.is_some() { POLLING_DRAIN_GRACE_MS } else { DRAIN_GRACE_MS }
    }

    /// Returns the configuration of a relay.
    pub(crate) fn config(
        &self,
        relay: usize,
        listen: SocketAddr,
        discovery: SocketAddr,
        known_endpoints: &Value,
    ) -> Value {
        let micros = |milliseconds: u64| milliseconds * 1_000;
        let class = |plan: &ClassPlan| {
            json!({"name": plan.name, "aim": micros(plan.deadline_ms) / 3, "giveUp": micros(plan.deadline_ms),
                "importance": 1.0, "lateWorth": 0.2, "idempotency": plan.idempotency, "inOrder": plan.in_order,
                "group": if plan.is_per_zone { "zone" } else { "all" },
                "memorySpan": micros(plan.deduplication_window_ms)})
        };
        let classes: Vec<Value> = self.classes.iter().map(class).collect();
        let fleet = self.polling.map_or(self.relays, |fleet| fleet.relays);
        let discovery_mode = if self.polling.is_some() { "subscribe" } else { "automatic" };
        let poll_interval_ms = self.polling.map_or(0, |fleet| fleet.poll_interval_ms);
        json!({"name": format!("r{relay}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{:016x}", relay as u64 + 1),
            "limits": {"cores": 1.0, "memory_mb": RELAY_MEMORY_MB, "sockets": self.max_descriptors, "disk_mb": 3},
            "known": known_endpoints,
            "settings": {"balancers": fleet, "me": relay, "zone": relay % ZONES.len(), "quantum": 5_000,
                "classes": classes, "tenants": [], "localities": ZONES, "kinds": ["single"], "weights": "nominal",
                "discovery": discovery_mode,
                "familyInfo": {"callsOut": self.max_calls_in_flight, "decay": "linear", "feeByZone": [0.0, 0.0],
                    "kindBatch": [self.max_batch], "ownLimits": [false]},
                "limits": {"openCap": self.max_queued, "maxAttempts": self.max_attempts, "cancel": true,
                    "maxRetryAfter": 3_000_000, "connIdle": 5_000_000, "dialTimeout": 1_500_000},
                "obligations": {"drainGrace": micros(self.drain_grace_ms()), "askWithin": micros(poll_interval_ms),
                    "orderPause": micros(self.order_hold_off_ms),
                    "coldFrom": 0.3, "warmAfter": 3_000_000, "fallMultiple": 1.5, "fall": 2_000_000},
                "penalties": {"crossZone": 0.03}}})
    }

    /// Returns the parameters of the checker.
    pub(crate) fn rule_parameters(&self) -> RuleParameters {
        let micros = |milliseconds: u64| milliseconds * 1_000;
        let class = |plan: &ClassPlan| MessageClass {
            idempotency: match plan.idempotency {
                "idempotent" => Idempotency::Idempotent,
                "at_most_once" => Idempotency::NotIdempotent,
                _ => Idempotency::WithKey {
                    window: micros(plan.deduplication_window_ms),
                    is_per_zone: plan.is_per_zone,
                },
            },
            in_order: plan.in_order,
        };
        RuleParameters {
            classes: self.classes.iter().map(class).collect(),
            answer_slack: micros(ANSWER_SLACK_MS),
            restart_slack: micros(RESTART_SLACK_MS),
            drain_grace: micros(self.drain_grace_ms() + SEND_DELAY_SLACK_MS),
            order_hold_off: micros(self.order_hold_off_ms - ORDER_SLACK_MS),
            slow_start_share: 0.3,
            slow_start_duration: 3_000_000,
            overload_multiple: 1.5,
            overload_window: 2_000_000,
            retry_after_grace: micros(100 + SEND_DELAY_SLACK_MS),
        }
    }
}
