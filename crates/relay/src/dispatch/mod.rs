//! Carries the decisions out: gathers what came into rounds, is the writer of the decisions, keeps the
//! spool in step. Everything runs on one thread.

mod actions;
mod calls;
mod endpoint_list;
mod event;
mod handlers;
mod restore;
mod shutdown;
mod state;

pub use event::Event;

use crate::clock::Clock;
use crate::discovery::EndpointList;
use crate::endpoints::{Endpoints, Idle};
use crate::notifications::Notification;
use crate::state_files::StateFiles;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use mountshift::interface::*;
use mountshift::rules::DeliveryPolicy;
use mountshift_discovery::DrainRecord;
use mountshift_handover::{Snapshot, StopPlan};
use mountshift_maintenance::MaintenanceState;
use mountshift_settings::SocketSettings;
use mountshift_spool::Spool;
use state::DispatcherState;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Between two looks while stopping, and at idle connections else.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A round so late means that the process stood still.
const PROCESS_PAUSE: Duration = Duration::from_millis(100);

/// What the dispatcher is made of.
pub struct Dependencies {
    pub policy_settings: PolicySettings,
    pub socket_settings: SocketSettings,
    pub spool: Spool,
    pub initial_list: Option<EndpointList>,
    pub max_idle_connections: usize,
    pub executor: Rc<LocalExecutor<'static>>,
    pub events: (Sender<Event>, Receiver<Event>),
    pub notifications: Sender<Notification>,
    pub poll_requests: Sender<()>,
    /// Client connections open now, and closed once clients are to go.
    pub client_connections: Rc<Cell<usize>>,
    pub clients_leave: Receiver<()>,
    /// Closed shortly before the end: clients hear what they are owed, nothing more is read.
    pub clients_end: Sender<()>,
    pub maintenance: Rc<RefCell<MaintenanceState>>,
    /// What an earlier process left of its routes.
    pub snapshot: Option<Snapshot>,
    /// Endpoints told as leaving, to an earlier process too.
    pub drain_record: DrainRecord,
    pub files: StateFiles,
}

pub struct Dispatcher {
    policy: DeliveryPolicy,
    state: DispatcherState,
    events: Receiver<Event>,
    stopping: Option<(Instant, StopPlan)>,
    client_connections: Rc<Cell<usize>>,
    clients_leave: Receiver<()>,
    clients_end: Sender<()>,
}

impl Dispatcher {
    /// Makes the dispatcher and plays its first round, with what the spool and the list hold from before.
    pub fn new(dependencies: Dependencies) -> Dispatcher {
        let legs = dependencies.spool.messages().values().flat_map(|k| &k.attempts);
        let clock = Clock::new(legs.map(|l| l.at).min());
        let state = DispatcherState {
            clock,
            now: clock.at(Instant::now()),
            max_batches: dependencies
                .policy_settings
                .destination_kinds
                .iter()
                .map(|k| k.max_batch.max(1))
                .collect(),
            endpoints: Endpoints::new(&dependencies.socket_settings),
            idle_connections: Rc::new(Idle::new(
                dependencies.socket_settings.idle_timeout,
                dependencies.max_idle_connections,
            )),
            settings: dependencies.socket_settings,
            spool: Rc::new(RefCell::new(dependencies.spool)),
            executor: dependencies.executor,
            events: dependencies.events.0,
            notifications: dependencies.notifications,
            poll_requests: dependencies.poll_requests,
            message_by_id: BTreeMap::new(),
            recently_ended: VecDeque::new(),
            awaiting_answer: BTreeMap::new(),
            pending_sends: Vec::new(),
            reachability_questions: Vec::new(),
            calls_in_flight: BTreeMap::new(),
            last_call_number: 0,
            next_wake: None,
            spool_full_logged: false,
            maintenance: dependencies.maintenance,
            drain_record: dependencies.drain_record,
            files: dependencies.files,
        };
        let policy = DeliveryPolicy::new(dependencies.policy_settings);
        let mut dispatcher = Dispatcher {
            policy,
            state,
            events: dependencies.events.1,
            stopping: None,
            client_connections: dependencies.client_connections,
            clients_leave: dependencies.clients_leave,
            clients_end: dependencies.clients_end,
        };
        let mut inputs = Vec::new();
        dependencies
            .initial_list
            .into_iter()
            .for_each(|list| dispatcher.state.on_endpoint_list(list, &mut inputs));
        inputs.push(Input::ListMayBeStale);
        dependencies
            .snapshot
            .into_iter()
            .for_each(|snapshot| dispatcher.state.restore_routes(snapshot, &mut inputs));
        dispatcher.state.restore_spool(&mut inputs);
        dispatcher.step(inputs);
        dispatcher
    }

