//! What a dispatcher is made of.

use super::event::Event;
use crate::clock::StoredTime;
use crate::discovery::EndpointList;
use crate::metrics::Metrics;
use crate::notifications::Notification;
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

/// What a dispatcher is made of.
pub(crate) struct Dependencies {
    pub(crate) policy_settings: PolicySettings,
    pub(crate) socket_settings: SocketSettings,
    /// The active process's spool, with what earlier processes left in it.
    pub(crate) spool: Spool,
    /// The endpoint list of the configuration.
    pub(crate) initial_list: Option<EndpointList>,
    /// What the process before left of its routes, where that still binds.
    pub(crate) snapshot: Option<Snapshot>,
    /// Endpoints that earlier processes knew to be draining or removed.
    pub(crate) drain_record: DrainRecord,
    pub(crate) files: StateFiles,
    /// What a successor that ends too early leaves.
    pub(crate) successor_spool: SuccessorSpool,
    /// The time line of all that is stored.
    pub(crate) stored_time: StoredTime,
    pub(crate) max_idle_connections: usize,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The dispatcher reads events, and tells itself some.
    pub(crate) events: (Sender<Event>, Receiver<Event>),
    pub(crate) notifications: Sender<Notification>,
    /// Tells that the endpoint list is to be asked for.
    pub(crate) poll_requests: Sender<()>,
    /// The operators' commands in force.
    pub(crate) maintenance: Rc<RefCell<MaintenanceState>>,
    /// Client connections open now.
    pub(crate) client_connections: Rc<Cell<usize>>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) violations: Rc<Violations>,
    /// Closed once client connections are to go.
    pub(crate) clients_stopping: Receiver<()>,
    /// Closed by the dispatcher shortly before the end: clients hear the answers they are owed, nothing more is read.
    pub(crate) clients_ending: Sender<()>,
}
