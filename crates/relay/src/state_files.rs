//! Small files in the state folder: the time anchor, endpoints in maintenance, the handover snapshot, the drain record,
//! the last reload.
//! The spool has its own crate. A failed write is logged and retried until it succeeds: the relay can serve without the
//! file, and only a later process would lack its contents.

use crate::clock::{ClockReading, StoredTime, TimeAnchor};
use crate::handover_marker::HandoverMarker;
use crate::maintenance_file::MaintenanceFile;
use crate::startup::config::StartConfig;
use crate::startup::retry::RetryDeadlines;
use log::{error, info};
use mountshift_discovery::{DRAIN_RECORD_DISK_SHARE, DRAIN_RECORD_FILE, DrainRecord, ParsedDrainRecord};
use mountshift_handover::{RELOAD_FILE, Reload, RouteRecord, SNAPSHOT_FILE, SNAPSHOT_FORMAT, Snapshot};
use mountshift_maintenance::Change;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// File of the time anchor.
const ANCHOR_FILE: &str = "clock";
/// File of standby. It holds during upgrades and ends at a restart.
const STANDBY_FILE: &str = "standby";
/// Text of the file in standby, and after it.
const IN_STANDBY: &str = "standby\n";
const NOT_IN_STANDBY: &str = "active\n";
/// Extension of a file that is being written.
pub(crate) const TEMPORARY_EXTENSION: &str = "new";

/// Access to the small files in the state folder.
#[derive(Clone)]
pub(crate) struct StateFiles {
    dir: PathBuf,
    drain_record_max_bytes: usize,
    /// Name of this process, unique within the boot.
    process: Rc<str>,
    marker: HandoverMarker,
    maintenance: MaintenanceFile,
    /// Names and contents of files whose last write failed.
    unwritten: Rc<RefCell<BTreeMap<&'static str, String>>>,
}

impl StateFiles {
    pub(crate) fn new(config: &StartConfig) -> StateFiles {
        StateFiles {
            dir: config.state_dir.clone(),
            drain_record_max_bytes: config.disk_share(DRAIN_RECORD_DISK_SHARE) as usize,
            process: process_name().into(),
            marker: HandoverMarker::new(&config.state_dir),
            maintenance: MaintenanceFile::new(&config.state_dir),
            unwritten: Rc::default(),
        }
    }

    /// Returns the time base of stored times for the active process, from the anchor of an earlier process of this boot
    /// or, if there is none, from a new anchor.
    pub(crate) async fn stored_time(&self, retry_deadlines: &RetryDeadlines) -> StoredTime {
        let reading = ClockReading::now(retry_deadlines).await;
        let anchor = match self.read_anchor(&reading, retry_deadlines).await {
            Some(anchor) => anchor,
            None => self.write_anchor(TimeAnchor::new(&reading), retry_deadlines).await,
        };
        StoredTime::new(&anchor, &reading)
    }

    /// Returns the time base for a successor, from the anchor of the active process. If that can't be read, returns an
    /// unshared time base. A successor must not write an anchor, which would change the meaning of all times stored by
    /// the active process.
    pub(crate) async fn stored_time_as_successor(&self, retry_deadlines: &RetryDeadlines) -> StoredTime {
        let reading = ClockReading::now(retry_deadlines).await;
        if let Some(anchor) = self.read_anchor(&reading, retry_deadlines).await {
            return StoredTime::new(&anchor, &reading);
        }
        info!(
            "{ANCHOR_FILE}: no valid time anchor; messages in order are accepted once this process is active"
        );
        StoredTime::unshared(&reading)
    }

    /// Reads the anchor of an earlier process of this boot.
    async fn read_anchor(
        &self,
        reading: &ClockReading,
        retry_deadlines: &RetryDeadlines,
    ) -> Option<TimeAnchor> {
        let stored = self.read(ANCHOR_FILE, retry_deadlines).await;
        stored.as_deref().and_then(TimeAnchor::from_text).filter(|anchor| anchor.is_valid_for(reading))
    }

    /// Writes a new anchor, with retries: the times of messages accepted before it is written would be interpreted by
    /// the wall clock of the next process.
    async fn write_anchor(&self, anchor: TimeAnchor, retry_deadlines: &RetryDeadlines) -> TimeAnchor {
        info!(
            "{ANCHOR_FILE}: new time anchor; stored times are now based on the monotonic clock of this boot"
        );
        let (path, text) = (self.dir.join(ANCHOR_FILE), anchor.to_string());
        if let Err(e) = retry_deadlines.retry_optional(|| replace_file(&path, &text)).await {
            self.record_unwritten(ANCHOR_FILE, &text, &e);
        }
        anchor
    }

