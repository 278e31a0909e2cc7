//! Opens the spool of an active process: waits until the previous process has exited, and merges the messages accepted
//! by a successor.

use super::config::StartConfig;
use super::opening::{DeferredEvents, await_while_serving};
use super::retry::{RetryDeadlines, Retryable};
use super::state_dir::{StateDir, is_locked_by_another, take_free_lock};
use super::tasks::RelayTasks;
use crate::clients::is_same_message;
use crate::clock::StoredTime;
use crate::ended_ids::{self, IdUse};
use crate::error::StartError;
use crate::notifications::Notification;
use crate::peer_ids::{Peer, PeerIds};
use crate::state_files::StateFiles;
use crate::successor::{IntakeEnd, IntakeOptions, IntakeParts, SuccessorIntake};
use async_channel::Sender;
use log::{info, warn};
use mountshift::interface::MessageId;
use mountshift_handover::{ACTIVE_DISK_SHARE, PreviousSuccessor, Role, SUCCESSOR_DISK_SHARE, SpoolOwner};
use mountshift_spool::{AcceptedMessage, EndedIds, FinalOutcome, Spool, SpoolError, StoredMessage};
use std::cell::Cell;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Message number in notifications of messages that are not in the spool; the dispatcher does not use it.
const NOT_IN_SPOOL: MessageId = MessageId(u64::MAX);

/// The spool of an active process.
pub(crate) struct ActiveSpool {
    pub(crate) spool: Spool,
    /// Events received before this process was active that the dispatcher has to handle, in order.
    pub(crate) deferred_events: DeferredEvents,
    /// Time base by which stored data is dated.
    pub(crate) stored_time: StoredTime,
    /// Name of the process that handed over to this one, if known.
    pub(crate) previous_process: Option<String>,
}

/// Opens the spool according to the role; a successor accepts messages until it becomes active. Returns `None` if the
/// process was stopped before that.
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
            let opened = await_while_serving(tasks, &mut deferred_events, opening).await?;
            Ok(opened.map(|spool| ActiveSpool {
                spool,
                deferred_events,
                stored_time,
                previous_process: None,
            }))
        }
        // The active spool is not opened here, because the active process may write to it. Opening removes the file
        // of an unfinished compaction, and the next commit truncates an incomplete record.
        Role::Successor => accept_until_active(config, state_dir, files, stored_time, tasks, &opener).await,
    }
}

/// Opens the spool of a process that is active at its start, and merges the messages of an exited successor.
async fn open_as_active(
    opener: &SpoolOpener<'_>,
    state_dir: &StateDir,
    tasks: &RelayTasks,
    merge_successor: bool,
    stored_time: StoredTime,
) -> Result<Spool, StartError> {
    let retry_deadlines = RetryDeadlines::from_now();
    let mut opened = retry_deadlines.retry_required(|| opener.open_active()).await?;
    if merge_successor {
        let successor = retry_deadlines.retry_required(|| opener.open_successor()).await?;
        let accepted =
            SuccessorMessages { spool: successor, dated_by: stored_time, shared_time: stored_time };
        merge_successor_spool(&mut opened, accepted, state_dir, tasks, &retry_deadlines).await?;
    }
    Ok(opened)
}

/// Accepts messages concurrently with the active process until it exits, then takes over its spool.
async fn accept_until_active(
    config: &StartConfig,
    state_dir: &StateDir,
    files: &StateFiles,
    stored_time: StoredTime,
    tasks: &RelayTasks,
    opener: &SpoolOpener<'_>,
) -> Result<Option<ActiveSpool>, StartError> {
    let retry_deadlines = RetryDeadlines::from_now();
    let mut early_events = DeferredEvents::default();
    let opening = retry_deadlines.retry_required(|| opener.open_successor());
    let opened = await_while_serving(tasks, &mut early_events, opening).await?;
    let Some(successor) = opened else { return Ok(None) };
    early_events.requeue(&tasks.events);
    info!("another process owns the state folder: waiting as its successor until it hands over");
    let mut intake = SuccessorIntake::new(IntakeOptions {
        spool: successor,
        active_ids: PeerIds::new(Peer::Active, &state_dir.path),
        active_lock: &state_dir.active_lock,
        classes: &config.socket_settings.classes,
        ordered_classes: config.policy_settings.classes.iter().map(|class| class.in_order).collect(),
        maintenance: tasks.maintenance.clone(),
        files,
        stored_time,
        started: tasks.started,
        clients_accepting: tasks.clients_accepting.0.clone(),
        clients_stopping: tasks.clients_stopping.0.clone(),
        clients_ending: tasks.clients_ending.0.clone(),
        client_connections: tasks.client_connections.clone(),
    });
    let mut deferred_events = match intake.run(&tasks.events.1).await {
        IntakeEnd::Stopped => return Ok(None),
        IntakeEnd::BecameActive(deferred_events) => deferred_events,
    };
    let IntakeParts { spool: successor, active_ids, previous_process } = intake.into_parts();
    let taking_over = async {
        let retry_deadlines = RetryDeadlines::from_now();
        let mut opened = retry_deadlines.retry_required(|| opener.open_active()).await?;
        for ended in active_ids.ended().iter() {
            opened.record_ended(ended);
        }
        let shared_time =
            if stored_time.is_shared() { stored_time } else { files.stored_time(&retry_deadlines).await };
        let accepted = SuccessorMessages { spool: successor, dated_by: stored_time, shared_time };
        merge_successor_spool(&mut opened, accepted, state_dir, tasks, &retry_deadlines).await?;
        // The previous process may have changed the file after this process read it.
        if let Some(stored) = files.read_maintenance(&retry_deadlines).await {
            tasks.maintenance.borrow_mut().follow(&stored);
        }
        Ok((opened, shared_time))
    };
    let taken_over = await_while_serving(tasks, &mut deferred_events, taking_over).await?;
    Ok(taken_over.map(|(spool, stored_time)| ActiveSpool {
        spool,
        deferred_events,
        stored_time,
        previous_process,
    }))
}

