//! The intake of a successor: a process that starts beside the active one. It answers clients, keeps what they submit
//! in a spool of its own and sends nothing, until the active process has ended. Who is active and what a successor
//! accepts is decided in `mountshift_handover`.

use crate::acceptance::Acceptances;
use crate::clients::{ClientSubmission, SubmissionError, SubmissionReply};
use crate::clock::StoredTime;
use crate::discovery::EndpointList;
use crate::dispatch::Event;
use crate::shutdown_rounds::ShutdownRounds;
use crate::startup::opening::DeferredEvents;
use crate::state_files::StateFiles;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use log::{error, info, warn};
use mountshift::interface::MessageId;
use mountshift_handover::{ActiveProcessState, LOCK_POLL_INTERVAL, RESTART, successor_accepts};
use mountshift_maintenance::{Change, MaintenanceState};
use mountshift_spool::{AcceptedMessage, Spool};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::rc::Rc;
use std::time::Instant;

/// The numbers of a successor's messages, as its clients' connections know them, begin here. Once it is active its
/// messages are numbered anew: a client that is unreachable by then must not withdraw another's message.
const FIRST_SUCCESSOR_NUMBER: u64 = 1 << 62;

/// How the intake ended.
pub(crate) enum IntakeEnd {
    /// The active process's lock is this process's now; these events wait for the dispatcher, in order.
    BecameActive(DeferredEvents),
    /// Told to stop before that: what was accepted waits in the successor's spool for the next active process.
    Stopped,
}

/// What the intake shares with others.
pub(crate) struct IntakeOptions<'a> {
    /// The successor's spool.
    pub(crate) spool: Spool,
    /// The active process's lock, to be taken once it is free.
    pub(crate) active_lock: &'a File,
    /// The names of the message classes, ...
    pub(crate) classes: &'a [String],
    /// ... and which of them keep their messages in order.
    pub(crate) ordered_classes: Vec<bool>,
    pub(crate) maintenance: Rc<RefCell<MaintenanceState>>,
    pub(crate) files: &'a StateFiles,
    /// The time line of all that is stored.
    pub(crate) stored_time: StoredTime,
    /// Closed when client connections are to go.
    pub(crate) clients_stopping: Sender<()>,
    /// Closed shortly before the end: clients hear the answers they are owed, nothing more is read.
    pub(crate) clients_ending: Sender<()>,
    /// Client connections open now.
    pub(crate) client_connections: Rc<Cell<usize>>,
}

/// Accepts messages beside the active process.
pub(crate) struct SuccessorIntake<'a> {
    options: IntakeOptions<'a>,
    numbers_by_id: BTreeMap<Vec<u8>, u64>,
    /// The clients of the messages, by the numbers that their connections know.
    acceptances: Acceptances,
    /// Events that only a dispatcher can handle.
    deferred_events: DeferredEvents,
    stopping_since: Option<Instant>,
    /// The active process that has said that it hands over.
    previous_process: Option<String>,
    /// The spool could not be written at the last try, and the log says so.
    failure_logged: bool,
}

