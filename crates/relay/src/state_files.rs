//! The small files in the state folder: the time anchor, endpoints in maintenance, the handover snapshot, the drain
//! record. The spool has its own crate. A file that can't be written is logged, and written again until it is: the relay
//! serves without it, and only a later process would lack what the file tells.

use crate::clock::{ClockReading, StoredTime, TimeAnchor};
use crate::handover_marker::HandoverMarker;
use crate::startup::config::StartConfig;
use crate::startup::retry::RetryDeadlines;
use log::{error, info};
use mountshift_discovery::{DRAIN_RECORD_DISK_SHARE, DRAIN_RECORD_FILE, DrainRecord, ParsedDrainRecord};
use mountshift_handover::{FORMAT, RouteRecord, SNAPSHOT_FILE, Snapshot};
use mountshift_maintenance::MaintenanceState;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file of the time anchor.
const ANCHOR_FILE: &str = "clock";
/// The file of endpoints in maintenance, an id a line.
const MAINTENANCE_FILE: &str = "maintenance";
/// The extension of a file that is being written.
const UNFINISHED_EXTENSION: &str = "new";

/// The small files in the state folder.
#[derive(Clone)]
pub(crate) struct StateFiles {
    dir: PathBuf,
    drain_record_max_bytes: usize,
    /// What this process calls itself: no other process of this boot has the name.
    process: Rc<str>,
    marker: HandoverMarker,
    /// Files that could not be written, with what they have to hold.
    unwritten: Rc<RefCell<BTreeMap<&'static str, String>>>,
}

impl StateFiles {
    pub(crate) fn new(config: &StartConfig) -> StateFiles {
        StateFiles {
            dir: config.state_dir.clone(),
            drain_record_max_bytes: config.disk_share(DRAIN_RECORD_DISK_SHARE) as usize,
            process: process_name().into(),
            marker: HandoverMarker::new(&config.state_dir),
            unwritten: Rc::default(),
        }
    }

    /// The time line of all that is stored: the anchor that an earlier process of this boot left, else a new one. For the
    /// active process.
    pub(crate) async fn stored_time(&self, retry_deadlines: &RetryDeadlines) -> StoredTime {
        let reading = ClockReading::now(retry_deadlines).await;
        let anchor = match self.read_anchor(&reading, retry_deadlines).await {
            Some(anchor) => anchor,
            None => self.write_anchor(TimeAnchor::new(&reading), retry_deadlines).await,
        };
        StoredTime::new(&anchor, &reading)
    }

    /// The time line for a successor: the active process's. Where that can't be read it has one of its own for now, which
    /// it must not write down: all that the active process has stored would be dated anew.
    pub(crate) async fn stored_time_as_successor(&self, retry_deadlines: &RetryDeadlines) -> StoredTime {
        let reading = ClockReading::now(retry_deadlines).await;
        if let Some(anchor) = self.read_anchor(&reading, retry_deadlines).await {
            return StoredTime::new(&anchor, &reading);
        }
        info!("{ANCHOR_FILE}: not to be had; messages in order are accepted once this process is active");
        StoredTime::unshared(&reading)
    }

    /// The anchor that an earlier process of this boot left.
    async fn read_anchor(
        &self,
        reading: &ClockReading,
        retry_deadlines: &RetryDeadlines,
    ) -> Option<TimeAnchor> {
        let stored = self.read(ANCHOR_FILE, retry_deadlines).await;
        stored.as_deref().and_then(TimeAnchor::from_text).filter(|anchor| anchor.is_valid_for(reading))
    }

    /// Notes which Unix time belongs to which monotonic reading. Waited for: what is accepted before it is written would
    /// be dated by the next process's wall clock.
    async fn write_anchor(&self, anchor: TimeAnchor, retry_deadlines: &RetryDeadlines) -> TimeAnchor {
        info!("times that are stored count from now on by the monotonic clock of this boot");
        let (path, text) = (self.dir.join(ANCHOR_FILE), anchor.to_string());
        if let Err(e) = retry_deadlines.retry_optional(|| replace_file(&path, &text)).await {
            self.record_unwritten(ANCHOR_FILE, &text, &e);
        }
        anchor
    }

    /// The endpoints in maintenance as written; none is, where there is no file.
    pub(crate) async fn read_maintenance(&self, retry_deadlines: &RetryDeadlines) -> String {
        self.read(MAINTENANCE_FILE, retry_deadlines).await.unwrap_or_default()
    }

