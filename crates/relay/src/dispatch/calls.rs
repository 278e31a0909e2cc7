//! Carries a step's decisions out.

use super::event::Event;
use super::state::{CallInFlight, DispatcherState};
use crate::clients::{Answer, told};
use crate::endpoints::{Call, End, Endpoint, Part, Stage};
use async_executor::Task;
use log::error;
use mountshift::interface::*;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl DispatcherState {
    /// Carries the round's decisions out: first into the spool, then onto the sockets.
    pub(super) fn execute_step(&mut self) {
        let mut calls = Vec::new();
        for (to, legs) in std::mem::take(&mut self.pending_sends) {
            let Some(endpoint) = self.endpoints.get(to).cloned() else { continue };
            let batch = self.max_batches.get(endpoint.kind.0 as usize).copied().unwrap_or(1);
            for legs in legs.chunks(batch) {
                calls.push((to, endpoint.clone(), legs.to_vec()));
            }
        }
        let safe = self.spool.borrow_mut().commit();
        if let Err(e) = &safe {
            error!("spool: {e}");
        }
        for (message, reply_to) in std::mem::take(&mut self.awaiting_answer) {
            if safe.is_ok() {
                let _ = reply_to.try_send(Answer::Taken(message));
            } else {
                let _ = reply_to.try_send(Answer::PushedBack(0));
                let _ = self.events.try_send(Event::ClientUnreachable(message));
            }
        }
        for (to, endpoint, legs) in calls {
            self.last_call_number += 1;
            let n = self.last_call_number;
            let all = legs.iter().map(|(message, _)| *message).collect();
            let stage = Rc::new(Cell::new(Stage::Begun));
            let task = if safe.is_ok() {
                Some(self.start_call(n, to, endpoint, legs, stage.clone()))
            } else {
                // A leg that is not noted must not go out.
                let moot: Vec<End> =
                    legs.iter().map(|(message, _)| (*message, Outcome::NotSent, false)).collect();
                let _ = self.events.try_send(Event::AttemptsEnded(n, moot.into()));
                None
            };
            let out =
                CallInFlight { to, sent: self.now, messages: all, cancelled: BTreeSet::new(), stage, task };
            self.calls_in_flight.insert(n, out);
        }
    }

    fn start_call(
        &self,
        n: u64,
        to: EndpointId,
        endpoint: Endpoint,
        legs: Vec<(MessageId, Duration)>,
        stage: Rc<Cell<Stage>>,
    ) -> Task<()> {
        // A call is given up as a whole, so that none of its messages is out again while it is open, and at
        // the shortest limit: guards against an answer behind the deadline of one, which counts for none.
        let limit = legs.iter().map(|l| l.1).min().unwrap_or_default();
        let part = |(message, _): &(MessageId, Duration)| {
            let spool = self.spool.borrow();
            let taken = &spool.get(message.0)?.accepted;
            let idempotency_key = told(&taken.metadata).ok().and_then(|t| t.idempotency_key);
            Some(Part { msg: *message, id: taken.id.clone(), idempotency_key, body: taken.body.clone() })
        };
        let parts = legs.iter().filter_map(part).collect();
        let (idle, events, late) = (self.idle_connections.clone(), self.events.clone(), self.events.clone());
        let may_reach = Box::new(move || {
            let (tell, told) = async_channel::bounded(1);
            let _ = late.try_send(Event::ReachabilityAsked(to, tell));
            told
        });
        let (connect, decided) = (self.settings.connect_timeout, Instant::now());
        let (spool, clock, zone) =
            (self.spool.clone(), self.clock, self.endpoints.zone_name(endpoint.zone).to_string());
        let note = Box::new(move || {
            let (mut spool, at) = (spool.borrow_mut(), clock.unix_ms(clock.at(Instant::now())));
            // Guards against a message that goes out behind its end, or that nobody wants any more.
            if !legs
                .iter()
                .all(|(message, _)| spool.get(message.0).is_some_and(|kept| kept.pending_outcome.is_none()))
            {
                return false;
            }
            legs.iter().for_each(|(message, _)| spool.record_attempt(message.0, &zone, at));
            // A leg that is not noted must not go out.
            let safe = spool.commit();
            if let Err(e) = &safe {
                error!("spool: {e}");
                legs.iter().for_each(|(message, _)| spool.record_not_run(message.0));
            }
            safe.is_ok()
        });
        let call = Call { to, endpoint, parts, limit, connect, decided, may_reach, note, stage };
        let tell = move |ends| drop(events.try_send(Event::AttemptsEnded(n, ends)));
        self.executor.spawn(async move { call.run(&idle, tell).await })
    }
}
