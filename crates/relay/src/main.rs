//! The relay on sockets: clients submit messages, endpoints receive them, `mountshift` decides. Everything runs on
//! one thread. This module is the order of a start.
#![forbid(unsafe_code)]

mod admin;
mod clients;
mod clock;
mod discovery;
mod dispatch;
mod error;
mod final_rounds;
mod metrics;
mod notifications;
mod signals;
mod startup;
mod state_files;
mod successor;
mod transient;
mod transitions;
mod upstream;
mod violations;

use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::Signals;
use clock::StoredTime;
use discovery::EndpointList;
use dispatch::{Dependencies, Dispatcher};
use error::StartError;
use log::{error, info, warn};
use mountshift_maintenance::MaintenanceState;
use startup::config::StartConfig;
use startup::listener::client_listener;
use startup::patience::Patience;
use startup::spool::{ActiveSpool, SuccessorSpool, open_spool};
use startup::state_dir::StateDir;
use startup::tasks::RelayTasks;
use state_files::StateFiles;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;

/// Idle connections to endpoints may take one part in so many of the descriptors.
const IDLE_DESCRIPTOR_DIVISOR: usize = 4;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("not started: {e}");
            e.exit_code()
        }
    }
}

/// Starts the relay, and runs it until it is told to stop.
fn start() -> Result<(), StartError> {
    // Before all else: a signal that comes during the start must not end the process.
    let signals = signals::subscribe();
    let patience = Patience::of_start();
    let config = StartConfig::from_environment(&patience)?;
    let signals = signals?;
    let listener = client_listener(&config, &patience)?;
    let state_dir = StateDir::open(&config.state_dir, &patience)?;
    info!("{} starts as {:?}", config.name, state_dir.role);
    let initial_list = discovery::parse_list(&config.initial_list, config.discovery);
    if initial_list.is_none() {
        warn!("the configuration's known list can't be read; discovery is asked for the whole list");
    }
    let files = StateFiles::new(&config);
    let stored_time = files.stored_time(&patience);
    let maintenance = restore_maintenance(&files, initial_list.as_ref(), &patience);
    let executor = Rc::new(LocalExecutor::new());
    let tasks = RelayTasks::new(executor.clone(), maintenance);
    async_io::block_on(executor.run(run(Start {
        config,
        state_dir,
        files,
        stored_time,
        initial_list,
        tasks,
        listener,
        signals,
    })))
}

/// The maintenance commands of the process before; they may name every endpoint of the list.
fn restore_maintenance(
    files: &StateFiles,
    initial_list: Option<&EndpointList>,
    patience: &Patience,
) -> MaintenanceState {
    let mut maintenance = MaintenanceState::from_text(&files.read_maintenance(patience));
    for entry in initial_list.iter().flat_map(|list| &list.entries) {
        maintenance.record_listed(&entry.id);
    }
    maintenance
}

/// What a start has made ready.
struct Start {
    config: StartConfig,
    state_dir: StateDir,
    files: StateFiles,
    stored_time: StoredTime,
    initial_list: Option<EndpointList>,
    tasks: RelayTasks,
    listener: Async<TcpListener>,
    signals: Signals,
}

/// Serves clients at once, and dispatches once this process is the active one.
async fn run(start: Start) -> Result<(), StartError> {
    let Start { config, mut state_dir, files, stored_time, initial_list, tasks, listener, signals } = start;
    tasks.spawn_all(&config, &state_dir, initial_list.as_ref(), listener, signals)?;
    tasks.maintenance.borrow_mut().set_serving();
    info!("ready on {}", config.listen);
    let opened = open_spool(&config, &state_dir, &files, stored_time, &tasks).await?;
    let Some(ActiveSpool { spool, deferred_events }) = opened else { return Ok(()) };
    state_dir.release_successor_lock();
    let successor_spool = SuccessorSpool::new(&config, &state_dir);
    let patience = Patience::of_start();
    files.discard_handing_over(&patience);
    let restores_snapshot = mountshift_handover::reads_snapshot(state_dir.role);
    if !restores_snapshot {
        files.discard_snapshot(&patience);
    }
    tasks.is_active.set(true);
    info!("{} starts with {} messages in its spool", config.name, spool.messages().len());
    let dispatcher = Dispatcher::new(Dependencies {
        max_idle_connections: config.max_descriptors / IDLE_DESCRIPTOR_DIVISOR,
        policy_settings: config.policy_settings,
        socket_settings: config.socket_settings,
        spool,
        initial_list,
        executor: tasks.executor.clone(),
        events: tasks.events.clone(),
        notifications: tasks.notifications.0.clone(),
        poll_requests: tasks.poll_requests.0.clone(),
        client_connections: tasks.client_connections.clone(),
        metrics: tasks.metrics.clone(),
        violations: tasks.violations.clone(),
        clients_leave: tasks.clients_leave.1.clone(),
        clients_end: tasks.clients_end.0.clone(),
        maintenance: tasks.maintenance.clone(),
        snapshot: if restores_snapshot { files.read_snapshot(&patience) } else { None },
        drain_record: files.read_drain_record(&patience),
        stored_time,
        successor_spool,
        files,
    });
    for event in deferred_events {
        let _ = tasks.events.0.try_send(event);
    }
    dispatcher.run().await;
    Ok(())
}
