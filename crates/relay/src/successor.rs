//! Intake of a successor, a process started while another one is active. Until the active process exits, the successor
//! sends nothing. It leaves client connections to the active process until that hands over; from then on it serves
//! clients and stores their submissions in its own spool. `mountshift_handover` determines which process is active and
//! which messages a successor accepts.

use crate::acceptance::Acceptances;
use crate::clients::{ClientSubmission, SubmissionError, SubmissionReply};
use crate::clock::StoredTime;
use crate::discovery::EndpointList;
use crate::dispatch::Event;
use crate::peer_ids::PeerIds;
use crate::shutdown_rounds::ShutdownRounds;
use crate::startup::opening::DeferredEvents;
use crate::state_files::StateFiles;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use log::{debug, error, info, warn};
use mountshift::interface::MessageId;
use mountshift_handover::{LOCK_POLL_INTERVAL, RESTART_STOP_PLAN, TakeoverProgress, successor_accepts};
use mountshift_maintenance::MaintenanceState;
use mountshift_spool::{AcceptedMessage, Spool};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::rc::Rc;
use std::time::Instant;

/// First message number of a successor, as used by its client connections. Its messages are renumbered once it is
/// active, so these numbers must not overlap with the new ones: an unreachable client would otherwise withdraw the wrong
/// message.
const FIRST_SUCCESSOR_NUMBER: u64 = 1 << 62;

/// Result of the intake.
pub(crate) enum IntakeEnd {
    /// This process holds the lock of the active process. The events are for the dispatcher, in order.
    BecameActive(DeferredEvents),
    /// The process was stopped before that. Accepted messages stay in the successor's spool for the next active
    /// process.
    Stopped,
}

/// Configuration and shared handles of the intake.
pub(crate) struct IntakeOptions<'a> {
    /// Spool of the successor.
    pub(crate) spool: Spool,
    /// Ids of the messages that the active process has accepted.
    pub(crate) active_ids: PeerIds,
    /// Lock file of the active process, whose lock is acquired once it is free.
    pub(crate) active_lock: &'a File,
    /// Names of the message classes.
    pub(crate) classes: &'a [String],
    /// Whether each message class, by the same index, keeps its messages in order.
    pub(crate) ordered_classes: Vec<bool>,
    pub(crate) maintenance: Rc<RefCell<MaintenanceState>>,
    pub(crate) files: &'a StateFiles,
    /// Time line by which stored data is dated.
    pub(crate) stored_time: StoredTime,
    /// Start of this process.
    pub(crate) started: Instant,
    /// Channel that is closed once this process accepts all client connections.
    pub(crate) clients_accepting: Sender<()>,
    /// Channel that is closed when the relay stops accepting and starts to close client connections.
    pub(crate) clients_stopping: Sender<()>,
    /// Channel that is closed shortly before the process exits: pending replies are sent, further requests are
    /// rejected.
    pub(crate) clients_ending: Sender<()>,
    /// Number of open client connections.
    pub(crate) client_connections: Rc<Cell<usize>>,
}

/// What remains of an intake once this process is active.
pub(crate) struct IntakeParts {
    /// Spool of the successor.
    pub(crate) spool: Spool,
    /// Ids of the messages that the previous process had accepted.
    pub(crate) active_ids: PeerIds,
    /// Name of the process that handed over, if known.
    pub(crate) previous_process: Option<String>,
}

/// A handover, as the successor noticed it.
struct Handover {
    /// Name of the process that hands over.
    process: String,
    noticed_at: Instant,
}

/// Accepts messages while another process is active.
pub(crate) struct SuccessorIntake<'a> {
    options: IntakeOptions<'a>,
    numbers_by_id: BTreeMap<Vec<u8>, u64>,
    /// Clients of the messages, by the message numbers used by their connections.
    acceptances: Acceptances,
    /// Events that only a dispatcher can handle.
    deferred_events: DeferredEvents,
    stopping_since: Option<Instant>,
    /// The handover of the active process, once it has begun.
    handover: Option<Handover>,
    /// Whether the last commit of the spool failed and this has been logged.
    is_failure_logged: bool,
}

