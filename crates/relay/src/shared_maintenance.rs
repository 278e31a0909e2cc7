//! Operators' commands as both processes of a relay follow them during an upgrade: each process stores the commands that
//! it takes, and follows those that the other one has stored.

use crate::dispatch::Event;
use crate::state_files::StateFiles;
use async_channel::Sender;
use log::info;
use mountshift_maintenance::{Change, MaintenanceState};
use std::cell::RefCell;
use std::rc::Rc;

/// The maintenance state of this process, and its connection to that of the other process.
pub(crate) struct SharedMaintenance {
    pub(crate) state: Rc<RefCell<MaintenanceState>>,
    pub(crate) files: StateFiles,
    pub(crate) events: Sender<Event>,
}

impl SharedMaintenance {
    /// Stores a change made by a command and passes it on. The command is acknowledged after that, so that it outlasts
    /// the process.
    pub(crate) fn apply(&self, change: Change) {
        self.files.record_maintenance(&change);
        let _ = self.events.try_send(Event::MaintenanceChanged(change));
    }

    /// Applies the changes that the other process has stored.
    pub(crate) fn follow_other_process(&self) {
        let Ok(text) = self.files.maintenance_text() else { return };
        let changes = self.state.borrow_mut().follow(&text);
        for change in changes {
            info!("mgmt: the other process of this relay took a command: {change:?}");
            let _ = self.events.try_send(Event::MaintenanceChanged(change));
        }
    }
}
