//! Clients: their submissions, the answers that they receive, and their resubmissions.

use super::Day;
use super::events::Event;
use crate::Time;
use crate::host::RelayEvent;
use crate::random::Purpose;
use crate::traffic::Request;
use mountshift_invariants::{Fact, FinalAnswer};

/// Delay after which a client whose relay is down or doesn't respond submits to another relay.
const RECONNECT_DELAY: Time = 50_000;
/// Shortest delay before a client submits a rejected message again.
const MIN_RESUBMISSION_DELAY: Time = 1_000;

/// The state of a message at its client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientState {
    /// The client waits for an answer.
    Waiting,
    /// The client has received the acceptance or the final answer.
    Answered,
    /// The client has stopped waiting and submits the request under another id.
    GaveUp,
}

/// A message, which is one submission of a request.
pub(super) struct MessageState {
    pub(super) request: u32,
    pub(super) relay: u32,
    pub(super) client: ClientState,
    /// Whether the message took effect under this id.
    pub(super) took_effect: bool,
    /// Whether the message has its final answer or no client waits for one; only later effects are still counted.
    pub(super) closed: bool,
}

/// Progress of a request over all its submissions.
#[derive(Clone, Copy, Default)]
pub(super) struct RequestProgress {
    pub(super) delivered: bool,
    /// Number of message ids under which the request took effect.
    pub(super) effects: u32,
    submissions: u32,
}

impl Day<'_> {
    /// Returns the time after which a delivery of the request no longer counts.
    pub(super) fn deadline(&self, request: &Request) -> Time {
        request.at + self.world.scenario.classes[usize::from(request.class)].deadline.as_ref().us()
    }

    /// Submits a request to a relay that is up, or schedules another try if all relays are down.
    pub(super) fn submit(&mut self, request_id: u32) {
        let request = self.requests[request_id as usize];
        let deadline = self.deadline(&request);
        let progress = &mut self.progress[request_id as usize];
        if self.now >= deadline || progress.delivered {
            return;
        }
        let submission = progress.submissions;
        progress.submissions += 1;
        let Some(relay) = self.choose_relay(request_id, request.key, submission) else {
            self.schedule(self.now + RECONNECT_DELAY, Event::Submission { request: request_id });
            return;
        };
        let message = self.open_message(request_id, relay);
        let Request { class, tenant, destination, key, .. } = request;
        let request = u64::from(request_id);
        self.record(Fact::Submitted { message, request, relay, class, destination, key, deadline });
        let relay_state = &mut self.relays[relay as usize];
        relay_state.inbox.push(RelayEvent::Submitted { message, class, tenant, destination, key, deadline });
        if relay_state.stalled_until > self.now {
            let timeout = self.world.scenario.clients.submit_timeout.us();
            self.schedule(self.now + timeout, Event::ClientTimeout { message });
        }
    }

    /// Returns the relay that a client connects to. Messages of one ordering key go to the same relay while it is up.
    fn choose_relay(&self, request_id: u32, key: u64, submission: u32) -> Option<u32> {
        let client = if key != 0 { key } else { u64::from(request_id) << 20 | u64::from(submission) };
        let count = self.relays.len();
        let first = self.world.random.index(Purpose::RelayChoice, count, client, 0);
        let relay = (0..count).map(|i| (first + i) % count).find(|i| self.relays[*i].up)?;
        Some(relay as u32)
    }

    fn open_message(&mut self, request: u32, relay: u32) -> u64 {
        let message = self.next_message;
        self.next_message += 1;
        let client = ClientState::Waiting;
        let state = MessageState { request, relay, client, took_effect: false, closed: false };
        self.messages.insert(message, state);
        self.open_messages += 1;
        self.statistics.submissions.add(self.now, 1.0);
        message
    }

    /// Withdraws a message whose client has received no answer, and schedules a submission to another relay.
    pub(super) fn handle_client_timeout(&mut self, message_id: u64) {
        let Some(message) = self.messages.get_mut(&message_id) else { return };
        if message.client != ClientState::Waiting {
            return;
        }
        message.client = ClientState::GaveUp;
        let request = message.request;
        self.record(Fact::Withdrawn { message: message_id });
        self.close_message(message_id);
        self.schedule(self.now + RECONNECT_DELAY, Event::Submission { request });
    }

    /// Closes a message: no further answer is due under this id.
    pub(super) fn close_message(&mut self, message_id: u64) {
        let Some(message) = self.messages.get_mut(&message_id) else { return };
        if !message.closed {
            message.closed = true;
            self.open_messages -= 1;
        }
    }

    /// Passes a relay's answer to the client of a message: the acceptance if `answer` is `None`, else the final answer.
    pub(super) fn answer_client(&mut self, message_id: u64, answer: Option<FinalAnswer>) {
        let Some(message) = self.messages.get_mut(&message_id) else { return };
        if message.client == ClientState::GaveUp {
            if answer.is_none() {
                let relay = message.relay;
                self.relays[relay as usize].inbox.push(RelayEvent::ClientGone { message: message_id });
            }
            return;
        }
        message.client = ClientState::Answered;
        match answer {
            None => self.record(Fact::Accepted { message: message_id }),
            Some(answer) => {
                self.record(Fact::FinalAnswerReceived { message: message_id });
                self.end_message(message_id, answer);
            }
        }
    }

    /// Ends a message that was not delivered; its client may submit the request again if it was rejected.
    pub(super) fn end_message(&mut self, message_id: u64, answer: FinalAnswer) {
        let Some(message) = self.messages.get(&message_id) else { return };
        if message.closed {
            return;
        }
        let request = message.request;
        self.close_message(message_id);
        match answer {
            FinalAnswer::Failed => self.statistics.failed += 1,
            FinalAnswer::Rejected { retry_after } => {
                self.statistics.rejected += 1;
                self.schedule_resubmission(request, message_id, retry_after);
            }
        }
    }

    /// Draws whether the client submits a rejected request again, and schedules that after the relay's Retry-After or
    /// a default delay.
    fn schedule_resubmission(&mut self, request: u32, message_id: u64, retry_after: Time) {
        let clients = &self.world.scenario.clients;
        let drawn = self.world.random.uniform(Purpose::Resubmission, u64::from(request), message_id);
        if drawn >= clients.retry_share.0 {
            return;
        }
        let delay = if retry_after > 0 { retry_after } else { clients.default_retry_delay.us() };
        let max_delay = self.world.scenario.rules.max_retry_after.us();
        let delay = delay.min(max_delay).max(MIN_RESUBMISSION_DELAY);
        self.schedule(self.now + delay, Event::Submission { request });
    }

    /// Acknowledges the notification of a message's end, so that the relay can delete the message.
    pub(super) fn acknowledge_notification(&mut self, message_id: u64) {
        let Some(message) = self.messages.get(&message_id) else { return };
        let relay = message.relay as usize;
        self.record(Fact::FinalAnswerReceived { message: message_id });
        self.relays[relay].inbox.push(RelayEvent::NotificationAcknowledged { message: message_id });
    }
}
