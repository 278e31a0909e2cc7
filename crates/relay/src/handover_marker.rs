//! The marker of a handover: a file that an active process keeps locked from the moment on in which it hands over.
//!
//! The kernel lets the lock go with its process, whatever becomes of the file. A marker that could not be removed, or that a
//! killed process left, therefore says nothing.

use log::{error, info};
use mountshift_handover::HANDING_OVER_FILE;
use std::cell::{Cell, RefCell};
use std::fs::{File, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The extension of a marker that is being made.
const UNFINISHED_EXTENSION: &str = "new";

/// This process's marker, or the one of the active process beside it.
#[derive(Clone)]
pub(crate) struct HandoverMarker {
    path: PathBuf,
    /// This process's marker; its lock is held while the file is open.
    held: Rc<RefCell<Option<File>>>,
    /// This process hands over, and could not say so yet.
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

    /// Tells a successor that this process hands over; again and again until that could be written.
    pub(crate) fn raise(&self, writer: &str) {
        if let Err(e) = self.try_raise(writer) {
            if !self.is_pending.replace(true) {
                error!("{}: {e}; tried again until it is written", self.path.display());
            }
            return;
        }
        if self.is_pending.replace(false) {
            info!("{}: written after all", self.path.display());
        }
    }

    /// True if this process hands over and could not say so yet.
    pub(crate) fn is_pending(&self) -> bool {
        self.is_pending.get()
    }

    /// Locked before it has its name, so that nobody sees it unlocked.
    fn try_raise(&self, writer: &str) -> io::Result<()> {
        let unfinished = self.path.with_extension(UNFINISHED_EXTENSION);
        let mut file = File::create(&unfinished)?;
        file.write_all(writer.as_bytes())?;
        file.try_lock()?;
        std::fs::rename(&unfinished, &self.path)?;
        self.held.replace(Some(file));
        Ok(())
    }

    /// The active process that hands over at this moment, by what it calls itself; none if none does. A marker that nobody
    /// holds locked is one of a process that has ended, or of a version that locks none.
    pub(crate) fn raised_by(&self) -> Option<String> {
        let mut file = File::open(&self.path).ok()?;
        if !matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)) {
            return None;
        }
        let mut writer = String::new();
        file.read_to_string(&mut writer).ok()?;
        Some(writer)
    }

    /// Removes what an earlier process left. It says nothing any more, so that a failure does no harm.
    pub(crate) fn discard_leftover(&self) {
        if let Err(e) = std::fs::remove_file(&self.path)
            && e.kind() != io::ErrorKind::NotFound
        {
            info!("{}: {e}; left in place, where it says nothing", self.path.display());
        }
    }
}

#[cfg(test)]
#[path = "handover_marker_tests.rs"]
mod tests;