/// Messages accepted by a successor, and the time bases that their timestamps are translated between.
struct SuccessorMessages {
    spool: Spool,
    /// Time base by which the successor dated the messages.
    dated_by: StoredTime,
    /// Time base that all processes share.
    shared_time: StoredTime,
}

impl SuccessorMessages {
    /// Returns the messages with timestamps translated to the time base that all processes share.
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

/// The spool of a successor, as used by the active process: if a successor exits without becoming active, the active
/// process adopts the messages it accepted.
pub(crate) struct SuccessorSpool {
    /// Whether a successor that was running at the start of this process may hold messages in order that it accepted
    /// earlier.
    may_hold_earlier_messages: Cell<bool>,
    dir: PathBuf,
    max_bytes: u64,
    max_attempts: u64,
    max_zone_bytes: u64,
}

/// The spool of a successor that has exited without becoming active.
pub(crate) struct OrphanedSpool {
    /// Messages in the order in which they were accepted.
    pub(crate) messages: Vec<StoredMessage>,
    file: PathBuf,
    /// Lock that prevents another successor from writing the spool meanwhile.
    _lock: File,
}

impl SuccessorSpool {
    pub(crate) fn new(config: &StartConfig, state_dir: &StateDir) -> SuccessorSpool {
        let opener = SpoolOpener::new(config, state_dir);
        let may_hold_earlier_messages = state_dir.role == Role::Active(PreviousSuccessor::Running);
        if may_hold_earlier_messages {
            warn!(
                "a successor of the previous process still runs and may hold earlier messages: messages in order \
                 are rejected until it exits"
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

    /// Returns whether a successor may hold messages in order that precede those submitted now. Becomes false once this
    /// process has adopted its messages.
    pub(crate) fn may_hold_earlier_messages(&self) -> bool {
        self.may_hold_earlier_messages.get()
    }

    /// Returns the ids of the messages that a successor accepts.
    pub(crate) fn ids(&self) -> PeerIds {
        PeerIds::new(Peer::Successor, &self.dir)
    }

    /// Records that this process has adopted the messages of the successor, if there were any.
    pub(crate) fn record_takeover(&self) {
        if self.may_hold_earlier_messages.replace(false) {
            info!("messages in order are accepted again: the successor has exited");
        }
    }

    /// Returns whether a successor of this process runs.
    pub(crate) fn is_successor_running(&self) -> bool {
        is_locked_by_another(&self.dir)
    }

    /// Returns the spool of an exited successor, or `None` if a successor runs or no spool exists.
    pub(crate) fn take_orphaned(&self) -> Option<OrphanedSpool> {
        let file = self.dir.join(mountshift_spool::SPOOL_FILE);
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
    /// Removes the spool file, after its messages were written to the active process's spool.
    pub(crate) fn remove(&self) -> io::Result<()> {
        std::fs::remove_file(&self.file)
    }
}

impl Retryable for StartError {
    fn is_retryable(&self) -> bool {
        matches!(self, StartError::Spool { source: SpoolError::Io(source), .. } if source.is_retryable())
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
        let mut spool = self.open(&self.state_dir.path, ACTIVE_DISK_SHARE)?;
        for ended in spool.take_ended() {
            spool.record_ended(ended_ids::ended_id(&ended));
        }
        Ok(spool)
    }

    fn open_successor(&self) -> Result<Spool, StartError> {
        self.open(&self.state_dir.successor_path, SUCCESSOR_DISK_SHARE)
    }

    fn open(&self, dir: &Path, disk_share: f64) -> Result<Spool, StartError> {
        let max_bytes = self.config.disk_share(disk_share);
        Spool::open(dir, max_bytes, self.max_attempts, self.max_zone_bytes).map_err(|e| self.unusable(e))
    }

    /// Returns the error with the path of the state folder for either spool; `source` names the file.
    fn unusable(&self, source: SpoolError) -> StartError {
        StartError::Spool { path: self.state_dir.path.clone(), source }
    }
}

/// Merges the messages of a successor into the active process's spool, in the order of acceptance, and removes the
/// successor's spool file. The merge renumbers messages, so it must precede any use of message numbers. Messages that
/// do not fit end as failed, with a notification. Messages under ids that the active process holds or that have ended
/// are left out.
async fn merge_successor_spool(
    spool: &mut Spool,
    successor: SuccessorMessages,
    state_dir: &StateDir,
    tasks: &RelayTasks,
    retry_deadlines: &RetryDeadlines,
) -> Result<(), StartError> {
    let accepted_by_active = stored_messages(spool);
    let mut accepted_by_successor = successor.stored_messages();
    accepted_by_successor.retain(|message| !has_ended_id(&message.accepted, spool.ended_ids()));
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
    let without_space = retry_deadlines
        .retry_required(|| spool.replace_all(merged.clone()))
        .await
        .map_err(StartError::MergeSpools)?;
    for message in without_space {
        notify_no_space(message, &tasks.notifications.0);
    }
    for message in &accepted_by_successor {
        log_if_id_conflicts(&message.accepted, &accepted_by_active);
    }
    log_takeover(&accepted_by_successor, successor.shared_time.now());
    drop(successor);
    let path = state_dir.successor_path.join(mountshift_spool::SPOOL_FILE);
    retry_deadlines
        .retry_required(|| std::fs::remove_file(&path))
        .await
        .map_err(|source| StartError::State { path, source })
}

/// Logs how long the messages of a successor have waited until this process may send them, and how many have expired.
fn log_takeover(messages: &[StoredMessage], now: Duration) {
    let count = messages.len();
    let accepted_at =
        messages.iter().map(|message| Duration::from_micros(message.accepted.accepted_at_us)).min();
    let longest = now.saturating_sub(accepted_at.unwrap_or(now));
    info!(
        "took over {count} messages accepted as successor of the active process, after {longest:.3?} at most"
    );
    let is_expired = |message: &&StoredMessage| now.as_millis() as u64 > message.accepted.deadline;
    let expired = messages.iter().filter(is_expired).count();
    if expired > 0 {
        warn!("{expired} of them expired before this process could send them");
    }
}

fn stored_messages(spool: &Spool) -> Vec<StoredMessage> {
    spool.messages().values().cloned().collect()
}

/// Returns the id and the time of acceptance, in Unix microseconds, of each message.
fn accept_times(messages: &[StoredMessage]) -> Vec<(&[u8], u64)> {
    messages.iter().map(|message| (message.accepted.id.as_slice(), message.accepted.accepted_at_us)).collect()
}

/// Returns whether the id of a successor's message belongs to a message that has ended.
pub(crate) fn has_ended_id(accepted: &AcceptedMessage, ended_ids: &EndedIds) -> bool {
    let id_use = ended_ids::find_accepted(ended_ids, accepted);
    if id_use == IdUse::OtherMessage {
        log_id_conflict(accepted);
    }
    id_use != IdUse::Unused
}

/// Logs that the merge omitted a message of the successor because the active process holds a different message with the
/// same id.
fn log_if_id_conflicts(accepted: &AcceptedMessage, held: &[StoredMessage]) {
    let same_id = held.iter().find(|held| held.accepted.id == accepted.id);
    if same_id.is_some_and(|held| !is_same_message(&held.accepted, accepted)) {
        log_id_conflict(accepted);
    }
}

/// Logs that a successor's message is dropped because its id belongs to another message. The platform gets no
/// notification of it: it knows messages by their ids, and would take the notification for one of that other message.
pub(crate) fn log_id_conflict(accepted: &AcceptedMessage) {
    let id = String::from_utf8_lossy(&accepted.id);
    warn!("a message submitted as {id} is dropped: another message has this id");
}

/// Notifies the platform that a message of the previous process ends as failed because the spool has no space for it.
pub(crate) fn notify_no_space(message: StoredMessage, notifications: &Sender<Notification>) {
    let id = message.accepted.id;
    warn!(
        "spool: no space for message {} of the previous process; it ends as failed",
        String::from_utf8_lossy(&id)
    );
    let notification = Notification { message: NOT_IN_SPOOL, id, outcome: FinalOutcome::Failed };
    let _ = notifications.try_send(notification);
}
