//! The installation of a run, drawn from its seed: message classes, destinations, limits, and the configuration that
//! each relay is started with.

use crate::schedule::Schedule;
use mountshift_invariants::{Idempotency, MessageClass, RuleParameters};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The draws of the installation must not follow those of the schedule.
const STREAM: u64 = 1;
/// Zones of the installation.
const ZONES: [&str; 2] = ["north", "south"];
/// Between these the descriptors that a relay may hold are drawn; few are soon taken by clients that do nothing.
const RELAY_DESCRIPTORS: (u64, u64) = (64, 256);
/// Messages in a call, where the endpoints take several in one.
const BATCH: u64 = 4;
/// How often they do.
const BATCHES: f64 = 0.5;
/// Megabytes that a relay may take.
pub(crate) const RELAY_MEMORY_MB: u64 = 64;
const DRAIN_GRACE_MS: u64 = 1_000;
/// Between these the pause behind an attempt that may still be running is drawn; the longer ones outlast a restart.
const ORDER_PAUSE_MS: (u64, u64) = (200, 1_200);
/// A final answer may come so long after its deadline: 300 ms, 50 ms for sockets, and what a busy machine takes.
const ANSWER_SLACK_MS: u64 = 350 + 400;
/// After a restart: 1.5 s from ready on, and what a busy machine takes.
const RESTART_SLACK_MS: u64 = 1_500 + 500;
/// What the protocol allows for sockets.
const ORDER_SLACK_MS: u64 = 50;
/// A relay may be held up between its decision and the send.
const HOLD_SLACK_MS: u64 = 250;

/// A message class of the run.
#[derive(Clone, Debug)]
pub(crate) struct ClassPlan {
    pub(crate) name: &'static str,
    pub(crate) effect: &'static str,
    pub(crate) by_zone: bool,
    pub(crate) in_order: bool,
    pub(crate) deadline_ms: u64,
    /// For how long repeats are recognised.
    pub(crate) window_ms: u64,
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
    open_cap: u64,
    calls_out: u64,
    batch: u64,
    max_attempts: u64,
    order_pause_ms: u64,
    /// Descriptors that a relay may hold.
    pub(crate) descriptors: u64,
}

impl Installation {
    pub(crate) fn draw(schedule: &Schedule) -> Installation {
        let mut random = ChaCha8Rng::seed_from_u64(schedule.seed);
        random.set_stream(STREAM);
        let effects = [
            ("any", "idempotent", false, false),
            ("once", "at_most_once", false, false),
            ("keyed", "deduplicated", false, false),
            ("zoned", "deduplicated", true, false),
            ("line", "idempotent", false, true),
            ("pay", "at_most_once", false, true),
        ];
        let classes = effects.map(|(name, effect, by_zone, in_order)| ClassPlan {
            name,
            effect,
            by_zone,
            in_order,
            deadline_ms: random.random_range(2_000..9_000),
            window_ms: random.random_range(1_500..6_000),
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
            open_cap: random.random_range(40..200),
            calls_out: random.random_range(6..24),
            max_attempts: random.random_range(4..9),
            descriptors: random.random_range(RELAY_DESCRIPTORS.0..RELAY_DESCRIPTORS.1),
            order_pause_ms: random.random_range(ORDER_PAUSE_MS.0..ORDER_PAUSE_MS.1),
            batch: if random.random_bool(BATCHES) { BATCH } else { 1 },
        }
    }

    /// The entry of an endpoint in discovery's list.
    pub(crate) fn member(&self, endpoint: usize, address: SocketAddr, phase: &str) -> Value {
        let plan = &self.endpoints[endpoint];
        json!({"id": plan.name, "host_port": address.to_string(), "locality": ZONES[plan.zone], "flavor": "single",
            "cell": plan.destination, "phase": phase, "size": 200.0, "up_since_ms": 0})
    }

    /// The configuration of a relay.
    pub(crate) fn config(
        &self,
        relay: usize,
        listen: SocketAddr,
        discovery: SocketAddr,
        known: &Value,
    ) -> Value {
        let micros = |milliseconds: u64| milliseconds * 1_000;
        let class = |plan: &ClassPlan| {
            json!({"name": plan.name, "aim": micros(plan.deadline_ms) / 3, "giveUp": micros(plan.deadline_ms),
                "importance": 1.0, "lateWorth": 0.2, "idempotency": plan.effect, "inOrder": plan.in_order,
                "group": if plan.by_zone { "zone" } else { "all" }, "memorySpan": micros(plan.window_ms)})
        };
        let classes: Vec<Value> = self.classes.iter().map(class).collect();
        json!({"name": format!("r{relay}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{:016x}", relay as u64 + 1),
            "limits": {"cores": 1.0, "memory_mb": RELAY_MEMORY_MB, "sockets": self.descriptors, "disk_mb": 3},
            "known": known,
            "settings": {"balancers": self.relays, "me": relay, "zone": relay % ZONES.len(), "quantum": 5_000,
                "classes": classes, "tenants": [], "localities": ZONES, "kinds": ["single"], "weights": "nominal",
                "discovery": "automatic",
                "familyInfo": {"callsOut": self.calls_out, "decay": "linear", "feeByZone": [0.0, 0.0],
                    "kindBatch": [self.batch], "ownLimits": [false]},
                "limits": {"openCap": self.open_cap, "maxAttempts": self.max_attempts, "cancel": true,
                    "maxRetryAfter": 3_000_000, "connIdle": 5_000_000, "dialTimeout": 1_500_000},
                "obligations": {"drainGrace": micros(DRAIN_GRACE_MS), "orderPause": micros(self.order_pause_ms),
                    "coldFrom": 0.3, "warmAfter": 3_000_000, "fallMultiple": 1.5, "fall": 2_000_000},
                "penalties": {"crossZone": 0.03}}})
    }

    /// What the checker has to know.
    pub(crate) fn rule_parameters(&self) -> RuleParameters {
        let micros = |milliseconds: u64| milliseconds * 1_000;
        let class = |plan: &ClassPlan| MessageClass {
            idempotency: match plan.effect {
                "idempotent" => Idempotency::Idempotent,
                "at_most_once" => Idempotency::NotIdempotent,
                _ => Idempotency::WithKey { window: micros(plan.window_ms), is_per_zone: plan.by_zone },
            },
            in_order: plan.in_order,
        };
        RuleParameters {
            classes: self.classes.iter().map(class).collect(),
            answer_slack: micros(ANSWER_SLACK_MS),
            restart_slack: micros(RESTART_SLACK_MS),
            drain_grace: micros(DRAIN_GRACE_MS + HOLD_SLACK_MS),
            order_hold_off: micros(self.order_pause_ms - ORDER_SLACK_MS),
            slow_start_share: 0.3,
            slow_start_duration: 3_000_000,
            overload_multiple: 1.5,
            overload_window: 2_000_000,
            retry_after_grace: micros(100 + HOLD_SLACK_MS),
        }
    }
}
