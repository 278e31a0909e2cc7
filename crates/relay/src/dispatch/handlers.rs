//! Takes events in, and turns them into what the decisions must know.

use super::event::Event;
use super::state::{Desk, number};
use crate::clients::{Answer, HandedIn};
use crate::clock::unix_us;
use crate::upstream::{self, End, Stage};
use async_channel::Sender;
use log::{info, warn};
use mountshift::interface::*;
use mountshift_spool::AcceptedMessage;

impl Desk {
    /// Takes an event in; what the decisions must know goes into `inputs`.
    pub(super) fn take(&mut self, event: Event, inputs: &mut Vec<Input>) {
        match event {
            Event::Message(message, asking) => self.take_message(message, asking, inputs),
            // Its client will hand it in again: it is nobody's any more.
            Event::Gone(msg) => self.take_over(msg, inputs),
            Event::Ended(call, ends) => {
                if let Some(to) = self.calls.get(&call).map(|out| out.to) {
                    ends.wait
                        .into_iter()
                        .for_each(|wait| inputs.push(Input::RetryAfter { endpoint: to, span: wait }));
                    let name = self.settings.rate_limit_field.as_deref();
                    let limit =
                        name.zip(ends.report.as_deref()).and_then(|(name, text)| upstream::told(text, name));
                    limit
                        .into_iter()
                        .for_each(|rate| inputs.push(Input::RateLimitReported { endpoint: to, rate }));
                }
                ends.ends.into_iter().for_each(|end| self.take_end(call, end, inputs));
            }
            Event::List(Ok(list)) => {
                self.take_list(list, inputs);
                inputs.push(Input::ListReceived);
            }
            Event::List(Err(wait)) => inputs.push(Input::PollFailed { retry_after: wait }),
            Event::Noticed(taken) => {
                taken.iter().for_each(|msg| self.remember(*msg));
                taken.into_iter().for_each(|msg| self.take_over(msg, inputs));
            }
            Event::Late(to, asking) => self.late.push((to, asking)),
            Event::Maintenance(change) => self.take_maintenance(change, inputs),
            Event::Stop(how) => {
                self.maintenance.borrow_mut().stopping();
                // A process beside this one takes over what is held: nothing more goes out from here.
                if how.hands_over {
                    info!("hands over to the process beside it");
                    inputs.push(Input::HandoverStarted);
                }
            }
        }
    }

    fn take_over(&mut self, msg: MessageId, inputs: &mut Vec<Input>) {
        self.over(msg);
        inputs.push(Input::Closed(msg));
    }

    fn take_message(&mut self, m: HandedIn, asking: Sender<Answer>, inputs: &mut Vec<Input>) {
        let deadline = self.clock.at(m.at) + m.told.left;
        let Some(hand_in) = self.hand_in(&m.told, m.key, deadline) else {
            let _ = asking.try_send(Answer::Failed("c names no class"));
            return;
        };
        // Guards against messages that nobody can ever take: they would be held until their deadline.
        if !self.endpoints.lists(hand_in.destination) {
            let _ = asking.try_send(Answer::Failed("dest is not on the list"));
            return;
        }
        if let Some(msg) = self.by_name.get(&m.id) {
            // Taken on already: the one that came first stands.
            info!("message {} came again while it is held", msg.0);
            let _ = asking.try_send(Answer::Held);
            return;
        }
        if self.ended.contains(&number(&m.id)) {
            let _ = asking.try_send(Answer::Failed("the id was used before"));
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
            if !std::mem::replace(&mut self.full, true) {
                warn!("spool: full with {} messages", self.spool.borrow().messages().len());
            }
            let _ = asking.try_send(Answer::PushedBack(0));
            return;
        };
        let msg = MessageId(n);
        self.full = false;
        self.by_name.insert(name, msg);
        self.asking.insert(msg, asking);
        inputs.push(Input::Submitted { message: msg, submission: hand_in });
    }

    fn take_end(&mut self, call: u64, (msg, outcome, over): End, inputs: &mut Vec<Input>) {
        let Some(out) = self.calls.get_mut(&call).filter(|out| out.legs.contains(&msg)) else { return };
        out.legs.remove(&msg);
        let (to, waited) = (out.to, self.now.saturating_sub(out.sent));
        let noted = out.stage.get() != Stage::Begun;
        if out.legs.is_empty() {
            self.calls.remove(&call);
        }
        if outcome.never_ran() && noted {
            self.spool.borrow_mut().record_not_run(msg.0);
        }
        if over {
            self.remember(msg);
            self.over(msg);
        }
        inputs.push(Input::AttemptEnded { message: msg, endpoint: to, waited, outcome, closed: over });
    }
}
