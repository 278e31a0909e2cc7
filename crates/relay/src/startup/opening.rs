//! Serving clients while the spool is not open yet. This phase is short unless access to the state folder fails.

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

/// Events received before the dispatcher runs, in order.
#[derive(Default)]
pub(crate) struct DeferredEvents(Vec<Event>);

impl DeferredEvents {
    pub(crate) fn push(&mut self, event: Event) {
        self.0.push(event);
    }

    /// Returns the events to the front of the channel, because an older endpoint list must not follow a newer one.
    pub(crate) fn requeue(self, events: &(Sender<Event>, Receiver<Event>)) {
        prepend(events, self.0);
    }

    /// Rejects the submissions among the events, none of which has been accepted yet, and removes them.
    fn reject_submissions(&mut self) {
        self.0.retain(|event| !reject_submission(event));
    }
}

/// Inserts items in front of those in the channel.
fn prepend<T>((sender, receiver): &(Sender<T>, Receiver<T>), first: Vec<T>) {
    let mut later = Vec::new();
    while let Ok(item) = receiver.try_recv() {
        later.push(item);
    }
    for item in first.into_iter().chain(later) {
        let _ = sender.try_send(item);
    }
}

/// Rejects the submission if the event is one; returns whether it was.
fn reject_submission(event: &Event) -> bool {
    let Event::MessageReceived { reply_to, .. } = event else { return false };
    let _ = reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
    true
}

/// Awaits an operation on the state folder while clients are served. Returns `None` if the process was stopped before
/// the operation completed.
///
/// # Errors
/// The error of the operation.
pub(crate) async fn await_while_serving<T>(
    tasks: &RelayTasks,
    deferred: &mut DeferredEvents,
    opening: impl Future<Output = Result<T, StartError>>,
) -> Result<Option<T>, StartError> {
    let opened = async { Some(opening.await) };
    let stopping = async {
        collect_events(tasks, deferred).await;
        None
    };
    if let Some(result) = opened.or(stopping).await {
        return result.map(Some);
    }
    finish(tasks).await;
    Ok(None)
}

/// Collects events until the process is stopped. Rejects submissions once the spool has not been opened within
/// [`SPOOL_OPEN_TIMEOUT`].
async fn collect_events(tasks: &RelayTasks, deferred: &mut DeferredEvents) {
    let started = Instant::now();
    loop {
        let received = async { tasks.events.1.recv().await.ok() };
        let waited = async {
            Timer::at(started + SPOOL_OPEN_TIMEOUT).await;
            None
        };
        let stopping = async {
            let _ = tasks.clients_stopping.1.recv().await;
            None
        };
        let is_late = started.elapsed() >= SPOOL_OPEN_TIMEOUT;
        let event = if is_late { received.or(stopping).await } else { received.or(waited).await };
        if let Some(event) = event {
            deferred.push(event);
        }
        if started.elapsed() >= SPOOL_OPEN_TIMEOUT {
            deferred.reject_submissions();
        }
        if tasks.clients_stopping.1.is_closed() {
            return deferred.reject_submissions();
        }
    }
}

/// Ends a process that never opened its spool: rejects the submissions still pending.
async fn finish(tasks: &RelayTasks) {
    tasks.clients_ending.0.close();
    let mut rounds = ShutdownRounds::start();
    loop {
        rounds.wait_for_next().await;
        let mut is_quiet = tasks.client_connections.get() == 0;
        while let Ok(event) = tasks.events.1.try_recv() {
            reject_submission(&event);
            is_quiet = false;
        }
        if rounds.is_complete(is_quiet) {
            break;
        }
    }
    info!("relay stopped before its spool was open");
}

#[cfg(test)]
#[path = "opening_tests.rs"]
mod tests;
