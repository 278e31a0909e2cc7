//! The relay on sockets: clients hand messages in, endpoints get them, the decisions are mountshift's.
#![forbid(unsafe_code)]

mod admin;
mod clients;
mod clock;
mod discovery;
mod dispatch;
mod endpoints;
mod error;
mod http;
mod notifications;
mod startup;
mod state_files;
mod successor;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use clients::Front;
use discovery::DiscoveryClient;
use dispatch::{Dependencies, Dispatcher, Event};
use error::StartError;
use futures_lite::StreamExt;
use log::{error, info, warn};
use mountshift_discovery::{DRAIN_RECORD_DISK_SHARE, DRAIN_RECORD_FILE};
use mountshift_handover::{
    ACTIVE_DISK_SHARE, Role, SNAPSHOT_FILE, SUCCESSOR_DIR, SUCCESSOR_DISK_SHARE, reads_snapshot,
};
use mountshift_maintenance::{Change, MaintenanceState};
use mountshift_spool::Spool;
use startup::config;
use startup::listener::listener;
use startup::spool::merge_successor_spool;
use startup::state_dir::{held_by_another, lock};
use state_files::{read_drain_record, read_maintenance, read_snapshot};
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;
use successor::{IntakeEnd, SuccessorIntake};

/// A list may take one part in so many of the memory, and so may all requests that are not whole.
const LIST_SHARE: usize = 32;
const REQUESTS_SHARE: usize = 8;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    // Guards against an end by a signal that comes before anything else is ready.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"));
    let start = match config::read(|name| std::env::var(name).ok()) {
        Ok(start) => start,
        Err(what) => {
            // Bad input: one plain line, exit 2.
            error!("not started: {what}");
            return ExitCode::from(2);
        }
    };
    match signals.map_err(StartError::failure).and_then(|signals| run(signals, start)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(StartError { code, what }) => {
            error!("not started: {what}");
            ExitCode::from(code)
        }
    }
}

