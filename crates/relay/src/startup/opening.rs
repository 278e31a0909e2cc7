//! The time in which a process already answers clients and does not have its spool yet. It is short, unless the state
//! folder fails for a while.

use super::tasks::RelayTasks;
use crate::clients::SubmissionReply;
use crate::dispatch::Event;
use crate::error::StartError;
use crate::shutdown_rounds::ShutdownRounds;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use log::info;
use mountshift_handover::SPOOL_OPEN_TIMEOUT;
use std::time::Instant;

/// Events that came before there was a dispatcher, in order.
#[derive(Default)]
pub(crate) struct DeferredEvents(Vec<Event>);

impl DeferredEvents {
    pub(crate) fn push(&mut self, event: Event) {
        self.0.push(event);
    }

    /// Puts them back, in front of all that came since: an older list of endpoints must not follow a newer one.
    pub(crate) fn put_back(self, events: &(Sender<Event>, Receiver<Event>)) {
        send_first(events, self.0);
    }

    /// Rejects the messages among them, which nobody has accepted.
    fn reject_messages(&mut self) {
        self.0.retain(|event| !reject_if_message(event));
    }
}

/// Sends these in front of all that the channel holds.
fn send_first<T>((sender, receiver): &(Sender<T>, Receiver<T>), first: Vec<T>) {
    let mut later = Vec::new();
    while let Ok(item) = receiver.try_recv() {
        later.push(item);
    }
    for item in first.into_iter().chain(later) {
        let _ = sender.try_send(item);
    }
}

/// True if the event was a message, which is rejected now.
fn reject_if_message(event: &Event) -> bool {
    let Event::MessageReceived { reply_to, .. } = event else { return false };
    let _ = reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
    true
}

/// Waits for something that needs the state folder, while clients are answered. None if the process was told to stop
/// and it is time to end.
///
/// # Errors
/// As what is waited for.
pub(crate) async fn open_beside_clients<T>(
    tasks: &RelayTasks,
    deferred: &mut DeferredEvents,
    opening: impl Future<Output = Result<T, StartError>>,
) -> Result<Option<T>, StartError> {
    let opened = async { Some(opening.await) };
    let leaving = async {
        collect_events(tasks, deferred).await;
        None
    };
    if let Some(result) = opened.or(leaving).await {
        return result.map(Some);
    }
    finish(tasks).await;
    Ok(None)
}

/// Collects events until clients are to go. Messages that waited too long are rejected.
async fn collect_events(tasks: &RelayTasks, deferred: &mut DeferredEvents) {
    let started = Instant::now();
    loop {
        let received = async { tasks.events.1.recv().await.ok() };
        let waited = async {
            Timer::at(started + SPOOL_OPEN_TIMEOUT).await;
            None
        };
        let leaving = async {
            let _ = tasks.clients_leave.1.recv().await;
            None
        };
        let is_late = started.elapsed() >= SPOOL_OPEN_TIMEOUT;
        let event = if is_late { received.or(leaving).await } else { received.or(waited).await };
        if let Some(event) = event {
            deferred.push(event);
        }
        if started.elapsed() >= SPOOL_OPEN_TIMEOUT {
            deferred.reject_messages();
        }
        if tasks.clients_leave.1.is_closed() {
            return deferred.reject_messages();
        }
    }
}

/// The end of a process that never had its spool: clients hear that nothing of theirs was accepted.
async fn finish(tasks: &RelayTasks) {
    tasks.clients_end.0.close();
    let mut rounds = ShutdownRounds::start();
    loop {
        rounds.wait_for_next().await;
        let mut is_quiet = tasks.client_connections.get() == 0;
        while let Ok(event) = tasks.events.1.try_recv() {
            reject_if_message(&event);
            is_quiet = false;
        }
        if rounds.is_complete(is_quiet) {
            break;
        }
    }
    info!("stopped before its spool was open");
}

#[cfg(test)]
#[path = "opening_tests.rs"]
mod tests;
