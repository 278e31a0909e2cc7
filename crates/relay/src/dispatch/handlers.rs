//! Event handlers, one for each event: they update the dispatcher's state and collect the inputs of the policy.

use super::event::{CallNumber, Event};
use super::key_hold_offs::KeyHoldOff;
use super::state::{DispatcherState, SendPermissionRequest};
use crate::clients::{ClientSubmission, SubmissionError, SubmissionReply};
use crate::discovery::EndpointList;
use crate::ended_ids::{self, IdUse};
use crate::upstream::{self, AttemptResult, CallResult, CallStage};
use async_channel::Sender;
use log::{debug, info, warn};
use mountshift::interface::*;
use mountshift_handover::StopPlan;
use mountshift_spool::AcceptedMessage;
use std::time::Duration;

impl DispatcherState {
    /// Handles an event; adds the resulting inputs of the policy to `inputs`.
    pub(super) fn handle(&mut self, event: Event, inputs: &mut Vec<Input>) {
        match event {
            Event::MessageReceived { message, reply_to } => {
                self.on_message_received(message, reply_to, inputs);
            }
            Event::ClientUnreachable(message) => self.on_client_unreachable(message, inputs),
            Event::AttemptsEnded { call, results } => self.on_attempts_ended(call, results, inputs),
            Event::SendPermissionRequested { endpoint, address, reply_to } => {
                self.send_permission_requests.push(SendPermissionRequest { endpoint, address, reply_to });
            }
            Event::EndpointList(result) => self.on_poll_ended(result, inputs),
            Event::NotificationsAcknowledged(messages) => {
                self.on_notifications_acknowledged(messages, inputs);
            }
            Event::MaintenanceChanged(change) => self.on_maintenance_changed(change, inputs),
            Event::StopRequested(plan) => self.on_stop_requested(plan, inputs),
        }
    }

    fn close_message(&mut self, message: MessageId, inputs: &mut Vec<Input>) {
        self.close_in_spool(message, ClosingAttempt::InFlight);
        inputs.push(Input::Closed(message));
    }

    /// Closes a message whose client did not get the reply that it was accepted: the client will submit it again. Keeps
    /// the message if another client has submitted it too.
    fn on_client_unreachable(&mut self, message: MessageId, inputs: &mut Vec<Input>) {
        if !self.acceptances.release_client(message) {
            return;
        }
        let may_have_run = self
            .spool
            .borrow()
            .get(message.0)
            .is_some_and(|stored| stored.attempts.iter().any(|attempt| attempt.may_have_run));
        // The message must not be sent once more if it is submitted again under its id.
        if may_have_run {
            self.record_ended_id(message);
        }
        self.close_message(message, inputs);
    }

    fn on_message_received(
        &mut self,
        received: ClientSubmission,
        reply_to: Sender<SubmissionReply>,
        inputs: &mut Vec<Input>,
    ) {
        if let Some(message) = self.messages_by_id.get(&received.id).copied() {
            return self.on_id_already_held(message, &received, reply_to);
        }
        let deadline = self.clock.since_start(received.received_at) + received.metadata.time_to_deadline;
        let checked = self.check_message(&received, deadline);
        let checked = checked.and_then(|submission| self.check_id(&received).map_or(Ok(submission), Err));
        let submission = match checked {
            Ok(submission) => submission,
            Err(reply) => {
                let _ = reply_to.try_send(reply);
                return;
            }
        };
        let Some(message) = self.accept_message(received, deadline) else {
            let _ = reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
            return;
        };
        self.log_transition(message, "submitted", "held", "accepted");
        if submission.key.is_some() {
            self.log_ordering_key(message);
        }
        self.acceptances.add(message, reply_to);
        inputs.push(Input::Submitted { message, submission });
    }

