//! The tasks that run concurrently with the dispatcher, and the channels between them. Each task is spawned here and
//! runs until the process exits or its stop channel, if any, is closed.

use super::config::StartConfig;
use super::state_dir::StateDir;
use crate::admin::{self, AdminService};
use crate::clients::{self, ClientService, ClientServiceConfig};
use crate::discovery::{DiscoveryClient, DiscoveryOptions, EndpointList};
use crate::dispatch::Event;
use crate::metrics::Metrics;
use crate::notifications::{Notification, Notifier};
use crate::reload::ConfigReloader;
use crate::shared_maintenance::SharedMaintenance;
use crate::signals::{SignalHandler, StartSignals};
use crate::state_files::StateFiles;
use crate::violations::Violations;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use mountshift_discovery::{Jitter, PollSchedule};
use mountshift_handover::{Role, SUCCESSOR_LIST_TIMEOUT};
use mountshift_maintenance::MaintenanceState;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Divisor of the memory limit that gives the maximum size of an endpoint list.
const LIST_MEMORY_DIVISOR: usize = 32;
/// Divisor of the memory limit that gives the maximum size of all incomplete client requests.
const REQUEST_MEMORY_DIVISOR: usize = 8;
/// Divisor of the descriptor limit that gives the maximum number of client connections. The remaining descriptors are
/// for endpoints and files.
const CLIENT_DESCRIPTOR_DIVISOR: usize = 2;

/// Listening sockets of the relay.
pub(crate) struct Listeners {
    pub(crate) clients: Async<TcpListener>,
    /// Socket of the admin address, if configured.
    pub(crate) admin: Option<Async<TcpListener>>,
}

/// Both ends of a channel, kept together so that the channel stays open until the process exits.
type Channel<T> = (Sender<T>, Receiver<T>);

/// State shared by the tasks, all of which run on one thread.
pub(crate) struct RelayTasks {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// Events for the dispatcher, or before that for a successor's intake.
    pub(crate) events: Channel<Event>,
    /// Notifications of final outcomes, from the dispatcher to the notifier.
    pub(crate) notifications: Channel<Notification>,
    /// Requests of the dispatcher to poll the endpoint list.
    pub(crate) poll_requests: Channel<()>,
    /// Channel that is closed once this process accepts all client connections.
    pub(crate) clients_accepting: Channel<()>,
    /// Channel that is closed when the relay stops accepting and starts to close client connections.
    pub(crate) clients_stopping: Channel<()>,
    /// Channel that is closed shortly before the process exits: pending replies are sent, further requests are
    /// rejected.
    pub(crate) clients_ending: Channel<()>,
    /// Maintenance commands in effect.
    pub(crate) maintenance: Rc<RefCell<MaintenanceState>>,
    /// Number of open client connections.
    pub(crate) client_connections: Rc<Cell<usize>>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) violations: Rc<Violations>,
    /// Whether this process holds the lock and the spool of the active process.
    pub(crate) is_active: Rc<Cell<bool>>,
    /// Start of this process: the reference time for maintenance commands.
    pub(crate) started: Instant,
}