impl<'a> SuccessorIntake<'a> {
    pub(crate) fn new(options: IntakeOptions<'a>) -> SuccessorIntake<'a> {
        SuccessorIntake {
            options,
            numbers_by_id: BTreeMap::new(),
            acceptances: Acceptances::default(),
            deferred_events: DeferredEvents::default(),
            stopping_since: None,
            handover: None,
            is_failure_logged: false,
        }
    }

    /// Runs until the lock of the active process is acquired, or until the process is stopped.
    pub(crate) async fn run(&mut self, events: &Receiver<Event>) -> IntakeEnd {
        loop {
            for event in next_events(events).await {
                self.handle(event);
            }
            self.commit();
            self.options.files.retry_unwritten();
            self.check_handover();
            if self.stopping_since.is_some() {
                if self.can_stop() {
                    self.finish(events).await;
                    return IntakeEnd::Stopped;
                }
            } else if self.options.active_lock.try_lock().is_ok() {
                let stored = self.options.spool.messages().len();
                info!("this process owns the state folder now, with {stored} messages accepted as successor");
                self.options.clients_accepting.close();
                return IntakeEnd::BecameActive(std::mem::take(&mut self.deferred_events));
            }
        }
    }

    pub(crate) fn into_parts(self) -> IntakeParts {
        IntakeParts {
            spool: self.options.spool,
            active_ids: self.options.active_ids,
            previous_process: self.handover.map(|handover| handover.process),
        }
    }

    /// Returns whether the active process hands over at this moment. The first time that it does, records its name, as only
    /// its snapshot is valid, and starts to accept client connections.
    fn check_handover(&mut self) -> bool {
        // Read each time, because the marker of the active process is valid only until that process exits.
        let Some(process) = self.options.files.handing_over_process() else { return false };
        if self.handover.is_none() {
            info!(
                "process {process} hands over {:.3} s after the start of this one: accepting client connections",
                self.options.started.elapsed().as_secs_f64()
            );
            self.options.clients_accepting.close();
            self.handover = Some(Handover { process, noticed_at: Instant::now() });
        }
        true
    }

    /// Returns the progress of the upgrade. Whether the active process hands over at this moment matters only to a message
    /// in order.
    fn takeover_progress(&mut self, is_in_order: bool) -> TakeoverProgress {
        TakeoverProgress {
            is_handing_over: is_in_order && self.check_handover(),
            successor_uptime: self.options.started.elapsed(),
            handover_elapsed: self.handover.as_ref().map(|handover| handover.noticed_at.elapsed()),
            stop_elapsed: self.stopping_since.map(|since| since.elapsed()),
            has_shared_clock: self.options.stored_time.is_shared(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::MessageReceived { message, reply_to } => self.on_message_received(message, reply_to),
            Event::ClientUnreachable(message) => self.on_client_unreachable(message),
            Event::StopRequested(_) => self.on_stop_requested(),
            Event::EndpointList(Ok(list)) => self.on_endpoint_list(list),
            // The client of discovery polls again by itself.
            Event::EndpointList(Err(_)) => {}
            other => self.deferred_events.push(other),
        }
    }

    fn on_message_received(&mut self, message: ClientSubmission, reply_to: Sender<SubmissionReply>) {
        if let Some(number) = self.numbers_by_id.get(&message.id).copied() {
            return self.on_message_received_again(number, &message, reply_to);
        }
        let id_use = self.options.active_ids.find(&message.id, &message.content());
        if let Some(refusal) = id_use.refusal() {
            info!("submission rejected: its id is not free in the active process ({id_use:?})");
            let _ = reply_to.try_send(refusal);
            return;
        }
        let accepted = match self.check(&message) {
            Ok(accepted) => accepted,
            Err(answer) => {
                let _ = reply_to.try_send(answer);
                return;
            }
        };
        let Some(number) = self.options.spool.accept(accepted) else {
            warn!(
                "successor's spool: full with {} messages; message rejected",
                self.options.spool.messages().len()
            );
            let _ = reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
            return;
        };
        self.numbers_by_id.insert(message.id.clone(), number);
        self.acceptances.add(successor_message(number), reply_to);
    }

    /// Handles a submission whose id is held. It is the same message only if its content is the same too.
    fn on_message_received_again(
        &mut self,
        number: u64,
        message: &ClientSubmission,
        reply_to: Sender<SubmissionReply>,
    ) {
        let held = self.options.spool.get(number);
        if held.is_some_and(|stored| message.is_same_as(&stored.accepted)) {
            self.acceptances.add_repeat(successor_message(number), reply_to);
        } else {
            info!(
                "submission rejected: message {number} of the successor's spool has the same id but other content"
            );
            let _ = reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
        }
    }

    /// Returns the message to store in the spool, or the reply if it is not accepted.
    fn check(&mut self, message: &ClientSubmission) -> Result<AcceptedMessage, SubmissionReply> {
        if !self.options.classes.contains(&message.metadata.class) {
            return Err(SubmissionReply::Failed(SubmissionError::UnknownClass));
        }
        let time_left = message.metadata.time_to_deadline.saturating_sub(message.received_at.elapsed());
        let class = self.options.classes.iter().position(|class| *class == message.metadata.class);
        let is_in_order = class.is_some_and(|class| self.options.ordered_classes[class]) && message.key != 0;
        let progress = self.takeover_progress(is_in_order);
        if !successor_accepts(time_left, is_in_order, progress) {
            debug!(
                "submission rejected as successor: {time_left:?} to its deadline, longest wait {:?}, in order: {is_in_order}",
                progress.longest_wait()
            );
            return Err(SubmissionReply::Rejected { retry_after_ms: 0 });
        }
        let now = self.options.stored_time.now();
        Ok(AcceptedMessage {
            id: message.id.clone(),
            key: message.key,
            metadata: message.metadata_text.clone(),
            deadline: (now + time_left).as_millis() as u64,
            body: message.body.clone(),
            accepted_at_us: now.as_micros() as u64,
        })
    }

    /// Handles a client that did not get the "accepted" reply and will submit its message again: removes the message,
    /// unless another client has submitted it too.
    fn on_client_unreachable(&mut self, message: MessageId) {
        if self.acceptances.release_client(message) {
            self.remove(message);
        }
    }

    fn remove(&mut self, message: MessageId) {
        let number = message.0.wrapping_sub(FIRST_SUCCESSOR_NUMBER);
        if let Some(stored) = self.options.spool.get(number) {
            self.numbers_by_id.remove(&stored.accepted.id);
        }
        self.options.spool.remove(number);
    }

    fn on_stop_requested(&mut self) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(Instant::now());
        }
        self.options.maintenance.borrow_mut().set_stopping();
        self.options.clients_stopping.close();
    }

