//! The small files in the state folder: the time anchor, endpoints in maintenance, the handover snapshot, the drain
//! record. The spool has its own crate. A file that can't be written is logged, and written again until it is: the relay
//! serves without it, and only a later process would lack what the file tells.

use crate::clock::{ClockReading, StoredTime, TimeAnchor};
use crate::startup::config::StartConfig;
use crate::startup::patience::Patience;
use log::{error, info};
use mountshift_discovery::{DRAIN_RECORD_DISK_SHARE, DRAIN_RECORD_FILE, DrainRecord, ReadDrainRecord};
use mountshift_handover::{HANDING_OVER_FILE, SNAPSHOT_FILE, Snapshot};
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
    /// Files that could not be written, with what they have to hold.
    unwritten: Rc<RefCell<BTreeMap<&'static str, String>>>,
}

impl StateFiles {
    pub(crate) fn new(config: &StartConfig) -> StateFiles {
        StateFiles {
            dir: config.state_dir.clone(),
            drain_record_max_bytes: config.disk_share(DRAIN_RECORD_DISK_SHARE) as usize,
            unwritten: Rc::default(),
        }
    }

    /// The time line of all that is stored: the anchor that an earlier process of this boot left, else a new one.
    pub(crate) async fn stored_time(&self, patience: &Patience) -> StoredTime {
        let stored = self.read(ANCHOR_FILE, patience).await;
        let reading = ClockReading::now(patience).await;
        let stored = stored.as_deref().and_then(TimeAnchor::from_text);
        let anchor = match stored.filter(|anchor| anchor.holds(&reading)) {
            Some(anchor) => anchor,
            None => self.write_anchor(TimeAnchor::new(&reading), patience).await,
        };
        StoredTime::new(&anchor, &reading)
    }

    /// Notes which Unix time belongs to which monotonic reading. Waited for: what is accepted before it is written would
    /// be dated by the next process's wall clock.
    async fn write_anchor(&self, anchor: TimeAnchor, patience: &Patience) -> TimeAnchor {
        info!("times that are stored count from now on by the monotonic clock of this boot");
        let (path, text) = (self.dir.join(ANCHOR_FILE), anchor.to_string());
        if let Err(e) = patience.retry(|| replace_file(&path, &text)).await {
            self.note_unwritten(ANCHOR_FILE, &text, &e);
        }
        anchor
    }

    /// The endpoints in maintenance as written; none is, where there is no file.
    pub(crate) async fn read_maintenance(&self, patience: &Patience) -> String {
        self.read(MAINTENANCE_FILE, patience).await.unwrap_or_default()
    }

    /// Writes the endpoints in maintenance, for the next process and for one beside this.
    pub(crate) fn write_maintenance(&self, maintenance: &MaintenanceState) {
        self.replace(MAINTENANCE_FILE, &maintenance.to_text());
    }

    /// What the process before left of its routes; none where it left nothing. A file that can't be read is no
    /// reason to end: the process before has ended, and nobody else would serve. The relay goes on as after a
    /// restart.
    pub(crate) async fn read_snapshot(&self, patience: &Patience) -> Option<Snapshot> {
        let text = self.read(SNAPSHOT_FILE, patience).await?;
        match Snapshot::from_json(&text) {
            Ok(snapshot) => Some(snapshot),
            Err(e) => {
                let path = self.dir.join(SNAPSHOT_FILE);
                error!("{}: {e}; waits and breakers of the process before are not known", path.display());
                None
            }
        }
    }

    pub(crate) fn write_snapshot(&self, snapshot: &Snapshot) {
        self.replace(SNAPSHOT_FILE, &snapshot.to_json());
    }

    /// Removes the snapshot: left in place, the next handover would restore waits of a process long gone.
    pub(crate) async fn discard_snapshot(&self, patience: &Patience) {
        let path = self.dir.join(SNAPSHOT_FILE);
        if let Err(e) = patience.retry(|| remove_if_present(&path)).await {
            error!("{SNAPSHOT_FILE}: {e}");
        }
    }

    /// Tells a successor that this process sends nothing new from now on.
    pub(crate) fn write_handing_over(&self) {
        self.replace(HANDING_OVER_FILE, "");
    }

    /// True once the active process has told that it sends nothing new.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.dir.join(HANDING_OVER_FILE).exists()
    }

    /// This process is the active one, and sends.
    pub(crate) async fn discard_handing_over(&self, patience: &Patience) {
        let path = self.dir.join(HANDING_OVER_FILE);
        if let Err(e) = patience.retry(|| remove_if_present(&path)).await {
            error!("{HANDING_OVER_FILE}: {e}");
        }
    }

    /// Endpoints that earlier processes knew to be draining or removed. What can't be read is left out: the rest
    /// still counts, and discovery is asked before anything is sent.
    pub(crate) async fn read_drain_record(&self, patience: &Patience) -> DrainRecord {
        let text = self.read(DRAIN_RECORD_FILE, patience).await.unwrap_or_default();
        let ReadDrainRecord { record, unreadable_lines } = DrainRecord::from_text(&text);
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
        !self.unwritten.borrow().is_empty()
    }

    /// True once the time anchor is written: before that nothing that is stored may be relied on.
    pub(crate) fn is_anchor_written(&self) -> bool {
        !self.unwritten.borrow().contains_key(ANCHOR_FILE)
    }

    /// What a file holds; none if there is none, or if it can't be read for as long as a start can wait.
    async fn read(&self, name: &str, patience: &Patience) -> Option<String> {
        let path = self.dir.join(name);
        match patience.retry(|| read_if_present(&path)).await {
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
            Err(e) => self.note_unwritten(name, text, &e),
        }
    }

    /// Logged once, or a full disk would fill the log.
    fn note_unwritten(&self, name: &'static str, text: &str, error: &io::Error) {
        let earlier = self.unwritten.borrow_mut().insert(name, text.to_string());
        if earlier.is_none() {
            error!("{}: {error}; tried again until it is written", self.dir.join(name).display());
        }
    }
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
