//! Gates, with which a test forces the order of two events.

use super::server::{Server, ServerAction};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Blocks every thread that calls [`Gate::pass`] until a test opens it, and counts these threads. A sleep in its place
/// would depend on the speed of the machine. Its state: whether it is open, and the number of threads that arrived.
#[derive(Clone, Default)]
pub(crate) struct Gate(Arc<(Mutex<(bool, usize)>, Condvar)>);

impl Gate {
    /// Counts an arrival and waits until the gate is open, a minute at most. Called by the blocked side.
    pub(crate) fn pass(&self) {
        let (state, changed) = &*self.0;
        let mut guard = state.lock().expect("lock the gate");
        guard.1 += 1;
        changed.notify_all();
        let _ = changed.wait_timeout_while(guard, Duration::from_secs(60), |s| !s.0).expect("lock the gate");
    }

    /// Releases all waiting threads; later ones pass without waiting. Called by the test.
    pub(crate) fn open(&self) {
        self.0.0.lock().expect("lock the gate").0 = true;
        self.0.1.notify_all();
    }

    /// Waits until `n` threads have arrived since the start, ten seconds at most. Called by the test.
    pub(crate) fn wait_for_arrivals(&self, n: usize) {
        let (state, changed) = &*self.0;
        let guard = state.lock().expect("lock the gate");
        let limit = Duration::from_secs(10);
        let (guard, timeout) = changed.wait_timeout_while(guard, limit, |s| s.1 < n).expect("lock the gate");
        assert!(!timeout.timed_out(), "{} of {n} threads arrived at the gate", guard.1);
    }
}

/// Starts an endpoint that holds every call at a gate before it responds: calls are in flight until the test opens it.
pub(crate) fn gated_server(handler: impl Fn() -> ServerAction + Send + Sync + 'static) -> (Gate, Server) {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let endpoint = Server::start(move |_| {
        server_gate.pass();
        handler()
    });
    (gate, endpoint)
}
