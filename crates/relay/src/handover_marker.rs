//! Handover marker: a file that an active process keeps locked from the start of a handover.
//!
//! The kernel releases the lock when the process exits. An unlocked marker, for example one that could not be removed
//! or was left by a killed process, therefore has no effect.

use log::{error, info};
use mountshift_handover::HANDING_OVER_FILE;
use std::cell::{Cell, RefCell};
use std::fs::{File, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Extension of a marker that is being written.
const TEMPORARY_EXTENSION: &str = "new";

/// The handover marker, written by the active process and read by its successor.
#[derive(Clone)]
pub(crate) struct HandoverMarker {
    path: PathBuf,
    /// Locked marker of this process; the lock is held while the file is open.
    held: Rc<RefCell<Option<File>>>,
    /// Whether this process hands over but has failed to write the marker so far.
    is_pending: Rc<Cell<bool>>,
}

impl HandoverMarker {
    pub(crate) fn new(state_dir: &Path) -> HandoverMarker {
        HandoverMarker {
            path: state_dir.join(HANDING_OVER_FILE),
            held: Rc::default(),
            is_pending: Rc::default(),
        }
    }

    /// Writes the marker with the name of this process. A failed write is pending until a later call succeeds.
    pub(crate) fn write(&self, writer: &str) {
        if let Err(e) = self.try_write(writer) {
            if !self.is_pending.replace(true) {
                error!("{}: can't write the handover marker: {e}; will retry", self.path.display());
            }
            return;
        }
        if self.is_pending.replace(false) {
            info!("{}: handover marker written after retries", self.path.display());
        }
    }

    /// Returns whether this process hands over but has failed to write the marker so far.
    pub(crate) fn is_pending(&self) -> bool {
        self.is_pending.get()
    }

    /// Writes and locks a temporary file before the rename, so that no process sees the marker unlocked.
    fn try_write(&self, writer: &str) -> io::Result<()> {
        let temporary = self.path.with_extension(TEMPORARY_EXTENSION);
        let mut file = File::create(&temporary)?;
        file.write_all(writer.as_bytes())?;
        file.try_lock()?;
        std::fs::rename(&temporary, &self.path)?;
        self.held.replace(Some(file));
        Ok(())
    }

    /// Returns the name of the active process that is handing over, if any. An unlocked marker is ignored: its process
    /// has exited, or is of a version that does not lock the marker.
    pub(crate) fn writer(&self) -> Option<String> {
        let mut file = File::open(&self.path).ok()?;
        if !matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)) {
            return None;
        }
        let mut writer = String::new();
        file.read_to_string(&mut writer).ok()?;
        Some(writer)
    }

    /// Removes the marker of an earlier process. A failure is harmless, because the marker is not locked.
    pub(crate) fn discard_leftover(&self) {
        if let Err(e) = std::fs::remove_file(&self.path)
            && e.kind() != io::ErrorKind::NotFound
        {
            info!(
                "{}: can't remove the handover marker of an earlier process: {e}; it is not locked and has no effect",
                self.path.display()
            );
        }
    }
}

#[cfg(test)]
#[path = "handover_marker_tests.rs"]
mod tests;