impl<'a> SuccessorIntake<'a> {
    pub(crate) fn new(options: IntakeOptions<'a>) -> SuccessorIntake<'a> {
        SuccessorIntake {
            options,
            numbers_by_id: BTreeMap::new(),
            acceptances: Acceptances::default(),
            deferred_events: DeferredEvents::default(),
            stopping_since: None,
            previous_process: None,
            failure_logged: false,
        }
    }

    /// Runs until the active process's lock is free, or until told to stop.
    pub(crate) async fn run(&mut self, events: &Receiver<Event>) -> IntakeEnd {
        loop {
            for event in next_events(events).await {
                self.handle(event);
            }
            self.commit();
            self.record_handover();
            if self.stopping_since.is_some() {
                if self.may_stop() {
                    self.finish(events).await;
                    return IntakeEnd::Stopped;
                }
            } else if self.options.active_lock.try_lock().is_ok() {
                let stored = self.options.spool.messages().len();
                info!("owns the state folder now, with {stored} messages accepted beside the active process");
                return IntakeEnd::BecameActive(std::mem::take(&mut self.deferred_events));
            }
        }
    }

    /// What the intake leaves to the active process that this one is now.
    pub(crate) fn into_parts(self) -> (Spool, Option<String>) {
        (self.options.spool, self.previous_process)
    }

    /// Whose snapshot counts: that of the process that has handed over.
    fn record_handover(&mut self) {
        if self.previous_process.is_none() {
            self.previous_process = self.options.files.handing_over_process();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::MessageReceived { message, reply_to } => self.on_message_received(message, reply_to),
            Event::ClientUnreachable(message) => self.on_client_unreachable(message),
            Event::StopRequested(_) => self.on_stop_requested(),
            Event::MaintenanceChanged(change) => self.on_maintenance_changed(change),
            Event::EndpointList(Ok(list)) => self.on_endpoint_list(list),
            other => self.deferred_events.push(other),
        }
    }

    fn on_message_received(&mut self, message: ClientSubmission, reply_to: Sender<SubmissionReply>) {
        if let Some(number) = self.numbers_by_id.get(&message.id).copied() {
            return self.on_message_received_again(number, &message, reply_to);
        }
        let accepted = match self.check(&message) {
            Ok(accepted) => accepted,
            Err(answer) => {
                let _ = reply_to.try_send(answer);
                return;
            }
        };
        let Some(number) = self.options.spool.accept(accepted) else {
            warn!("successor's spool: full with {} messages", self.options.spool.messages().len());
            let _ = reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
            return;
        };
        self.numbers_by_id.insert(message.id.clone(), number);
        self.acceptances.add(successor_message(number), reply_to);
    }

    /// A message of an id that is held. The id alone does not make it the one that is.
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
            info!("successor's message {number} is held, another one came under its id: rejected");
            let _ = reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
        }
    }

    /// What goes into the spool, or the answer if nothing does.
    fn check(&self, message: &ClientSubmission) -> Result<AcceptedMessage, SubmissionReply> {
        if !self.options.classes.contains(&message.metadata.class) {
            return Err(SubmissionReply::Failed(SubmissionError::UnknownClass));
        }
        let time_left = message.metadata.time_to_deadline.saturating_sub(message.received_at.elapsed());
        let class = self.options.classes.iter().position(|class| *class == message.metadata.class);
        let is_in_order = class.is_some_and(|class| self.options.ordered_classes[class]) && message.key != 0;
        let active = ActiveProcessState {
            // Asked each time: what the active process says ends with it.
            is_handing_over: is_in_order && self.options.files.handing_over_process().is_some(),
            has_shared_clock: self.options.stored_time.is_shared(),
        };
        if !successor_accepts(time_left, is_in_order, active) {
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

    /// The client did not hear that its message was accepted, and submits it again: unless another one has handed it in too,
    /// this one is nobody's.
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

    fn on_maintenance_changed(&mut self, change: Change) {
        if matches!(change, Change::EndpointOut(_) | Change::EndpointBack(_)) {
            self.options.files.write_maintenance(&self.options.maintenance.borrow());
        }
        self.deferred_events.push(Event::MaintenanceChanged(change));
    }

    fn on_endpoint_list(&mut self, list: EndpointList) {
        for entry in &list.entries {
            self.options.maintenance.borrow_mut().record_listed_endpoint(&entry.id);
        }
        self.deferred_events.push(Event::EndpointList(Ok(list)));
    }

    /// Commits what was accepted, and answers: only what is committed may be called accepted.
    fn commit(&mut self) {
        let committed = self.options.spool.commit();
        match &committed {
            // Logged once, or a full disk would fill the log.
            Err(e) if !self.failure_logged => error!("successor's spool: {e}"),
            _ => {}
        }
        self.failure_logged = committed.is_err();
        if committed.is_ok() {
            self.acceptances.reply_accepted();
            return;
        }
        for message in self.acceptances.reply_rejected() {
            self.remove(message);
        }
    }

    /// True once a process that is told to stop can end, or has to. It does not become active any more.
    fn may_stop(&self) -> bool {
        let is_late = self.stopping_since.is_some_and(|since| since.elapsed() >= RESTART.exit_timeout);
        is_late || self.options.client_connections.get() == 0
    }

    /// The end of a process that was not active: clients hear what became of the requests that were read.
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
            if rounds.is_complete(is_quiet) {
                break;
            }
        }
        let stored = self.options.spool.messages().len();
        info!("stopped before it was active, with {stored} messages in the successor's spool");
    }
}

/// A message of a successor, as its clients' connections know it.
fn successor_message(number: u64) -> MessageId {
    MessageId(FIRST_SUCCESSOR_NUMBER + number)
}

/// Waits for an event, or until it is time to look at the lock again; all events that are there come together.
async fn next_events(events: &Receiver<Event>) -> Vec<Event> {
    let look_at_lock = async {
        Timer::after(LOCK_POLL_INTERVAL).await;
        None
    };
    let first = async { events.recv().await.ok() }.or(look_at_lock).await;
    let mut came = Vec::from_iter(first);
    while let Ok(event) = events.try_recv() {
        came.push(event);
    }
    came
}