    /// Keeps a list for the dispatcher. With a list, this process can serve.
    fn on_endpoint_list(&mut self, list: EndpointList) {
        let mut maintenance = self.options.maintenance.borrow_mut();
        for entry in &list.entries {
            maintenance.record_listed_endpoint(&entry.id);
        }
        maintenance.set_serving();
        drop(maintenance);
        self.deferred_events.push(Event::EndpointList(Ok(list)));
    }

    /// Commits the accepted messages and sends the replies. Only a committed message may be reported as accepted.
    fn commit(&mut self) {
        let committed = self.options.spool.commit();
        match &committed {
            // Logged once per series of failures, to bound the log while the disk is full.
            Err(e) if !self.is_failure_logged => error!("successor's spool: commit failed: {e}"),
            _ => {}
        }
        self.is_failure_logged = committed.is_err();
        if committed.is_ok() {
            self.acceptances.reply_accepted();
            return;
        }
        for message in self.acceptances.reply_rejected() {
            self.remove(message);
        }
    }

    /// Returns whether a stopping process can exit: no client is connected, or the exit timeout has passed. A stopping
    /// process no longer becomes active.
    fn can_stop(&self) -> bool {
        let is_late =
            self.stopping_since.is_some_and(|since| since.elapsed() >= RESTART_STOP_PLAN.exit_timeout);
        is_late || self.options.client_connections.get() == 0
    }

    /// Ends a process that has not become active: sends the pending replies.
    async fn finish(&mut self, events: &Receiver<Event>) {
        self.options.clients_ending.close();
        let mut rounds = ShutdownRounds::start();
        loop {
            rounds.wait_for_next().await;
            let mut is_quiet = self.options.client_connections.get() == 0;
            while let Ok(event) = events.try_recv() {
                self.handle(event);
                is_quiet = false;
            }
            self.commit();
            self.options.files.retry_unwritten();
            if rounds.is_complete(is_quiet) {
                break;
            }
        }
        let stored = self.options.spool.messages().len();
        info!("relay stopped before it became active, with {stored} messages in the successor's spool");
    }
}

/// Returns the id by which client connections refer to a message of a successor.
fn successor_message(number: u64) -> MessageId {
    MessageId(FIRST_SUCCESSOR_NUMBER + number)
}

/// Waits for an event or for the next poll of the lock; returns all available events.
async fn next_events(events: &Receiver<Event>) -> Vec<Event> {
    let lock_poll = async {
        Timer::after(LOCK_POLL_INTERVAL).await;
        None
    };
    let first = async { events.recv().await.ok() }.or(lock_poll).await;
    let mut received = Vec::from_iter(first);
    while let Ok(event) = events.try_recv() {
        received.push(event);
    }
    received
}