    fn step(&mut self, inputs: Vec<Input>) {
        let now = self.state.now;
        self.state.next_wake.take_if(|at| *at <= now);
        self.policy.step(now, inputs, &mut self.state);
        self.state.execute_step();
        for (to, reply_to) in std::mem::take(&mut self.state.reachability_questions) {
            let _ = reply_to.try_send(self.policy.may_send_to(to, now));
        }
    }

    /// Plays rounds until the relay is told to stop and what is out has ended.
    pub async fn run(mut self) {
        let (mut swept, gap) = (Instant::now(), self.state.settings.min_step_interval);
        loop {
            let wake = self.state.next_wake.map(|at| self.state.clock.instant(at));
            let sweep = swept + IDLE_CHECK_INTERVAL;
            // What is left to do before the end must not wait for the next look.
            let sweep = if self.stopping.is_some() { Instant::now() + STOP_CHECK_INTERVAL } else { sweep };
            let timer = async {
                Timer::at(wake.map_or(sweep, |w| w.min(sweep))).await;
                None
            };
            let first = async { self.events.recv().await.ok() }.or(timer).await;
            // All that comes within the shortest gap goes into one round.
            Timer::at(self.state.clock.instant(self.state.now) + gap).await;
            // Guards rule 3 on a core that stood still: what was told meanwhile is read before anything is decided.
            let due = wake.map_or(sweep, |w| w.min(sweep)) + gap;
            if Instant::now().saturating_duration_since(due) > PROCESS_PAUSE {
                Timer::after(STOP_CHECK_INTERVAL).await;
            }
            if swept.elapsed() >= IDLE_CHECK_INTERVAL {
                self.state.idle_connections.close_old();
                swept = Instant::now();
            }
            let came: Vec<Event> =
                first.into_iter().chain(std::iter::from_fn(|| self.events.try_recv().ok())).collect();
            if let Some(how) =
                came.iter().find_map(|e| if let Event::StopRequested(how) = e { Some(*how) } else { None })
            {
                self.stopping = self.stopping.or(Some((Instant::now(), how)));
            }
            let due = self.state.next_wake.is_some_and(|at| at <= self.state.clock.at(Instant::now()));
            if came.is_empty() && !due && self.stopping.is_none() {
                continue;
            }
            self.state.now = self.state.clock.at(Instant::now());
            let mut inputs = Vec::new();
            came.into_iter().for_each(|event| self.state.handle(event, &mut inputs));
            let (stopped, how) = self
                .stopping
                .map_or((Duration::ZERO, mountshift_handover::RESTART), |(at, how)| (at.elapsed(), how));
            // In a handover the decisions go on, sending nothing: ends that fall due are still told.
            if stopped < how.send_for || how.hands_over {
                self.step(inputs);
            } else {
                // Nothing more is decided: ends are noted, what is held waits in the spool for the next start.
                self.state.execute_step();
                self.state.reachability_questions.clear();
            }
            if self.stopping.is_some() {
                let clients_gone = self.clients_leave.is_closed() && self.client_connections.get() == 0;
                let kept = self.state.spool.borrow().messages().len();
                let left = how.hands_over || stopped >= how.send_for || kept == 0;
                let done = clients_gone && self.state.calls_in_flight.is_empty() && left;
                if done || stopped >= how.end_by {
                    return self.finish().await;
                }
            }
        }
    }
}
