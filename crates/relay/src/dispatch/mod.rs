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
use crate::discovery::Members;
use crate::notifications::Notice;
use crate::upstream::{Endpoints, Idle};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use mountshift_discovery::DrainRecord;
use mountshift_handover::{Snapshot, StopPlan};
use mountshift_maintenance::MaintenanceState;
use mountshift_settings::SocketSettings;
use mountshift_spool::Spool;
use state::Desk;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Between two looks while stopping, and at idle connections else.
const STOP_LOOK: Duration = Duration::from_millis(20);
const SWEEP: Duration = Duration::from_millis(500);
/// A round so late means that the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(100);

/// What the host is made of.
pub struct Parts {
    pub policy_settings: PolicySettings,
    pub socket_settings: SocketSettings,
    pub spool: Spool,
    pub known: Option<Members>,
    pub idle_most: usize,
    pub executor: Rc<LocalExecutor<'static>>,
    pub events: (Sender<Event>, Receiver<Event>),
    pub notices: Sender<Notice>,
    pub watch: Sender<()>,
    /// Client connections open now, and closed once clients are to go.
    pub clients: Rc<Cell<usize>>,
    pub leaving: Receiver<()>,
    /// Closed shortly before the end: clients hear what they are owed, nothing more is read.
    pub end: Sender<()>,
    pub maintenance: Rc<RefCell<MaintenanceState>>,
    pub out_file: PathBuf,
    /// What an earlier process left, and where this one writes it down.
    pub carried: Option<Snapshot>,
    pub snapshot_file: PathBuf,
    /// Endpoints told as leaving, to an earlier process too.
    pub drain_record: DrainRecord,
    pub drain_record_file: PathBuf,
    pub drain_record_max_bytes: usize,
}

pub struct Host {
    policy: DeliveryPolicy,
    desk: Desk,
    came: Receiver<Event>,
    stopping: Option<(Instant, StopPlan)>,
    clients: Rc<Cell<usize>>,
    leaving: Receiver<()>,
    end: Sender<()>,
}

impl Host {
    /// Makes the host and plays its first round, with what the spool and the list hold from before.
    pub fn new(parts: Parts) -> Host {
        let legs = parts.spool.messages().values().flat_map(|k| &k.attempts);
        let clock = Clock::new(legs.map(|l| l.at).min());
        let desk = Desk {
            clock,
            now: clock.at(Instant::now()),
            batches: parts.policy_settings.destination_kinds.iter().map(|k| k.max_batch.max(1)).collect(),
            endpoints: Endpoints::new(&parts.socket_settings),
            idle: Rc::new(Idle::new(parts.socket_settings.idle_timeout, parts.idle_most)),
            settings: parts.socket_settings,
            spool: Rc::new(RefCell::new(parts.spool)),
            executor: parts.executor,
            events: parts.events.0,
            notices: parts.notices,
            watch: parts.watch,
            by_name: BTreeMap::new(),
            ended: VecDeque::new(),
            asking: BTreeMap::new(),
            sends: Vec::new(),
            late: Vec::new(),
            calls: BTreeMap::new(),
            count: 0,
            wake: None,
            full: false,
            maintenance: parts.maintenance,
            out_file: parts.out_file,
            snapshot_file: parts.snapshot_file,
            drain_record: parts.drain_record,
            drain_record_file: parts.drain_record_file,
            drain_record_max_bytes: parts.drain_record_max_bytes,
        };
        let policy = DeliveryPolicy::new(parts.policy_settings);
        let mut host = Host {
            policy,
            desk,
            came: parts.events.1,
            stopping: None,
            clients: parts.clients,
            leaving: parts.leaving,
            end: parts.end,
        };
        let mut inputs = Vec::new();
        parts.known.into_iter().for_each(|list| host.desk.take_list(list, &mut inputs));
        inputs.push(Input::ListMayBeStale);
        parts.carried.into_iter().for_each(|snapshot| host.desk.restore_routes(snapshot, &mut inputs));
        host.desk.restore(&mut inputs);
        host.round(inputs);
        host
    }

    fn round(&mut self, inputs: Vec<Input>) {
        let now = self.desk.now;
        self.desk.wake.take_if(|at| *at <= now);
        self.policy.step(now, inputs, &mut self.desk);
        self.desk.carry_out();
        for (to, asking) in std::mem::take(&mut self.desk.late) {
            let _ = asking.try_send(self.policy.may_send_to(to, now));
        }
    }

    /// Plays rounds until the relay is told to stop and what is out has ended.
    pub async fn run(mut self) {
        let (mut swept, gap) = (Instant::now(), self.desk.settings.min_step_interval);
        loop {
            let wake = self.desk.wake.map(|at| self.desk.clock.instant(at));
            let sweep = swept + SWEEP;
            // What is left to do before the end must not wait for the next look.
            let sweep = if self.stopping.is_some() { Instant::now() + STOP_LOOK } else { sweep };
            let timer = async {
                Timer::at(wake.map_or(sweep, |w| w.min(sweep))).await;
                None
            };
            let first = async { self.came.recv().await.ok() }.or(timer).await;
            // All that comes within the shortest gap goes into one round.
            Timer::at(self.desk.clock.instant(self.desk.now) + gap).await;
            // Guards rule 3 on a core that stood still: what was told meanwhile is read before anything is decided.
            let due = wake.map_or(sweep, |w| w.min(sweep)) + gap;
            if Instant::now().saturating_duration_since(due) > STOOD_STILL {
                Timer::after(STOP_LOOK).await;
            }
            if swept.elapsed() >= SWEEP {
                self.desk.idle.close_old();
                swept = Instant::now();
            }
            let came: Vec<Event> =
                first.into_iter().chain(std::iter::from_fn(|| self.came.try_recv().ok())).collect();
            if let Some(how) =
                came.iter().find_map(|e| if let Event::Stop(how) = e { Some(*how) } else { None })
            {
                self.stopping = self.stopping.or(Some((Instant::now(), how)));
            }
            let due = self.desk.wake.is_some_and(|at| at <= self.desk.clock.at(Instant::now()));
            if came.is_empty() && !due && self.stopping.is_none() {
                continue;
            }
            self.desk.now = self.desk.clock.at(Instant::now());
            let mut inputs = Vec::new();
            came.into_iter().for_each(|event| self.desk.take(event, &mut inputs));
            let (stopped, how) = self
                .stopping
                .map_or((Duration::ZERO, mountshift_handover::RESTART), |(at, how)| (at.elapsed(), how));
            // In a handover the decisions go on, sending nothing: ends that fall due are still told.
            if stopped < how.send_for || how.hands_over {
                self.round(inputs);
            } else {
                // Nothing more is decided: ends are noted, what is held waits in the spool for the next start.
                self.desk.carry_out();
                self.desk.late.clear();
            }
            if self.stopping.is_some() {
                let clients_gone = self.leaving.is_closed() && self.clients.get() == 0;
                let kept = self.desk.spool.borrow().messages().len();
                let left = how.hands_over || stopped >= how.send_for || kept == 0;
                let done = clients_gone && self.desk.calls.is_empty() && left;
                if done || stopped >= how.end_by {
                    return self.finish().await;
                }
            }
        }
    }
}
