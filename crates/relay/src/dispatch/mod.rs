//! The dispatcher: collects events into steps, runs the delivery policy of `mountshift` once per step, commits the
//! spool, and executes the resulting actions. It makes no delivery decisions itself. Everything runs on one thread.

mod actions;
mod calls;
mod dependencies;
mod endpoint_list;
mod event;
mod handlers;
mod key_hold_offs;
mod restore;
mod shutdown;
mod state;

pub(crate) use dependencies::Dependencies;
pub(crate) use event::Event;

use crate::clock::Clock;
use crate::reload::ConfigReloader;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use mountshift::interface::*;
use mountshift_handover::ORPHAN_CHECK_INTERVAL;
use mountshift_spool::Spool;
use shutdown::{STOP_CHECK_INTERVAL, StopProgress, Stopping};
use state::DispatcherState;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between checks for idle connections that their endpoints have closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of a step beyond its due time from which the process counts as having been suspended.
const PROCESS_STALL_THRESHOLD: Duration = Duration::from_millis(100);
/// Time that the other tasks get after a suspension of the process to read the data that arrived meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// Receives events, runs the policy in steps, and executes the steps.
pub(crate) struct Dispatcher {
    state: DispatcherState,
    events: Receiver<Event>,
    /// Set once the process has been requested to stop.
    stopping: Option<Stopping>,
    idle_checked_at: Instant,
    orphans_checked_at: Instant,
    /// Informed of a successor, whose reloads of the configuration it then follows.
    reloader: Rc<ConfigReloader>,
    /// Number of open client connections.
    client_connections: Rc<Cell<usize>>,
    /// Closed once client connections must be closed.
    clients_stopping: Receiver<()>,
    /// Closed shortly before the process exits: clients get the outstanding replies, and further requests are rejected.
    clients_ending: Sender<()>,
}

impl Dispatcher {
    /// Creates the dispatcher and runs the first step, with the configured endpoint list and the state that earlier
    /// processes stored.
    pub(crate) fn new(mut dependencies: Dependencies) -> Dispatcher {
        let clock = Clock::new(dependencies.stored_time, oldest_attempt_ms(&dependencies.spool));
        let initial_list = dependencies.initial_list.take();
        let snapshot = dependencies.snapshot.take();
        let mut dispatcher = Dispatcher {
            events: dependencies.events.1.clone(),
            stopping: None,
            idle_checked_at: Instant::now(),
            orphans_checked_at: Instant::now(),
            reloader: dependencies.reloader.clone(),
            client_connections: dependencies.client_connections.clone(),
            clients_stopping: dependencies.clients_stopping.clone(),
            clients_ending: dependencies.clients_ending.clone(),
            state: DispatcherState::new(dependencies, clock),
        };
        let mut inputs = Vec::new();
        if let Some(list) = initial_list {
            dispatcher.state.on_endpoint_list(list, &mut inputs);
        }
        inputs.push(Input::ListMayBeStale);
        if let Some(snapshot) = snapshot {
            dispatcher.state.restore_routes(snapshot, &mut inputs);
        }
        dispatcher.state.restore_spool(&mut inputs);
        dispatcher.step(inputs);
        dispatcher
    }

    /// Runs steps until the relay has been requested to stop and its calls have ended, or the stop times out.
    pub(crate) async fn run(mut self) {
        self.idle_checked_at = Instant::now();
        loop {
            let events = self.next_events().await;
            self.record_stop_request(&events);
            if self.state.has_unwritten() || !self.state.closed_messages.is_empty() {
                self.state.now = self.state.clock.now();
                self.state.remove_closed_messages();
                self.state.retry_writes();
            }
            let mut inputs = self.take_over_orphaned_messages();
            if events.is_empty() && inputs.is_empty() && !self.is_wake_due() && self.stopping.is_none() {
                continue;
            }
            self.state.now = self.state.clock.now();
            for event in events {
                self.state.handle(event, &mut inputs);
            }
            let stop = self.stopping.map(Stopping::progress);
            if stop.is_none_or(StopProgress::should_run_policy) {
                self.step(inputs);
            } else {
                self.state.execute_without_policy();
            }
            if stop.is_some_and(|stop| self.is_done(stop)) {
                return self.finish().await;
            }
        }
    }

