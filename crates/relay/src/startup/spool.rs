//! Opens the spool of an active process: waits for the process before to end, and merges what a successor accepted
//! beside it.

use super::config::StartConfig;
use super::opening::{DeferredEvents, open_beside_clients};
use super::patience::{MayPass, Patience};
use super::state_dir::{StateDir, take_free_lock};
use super::tasks::RelayTasks;
use crate::clients::is_same_message;
use crate::clock::StoredTime;
use crate::error::StartError;
use crate::notifications::Notification;
use crate::state_files::StateFiles;
use crate::successor::{IntakeEnd, IntakeOptions, SuccessorIntake};
use async_channel::Sender;
use log::{info, warn};
use mountshift::interface::MessageId;
use mountshift_handover::{ACTIVE_DISK_SHARE, PreviousSuccessor, Role, SUCCESSOR_DISK_SHARE, SpoolOwner};
use mountshift_spool::{FinalOutcome, Spool, SpoolError, StoredMessage};
use std::cell::Cell;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// A message that is not in the spool has no number; the dispatcher knows none by this one.
const NOT_IN_SPOOL: MessageId = MessageId(u64::MAX);

/// The spool of an active process.
pub(crate) struct ActiveSpool {
    pub(crate) spool: Spool,
    /// Events from the time before this process was active that the dispatcher has to handle, in order.
    pub(crate) deferred_events: DeferredEvents,
    /// The time line of all that is stored.
    pub(crate) stored_time: StoredTime,
    /// The process that has handed over to this one, by what it calls itself; none if that is not known.
    pub(crate) process_before: Option<String>,
}

/// Opens the spool as the role demands; a successor accepts messages meanwhile. None if the process was told to stop
/// before that.
pub(crate) async fn open_spool(
    config: &StartConfig,
    state_dir: &StateDir,
    files: &StateFiles,
    stored_time: StoredTime,
    tasks: &RelayTasks,
) -> Result<Option<ActiveSpool>, StartError> {
    let opener = SpoolOpener::new(config, state_dir);
    match state_dir.role {
        Role::Active(earlier) => {
            let mut deferred_events = DeferredEvents::default();
            let merge_successor = earlier == PreviousSuccessor::LeftMessages;
            let opening = open_as_active(&opener, state_dir, tasks, merge_successor, stored_time);
            let spool = open_beside_clients(tasks, &mut deferred_events, opening).await?;
            Ok(spool.map(|spool| ActiveSpool { spool, deferred_events, stored_time, process_before: None }))
        }
        // The active spool is not opened here: opening cuts a half written record off and removes a half written
        // compaction, and both may be the active process's at this moment.
        Role::Successor => accept_until_active(config, state_dir, files, stored_time, tasks, &opener).await,
    }
}

/// Opens the spool of a process that is active at its start, with what a successor left that has ended.
async fn open_as_active(
    opener: &SpoolOpener<'_>,
    state_dir: &StateDir,
    tasks: &RelayTasks,
    merge_successor: bool,
    stored_time: StoredTime,
) -> Result<Spool, StartError> {
    let patience = Patience::of_start();
    let mut spool = patience.retry_essential(|| opener.open_active()).await?;
    if merge_successor {
        let successor = patience.retry_essential(|| opener.open_successor()).await?;
        let accepted =
            SuccessorMessages { spool: successor, dated_by: stored_time, shared_time: stored_time };
        merge_successor_spool(&mut spool, accepted, state_dir, tasks, &patience).await?;
    }
    Ok(spool)
}

/// Accepts messages beside the active process until it ends, then takes over its spool.
async fn accept_until_active(
    config: &StartConfig,
    state_dir: &StateDir,
    files: &StateFiles,
    stored_time: StoredTime,
    tasks: &RelayTasks,
    opener: &SpoolOpener<'_>,
) -> Result<Option<ActiveSpool>, StartError> {
    let patience = Patience::of_start();
    let mut early_events = DeferredEvents::default();
    let opening = patience.retry_essential(|| opener.open_successor());
    let opened = open_beside_clients(tasks, &mut early_events, opening).await?;
    let Some(successor) = opened else { return Ok(None) };
    early_events.put_back(&tasks.events);
    info!("another process owns the state folder: accepts messages beside it");
    let mut intake = SuccessorIntake::new(IntakeOptions {
        spool: successor,
        active_lock: &state_dir.active_lock,
        classes: &config.socket_settings.classes,
        ordered_classes: config.policy_settings.classes.iter().map(|class| class.in_order).collect(),
        maintenance: tasks.maintenance.clone(),
        files,
        stored_time,
        clients_leave: tasks.clients_leave.0.clone(),
        clients_end: tasks.clients_end.0.clone(),
        client_connections: tasks.client_connections.clone(),
    });
    let mut deferred_events = match intake.run(&tasks.events.1).await {
        IntakeEnd::Stopped => return Ok(None),
        IntakeEnd::BecameActive(deferred_events) => deferred_events,
    };
    let (successor, process_before) = intake.into_parts();
    let taking_over = async {
        let patience = Patience::of_start();
        let mut spool = patience.retry_essential(|| opener.open_active()).await?;
        let shared_time =
            if stored_time.is_shared() { stored_time } else { files.stored_time(&patience).await };
        let accepted = SuccessorMessages { spool: successor, dated_by: stored_time, shared_time };
        merge_successor_spool(&mut spool, accepted, state_dir, tasks, &patience).await?;
        // What the process before wrote down since this one started.
        let maintenance = files.read_maintenance(&patience).await;
        tasks.maintenance.borrow_mut().reload(&maintenance);
        Ok((spool, shared_time))
    };
    let taken_over = open_beside_clients(tasks, &mut deferred_events, taking_over).await?;
    Ok(taken_over.map(|(spool, stored_time)| ActiveSpool {
        spool,
        deferred_events,
        stored_time,
        process_before,
    }))
}