    /// Reads the endpoints in maintenance; returns `None` if they can't be read within the retry deadline.
    pub(crate) async fn read_maintenance(&self, retry_deadlines: &RetryDeadlines) -> Option<String> {
        let text = retry_deadlines.retry_optional(|| self.maintenance_text()).await;
        text.inspect_err(|e| error!("endpoints in maintenance can't be read: {e}; continuing without them"))
            .ok()
    }

    /// Returns the endpoints in maintenance as both processes of the relay have stored them, one id per line.
    ///
    /// # Errors
    /// If they can't be read.
    pub(crate) fn maintenance_text(&self) -> io::Result<String> {
        self.maintenance.text()
    }

    /// Stores a change of the endpoints in maintenance, for the other process of the relay and for the next one.
    pub(crate) fn record_maintenance(&self, change: &Change) {
        self.maintenance.record(change.clone());
    }

    /// Stores whether the relay is in standby, for the other process of the relay.
    pub(crate) fn write_standby(&self, is_in_standby: bool) {
        self.replace(STANDBY_FILE, if is_in_standby { IN_STANDBY } else { NOT_IN_STANDBY });
    }

    /// Returns whether the relay is in standby, as its processes have stored it.
    ///
    /// # Errors
    /// If there is a file that can't be read.
    pub(crate) fn is_in_standby(&self) -> io::Result<bool> {
        if let Some(unwritten) = self.unwritten.borrow().get(STANDBY_FILE) {
            return Ok(unwritten == IN_STANDBY);
        }
        let stored = read_if_present(&self.dir.join(STANDBY_FILE))?;
        Ok(stored.is_some_and(|bytes| bytes == IN_STANDBY.as_bytes()))
    }

    /// Ends the standby of earlier processes: a restarted relay serves.
    pub(crate) fn discard_standby(&self) {
        if let Err(e) = remove_if_present(&self.dir.join(STANDBY_FILE)) {
            info!("{STANDBY_FILE}: can't be removed: {e}; replacing it");
            self.write_standby(false);
        }
    }

    /// Reads the route snapshot of the previous process; returns `None` if there is none or if another process wrote
    /// it. An unreadable file is not fatal: the previous process has exited, so this one must serve, as after a restart.
    pub(crate) async fn read_snapshot(
        &self,
        previous_process: Option<&str>,
        retry_deadlines: &RetryDeadlines,
    ) -> Option<Snapshot> {
        let text = self.read(SNAPSHOT_FILE, retry_deadlines).await?;
        let path = self.dir.join(SNAPSHOT_FILE);
        match Snapshot::from_json(&text) {
            Ok(snapshot) if snapshot.may_be_written_by(previous_process) => Some(snapshot),
            Ok(_) => {
                info!("{}: ignored, not written by the previous process", path.display());
                None
            }
            Err(e) => {
                error!(
                    "{}: {e}; Retry-After waits and breakers of the previous process are not restored",
                    path.display()
                );
                None
            }
        }
    }

    /// Writes the complete snapshot of the routes for a later process.
    pub(crate) fn write_snapshot(&self, written_ms: u64, routes: Vec<RouteRecord>) {
        let writer = Some(self.process.to_string());
        let snapshot = Snapshot { format: SNAPSHOT_FORMAT, writer, written_ms, routes };
        self.replace(SNAPSHOT_FILE, &snapshot.to_json());
    }

    /// Removes the snapshot, or the next handover would restore outdated waits. If it can't be removed, it is replaced
    /// by an empty one, with retries.
    pub(crate) fn discard_snapshot(&self) {
        if let Err(e) = remove_if_present(&self.dir.join(SNAPSHOT_FILE)) {
            info!("{SNAPSHOT_FILE}: can't remove the old snapshot: {e}; replacing it by an empty one");
            self.write_snapshot(0, Vec::new());
        }
    }

    /// Writes the marker by which a successor detects that this process hands over: from then on this process sends
    /// nothing new and accepts no message in order.
    pub(crate) fn write_handover_marker(&self) {
        self.marker.write(&self.process);
    }

