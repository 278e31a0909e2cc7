//! The small files in the state folder: endpoints in maintenance, the handover snapshot, the drain record. The spool
//! has its own crate. A file that can't be written is logged, and the relay goes on: it serves without it, and only
//! a later process lacks what the file would have told.

use crate::error::StartError;
use crate::startup::config::StartConfig;
use log::error;
use mountshift_discovery::{DRAIN_RECORD_DISK_SHARE, DRAIN_RECORD_FILE, DrainRecord, ReadDrainRecord};
use mountshift_handover::{SNAPSHOT_FILE, Snapshot};
use mountshift_maintenance::MaintenanceState;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// The file of endpoints in maintenance, an id a line.
const MAINTENANCE_FILE: &str = "maintenance";
/// The extension of a file that is being written.
const UNFINISHED_EXTENSION: &str = "new";

/// The small files in the state folder.
#[derive(Clone)]
pub(crate) struct StateFiles {
    dir: PathBuf,
    drain_record_max_bytes: usize,
}

impl StateFiles {
    pub(crate) fn new(config: &StartConfig) -> StateFiles {
        StateFiles {
            dir: config.state_dir.clone(),
            drain_record_max_bytes: config.disk_share(DRAIN_RECORD_DISK_SHARE) as usize,
        }
    }

    /// The endpoints in maintenance as written; none is, where there is no file.
    pub(crate) fn read_maintenance(&self) -> Result<String, StartError> {
        let path = self.dir.join(MAINTENANCE_FILE);
        match std::fs::read_to_string(&path) {
            Ok(text) => Ok(text),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(String::new()),
            Err(source) => Err(StartError::State { path, source }),
        }
    }

    /// Writes the endpoints in maintenance, for the next process and for one beside this.
    pub(crate) fn write_maintenance(&self, maintenance: &MaintenanceState) {
        self.replace(MAINTENANCE_FILE, &maintenance.to_text());
    }

    /// What the process before left of its routes; none where it left nothing. A file that can't be read is no
    /// reason to end: the process before has ended, and nobody else would serve. The relay goes on as after a
    /// restart.
    pub(crate) fn read_snapshot(&self) -> Option<Snapshot> {
        let path = self.dir.join(SNAPSHOT_FILE);
        let reason = match std::fs::read(&path) {
            Ok(bytes) => match Snapshot::from_json(&String::from_utf8_lossy(&bytes)) {
                Ok(snapshot) => return Some(snapshot),
                Err(e) => e.to_string(),
            },
            Err(e) if e.kind() == ErrorKind::NotFound => return None,
            Err(e) => e.to_string(),
        };
        error!("{}: {reason}; waits and breakers of the process before are not known", path.display());
        None
    }

    pub(crate) fn write_snapshot(&self, snapshot: &Snapshot) {
        self.replace(SNAPSHOT_FILE, &snapshot.to_json());
    }

    /// Removes the snapshot: left in place, the next handover would restore waits of a process long gone.
    pub(crate) fn discard_snapshot(&self) {
        match std::fs::remove_file(self.dir.join(SNAPSHOT_FILE)) {
            Err(e) if e.kind() != ErrorKind::NotFound => error!("{SNAPSHOT_FILE}: {e}"),
            _ => {}
        }
    }

    /// Endpoints that earlier processes knew to be draining or removed. What can't be read is left out: the rest
    /// still counts, and discovery is asked before anything is sent.
    pub(crate) fn read_drain_record(&self) -> DrainRecord {
        let path = self.dir.join(DRAIN_RECORD_FILE);
        let text = match std::fs::read(&path) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(e) if e.kind() == ErrorKind::NotFound => String::new(),
            Err(e) => {
                error!("{}: {e}", path.display());
                String::new()
            }
        };
        let ReadDrainRecord { record, unreadable_lines } = DrainRecord::from_text(&text);
        if unreadable_lines > 0 {
            error!("{}: {unreadable_lines} lines can't be read and are left out", path.display());
        }
        record
    }

    /// Writes the drain record, if it changed.
    pub(crate) fn write_drain_record(&self, drain_record: &mut DrainRecord) {
        if let Some(text) = drain_record.text_if_changed(self.drain_record_max_bytes) {
            self.replace(DRAIN_RECORD_FILE, &text);
        }
    }

    fn replace(&self, name: &str, text: &str) {
        let path = self.dir.join(name);
        if let Err(e) = replace_file(&path, text) {
            error!("{}: {e}", path.display());
        }
    }
}

/// Replaces a file whole or not at all.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let unfinished = path.with_extension(UNFINISHED_EXTENSION);
    std::fs::write(&unfinished, text)?;
    std::fs::rename(&unfinished, path)
}