fn run(mut signals: Signals, start: config::StartConfig) -> Result<(), StartError> {
    let listener = listener(&start)?;
    let folder = |e| StartError::failure(format!("{}: {e}", start.state.display()));
    let zone_room = start.socket_settings.zones.iter().map(String::len).max().unwrap_or(0) as u64;
    let legs = u64::from(start.policy_settings.max_attempts);
    let share = |of: f64| (start.disk as f64 * of) as u64;
    let successor_dir = start.state.join(SUCCESSOR_DIR);
    std::fs::create_dir_all(&successor_dir).map_err(folder)?;
    let (active_lock, active_free) = lock(&start.state).map_err(StartError::failure)?;
    let (successor_lock, successor_free) = lock(&successor_dir).map_err(StartError::failure)?;
    let successor_spool_exists = successor_dir.join(mountshift_spool::FILE_NAME).exists();
    let role = mountshift_handover::role(active_free, successor_free, successor_spool_exists)
        .map_err(|e| StartError::failure(format!("{}: {e}", start.state.display())))?;
    info!("{} starts as {role:?}", start.name);
    let executor = Rc::new(LocalExecutor::new());
    let events = async_channel::unbounded();
    let (notices, notices_out) = async_channel::unbounded();
    let (watch, watch_asked) = async_channel::bounded(1);
    let (leave, leaving) = async_channel::bounded::<()>(1);
    let (end, ending) = async_channel::bounded::<()>(1);
    let (watch_moves, watch_moved) = async_channel::unbounded();
    let (notices_move, notices_moved) = async_channel::unbounded();
    let open = Rc::new(Cell::new(0));
    let known = discovery::members(&start.known, start.discovery);
    if known.is_none() {
        warn!("the configuration's known list can't be read; discovery is asked for the whole list");
    }
    let revision = known.as_ref().map(|list| list.revision);
    let must_ask = start.policy_settings.must_poll;
    let started = Instant::now();
    let maintenance_file = start.state.join("maintenance");
    let maintenance =
        Rc::new(RefCell::new(MaintenanceState::from_text(&read_maintenance(&maintenance_file)?)));
    known.iter().flat_map(|list| &list.members).for_each(|m| maintenance.borrow_mut().listed(&m.id));
    let classes = start.socket_settings.classes.clone();
    async_io::block_on(executor.run(async {
        let events_in = events.0.clone();
        let (listed, taken) = (events_in.clone(), events_in.clone());
        let listed = move |list| drop(listed.try_send(Event::EndpointList(list)));
        let follow = DiscoveryClient {
            at: start.discovery,
            moved: watch_moved,
            revision,
            asked: must_ask.then_some(watch_asked),
            most: start.memory / LIST_SHARE,
            chance: mountshift_discovery::Jitter::new(start.policy_settings.seed),
            terms: mountshift_discovery::PollSchedule {
                relay_count: start.policy_settings.relay_count,
                poll_interval: if must_ask {
                    start.policy_settings.poll_interval
                } else {
                    Default::default()
                },
            },
            heard: false,
        };
        executor.spawn(follow.run(listed)).detach();
        let taken = move |msgs| drop(taken.try_send(Event::NotificationsTaken(msgs)));
        executor.spawn(notifications::deliver(start.discovery, notices_moved, notices_out, taken)).detach();
        let (handed, gone) = (events_in.clone(), events_in.clone());
        let front = Front {
            hand_in: Box::new(move |message, answer| {
                drop(handed.try_send(Event::MessageReceived(message, answer)))
            }),
            gone: Box::new(move |msg| drop(gone.try_send(Event::ClientUnreachable(msg)))),
            leaving: leaving.clone(),
            ending,
            most: start.descriptors / 2,
            bytes_most: start.memory / REQUESTS_SHARE,
            open: open.clone(),
            waiting: RefCell::default(),
            maintenance: maintenance.clone(),
            start: started,
            moved: RefCell::new(async_channel::bounded(1)),
        };
        let front = Rc::new(front);
        if let Some(at) = start.mgmt {
            let mgmt =
                Async::<TcpListener>::bind(at).map_err(|e| StartError::failure(format!("mgmt {at}: {e}")))?;
            let (changed, front) = (events_in.clone(), front.clone());
            let changed = Box::new(move |change: Change| {
                if matches!(change, Change::Standby | Change::Active) {
                    front.standby_moved();
                }
                drop(changed.try_send(Event::MaintenanceChanged(change)));
            });
            let service =
                admin::AdminService { maintenance: maintenance.clone(), start: started, on_change: changed };
            executor.spawn(admin::serve(mgmt, Rc::new(service), executor.clone())).detach();
            info!("operators' calls on {at}");
        }
        executor.spawn(clients::serve(listener, front, executor.clone())).detach();
        let (stop_events, stop_dir, owns) =
            (events_in.clone(), successor_dir.clone(), Rc::new(Cell::new(false)));
        let leave_all = leave.clone();
        let (owned, stop_executor) = (owns.clone(), executor.clone());
        let stop = async move {
            let (mut at, mut stopping) = (start.discovery, false);
            // Signals are read to the end. Guards against a move of discovery that comes while stopping and is missed,
            // and against an error of the stream taken for an order to stop.
            loop {
                match signals.next().await {
                    Some(Ok(Signal::Hup)) => match config::discovery() {
                        Ok(to) if to == at => {
                            info!("told to read the configuration: discovery stays at {to}")
                        }
                        Ok(to) => {
                            info!("told to read the configuration: discovery moves from {at} to {to}");
                            at = to;
                            let _ = watch_moves.try_send(to);
                            let _ = notices_move.try_send(to);
                        }
                        Err(what) => error!("the new configuration is not used: {what}"),
                    },
                    Some(Ok(_)) if stopping => info!("told to stop again, while stopping"),
                    Some(Ok(_)) => {
                        stopping = true;
                        // An owner with a intake beside it hands over; else this is a restart.
                        let how = mountshift_handover::stop_plan(owned.get() && held_by_another(&stop_dir));
                        info!(
                            "told to stop, {}",
                            if how.hands_over { "with a process beside it" } else { "for a restart" }
                        );
                        let _ = stop_events.send(Event::StopRequested(how)).await;
                        let leave_all = leave_all.clone();
                        let leave_later = async move {
                            Timer::after(how.accept_for).await;
                            leave_all.close();
                        };
                        stop_executor.spawn(leave_later).detach();
                    }
                    Some(Err(e)) => {
                        error!("signals: {e}");
                        Timer::after(clients::ACCEPT_PAUSE).await;
                    }
                    None => return error!("signals: no more of them can be read"),
                }
            }
        };
        executor.spawn(stop).detach();
        maintenance.borrow_mut().serving();
        info!("ready on {}", start.listen);
        let mut spool = Spool::open(&start.state, share(ACTIVE_DISK_SHARE), legs, zone_room).map_err(folder);
        let mut deferred = Vec::new();
        match role {
            Role::Active { merge_successor: true } => {
                let next = Spool::open(&successor_dir, share(SUCCESSOR_DISK_SHARE), legs, zone_room)
                    .map_err(folder)?;
                if let Ok(spool) = spool.as_mut() {
                    merge_successor_spool(spool, next, &successor_dir, &notices)
                        .map_err(StartError::failure)?;
                }
            }
            Role::Active { merge_successor: false } => {}
            Role::Successor => {
                drop(spool);
                let next = Spool::open(&successor_dir, share(SUCCESSOR_DISK_SHARE), legs, zone_room)
                    .map_err(folder)?;
                info!("another process owns the state folder: takes in beside it");
                let (clients_leave, client_connections) = (leave.clone(), open.clone());
                let (active_lock, file) = (&active_lock, maintenance_file.clone());
                let mut intake = SuccessorIntake {
                    spool: next,
                    active_lock,
                    classes,
                    maintenance: maintenance.clone(),
                    maintenance_file: file,
                    clients_leave,
                    client_connections,
                };
                deferred = match intake.run(&events.1).await {
                    IntakeEnd::Stopped => return Ok(()),
                    IntakeEnd::BecameActive(deferred) => deferred,
                };
                let next = intake.spool;
                let mut owned =
                    Spool::open(&start.state, share(ACTIVE_DISK_SHARE), legs, zone_room).map_err(folder)?;
                merge_successor_spool(&mut owned, next, &successor_dir, &notices)
                    .map_err(StartError::failure)?;
                // What the owner wrote down since this process started.
                maintenance.borrow_mut().read_out(&read_maintenance(&maintenance_file)?);
                spool = Ok(owned);
            }
        }
        drop(successor_lock);
        let spool = spool?;
        // Guards against waits of a process long gone being read at the next handover.
        if !reads_snapshot(role) {
            match std::fs::remove_file(start.state.join(SNAPSHOT_FILE)) {
                Err(e) if e.kind() != std::io::ErrorKind::NotFound => error!("{SNAPSHOT_FILE}: {e}"),
                _ => {}
            }
        }
        owns.set(true);
        info!("{} starts with {} messages in its spool", start.name, spool.messages().len());
        let dispatcher = Dispatcher::new(Dependencies {
            policy_settings: start.policy_settings,
            socket_settings: start.socket_settings,
            spool,
            known,
            max_idle_connections: start.descriptors / 4,
            executor: executor.clone(),
            events: events.clone(),
            notifications: notices,
            poll_requests: watch,
            client_connections: open.clone(),
            clients_leaving: leaving.clone(),
            clients_end: end,
            maintenance: maintenance.clone(),
            maintenance_file,
            snapshot: if reads_snapshot(role) { read_snapshot(&start.state) } else { None },
            snapshot_file: start.state.join(SNAPSHOT_FILE),
            drain_record: read_drain_record(&start.state),
            drain_record_file: start.state.join(DRAIN_RECORD_FILE),
            drain_record_max_bytes: share(DRAIN_RECORD_DISK_SHARE) as usize,
        });
        deferred.into_iter().for_each(|event| drop(events_in.try_send(event)));
        dispatcher.run().await;
        Ok(())
    }))
}
