//! Record of what the stand-ins observe, in the order of observation, and of the faults injected meanwhile.

use crate::wire_end::WireEnd;
use mountshift_invariants::{Fact, ListedStatus, Time};
use std::sync::Mutex;
use std::time::Instant;

/// An observation of a run.
#[derive(Clone, Debug)]
pub(crate) enum Observation {
    /// A fact for the checker.
    Fact(Fact),
    /// An attempt ended at its endpoint.
    AttemptEnded { message: u64, call: u64, relay: u32, end: WireEnd },
    /// The stand-ins' own tasks ran late by `delay` microseconds: what they observed just now may be that old.
    StandInsDelayed { delay: Time },
    /// Another client submitted an identical copy of the message, so its outcome does not depend on this client alone.
    IdenticalCopySubmitted { message: u64 },
    /// A relay sent another client's message under the id of a message that it had accepted before.
    ForeignMessageSent { message: u64, relay: usize },
    /// A request was written completely and got no answer although its connection ended, and no fault explains that.
    Unanswered { relay: usize, id: String },
    /// A submission was answered with a rejection or an error, so the message must not be sent.
    NotAccepted { message: u64 },
    /// A fault of an endpoint began (it fails, rejects, hangs or is drained) or is over.
    EndpointFaultChanged { endpoint: usize, is_over: bool },
    /// A relay's process ended unexpectedly, was not ready in time, used too many resources, or logged a defect.
    ProcessEvent { relay: usize, description: String },
    /// The endpoint list changed.
    ListChanged { revision: u64, statuses: Vec<ListedStatus> },
    /// A relay's agent sent it this revision of the list.
    ListSent { relay: usize, revision: u64 },
    /// A watch of a relay that was opened at `opened_at` for `wait` microseconds will never get a response.
    WatchSilenced { relay: usize, opened_at: Time, wait: Time },
    /// A relay's agent answers calls for the list from now on, or does not.
    AgentReachable { relay: usize, is_reachable: bool },
    /// The successor of a relay has reported that it serves, and will take over.
    SuccessorReported { relay: usize },
    /// A fault began or ended; only for the timeline.
    Fault(String),
}

/// Collects observations.
pub(crate) struct Recorder {
    start: Instant,
    observations: Mutex<Vec<(Time, Observation)>>,
}

impl Recorder {
    pub(crate) fn new() -> Recorder {
        Recorder { start: Instant::now(), observations: Mutex::default() }
    }

    /// Returns the microseconds since the run began.
    pub(crate) fn now(&self) -> Time {
        self.start.elapsed().as_micros() as Time
    }

    pub(crate) fn record_fact(&self, fact: Fact) {
        self.record(Observation::Fact(fact));
    }

    pub(crate) fn record_fault(&self, text: String) {
        self.record(Observation::Fault(text));
    }

    pub(crate) fn record(&self, observation: Observation) {
        let mut observations = lock(&self.observations);
        // The time is read under the lock, so that the list is in order of time.
        observations.push((self.now(), observation));
    }

    /// Returns all observations so far.
    pub(crate) fn observations(&self) -> Vec<(Time, Observation)> {
        lock(&self.observations).clone()
    }
}

/// Locks a mutex. Poisoning is ignored, because the mutexes protect plain data that is valid even after a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Returns the number of a message in facts, made of its relay and its position among the messages of that relay.
pub(crate) fn message_number(relay: usize, count: u64) -> u64 {
    ((relay as u64) << 32) | count
}

/// Returns the id of a message as clients write it.
pub(crate) fn message_id(number: u64) -> String {
    format!("m{number:016x}")
}

/// Returns the number of the message with this id.
pub(crate) fn parse_message_id(id: &str) -> Option<u64> {
    u64::from_str_radix(id.strip_prefix('m')?, 16).ok()
}

/// Returns the relay to which a message was submitted.
pub(crate) fn relay_of_message(number: u64) -> usize {
    (number >> 32) as usize
}
