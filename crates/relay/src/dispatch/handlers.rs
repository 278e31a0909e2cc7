//! Handles events: keeps the dispatcher's state, and tells the decisions what they must know. One handler each.

use super::event::{CallNumber, Event};
use super::key_rests::KeyRest;
use super::state::{DispatcherState, ReachabilityQuestion};
use crate::clients::{ClientSubmission, SubmissionError, SubmissionReply};
use crate::discovery::EndpointList;
use crate::upstream::{self, AttemptResult, CallResult, CallStage};
use async_channel::Sender;
use log::{debug, info, warn};
use mountshift::interface::*;
use mountshift_handover::StopPlan;
use mountshift_spool::AcceptedMessage;
use std::time::Duration;

impl DispatcherState {
    /// Handles an event; what the decisions must know goes into `inputs`.
    pub(super) fn handle(&mut self, event: Event, inputs: &mut Vec<Input>) {
        match event {
            Event::MessageReceived { message, reply_to } => {
                self.on_message_received(message, reply_to, inputs);
            }
            // Its client submits it again: this one is nobody's any more.
            Event::ClientUnreachable(message) => self.close_message(message, inputs),
            Event::AttemptsEnded { call, results } => self.on_attempts_ended(call, results, inputs),
            Event::ReachabilityAsked { endpoint, address, reply_to } => {
                self.reachability_questions.push(ReachabilityQuestion { endpoint, address, reply_to });
            }
            Event::EndpointList(result) => self.on_poll_ended(result, inputs),
            Event::NotificationsTaken(messages) => self.on_notifications_taken(messages, inputs),
            Event::MaintenanceChanged(change) => self.on_maintenance_changed(change, inputs),
            Event::StopRequested(plan) => self.on_stop_requested(plan, inputs),
        }
    }

    fn close_message(&mut self, message: MessageId, inputs: &mut Vec<Input>) {
        self.close_in_spool(message, AttemptAtClose::InFlight);
        inputs.push(Input::Closed(message));
    }

    fn on_message_received(
        &mut self,
        received: ClientSubmission,
        reply_to: Sender<SubmissionReply>,
        inputs: &mut Vec<Input>,
    ) {
        let deadline = self.clock.since_start(received.received_at) + received.metadata.time_to_deadline;
        let submission = match self.check_message(&received, deadline) {
            Ok(submission) => submission,
            Err(answer) => {
                let _ = reply_to.try_send(answer);
                return;
            }
        };
        let Some(message) = self.accept_message(received, deadline) else {
            let _ = reply_to.try_send(SubmissionReply::Rejected { retry_after_ms: 0 });
            return;
        };
        self.log_transition(message, "submitted", "held", "accepted");
        if submission.key.is_some() {
            self.log_key_of(message);
        }
        self.awaiting_answer.insert(message, reply_to);
        inputs.push(Input::Submitted { message, submission });
    }

