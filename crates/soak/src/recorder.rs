//! What the stand-ins saw, in the order in which they saw it, and what the faults did meanwhile.

use crate::wire_end::WireEnd;
use mountshift_invariants::{Fact, Time};
use std::sync::Mutex;
use std::time::Instant;

/// What a run has shown.
#[derive(Clone, Debug)]
pub(crate) enum Observation {
    /// A fact for the checker.
    Fact(Fact),
    /// An attempt ended at its endpoint.
    AttemptEnded { message: u64, call: u64, relay: u32, end: WireEnd },
    /// The stand-ins' own tasks were held up for so many microseconds: what they saw just now may be so old.
    HeldUp { span: Time },
    /// Another client has handed in the very same message: what becomes of it is not this client's alone.
    Copied { message: u64 },
    /// A request that was written whole and got no answer though its connection ended, and nothing excuses that.
    Unanswered { relay: usize, id: String },
    /// A message was answered with a rejection or an error: it must not be sent.
    Refused { message: u64 },
    /// An endpoint begins to fail, reject, hang or leave, or is well again.
    EndpointFault { endpoint: usize, is_over: bool },
    /// A relay's process ended, was not ready, or used too much.
    Process { relay: usize, what: String },
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

    /// Microseconds since the run began.
    pub(crate) fn now(&self) -> Time {
        self.start.elapsed().as_micros() as Time
    }

    pub(crate) fn fact(&self, fact: Fact) {
        self.note(Observation::Fact(fact));
    }

    pub(crate) fn fault(&self, text: String) {
        self.note(Observation::Fault(text));
    }

    pub(crate) fn note(&self, observation: Observation) {
        let mut observations = lock(&self.observations);
        // Read under the lock, so that the order of the times is the order of the list.
        observations.push((self.now(), observation));
    }

    /// Everything so far.
    pub(crate) fn observations(&self) -> Vec<(Time, Observation)> {
        lock(&self.observations).clone()
    }
}

/// Locks; a task that panicked while it held the lock left plain data.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The number of a message in facts: its relay and its count there.
pub(crate) fn message_number(relay: usize, count: u64) -> u64 {
    ((relay as u64) << 32) | count
}

/// The id of a message as clients write it.
pub(crate) fn message_id(number: u64) -> String {
    format!("m{number:016x}")
}

/// The number of a message by its id.
pub(crate) fn number_of_id(id: &str) -> Option<u64> {
    u64::from_str_radix(id.strip_prefix('m')?, 16).ok()
}

/// The relay that a message belongs to.
pub(crate) fn relay_of(number: u64) -> usize {
    (number >> 32) as usize
}
