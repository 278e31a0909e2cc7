//! The relay process: clients submit messages over sockets, endpoints receive them, and the `mountshift` policy makes
//! all decisions. Everything runs on one thread. This module implements the startup sequence.
#![forbid(unsafe_code)]

mod acceptance;
mod admin;
mod clients;
mod clock;
mod discovery;
mod dispatch;
mod ended_ids;
mod error;
mod fairness;
mod handover_marker;
mod maintenance_file;
mod metrics;
mod notifications;
mod peer_ids;
mod reload;
mod shared_maintenance;
mod shutdown_rounds;
mod signals;
mod startup;
mod state_files;
mod successor;
mod transient;
mod transitions;
mod upstream;
mod violations;

use async_executor::LocalExecutor;
use clock::StoredTime;
use discovery::EndpointList;
use dispatch::{Dependencies, Dispatcher};
use error::StartError;
use futures_lite::FutureExt;
use log::{error, info, warn};
use mountshift_discovery::DrainRecord;
use mountshift_handover::{Role, Snapshot};
use mountshift_maintenance::MaintenanceState;
use signals::StartSignals;
use startup::config::StartConfig;
use startup::listener::{admin_listener, client_listener};
use startup::opening::await_while_serving;
use startup::retry::RetryDeadlines;
use startup::spool::{ActiveSpool, SuccessorSpool, open_spool};
use startup::state_dir::StateDir;
use startup::tasks::{Listeners, RelayTasks};
use state_files::StateFiles;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Divisor of the descriptor limit that gives the maximum number of idle connections to endpoints.
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

/// Starts the relay and runs it until it is stopped.
fn start() -> Result<(), StartError> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(start_and_run(executor.clone())))
}

async fn start_and_run(executor: Rc<LocalExecutor<'static>>) -> Result<(), StartError> {
    let retry_deadlines = RetryDeadlines::from_now();
    // Must be the first step: a signal during startup must not end the process.
    let signals = retry_deadlines.retry_required(StartSignals::subscribe).await;
    let config = StartConfig::from_environment(&retry_deadlines).await?;
    let mut signals = signals.map_err(StartError::Signals)?;
    let preparation = async { Some(prepare(config, executor, &retry_deadlines).await) };
    let stopped = async {
        signals.stop_requested().await;
        None
    };
    if let Some(start) = preparation.or(stopped).await {
        return run(start?, signals).await;
    }
    info!("told to stop before the relay was ready");
    Ok(())
}

/// Resources prepared by the startup.
struct PreparedStart {
    config: StartConfig,
    state_dir: StateDir,
    files: StateFiles,
    stored_time: StoredTime,
    initial_list: Option<EndpointList>,
    tasks: RelayTasks,
    listeners: Listeners,
}

/// Prepares everything needed to serve clients; retries temporary errors.
async fn prepare(
    config: StartConfig,
    executor: Rc<LocalExecutor<'static>>,
    retry_deadlines: &RetryDeadlines,
) -> Result<PreparedStart, StartError> {
    let clients = client_listener(&config, retry_deadlines).await?;
    let state_dir = StateDir::open(&config.state_dir, retry_deadlines).await?;
    info!("{} starts as {:?}", config.name, state_dir.role);
    let initial_list = discovery::parse_list(&config.initial_list, config.discovery);
    if initial_list.is_none() {
        warn!(
            "the endpoint list `known` of the configuration is missing or invalid; requesting the full list from discovery"
        );
    }
    let files = StateFiles::new(&config);
    let stored_time = match state_dir.role {
        Role::Active(_) => files.stored_time(retry_deadlines).await,
        Role::Successor => files.stored_time_as_successor(retry_deadlines).await,
    };
    let maintenance =
        restore_maintenance(&files, state_dir.role, initial_list.as_ref(), retry_deadlines).await;
    let admin = admin_listener(&config, retry_deadlines).await?;
    let tasks = RelayTasks::new(executor, maintenance);
    let listeners = Listeners { clients, admin };
    Ok(PreparedStart { config, state_dir, files, stored_time, initial_list, tasks, listeners })
}

/// Restores the maintenance state of the previous process; commands may refer to the endpoints of the initial list.
async fn restore_maintenance(
    files: &StateFiles,
    role: Role,
    initial_list: Option<&EndpointList>,
    retry_deadlines: &RetryDeadlines,
) -> MaintenanceState {
    let stored = files.read_maintenance(retry_deadlines).await.unwrap_or_default();
    let mut maintenance = MaintenanceState::from_text(&stored);
    for entry in initial_list.iter().flat_map(|list| &list.entries) {
        maintenance.record_listed_endpoint(&entry.id);
    }
    match role {
        Role::Active(_) => files.discard_standby(),
        Role::Successor => {
            let is_in_standby = retry_deadlines.retry_optional(|| files.is_in_standby()).await;
            maintenance.follow_standby(is_in_standby.unwrap_or_default(), Duration::ZERO);
        }
    }
    maintenance
}

/// State of the previous process, apart from the spool.
struct PreviousState {
    /// Snapshot of its routes, if still valid.
    snapshot: Option<Snapshot>,
    drain_record: DrainRecord,
}

/// Reads the state of the previous process, apart from the spool, and removes files that are no longer valid.
async fn read_previous_state(
    files: &StateFiles,
    role: Role,
    previous_process: Option<&str>,
) -> PreviousState {
    let retry_deadlines = RetryDeadlines::from_now();
    files.discard_handover_marker();
    let snapshot = if mountshift_handover::reads_snapshot(role) {
        files.read_snapshot(previous_process, &retry_deadlines).await
    } else {
        files.discard_snapshot();
        None
    };
    PreviousState { snapshot, drain_record: files.read_drain_record(&retry_deadlines).await }
}

/// Serves clients at once, and runs the dispatcher once this process is the active one.
async fn run(start: PreparedStart, signals: StartSignals) -> Result<(), StartError> {
    let PreparedStart { config, mut state_dir, files, stored_time, initial_list, tasks, listeners } = start;
    if matches!(state_dir.role, Role::Active(_)) {
        tasks.clients_accepting.0.close();
    }
    let reloader = tasks.spawn_all(&config, &state_dir, &files, initial_list.as_ref(), listeners, signals);
    tasks.report_serving(&config, state_dir.role);
    info!("ready on {}", config.listen);
    let opened = open_spool(&config, &state_dir, &files, stored_time, &tasks).await?;
    let Some(ActiveSpool { spool, mut deferred_events, stored_time, previous_process }) = opened else {
        return Ok(());
    };
    if state_dir.role == Role::Successor {
        reloader.reload_if_replaced();
    }
    state_dir.release_successor_lock();
    let successor_spool = SuccessorSpool::new(&config, &state_dir);
    let previous_process = previous_process.as_deref();
    let reading = async { Ok(read_previous_state(&files, state_dir.role, previous_process).await) };
    let previous = await_while_serving(&tasks, &mut deferred_events, reading).await?;
    let Some(PreviousState { snapshot, drain_record }) = previous else { return Ok(()) };
    tasks.is_active.set(true);
    tasks.maintenance.borrow_mut().set_serving();
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
        reloader,
        client_connections: tasks.client_connections.clone(),
        metrics: tasks.metrics.clone(),
        violations: tasks.violations.clone(),
        clients_stopping: tasks.clients_stopping.1.clone(),
        clients_ending: tasks.clients_ending.0.clone(),
        maintenance: tasks.maintenance.clone(),
        snapshot,
        drain_record,
        stored_time,
        successor_spool,
        files,
    });
    deferred_events.requeue(&tasks.events);
    dispatcher.run().await;
    Ok(())
}