    /// What the decisions are told of a message, or the answer if they are told nothing.
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
        let holds_earlier = self.successor_spool.may_hold_earlier();
        let is_in_order = self.is_in_order(&submission);
        if !mountshift_handover::active_accepts(is_in_order, self.hands_over, holds_earlier) {
            debug!("message of key {:016x} is left to the successor", received.key);
            return Err(SubmissionReply::Rejected { retry_after_ms: 0 });
        }
        // Nobody could ever take it: it would be held until its deadline.
        if !self.endpoints.has_destination(submission.destination) {
            return Err(SubmissionReply::Failed(SubmissionError::UnknownDestination));
        }
        // Accepted already: the one that came first stands.
        if let Some(message) = self.messages_by_id.get(&received.id) {
            info!("message {} came again while it is held", message.0);
            return Err(SubmissionReply::AlreadyHeld);
        }
        if self.has_ended_recently(&received.id) {
            return Err(SubmissionReply::Failed(SubmissionError::IdAlreadyUsed));
        }
        Ok(submission)
    }

    /// The place of a message among those of its key is what on-call staff need to follow its order.
    fn log_key_of(&self, message: MessageId) {
        let spool = self.spool.borrow();
        let Some(stored) = spool.get(message.0) else { return };
        let AcceptedMessage { id, key, .. } = &stored.accepted;
        debug!("message {} is number {} here, of key {key:016x}", String::from_utf8_lossy(id), message.0);
    }

    /// Puts a message into the spool; none if there is no room.
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

    /// Logged once, or clients that keep submitting would fill the log.
    fn log_spool_full(&mut self) {
        if !self.spool_full_logged {
            self.spool_full_logged = true;
            warn!("spool: full with {} messages", self.spool.borrow().messages().len());
        }
    }

    fn on_attempts_ended(&mut self, call: CallNumber, results: CallResult, inputs: &mut Vec<Input>) {
        if let Some(endpoint) = self.calls_in_flight.get(&call).map(|call| call.endpoint) {
            if let Some(span) = results.retry_after {
                inputs.push(Input::RetryAfter { endpoint, span });
            }
            if let Some(rate) = self.reported_rate_limit(&results) {
                inputs.push(Input::RateLimitReported { endpoint, rate });
            }
        }
        for result in results.attempts {
            self.on_attempt_ended(call, result, inputs);
        }
    }

    /// The rate limit in the report that came with an answer.
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
        let waited = self.now.saturating_sub(call.sent_at);
        let is_recorded = call.stage.get() != CallStage::Connecting;
        if call.messages.is_empty() {
            self.calls_in_flight.remove(&number);
        }
        if run == RunState::NeverRan && is_recorded {
            self.spool.borrow_mut().record_not_run(message.0);
        }
        if run == RunState::MayBeRunning {
            self.note_key_rest(number, message, outcome);
        }
        if closed {
            if outcome == Outcome::Delivered {
                self.metrics.count_final_answer("delivered");
            }
            self.remember_ended(message);
            self.close_in_spool(message, AttemptAtClose::Ended(run));
        }
        inputs.push(Input::AttemptEnded { message, endpoint, waited, outcome, run, closed });
    }

    /// The decisions let the key of the message rest from here on. Counted and logged apart from them.
    fn note_key_rest(&self, call: CallNumber, message: MessageId, outcome: Outcome) {
        let Some(key) = self.policy.borrow().ordering_key(message) else { return };
        let spool = self.spool.borrow();
        let Some(stored) = spool.get(message.0) else { return };
        let id = stored.accepted.id.clone();
        self.metrics.count_key_rest(outcome.name());
        debug!(
            "key {:016x} rests behind message {} and call {}: {}",
            key.0,
            String::from_utf8_lossy(&id),
            call.0,
            outcome.name()
        );
        self.key_rests.begin(key, KeyRest { message, id, call: call.0, since: self.now });
    }

    fn on_poll_ended(&mut self, result: Result<EndpointList, Option<Duration>>, inputs: &mut Vec<Input>) {
        match result {
            Ok(list) => {
                self.on_endpoint_list(list, inputs);
                inputs.push(Input::ListReceived);
            }
            Err(retry_after) => inputs.push(Input::PollFailed { retry_after }),
        }
    }

    fn on_notifications_taken(&mut self, messages: Vec<MessageId>, inputs: &mut Vec<Input>) {
        for message in messages {
            self.remember_ended(message);
            self.close_message(message, inputs);
        }
    }

    fn on_stop_requested(&mut self, plan: StopPlan, inputs: &mut Vec<Input>) {
        self.maintenance.borrow_mut().set_stopping();
        // A successor takes over what is held: nothing more is sent from here.
        if plan.hands_over {
            self.hands_over = true;
            self.files.raise_handover_marker();
            info!("hands over to the process beside it");
            inputs.push(Input::HandoverStarted);
        }
    }
}
