//! Operators' commands as both processes of a relay follow them during an upgrade: each process stores the commands that
//! it takes, and follows those that the other one has stored.

use crate::clients::ClientService;
use crate::dispatch::Event;
use crate::state_files::StateFiles;
use async_channel::Sender;
use log::info;
use mountshift_maintenance::{Change, MaintenanceState};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// The maintenance state of this process, and its connection to that of the other process.
pub(crate) struct SharedMaintenance {
    pub(crate) state: Rc<RefCell<MaintenanceState>>,
    pub(crate) files: StateFiles,
    pub(crate) events: Sender<Event>,
    pub(crate) clients: Rc<ClientService>,
    /// Start of the relay; the reference time of standby.
    pub(crate) started: Instant,
}

impl SharedMaintenance {
    /// Stores a change made by a command and passes it on. The command is acknowledged after that, so that it outlasts
    /// the process.
    pub(crate) fn apply(&self, change: Change) {
        match &change {
            Change::EndpointOut(_) | Change::EndpointBack(_) => self.files.record_maintenance(&change),
            Change::Standby => self.files.write_standby(true),
            Change::Active => self.files.write_standby(false),
            Change::None => {}
        }
        self.pass_on(change);
    }

    /// Applies the changes that the other process has stored.
    pub(crate) fn follow_other_process(&self) {
        let mut changes = Vec::new();
        if let Ok(text) = self.files.maintenance_text() {
            changes = self.state.borrow_mut().follow(&text);
        }
        if let Ok(is_in_standby) = self.files.is_in_standby() {
            changes.push(self.state.borrow_mut().follow_standby(is_in_standby, self.started.elapsed()));
        }
        for change in changes.into_iter().filter(|change| *change != Change::None) {
            info!("mgmt: the other process of this relay took a command: {change:?}");
            self.pass_on(change);
        }
    }

    fn pass_on(&self, change: Change) {
        if matches!(change, Change::Standby | Change::Active) {
            self.clients.notify_standby_changed();
        }
        let _ = self.events.try_send(Event::MaintenanceChanged(change));
    }
}
