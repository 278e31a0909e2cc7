//! Restores the state that earlier processes of the relay stored: routes after a handover, and messages in the spool.

use super::calls::batch_entry_bytes;
use super::state::DispatcherState;
use crate::clients::{SubmissionMetadata, is_same_message};
use crate::startup::spool::{has_ended_id, log_id_conflict, notify_no_space};
use log::{debug, info};
use mountshift::interface::*;
use mountshift_handover::{RouteRecord, Snapshot};
use mountshift_spool::{AcceptedMessage, AttemptRecord, FinalOutcome, StoredMessage};
use std::time::Duration;

/// Minimum of a restored time that is not zero: zero means "none" or "due now".
const MIN_NONZERO_TIME: Duration = Duration::from_millis(1);

impl DispatcherState {
    /// Restores routes: a `Retry-After` and a slow start still apply after a handover (rules 4 and 6).
    pub(super) fn restore_routes(&mut self, snapshot: Snapshot, inputs: &mut Vec<Input>) {
        let now_ms = self.clock.unix_ms(self.now);
        let snapshot = snapshot.without_expired(now_ms);
        debug!("restoring route snapshot at {now_ms} ms Unix time: {}", snapshot.to_json());
        self.unrestored_routes = snapshot.routes;
        self.restore_listed_routes(inputs);
    }

    /// Restores the routes of the previous process that the list has by now. The others wait for the first list of
    /// discovery: the list of the configuration may be older than the routes.
    pub(super) fn restore_listed_routes(&mut self, inputs: &mut Vec<Input>) {
        let stored = std::mem::take(&mut self.unrestored_routes);
        if stored.is_empty() {
            return;
        }
        let (listed, unlisted): (Vec<RouteRecord>, Vec<RouteRecord>) =
            stored.into_iter().partition(|route| self.is_route_listed(route));
        let restored: Vec<RouteSnapshot> =
            listed.iter().filter_map(|route| self.restored_route(route)).collect();
        info!(
            "restored {} routes of the previous process, {} are not listed",
            restored.len(),
            unlisted.len()
        );
        inputs.push(Input::RoutesRestored(restored));
        self.unrestored_routes = unlisted;
    }

    fn is_route_listed(&self, record: &RouteRecord) -> bool {
        match &record.endpoint {
            Some(name) => self.endpoints.id_of(name).is_some(),
            None => self.endpoints.has_destination(DestinationId(record.destination)),
        }
    }

    /// Converts a stored route for the policy; returns none if its endpoint is not on the list.
    fn restored_route(&self, record: &RouteRecord) -> Option<RouteSnapshot> {
        let endpoint = match &record.endpoint {
            Some(name) => Some(self.endpoints.id_of(name)?),
            None => None,
        };
        let since_start = |unix_ms: u64| {
            if unix_ms == 0 {
                Duration::ZERO
            } else {
                self.clock.since_start_of_unix_ms(unix_ms).max(MIN_NONZERO_TIME)
            }
        };
        Some(RouteSnapshot {
            destination: DestinationId(record.destination),
            endpoint,
            retry_after_until: since_start(record.retry_after_until_ms),
            open_until: record.open_until_ms.map(since_start),
            slow_start_since: record.slow_start_since_ms.map(since_start),
        })
    }

    /// Restores every message that earlier processes stored in the spool.
    pub(super) fn restore_spool(&mut self, inputs: &mut Vec<Input>) {
        let stored_messages = self.spool.borrow().messages().clone();
        for (number, stored) in stored_messages {
            self.restore_message(MessageId(number), stored, inputs);
        }
    }

    /// Takes over the messages of a successor that exited before it became active: otherwise they would not be sent
    /// before the next start of a process. The policy gets them only after the successor's spool is removed: otherwise
    /// a later process would take them over a second time.
    pub(super) fn adopt_orphaned_messages(&mut self, inputs: &mut Vec<Input>) {
        let Some(orphaned) = self.successor_spool.take_orphaned() else { return };
        let mut adopted = Vec::new();
        let mut left_out = Vec::new();
        for stored in &orphaned.messages {
            if self.is_id_used(&stored.accepted) {
                continue;
            }
            let number = self.spool.borrow_mut().accept(stored.accepted.clone());
            match number {
                Some(number) => adopted.push((MessageId(number), stored.clone())),
                None => left_out.push(stored.clone()),
            }
        }
        let is_committed = self.commit_spool();
        if !is_committed || orphaned.remove().is_err() {
            // Retried at the next check.
            for (message, _) in adopted {
                self.spool.borrow_mut().remove(message.0);
            }
            return;
        }
        self.successor_spool.record_takeover();
        info!("took over {} messages of a successor that exited before it became active", adopted.len());
        for stored in left_out {
            notify_no_space(stored, &self.notifications);
        }
        for (message, stored) in adopted {
            self.restore_message(message, stored, inputs);
        }
    }

    /// Returns whether the id of a successor's message belongs to a message that this process holds or that has ended.
    fn is_id_used(&self, accepted: &AcceptedMessage) -> bool {
        let spool = self.spool.borrow();
        let Some(held) = self.messages_by_id.get(&accepted.id) else {
            return has_ended_id(accepted, spool.ended_ids());
        };
        let is_same = spool.get(held.0).is_some_and(|stored| is_same_message(&stored.accepted, accepted));
        if !is_same {
            log_id_conflict(accepted);
        }
        true
    }

    fn restore_message(&mut self, message: MessageId, stored: StoredMessage, inputs: &mut Vec<Input>) {
        self.messages_by_id.insert(stored.accepted.id.clone(), message);
        let submission = self.restored_submission(&stored);
        let mut final_outcome = stored.pending_outcome;
        if submission.is_none() && final_outcome.is_none() {
            // The settings no longer have the message's class, so the policy can't handle it.
            final_outcome = Some(FinalOutcome::Failed);
        }
        if let Some(outcome) = final_outcome {
            self.notify(message, outcome);
        }
        let Some(submission) = submission else { return };
        inputs.push(Input::Submitted { message, submission });
        if final_outcome.is_some() {
            // Until the notification is acknowledged, the message blocks the later messages of its key.
            inputs.push(Input::FinalAnswerPending(message));
        }
        for attempt in &stored.attempts {
            inputs.push(self.earlier_attempt(message, attempt));
        }
    }

    fn restored_submission(&self, stored: &StoredMessage) -> Option<Submission> {
        let metadata = SubmissionMetadata::parse(&stored.accepted.metadata).ok()?;
        let deadline = self.clock.since_start_of_unix_ms(stored.accepted.deadline);
        let call_bytes = batch_entry_bytes(&stored.accepted);
        let submission = self.submission(&metadata, stored.accepted.key, deadline, call_bytes)?;
        Some(Submission { restored: true, ..submission })
    }

    fn earlier_attempt(&mut self, message: MessageId, attempt: &AttemptRecord) -> Input {
        Input::EarlierAttempt {
            message,
            zone: self.endpoints.zone_id(&attempt.zone),
            at: self.clock.since_start_of_unix_ms(attempt.at),
            may_have_run: attempt.may_have_run,
        }
    }
}