    /// Returns the name of the active process that is handing over, if any.
    pub(crate) fn handing_over_process(&self) -> Option<String> {
        self.marker.writer()
    }

    /// Removes the handover marker of an earlier process when this one becomes active.
    pub(crate) fn discard_handover_marker(&self) {
        self.marker.discard_leftover();
    }

    /// Reads the record of endpoints known to be draining or removed. Unreadable lines are skipped: the others remain
    /// valid, and discovery is polled before anything is sent.
    pub(crate) async fn read_drain_record(&self, retry_deadlines: &RetryDeadlines) -> DrainRecord {
        let text = self.read(DRAIN_RECORD_FILE, retry_deadlines).await.unwrap_or_default();
        let ParsedDrainRecord { record, unreadable_lines } = DrainRecord::from_text(&text);
        if unreadable_lines > 0 {
            let path = self.dir.join(DRAIN_RECORD_FILE);
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

    /// Reads the last reload that a process of this relay has published, if any.
    ///
    /// # Errors
    /// If there is a file that can't be read.
    pub(crate) fn published_reload(&self) -> io::Result<Option<Reload>> {
        let bytes = read_if_present(&self.dir.join(RELOAD_FILE))?;
        Ok(bytes.and_then(|bytes| Reload::from_text(&String::from_utf8_lossy(&bytes))))
    }

    /// Publishes a reload. A failed write is not retried here: a later reload of the other process may precede it.
    ///
    /// # Errors
    /// If the file can't be written.
    pub(crate) fn publish_reload(&self, reload: &Reload) -> io::Result<()> {
        replace_file(&self.dir.join(RELOAD_FILE), &reload.to_string())
    }

    /// Retries the failed writes.
    pub(crate) fn retry_unwritten(&self) {
        if self.marker.is_pending() {
            self.write_handover_marker();
        }
        self.maintenance.write_pending();
        let unwritten = std::mem::take(&mut *self.unwritten.borrow_mut());
        for (name, text) in unwritten {
            let path = self.dir.join(name);
            if replace_file(&path, &text).is_ok() {
                info!("{}: written after retries", path.display());
            } else {
                self.unwritten.borrow_mut().insert(name, text);
            }
        }
    }

    /// Returns whether the last write of any file has failed.
    pub(crate) fn has_unwritten(&self) -> bool {
        self.marker.is_pending() || self.maintenance.is_pending() || !self.unwritten.borrow().is_empty()
    }

    /// Returns whether the time anchor is written. Before that, stored times have no meaning for a later process.
    pub(crate) fn is_anchor_written(&self) -> bool {
        !self.unwritten.borrow().contains_key(ANCHOR_FILE)
    }

    /// Reads a file; returns `None` if it does not exist or can't be read within the retry deadline.
    async fn read(&self, name: &str, retry_deadlines: &RetryDeadlines) -> Option<String> {
        let path = self.dir.join(name);
        match retry_deadlines.retry_optional(|| read_if_present(&path)).await {
            Ok(bytes) => bytes.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
            Err(e) => {
                error!("{}: can't be read: {e}; continuing without it", path.display());
                None
            }
        }
    }

    /// Replaces a file; a failed write is retried later.
    fn replace(&self, name: &'static str, text: &str) {
        match replace_file(&self.dir.join(name), text) {
            // The contents of an earlier failed write are outdated.
            Ok(()) => drop(self.unwritten.borrow_mut().remove(name)),
            Err(e) => self.record_unwritten(name, text, &e),
        }
    }

    /// Records a failed write; logs only the first failure of a file, to bound the log while the disk is full.
    fn record_unwritten(&self, name: &'static str, text: &str, error: &io::Error) {
        let earlier = self.unwritten.borrow_mut().insert(name, text.to_string());
        if earlier.is_none() {
            error!("{}: can't be written: {error}; will retry", self.dir.join(name).display());
        }
    }
}

/// Returns a process name that is unique within this boot.
fn process_name() -> String {
    let started = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    format!("{}-{}.{:09}", std::process::id(), started.tv_sec, started.tv_nsec)
}

/// Replaces a file atomically.
pub(crate) fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}

/// Reads a file; returns `None` if it does not exist.
pub(crate) fn read_if_present(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

fn remove_if_present(path: &Path) -> io::Result<()> {
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