    /// Handles a submission under the id of a held message. It counts as the same message only if its content is the
    /// same: otherwise its client would wait for a message that is not held, and the next message of its key would be
    /// sent before it.
    fn on_id_already_held(
        &mut self,
        message: MessageId,
        received: &ClientSubmission,
        reply_to: Sender<SubmissionReply>,
    ) {
        let is_same =
            self.spool.borrow().get(message.0).is_some_and(|stored| received.is_same_as(&stored.accepted));
        if is_same {
            info!("message {} was submitted again while it is held; treated as the same message", message.0);
            self.acceptances.add_repeat(message, reply_to);
            return;
        }
        info!("submission rejected: message {} is held under the same id with other content", message.0);
        self.metrics.count_id_conflict();
        let _ = reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
    }

    /// Returns the policy's view of a submitted message, or the reply to its client if it can't be accepted.
    fn check_message(
        &self,
        received: &ClientSubmission,
        deadline: Duration,
    ) -> Result<Submission, SubmissionReply> {
        let call_bytes =
            upstream::max_batch_entry_bytes(&received.id, &received.metadata_text, &received.body);
        let Some(submission) = self.submission(&received.metadata, received.key, deadline, call_bytes) else {
            return Err(SubmissionReply::Failed(SubmissionError::UnknownClass));
        };
        let holds_earlier = self.successor_spool.may_hold_earlier_messages();
        let is_in_order = self.is_in_order(&submission);
        if !mountshift_handover::active_accepts(is_in_order, self.is_handing_over, holds_earlier) {
            debug!(
                "submission of key {:016x} rejected: a successor accepts ordered messages or may hold earlier ones",
                received.key
            );
            return Err(SubmissionReply::Rejected { retry_after_ms: 0 });
        }
        // The message could not be sent anywhere and would be held until its deadline.
        if !self.endpoints.has_destination(submission.destination) {
            return Err(SubmissionReply::Failed(SubmissionError::UnknownDestination));
        }
        Ok(submission)
    }

    /// Returns the reply to a submission whose id was used before, by a message that has ended or in a successor.
    fn check_id(&mut self, received: &ClientSubmission) -> Option<SubmissionReply> {
        let content = received.content();
        let use_by_ended = ended_ids::find(self.spool.borrow().ended_ids(), &received.id, &content);
        let id_use = match use_by_ended {
            IdUse::Unused => self.successor_ids.find(&received.id, &content),
            id_use => id_use,
        };
        if id_use == IdUse::OtherMessage {
            self.metrics.count_id_conflict();
        }
        id_use.refusal()
    }

    /// Logs the ordering key and the local number of a message, so that on-call staff can follow the order of a key.
    fn log_ordering_key(&self, message: MessageId) {
        let spool = self.spool.borrow();
        let Some(stored) = spool.get(message.0) else { return };
        let AcceptedMessage { id, key, .. } = &stored.accepted;
        debug!("message {} has local number {} and key {key:016x}", String::from_utf8_lossy(id), message.0);
    }

    /// Adds a message to the spool; returns none if the spool is full.
    fn accept_message(&mut self, received: ClientSubmission, deadline: Duration) -> Option<MessageId> {
        let id = received.id.clone();
        let accepted = AcceptedMessage {
            id: received.id,
            key: received.key,
            metadata: received.metadata_text,
            deadline: self.clock.unix_ms(deadline),
            body: received.body,
            accepted_at_us: self.clock.unix(self.clock.now()).as_micros() as u64,
        };
        let Some(number) = self.spool.borrow_mut().accept(accepted) else {
            self.log_spool_full();
            return None;
        };
        self.spool_full_logged = false;
        let message = MessageId(number);
        self.messages_by_id.insert(id, message);
        Some(message)
    }

    /// Logs that the spool is full; once, as clients that keep submitting would fill the log.
    fn log_spool_full(&mut self) {
        if !self.spool_full_logged {
            self.spool_full_logged = true;
            warn!(
                "spool: full with {} messages; submissions are rejected",
                self.spool.borrow().messages().len()
            );
        }
    }

