//! Gates, which force the order of two events.

use super::server::{Server, ServerAction};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Holds every thread that comes to it until it is opened, and counts them: so a test forces the order of two events
/// where a pause would depend on the speed of the machine.
#[derive(Clone, Default)]
pub(crate) struct Gate(Arc<(Mutex<(bool, usize)>, Condvar)>);

impl Gate {
    /// Called by the held side: counts as arrived and waits until the gate is open, a minute at most.
    pub(crate) fn pass(&self) {
        let (state, moved) = &*self.0;
        let mut held = state.lock().expect("a gate");
        held.1 += 1;
        moved.notify_all();
        let _ = moved.wait_timeout_while(held, Duration::from_secs(60), |s| !s.0).expect("a gate");
    }

    /// Called by the test: lets everyone pass, from now on without waiting.
    pub(crate) fn open(&self) {
        self.0.0.lock().expect("a gate").0 = true;
        self.0.1.notify_all();
    }

    /// Called by the test: waits until so many have arrived since the start, ten seconds at most.
    pub(crate) fn wait_for_arrivals(&self, n: usize) {
        let (state, moved) = &*self.0;
        let held = state.lock().expect("a gate");
        let most = Duration::from_secs(10);
        let (held, late) = moved.wait_timeout_while(held, most, |s| s.1 < n).expect("a gate");
        assert!(!late.timed_out(), "{} of {n} came to the gate", held.1);
    }
}

/// An endpoint that holds every call at a gate before it acts: until the test opens the gate, calls are in flight.
pub(crate) fn gated(act: impl Fn() -> ServerAction + Send + Sync + 'static) -> (Gate, Server) {
    let gate = Gate::default();
    let held = gate.clone();
    let endpoint = Server::start(move |_| {
        held.pass();
        act()
    });
    (gate, endpoint)
}