    /// Writes the endpoints in maintenance, for the next process and for one beside this.
    pub(crate) fn write_maintenance(&self, maintenance: &MaintenanceState) {
        self.replace(MAINTENANCE_FILE, &maintenance.to_text());
    }

    /// What the process before left of its routes; none where it left nothing, or where another one is known to have written
    /// it. A file that can't be read is no reason to end: the process before has ended, and nobody else would serve. The
    /// relay goes on as after a restart.
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
                info!("{}: not of the process before, left out", path.display());
                None
            }
            Err(e) => {
                error!("{}: {e}; waits and breakers of the process before are not known", path.display());
                None
            }
        }
    }

    /// Writes what a later process has to know of the routes, all of it.
    pub(crate) fn write_snapshot(&self, written_ms: u64, routes: Vec<RouteRecord>) {
        let writer = Some(self.process.to_string());
        let snapshot = Snapshot { format: FORMAT, writer, written_ms, routes };
        self.replace(SNAPSHOT_FILE, &snapshot.to_json());
    }

    /// Removes the snapshot: left in place, the next handover would restore waits of a process long gone. What can't be
    /// removed is replaced as soon as that can be done.
    pub(crate) fn discard_snapshot(&self) {
        if let Err(e) = remove_if_present(&self.dir.join(SNAPSHOT_FILE)) {
            info!("{SNAPSHOT_FILE}: {e}; replaced by an empty one");
            self.write_snapshot(0, Vec::new());
        }
    }

    /// Tells a successor that this process sends nothing new from now on.
    pub(crate) fn write_handover_marker(&self) {
        self.marker.write(&self.process);
    }

    /// The active process that hands over at this moment, by what it calls itself.
    pub(crate) fn handing_over_process(&self) -> Option<String> {
        self.marker.writer()
    }

    /// This process is the active one, and sends.
    pub(crate) fn discard_handover_marker(&self) {
        self.marker.discard_leftover();
    }

    /// Endpoints that earlier processes knew to be draining or removed. What can't be read is left out: the rest
    /// still counts, and discovery is asked before anything is sent.
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

    /// Tries again to write what could not be written.
    pub(crate) fn retry_unwritten(&self) {
        if self.marker.is_pending() {
            self.write_handover_marker();
        }
        let unwritten = std::mem::take(&mut *self.unwritten.borrow_mut());
        for (name, text) in unwritten {
            let path = self.dir.join(name);
            if replace_file(&path, &text).is_ok() {
                info!("{}: written after all", path.display());
            } else {
                self.unwritten.borrow_mut().insert(name, text);
            }
        }
    }

    /// True if a file is still to be written.
    pub(crate) fn has_unwritten(&self) -> bool {
        self.marker.is_pending() || !self.unwritten.borrow().is_empty()
    }

    /// True once the time anchor is written: before that nothing that is stored may be relied on.
    pub(crate) fn is_anchor_written(&self) -> bool {
        !self.unwritten.borrow().contains_key(ANCHOR_FILE)
    }

    /// What a file holds; none if there is none, or if it can't be read for as long as a start can wait.
    async fn read(&self, name: &str, retry_deadlines: &RetryDeadlines) -> Option<String> {
        let path = self.dir.join(name);
        match retry_deadlines.retry_optional(|| read_if_present(&path)).await {
            Ok(bytes) => bytes.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
            Err(e) => {
                error!("{}: {e}", path.display());
                None
            }
        }
    }

    /// Replaces a file, now or as soon as that can be done.
    fn replace(&self, name: &'static str, text: &str) {
        match replace_file(&self.dir.join(name), text) {
            // What an earlier try was to write is out of date.
            Ok(()) => drop(self.unwritten.borrow_mut().remove(name)),
            Err(e) => self.record_unwritten(name, text, &e),
        }
    }

    /// Logged once, or a full disk would fill the log.
    fn record_unwritten(&self, name: &'static str, text: &str, error: &io::Error) {
        let earlier = self.unwritten.borrow_mut().insert(name, text.to_string());
        if earlier.is_none() {
            error!("{}: {error}; tried again until it is written", self.dir.join(name).display());
        }
    }
}

/// A name that no other process of this boot has.
fn process_name() -> String {
    let started = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    format!("{}-{}.{:09}", std::process::id(), started.tv_sec, started.tv_nsec)
}

/// Replaces a file whole or not at all.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let unfinished = path.with_extension(UNFINISHED_EXTENSION);
    std::fs::write(&unfinished, text)?;
    std::fs::rename(&unfinished, path)
}

fn read_if_present(path: &Path) -> io::Result<Option<Vec<u8>>> {
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
