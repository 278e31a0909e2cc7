//! The small files in the state folder.

use crate::error::StartError;
use log::error;
use mountshift_discovery::{DRAIN_RECORD_FILE, DrainRecord};
use mountshift_handover::{SNAPSHOT_FILE, Snapshot};
use mountshift_maintenance::MaintenanceState;
use std::path::Path;

/// The endpoints out by hand as written down; none is, if nothing is.
pub(crate) fn read_maintenance(path: &Path) -> Result<String, StartError> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(text),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(String::new()),
        Err(e) => Err(StartError::failure(format!("{}: {e}", path.display()))),
    }
}

/// What an earlier process left of its destinations; none if nothing. Guards against a taker that ends over a file
/// that it can't read, when the owner has ended: nobody would serve. It goes on as after a restart.
pub(crate) fn read_snapshot(state: &Path) -> Option<Snapshot> {
    let path = state.join(SNAPSHOT_FILE);
    let read = match std::fs::read(&path) {
        Ok(bytes) => Snapshot::read(&String::from_utf8_lossy(&bytes)),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return None,
        Err(e) => Err(e.to_string()),
    };
    read.map_err(|e| {
        error!("{}: {e}; waits and breakers of the process before are not known", path.display())
    })
    .ok()
}

/// What earlier processes were told of endpoints that leave. A book that can't be read ends nothing: what is
/// left of it counts, and discovery is asked before anything goes out.
pub(crate) fn read_drain_record(state: &Path) -> DrainRecord {
    let path = state.join(DRAIN_RECORD_FILE);
    let text = match std::fs::read(&path) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => String::new(),
        Err(e) => {
            error!("{}: {e}", path.display());
            String::new()
        }
    };
    let (drain_record, bad) = DrainRecord::read(&text);
    if bad > 0 {
        error!("{}: {bad} lines can't be read and are left out", path.display());
    }
    drain_record
}

/// Writes a file whole or not at all.
pub fn replace_file(path: &std::path::Path, text: &str) -> std::io::Result<()> {
    let new = path.with_extension("new");
    std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path))
}

/// Writes down the endpoints out by hand, for the next process and the one beside.
pub fn write_maintenance(path: &std::path::Path, maintenance: &MaintenanceState) {
    if let Err(e) = replace_file(path, &maintenance.written()) {
        error!("{}: {e}", path.display());
    }
}
