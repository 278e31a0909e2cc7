//! The dispatcher: gathers what happened into steps, lets the decisions of `mountshift` take place, and carries them
//! out, in step with the spool. It decides nothing itself. Everything runs on one thread.

mod actions;
mod calls;
mod dependencies;
mod ended_ids;
mod endpoint_list;
mod event;
mod handlers;
mod key_rests;
mod restore;
mod shutdown;
mod state;

pub(crate) use dependencies::Dependencies;
pub(crate) use event::Event;

use crate::clock::Clock;
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

/// Between two looks at idle connections: those that an endpoint closed are let go.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A step so late means that the process did not run meanwhile.
const PROCESS_PAUSE: Duration = Duration::from_millis(100);
/// After such a pause, the time for the other tasks to read what came meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// Takes events, decides in steps, and carries the steps out.
pub(crate) struct Dispatcher {
    state: DispatcherState,
    events: Receiver<Event>,
    /// Set once the process was told to stop.
    stopping: Option<Stopping>,
    idle_checked_at: Instant,
    orphans_checked_at: Instant,
    /// Client connections open now.
    client_connections: Rc<Cell<usize>>,
    /// Closed once client connections are to go.
    clients_leave: Receiver<()>,
    /// Closed shortly before the end: clients hear the answers they are owed, nothing more is read.
    clients_end: Sender<()>,
}

impl Dispatcher {
    /// Makes the dispatcher, and takes the first step with what earlier processes and the configuration left.
    pub(crate) fn new(mut dependencies: Dependencies) -> Dispatcher {
        let clock = Clock::new(dependencies.stored_time, oldest_attempt_ms(&dependencies.spool));
        let initial_list = dependencies.initial_list.take();
        let snapshot = dependencies.snapshot.take();
        let mut dispatcher = Dispatcher {
            events: dependencies.events.1.clone(),
            stopping: None,
            idle_checked_at: Instant::now(),
            orphans_checked_at: Instant::now(),
            client_connections: dependencies.client_connections.clone(),
            clients_leave: dependencies.clients_leave.clone(),
            clients_end: dependencies.clients_end.clone(),
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

    /// Takes steps until the relay is told to stop and what is in flight has ended.
    pub(crate) async fn run(mut self) {
        self.idle_checked_at = Instant::now();
        loop {
            let events = self.next_events().await;
            self.note_stop_request(&events);
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
            if stop.is_none_or(StopProgress::decides) {
                self.step(inputs);
            } else {
                self.state.execute_without_deciding();
            }
            if stop.is_some_and(|stop| self.is_done(stop)) {
                return self.finish().await;
            }
        }
    }

    /// From time to time: what a successor has left that ended too early. Not while stopping: the next process finds it.
    fn take_over_orphaned_messages(&mut self) -> Vec<Input> {
        let mut inputs = Vec::new();
        if self.stopping.is_none() && self.orphans_checked_at.elapsed() >= ORPHAN_CHECK_INTERVAL {
            self.orphans_checked_at = Instant::now();
            self.state.now = self.state.clock.now();
            self.state.adopt_orphaned_messages(&mut inputs);
        }
        inputs
    }

    /// Waits for an event, or until there is something to do without one. All that comes within the shortest gap
    /// between two steps comes together.
    async fn next_events(&mut self) -> Vec<Event> {
        let look = self.next_look();
        let nothing_came = async {
            Timer::at(look).await;
            None
        };
        let first = async { self.events.recv().await.ok() }.or(nothing_came).await;
        let gap = self.state.settings.min_step_interval;
        Timer::at(self.state.clock.instant(self.state.now) + gap).await;
        // Rule 3, where the process did not run for a while: what was told meanwhile is read before a decision.
        if Instant::now().saturating_duration_since(look + gap) > PROCESS_PAUSE {
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

    /// When there is something to do without an event: a step that the decisions want, a look at idle connections, or
    /// one at what is left before the end.
    fn next_look(&self) -> Instant {
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

    /// The first request to stop stands, whatever comes after it.
    fn note_stop_request(&mut self, events: &[Event]) {
        for event in events {
            if let Event::StopRequested(plan) = event
                && self.stopping.is_none()
            {
                self.stopping = Some(Stopping { since: Instant::now(), plan: *plan });
            }
        }
    }

    /// Lets the decisions take place, and carries them out.
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
        for question in std::mem::take(&mut self.state.reachability_questions) {
            let known = self.state.endpoints.get(question.endpoint);
            let is_there = known.is_some_and(|known| known.address == question.address);
            let may_send = is_there && policy.borrow().may_send_to(question.endpoint, now);
            let _ = question.reply_to.try_send(may_send);
        }
        let held = self.state.spool.borrow().messages().len();
        let calls = self.state.calls_in_flight.len();
        self.state.metrics.set_dispatcher_state(held, calls, self.state.has_unwritten());
    }
}

/// When the oldest attempt that the spool tells of was sent, Unix milliseconds.
fn oldest_attempt_ms(spool: &Spool) -> Option<u64> {
    let attempts = spool.messages().values().flat_map(|stored| &stored.attempts);
    attempts.map(|attempt| attempt.at).min()
}