impl RelayTasks {
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>, maintenance: MaintenanceState) -> RelayTasks {
        let client_connections: Rc<Cell<usize>> = Rc::default();
        let violations: Rc<Violations> = Rc::default();
        RelayTasks {
            metrics: Rc::new(Metrics::new(violations.clone(), client_connections.clone())),
            client_connections,
            violations,
            executor,
            events: async_channel::unbounded(),
            notifications: async_channel::unbounded(),
            poll_requests: async_channel::bounded(1),
            clients_accepting: async_channel::bounded(1),
            clients_stopping: async_channel::bounded(1),
            clients_ending: async_channel::bounded(1),
            maintenance: Rc::new(RefCell::new(maintenance)),
            is_active: Rc::default(),
            started: Instant::now(),
        }
    }

    /// Spawns all tasks that run concurrently with the dispatcher. Returns the reloader of the configuration.
    pub(crate) fn spawn_all(
        &self,
        config: &StartConfig,
        state_dir: &StateDir,
        files: &StateFiles,
        initial_list: Option<&EndpointList>,
        listeners: Listeners,
        signals: StartSignals,
    ) -> Rc<ConfigReloader> {
        let discovery_moves = async_channel::unbounded();
        let notification_moves = async_channel::unbounded();
        self.spawn_discovery_client(config, state_dir.role, initial_list, discovery_moves.1);
        self.spawn_notifier(config, notification_moves.1);
        let client_service = self.client_service(config);
        let maintenance = Rc::new(SharedMaintenance {
            state: self.maintenance.clone(),
            files: files.clone(),
            events: self.events.0.clone(),
            clients: client_service.clone(),
            started: self.started,
        });
        if let Some(listener) = listeners.admin {
            self.spawn_admin_service(listener, maintenance.clone());
        }
        let serve_clients = clients::serve(listeners.clients, client_service, self.executor.clone());
        self.executor.spawn(serve_clients).detach();
        let moves = vec![discovery_moves.0, notification_moves.0];
        let reloader = Rc::new(ConfigReloader::new(config, state_dir.role, files.clone(), moves));
        let handler = SignalHandler {
            reloader: reloader.clone(),
            maintenance,
            events: self.events.0.clone(),
            clients_stopping: self.clients_stopping.0.clone(),
            is_active: self.is_active.clone(),
            successor_path: state_dir.successor_path.clone(),
            executor: self.executor.clone(),
            is_stopping: false,
            reload_pending_since: signals.reload_pending_since,
        };
        self.executor.spawn(handler.run(signals.signals)).detach();
        reloader
    }

    /// Reports that this process can serve. A successor that has to poll for the endpoint list does so once it has one, or
    /// after [`SUCCESSOR_LIST_TIMEOUT`]: from a moment after this report on, changes of the list count as known to it.
    pub(crate) fn report_serving(&self, config: &StartConfig, role: Role) {
        if role != Role::Successor || !config.policy_settings.requires_polling {
            return self.maintenance.borrow_mut().set_serving();
        }
        let maintenance = self.maintenance.clone();
        let report_later = async move {
            Timer::after(SUCCESSOR_LIST_TIMEOUT).await;
            maintenance.borrow_mut().set_serving();
        };
        self.executor.spawn(report_later).detach();
    }

    /// Spawns the task that keeps the endpoint list up to date, by watching or, if the settings require it, by polling
    /// at the request of the policy.
    fn spawn_discovery_client(
        &self,
        config: &StartConfig,
        role: Role,
        initial_list: Option<&EndpointList>,
        moves: Receiver<SocketAddr>,
    ) {
        let settings = &config.policy_settings;
        let poll_interval = if settings.requires_polling { settings.poll_interval } else { Duration::ZERO };
        let client = DiscoveryClient::new(DiscoveryOptions {
            address: config.discovery,
            moves,
            revision: initial_list.map(|list| list.revision),
            poll_requests: if settings.requires_polling { Some(self.poll_requests.1.clone()) } else { None },
            has_taken_over: (role == Role::Successor).then(|| self.is_active.clone()),
            max_list_bytes: config.memory_bytes / LIST_MEMORY_DIVISOR,
            jitter: Jitter::new(settings.seed),
            schedule: PollSchedule { relay_count: settings.relay_count, poll_interval },
        });
        let events = self.events.0.clone();
        let on_result = move |result| drop(events.try_send(Event::EndpointList(result)));
        self.executor.spawn(client.run(on_result)).detach();
    }

    fn spawn_notifier(&self, config: &StartConfig, moves: Receiver<SocketAddr>) {
        let notifier = Notifier::new(config.discovery, moves, self.notifications.1.clone());
        let events = self.events.0.clone();
        let on_acknowledged =
            move |messages| drop(events.try_send(Event::NotificationsAcknowledged(messages)));
        self.executor.spawn(notifier.run(on_acknowledged)).detach();
    }

    fn client_service(&self, config: &StartConfig) -> Rc<ClientService> {
        let received = self.events.0.clone();
        let unreachable = self.events.0.clone();
        Rc::new(ClientService::new(ClientServiceConfig {
            submit: Box::new(move |message, reply_to| {
                drop(received.try_send(Event::MessageReceived { message, reply_to }));
            }),
            withdraw: Box::new(move |message| drop(unreachable.try_send(Event::ClientUnreachable(message)))),
            accepting: self.clients_accepting.1.clone(),
            stopping: self.clients_stopping.1.clone(),
            ending: self.clients_ending.1.clone(),
            max_connections: config.max_descriptors / CLIENT_DESCRIPTOR_DIVISOR,
            max_buffered_bytes: config.memory_bytes / REQUEST_MEMORY_DIVISOR,
            open_connections: self.client_connections.clone(),
            maintenance: self.maintenance.clone(),
            start: self.started,
            metrics: self.metrics.clone(),
            violations: self.violations.clone(),
        }))
    }

    fn spawn_admin_service(&self, listener: Async<TcpListener>, maintenance: Rc<SharedMaintenance>) {
        let service = Rc::new(AdminService {
            maintenance: self.maintenance.clone(),
            started: self.started,
            on_change: Box::new(move |change| maintenance.apply(change)),
            metrics: self.metrics.clone(),
        });
        self.executor.spawn(admin::serve(listener, service, self.executor.clone())).detach();
    }
}