    /// Checks, every `ORPHAN_CHECK_INTERVAL`, whether there is a successor, and takes over the messages of one that exited
    /// before it became active. Not while stopping: the next process will find them.
    fn take_over_orphaned_messages(&mut self) -> Vec<Input> {
        let mut inputs = Vec::new();
        if self.stopping.is_none() && self.orphans_checked_at.elapsed() >= ORPHAN_CHECK_INTERVAL {
            self.orphans_checked_at = Instant::now();
            self.reloader.set_has_other_process(self.state.successor_spool.is_successor_running());
            self.state.now = self.state.clock.now();
            self.state.adopt_orphaned_messages(&mut inputs);
        }
        inputs
    }

    /// Waits for an event or for the next check, and for the minimum interval between two steps; returns all events
    /// that have arrived by then.
    async fn next_events(&mut self) -> Vec<Event> {
        let check_at = self.next_check_at();
        let timed_out = async {
            Timer::at(check_at).await;
            None
        };
        let first = async { self.events.recv().await.ok() }.or(timed_out).await;
        let min_interval = self.state.settings.min_step_interval;
        Timer::at(self.state.clock.instant(self.state.now) + min_interval).await;
        // After a suspension of the process, endpoint updates that arrived meanwhile are read before the policy runs,
        // so that it doesn't send to an endpoint that is draining or removed (rule 3).
        if Instant::now().saturating_duration_since(check_at + min_interval) > PROCESS_STALL_THRESHOLD {
            Timer::after(CATCH_UP_TIME).await;
        }
        if self.idle_checked_at.elapsed() >= IDLE_CHECK_INTERVAL {
            self.state.idle_connections.close_expired();
            self.idle_checked_at = Instant::now();
        }
        let mut events = Vec::from_iter(first);
        while let Ok(event) = self.events.try_recv() {
            events.push(event);
        }
        events
    }

    /// Returns the time at which there is work without an event: a step that the policy requested, a check of idle
    /// connections, a retry of failed writes, or a check whether the process can exit.
    fn next_check_at(&self) -> Instant {
        let check = if self.stopping.is_some() || self.state.has_unwritten() {
            Instant::now() + STOP_CHECK_INTERVAL
        } else {
            self.idle_checked_at + IDLE_CHECK_INTERVAL
        };
        match self.state.next_wake {
            Some(wake) => check.min(self.state.clock.instant(wake)),
            None => check,
        }
    }

    fn is_wake_due(&self) -> bool {
        let now = self.state.clock.now();
        self.state.next_wake.is_some_and(|wake| wake <= now)
    }

    /// Records the first stop request; later ones don't change it.
    fn record_stop_request(&mut self, events: &[Event]) {
        for event in events {
            if let Event::StopRequested(plan) = event
                && self.stopping.is_none()
            {
                self.stopping = Some(Stopping { since: Instant::now(), plan: *plan });
            }
        }
    }

    /// Runs the policy with these inputs and executes its actions.
    fn step(&mut self, inputs: Vec<Input>) {
        let now = self.state.now;
        if self.state.next_wake.is_some_and(|wake| wake <= now) {
            self.state.next_wake = None;
        }
        let policy = self.state.policy.clone();
        policy.borrow_mut().step(now, inputs, &mut self.state);
        for attempt in self.state.pending_sends.iter_mut().flat_map(|sends| &mut sends.attempts) {
            attempt.needs_record = !policy.borrow().may_send_without_record(attempt.message);
        }
        self.state.execute_step();
        for request in std::mem::take(&mut self.state.send_permission_requests) {
            let known = self.state.endpoints.get(request.endpoint);
            let has_same_address = known.is_some_and(|known| known.address == request.address);
            let may_send = has_same_address && policy.borrow().may_send_to(request.endpoint, now);
            let _ = request.reply_to.try_send(may_send);
        }
        let held = self.state.spool.borrow().messages().len();
        let calls = self.state.calls_in_flight.len();
        self.state.metrics.set_dispatcher_state(held, calls, self.state.has_unwritten());
    }
}

/// Returns the time at which the oldest attempt recorded in the spool was sent, in Unix milliseconds.
fn oldest_attempt_ms(spool: &Spool) -> Option<u64> {
    let attempts = spool.messages().values().flat_map(|stored| &stored.attempts);
    attempts.map(|attempt| attempt.at).min()
}