/// What a successor has accepted, and by which time line it has dated that.
struct SuccessorMessages {
    spool: Spool,
    dated_by: StoredTime,
    shared_time: StoredTime,
}

impl SuccessorMessages {
    /// Its messages, dated by the time line that all processes share.
    fn stored_messages(&self) -> Vec<StoredMessage> {
        let mut messages = stored_messages(&self.spool);
        if !self.dated_by.is_shared() {
            for message in &mut messages {
                let accepted = &mut message.accepted;
                let translate = |unix_us| self.dated_by.translate_us(unix_us, &self.shared_time);
                accepted.accepted_at_us = translate(accepted.accepted_at_us);
                accepted.deadline = translate(accepted.deadline * 1_000) / 1_000;
            }
        }
        messages
    }
}

/// The spool that a successor writes, as the active process beside it sees it: once the successor has ended without
/// becoming active, what it accepted is the active process's.
pub(crate) struct SuccessorSpool {
    /// A successor that was there at this process's start may have accepted messages in order before that.
    may_hold_earlier_messages: Cell<bool>,
    dir: PathBuf,
    max_bytes: u64,
    max_attempts: u64,
    max_zone_bytes: u64,
}

/// The messages of a successor that has ended.
pub(crate) struct OrphanedSpool {
    /// In the order in which they were accepted.
    pub(crate) messages: Vec<StoredMessage>,
    file: PathBuf,
    /// No other successor begins to write meanwhile.
    _lock: File,
}

impl SuccessorSpool {
    pub(crate) fn new(config: &StartConfig, state_dir: &StateDir) -> SuccessorSpool {
        let opener = SpoolOpener::new(config, state_dir);
        let may_hold_earlier_messages = state_dir.role == Role::Active(PreviousSuccessor::Running);
        if may_hold_earlier_messages {
            warn!(
                "a successor of the process before still runs: messages in order are rejected until it ends"
            );
        }
        SuccessorSpool {
            may_hold_earlier_messages: Cell::new(may_hold_earlier_messages),
            dir: state_dir.successor_path.clone(),
            max_bytes: config.disk_share(SUCCESSOR_DISK_SHARE),
            max_attempts: opener.max_attempts,
            max_zone_bytes: opener.max_zone_bytes,
        }
    }

    /// True until what an earlier successor has accepted is this process's: messages in order might be among it that come
    /// before what clients submit now.
    pub(crate) fn may_hold_earlier_messages(&self) -> bool {
        self.may_hold_earlier_messages.get()
    }

    /// What it has left, if anything, is this process's now.
    pub(crate) fn record_takeover(&self) {
        if self.may_hold_earlier_messages.replace(false) {
            info!("messages in order are accepted again: the successor has ended");
        }
    }

    /// What a successor has left; none while one runs, or where none has left anything.
    pub(crate) fn take_orphaned(&self) -> Option<OrphanedSpool> {
        let file = self.dir.join(mountshift_spool::FILE_NAME);
        if !self.may_hold_earlier_messages() && !file.exists() {
            return None;
        }
        let lock = take_free_lock(&self.dir)?;
        match file.try_exists() {
            Ok(true) => {}
            Ok(false) => {
                self.record_takeover();
                return None;
            }
            Err(_) => return None,
        }
        let spool = Spool::open(&self.dir, self.max_bytes, self.max_attempts, self.max_zone_bytes);
        let messages = spool.ok()?.messages().values().cloned().collect();
        Some(OrphanedSpool { messages, file, _lock: lock })
    }
}

impl OrphanedSpool {
    /// Removes what was left, once it stands in the active process's spool.
    pub(crate) fn remove(&self) -> io::Result<()> {
        std::fs::remove_file(&self.file)
    }
}

impl MayPass for StartError {
    fn may_pass(&self) -> bool {
        matches!(self, StartError::Spool { source: SpoolError::Io(source), .. } if source.may_pass())
    }
}

