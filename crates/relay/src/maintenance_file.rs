//! The file of the endpoints in maintenance, one id per line, which both processes of a relay change during an upgrade.
//!
//! A process never writes what it holds in memory over the file: it applies each change to the text that is there, under
//! a lock, so that no change of the other process is lost.

use crate::state_files::{read_if_present, replace_file};
use log::{error, info};
use mountshift_maintenance::Change;
use std::cell::RefCell;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Name of the file in the state folder.
const MAINTENANCE_FILE: &str = "maintenance";
/// File that is locked while a process changes the file.
const MAINTENANCE_LOCK_FILE: &str = "maintenance.lock";

/// Access to the file.
#[derive(Clone)]
pub(crate) struct MaintenanceFile {
    path: PathBuf,
    lock_path: PathBuf,
    /// Changes of this process that are not in the file yet, in order.
    unwritten: Rc<RefCell<Vec<Change>>>,
}

impl MaintenanceFile {
    pub(crate) fn new(state_dir: &Path) -> MaintenanceFile {
        MaintenanceFile {
            path: state_dir.join(MAINTENANCE_FILE),
            lock_path: state_dir.join(MAINTENANCE_LOCK_FILE),
            unwritten: Rc::default(),
        }
    }

    /// Adds a change to the file. If that fails, the change is pending until a later call of
    /// [`MaintenanceFile::write_pending`] succeeds.
    pub(crate) fn record(&self, change: Change) {
        let was_pending = self.is_pending();
        self.unwritten.borrow_mut().push(change);
        // Logged once per series of failures, to bound the log while the disk is full.
        if let Err(e) = self.write()
            && !was_pending
        {
            error!("{}: can't be written: {e}; will retry", self.path.display());
        }
    }

    /// Returns whether a change of this process is not in the file yet.
    pub(crate) fn is_pending(&self) -> bool {
        !self.unwritten.borrow().is_empty()
    }

    /// Tries to write pending changes.
    pub(crate) fn write_pending(&self) {
        if self.is_pending() && self.write().is_ok() {
            info!("{}: written after retries", self.path.display());
        }
    }

    /// Returns the text of the file with the pending changes of this process; an empty text if there is no file.
    ///
    /// # Errors
    /// If there is a file that can't be read.
    pub(crate) fn text(&self) -> io::Result<String> {
        let bytes = read_if_present(&self.path)?.unwrap_or_default();
        let stored = String::from_utf8_lossy(&bytes).into_owned();
        Ok(self.unwritten.borrow().iter().fold(stored, |text, change| change.apply_to(&text)))
    }

    /// Applies the pending changes to the file, which is replaced atomically.
    fn write(&self) -> io::Result<()> {
        let lock = File::options().create(true).append(true).open(&self.lock_path)?;
        // The process must not wait for another one, which may be suspended.
        lock.try_lock()?;
        replace_file(&self.path, &self.text()?)?;
        self.unwritten.borrow_mut().clear();
        Ok(())
    }
}

#[cfg(test)]
#[path = "maintenance_file_tests.rs"]
mod tests;
