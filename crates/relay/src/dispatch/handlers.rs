//! Takes events in, and turns them into what the decisions must know.

use super::event::Event;
use super::state::{DispatcherState, hash_id};
use crate::clients::{Answer, HandedIn};
use crate::clock::unix_us;
use crate::endpoints::{self, End, Stage};
use async_channel::Sender;
use log::{info, warn};
use mountshift::interface::*;
use mountshift_spool::AcceptedMessage;

impl DispatcherState {
    /// Takes an event in; what the decisions must know goes into `inputs`.
    pub(super) fn handle(&mut self, event: Event, inputs: &mut Vec<Input>) {
        match event {
            Event::MessageReceived { message, reply_to } => {
                self.on_message_received(message, reply_to, inputs)
            }
            // Its client will hand it in again: it is nobody's any more.
            Event::ClientUnreachable(message) => self.close_message(message, inputs),
            Event::AttemptsEnded(call, ends) => {
                if let Some(to) = self.calls_in_flight.get(&call).map(|out| out.to) {
                    ends.wait
                        .into_iter()
                        .for_each(|wait| inputs.push(Input::RetryAfter { endpoint: to, span: wait }));
                    let name = self.settings.rate_limit_field.as_deref();
                    let limit =
                        name.zip(ends.report.as_deref()).and_then(|(name, text)| endpoints::told(text, name));
                    limit
                        .into_iter()
                        .for_each(|rate| inputs.push(Input::RateLimitReported { endpoint: to, rate }));
                }
                ends.ends.into_iter().for_each(|end| self.on_attempt_ended(call, end, inputs));
            }
            Event::EndpointList(Ok(list)) => {
                self.on_endpoint_list(list, inputs);
                inputs.push(Input::ListReceived);
            }
            Event::EndpointList(Err(wait)) => inputs.push(Input::PollFailed { retry_after: wait }),
            Event::NotificationsTaken(taken) => {
                taken.iter().for_each(|message| self.remember_ended(*message));
                taken.into_iter().for_each(|message| self.close_message(message, inputs));
            }
            Event::ReachabilityAsked(to, reply_to) => self.reachability_questions.push((to, reply_to)),
            Event::MaintenanceChanged(change) => self.on_maintenance_changed(change, inputs),
            Event::StopRequested(how) => {
                self.maintenance.borrow_mut().stopping();
                // A process beside this one takes over what is held: nothing more goes out from here.
                if how.hands_over {
                    info!("hands over to the process beside it");
                    inputs.push(Input::HandoverStarted);
                }
            }
        }
    }

    fn close_message(&mut self, message: MessageId, inputs: &mut Vec<Input>) {
        self.remove_message(message);
        inputs.push(Input::Closed(message));
    }

    fn on_message_received(&mut self, m: HandedIn, reply_to: Sender<Answer>, inputs: &mut Vec<Input>) {
        let deadline = self.clock.at(m.at) + m.told.left;
        let Some(submission) = self.submission(&m.told, m.key, deadline) else {
            let _ = reply_to.try_send(Answer::Failed("c names no class"));
            return;
        };
        // Guards against messages that nobody can ever take: they would be held until their deadline.
        if !self.endpoints.lists(submission.destination) {
            let _ = reply_to.try_send(Answer::Failed("dest is not on the list"));
            return;
        }
        if let Some(message) = self.message_by_id.get(&m.id) {
            // Taken on already: the one that came first stands.
            info!("message {} came again while it is held", message.0);
            let _ = reply_to.try_send(Answer::Held);
            return;
        }
        if self.recently_ended.contains(&hash_id(&m.id)) {
            let _ = reply_to.try_send(Answer::Failed("the id was used before"));
            return;
        }
        let at = self.clock.unix_ms(deadline);
        let taken = AcceptedMessage {
            id: m.id,
            key: m.key,
            metadata: m.list,
            deadline: at,
            body: m.body,
            accepted_at_us: unix_us(),
        };
        let name = taken.id.clone();
        let added = self.spool.borrow_mut().accept(taken);
        let Some(n) = added else {
            // Told once, or what clients do meanwhile would fill the log.
            if !std::mem::replace(&mut self.spool_full_logged, true) {
                warn!("spool: full with {} messages", self.spool.borrow().messages().len());
            }
            let _ = reply_to.try_send(Answer::PushedBack(0));
            return;
        };
        let message = MessageId(n);
        self.spool_full_logged = false;
        self.message_by_id.insert(name, message);
        self.awaiting_answer.insert(message, reply_to);
        inputs.push(Input::Submitted { message, submission });
    }

    fn on_attempt_ended(&mut self, call: u64, (message, outcome, over): End, inputs: &mut Vec<Input>) {
        let Some(out) = self.calls_in_flight.get_mut(&call).filter(|out| out.messages.contains(&message))
        else {
            return;
        };
        out.messages.remove(&message);
        let (to, waited) = (out.to, self.now.saturating_sub(out.sent));
        let noted = out.stage.get() != Stage::Begun;
        if out.messages.is_empty() {
            self.calls_in_flight.remove(&call);
        }
        if outcome.never_ran() && noted {
            self.spool.borrow_mut().record_not_run(message.0);
        }
        if over {
            self.remember_ended(message);
            self.remove_message(message);
        }
        inputs.push(Input::AttemptEnded { message, endpoint: to, waited, outcome, closed: over });
    }
}
