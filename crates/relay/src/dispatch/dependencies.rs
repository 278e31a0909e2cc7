//! The parts that a dispatcher is created from.

use super::event::Event;
use crate::clock::StoredTime;
use crate::discovery::EndpointList;
use crate::metrics::Metrics;
use crate::notifications::Notification;
use crate::reload::ConfigReloader;
use crate::startup::spool::SuccessorSpool;
use crate::state_files::StateFiles;
use crate::violations::Violations;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use mountshift::interface::PolicySettings;
use mountshift_discovery::DrainRecord;
use mountshift_handover::Snapshot;
use mountshift_maintenance::MaintenanceState;
use mountshift_settings::SocketSettings;
use mountshift_spool::Spool;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The parts that a dispatcher is created from.
pub(crate) struct Dependencies {
    pub(crate) policy_settings: PolicySettings,
    pub(crate) socket_settings: SocketSettings,
    /// Spool of the active process, with the messages that earlier processes left in it.
    pub(crate) spool: Spool,
    /// Endpoint list of the configuration.
    pub(crate) initial_list: Option<EndpointList>,
    /// Routes that the previous process stored, if they still apply.
    pub(crate) snapshot: Option<Snapshot>,
    /// Endpoints that were draining or removed when an earlier process last received their state.
    pub(crate) drain_record: DrainRecord,
    pub(crate) files: StateFiles,
    /// Spool of a successor, taken over if the successor exits before it becomes active.
    pub(crate) successor_spool: SuccessorSpool,
    /// Time base of all stored times.
    pub(crate) stored_time: StoredTime,
    pub(crate) max_idle_connections: usize,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// Event channel: the dispatcher receives from it and also sends some events to itself.
    pub(crate) events: (Sender<Event>, Receiver<Event>),
    pub(crate) notifications: Sender<Notification>,
    /// Requests a poll of the endpoint list.
    pub(crate) poll_requests: Sender<()>,
    pub(crate) reloader: Rc<ConfigReloader>,
    /// Maintenance commands of the operators that are in effect.
    pub(crate) maintenance: Rc<RefCell<MaintenanceState>>,
    /// Number of open client connections.
    pub(crate) client_connections: Rc<Cell<usize>>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) violations: Rc<Violations>,
    /// Closed once client connections must be closed.
    pub(crate) clients_stopping: Receiver<()>,
    /// Closed by the dispatcher shortly before the process exits: clients get the outstanding replies, and further
    /// requests are rejected.
    pub(crate) clients_ending: Sender<()>,
}