/// Opens the spools in the state folder.
struct SpoolOpener<'a> {
    config: &'a StartConfig,
    state_dir: &'a StateDir,
    max_attempts: u64,
    max_zone_bytes: u64,
}

impl<'a> SpoolOpener<'a> {
    fn new(config: &'a StartConfig, state_dir: &'a StateDir) -> SpoolOpener<'a> {
        let zones = &config.socket_settings.zones;
        SpoolOpener {
            config,
            state_dir,
            max_attempts: u64::from(config.policy_settings.max_attempts),
            max_zone_bytes: zones.iter().map(String::len).max().unwrap_or(0) as u64,
        }
    }

    fn open_active(&self) -> Result<Spool, StartError> {
        self.open(&self.state_dir.path, ACTIVE_DISK_SHARE)
    }

    fn open_successor(&self) -> Result<Spool, StartError> {
        self.open(&self.state_dir.successor_path, SUCCESSOR_DISK_SHARE)
    }

    fn open(&self, dir: &Path, disk_share: f64) -> Result<Spool, StartError> {
        let max_bytes = self.config.disk_share(disk_share);
        Spool::open(dir, max_bytes, self.max_attempts, self.max_zone_bytes).map_err(|e| self.unusable(e))
    }

    /// The line names the state folder for both spools; the spool's own error names the file.
    fn unusable(&self, source: SpoolError) -> StartError {
        StartError::Spool { path: self.state_dir.path.clone(), source }
    }
}

/// Merges what a successor accepted into the active process's spool, in the order in which all of it was accepted,
/// before any number of the spool is used. What does not fit fails, with a notification. The successor's spool file
/// is removed.
async fn merge_successor_spool(
    spool: &mut Spool,
    successor: SuccessorMessages,
    state_dir: &StateDir,
    tasks: &RelayTasks,
    patience: &Patience,
) -> Result<(), StartError> {
    let accepted_by_active = stored_messages(spool);
    let accepted_by_successor = successor.stored_messages();
    let order =
        mountshift_handover::merge(&accept_times(&accepted_by_active), &accept_times(&accepted_by_successor));
    let mut merged = Vec::with_capacity(order.len());
    for (side, index) in order {
        let message = match side {
            SpoolOwner::Active => &accepted_by_active[index],
            SpoolOwner::Successor => &accepted_by_successor[index],
        };
        merged.push(message.clone());
    }
    let left_out = patience
        .retry_essential(|| spool.replace_all(merged.clone()))
        .await
        .map_err(StartError::MergeSpools)?;
    for message in left_out {
        notify_no_space(message, &tasks.notifications.0);
    }
    for message in &accepted_by_successor {
        return_if_id_is_taken(message, &accepted_by_active, &tasks.notifications.0);
    }
    info!("took over {} messages accepted beside the active process", accepted_by_successor.len());
    drop(successor);
    let path = state_dir.successor_path.join(mountshift_spool::FILE_NAME);
    patience
        .retry_essential(|| std::fs::remove_file(&path))
        .await
        .map_err(|source| StartError::State { path, source })
}

fn stored_messages(spool: &Spool) -> Vec<StoredMessage> {
    spool.messages().values().cloned().collect()
}

/// The id of each message, and when it was accepted.
fn accept_times(messages: &[StoredMessage]) -> Vec<(&[u8], u64)> {
    messages.iter().map(|message| (message.accepted.id.as_slice(), message.accepted.accepted_at_us)).collect()
}

/// A message that a successor has accepted is left out where the active process holds one of its id. If that is another message
/// this one is owed an end all the same: it has not run, and may come again under an id of its own.
fn return_if_id_is_taken(
    message: &StoredMessage,
    held: &[StoredMessage],
    notifications: &Sender<Notification>,
) {
    let accepted = &message.accepted;
    let taken = held.iter().find(|held| held.accepted.id == accepted.id);
    if taken.is_some_and(|held| !is_same_message(&held.accepted, accepted)) {
        notify_id_conflict(message, notifications);
    }
}

/// Tells the platform that a message can't be held beside another one of its id.
pub(crate) fn notify_id_conflict(message: &StoredMessage, notifications: &Sender<Notification>) {
    let id = message.accepted.id.clone();
    warn!("message {} is returned: another one is held under its id", String::from_utf8_lossy(&id));
    let outcome = FinalOutcome::Rejected(0);
    let _ = notifications.try_send(Notification { message: NOT_IN_SPOOL, id, outcome });
}

pub(crate) fn notify_no_space(message: StoredMessage, notifications: &Sender<Notification>) {
    let id = message.accepted.id;
    warn!(
        "spool: no room for message {} of the process before; it ends as failed",
        String::from_utf8_lossy(&id)
    );
    let notification = Notification { message: NOT_IN_SPOOL, id, outcome: FinalOutcome::Failed };
    let _ = notifications.try_send(notification);
}