    fn on_attempts_ended(&mut self, call: CallNumber, results: CallResult, inputs: &mut Vec<Input>) {
        if let Some(endpoint) = self.calls_in_flight.get(&call).map(|call| call.endpoint) {
            if let Some(duration) = results.retry_after {
                inputs.push(Input::RetryAfter { endpoint, duration });
            }
            if let Some(rate) = self.reported_rate_limit(&results) {
                inputs.push(Input::RateLimitReported { endpoint, rate });
            }
        }
        for result in results.attempts {
            self.on_attempt_ended(call, result, inputs);
        }
    }

    /// Returns the rate limit from the load report of a response.
    fn reported_rate_limit(&self, results: &CallResult) -> Option<f64> {
        let field = self.settings.rate_limit_field.as_deref()?;
        upstream::load_report_value(results.load_report.as_deref()?, field)
    }

    fn on_attempt_ended(&mut self, number: CallNumber, result: AttemptResult, inputs: &mut Vec<Input>) {
        let AttemptResult { message, outcome, run, closed } = result;
        let Some(call) = self.calls_in_flight.get_mut(&number) else { return };
        if !call.messages.remove(&message) {
            return;
        }
        let endpoint = call.endpoint;
        let elapsed = self.now.saturating_sub(call.sent_at);
        let is_recorded = call.stage.get() != CallStage::Connecting;
        if call.messages.is_empty() {
            self.calls_in_flight.remove(&number);
        }
        if run == RunState::NeverRan && is_recorded {
            self.spool.borrow_mut().record_not_processed(message.0);
        }
        if run == RunState::MayBeRunning {
            self.record_key_hold_off(number, message, outcome);
        }
        if closed {
            if outcome == Outcome::Delivered {
                self.metrics.count_final_answer("delivered");
            }
            self.record_ended_id(message);
            self.close_in_spool(message, ClosingAttempt::Ended(run));
        }
        inputs.push(Input::AttemptEnded { message, endpoint, elapsed, outcome, run, closed });
    }

    /// Records that the hold-off of the message's ordering key begins. The policy enforces the hold-off; this record
    /// serves the metrics, the log and the check that is independent of the policy.
    fn record_key_hold_off(&self, call: CallNumber, message: MessageId, outcome: Outcome) {
        let Some(key) = self.policy.borrow().ordering_key(message) else { return };
        let spool = self.spool.borrow();
        let Some(stored) = spool.get(message.0) else { return };
        let id = stored.accepted.id.clone();
        self.metrics.count_key_hold_off(outcome.name());
        debug!(
            "key {:016x} on hold-off: message {} in call {} may still be running after outcome {}",
            key.0,
            String::from_utf8_lossy(&id),
            call.0,
            outcome.name()
        );
        self.key_hold_offs.begin(key, KeyHoldOff { message, id, call: call.0, since: self.now });
    }

    fn on_poll_ended(&mut self, result: Result<EndpointList, PollFailure>, inputs: &mut Vec<Input>) {
        match result {
            Ok(list) => {
                self.on_endpoint_list(list, inputs);
                // Routes that this list lacks belong to endpoints that have left it.
                self.restore_listed_routes(inputs);
                self.unrestored_routes.clear();
                inputs.push(Input::ListReceived);
            }
            Err(failure) => inputs.push(Input::PollFailed(failure)),
        }
    }

    fn on_notifications_acknowledged(&mut self, messages: Vec<MessageId>, inputs: &mut Vec<Input>) {
        for message in messages {
            self.record_ended_id(message);
            self.close_message(message, inputs);
        }
    }

    fn on_stop_requested(&mut self, plan: StopPlan, inputs: &mut Vec<Input>) {
        self.maintenance.borrow_mut().set_stopping();
        // A successor takes over the held messages: this process makes no further attempts.
        if plan.is_handover {
            self.is_handing_over = true;
            self.files.write_handover_marker();
            info!("relay hands over to its successor process and makes no further attempts");
            inputs.push(Input::HandoverStarted);
        }
    }
}
