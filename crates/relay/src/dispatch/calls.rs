//! Carries a step's decisions out.

use super::event::Event;
use super::state::{Desk, Out};
use crate::clients::{Answer, told};
use crate::upstream::{Call, End, Endpoint, Part, Stage};
use async_executor::Task;
use log::error;
use mountshift::interface::*;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl Desk {
    /// Carries the round's decisions out: first into the spool, then onto the sockets.
    pub(super) fn carry_out(&mut self) {
        let mut calls = Vec::new();
        for (to, legs) in std::mem::take(&mut self.sends) {
            let Some(endpoint) = self.endpoints.get(to).cloned() else { continue };
            let batch = self.batches.get(endpoint.kind.0 as usize).copied().unwrap_or(1);
            for legs in legs.chunks(batch) {
                calls.push((to, endpoint.clone(), legs.to_vec()));
            }
        }
        let safe = self.spool.borrow_mut().commit();
        if let Err(e) = &safe {
            error!("spool: {e}");
        }
        for (msg, asking) in std::mem::take(&mut self.asking) {
            if safe.is_ok() {
                let _ = asking.try_send(Answer::Taken(msg));
            } else {
                let _ = asking.try_send(Answer::PushedBack(0));
                let _ = self.events.try_send(Event::Gone(msg));
            }
        }
        for (to, endpoint, legs) in calls {
            self.count += 1;
            let n = self.count;
            let all = legs.iter().map(|(msg, _)| *msg).collect();
            let stage = Rc::new(Cell::new(Stage::Begun));
            let task = if safe.is_ok() {
                Some(self.start(n, to, endpoint, legs, stage.clone()))
            } else {
                // A leg that is not noted must not go out.
                let moot: Vec<End> = legs.iter().map(|(msg, _)| (*msg, Outcome::NotSent, false)).collect();
                let _ = self.events.try_send(Event::Ended(n, moot.into()));
                None
            };
            let out = Out { to, sent: self.now, legs: all, recalled: BTreeSet::new(), stage, task };
            self.calls.insert(n, out);
        }
    }

    fn start(
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
        let part = |(msg, _): &(MessageId, Duration)| {
            let spool = self.spool.borrow();
            let taken = &spool.get(msg.0)?.accepted;
            let idempotency_key = told(&taken.metadata).ok().and_then(|t| t.idempotency_key);
            Some(Part { msg: *msg, id: taken.id.clone(), idempotency_key, body: taken.body.clone() })
        };
        let parts = legs.iter().filter_map(part).collect();
        let (idle, events, late) = (self.idle.clone(), self.events.clone(), self.events.clone());
        let may_reach = Box::new(move || {
            let (tell, told) = async_channel::bounded(1);
            let _ = late.try_send(Event::Late(to, tell));
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
                .all(|(msg, _)| spool.get(msg.0).is_some_and(|kept| kept.pending_outcome.is_none()))
            {
                return false;
            }
            legs.iter().for_each(|(msg, _)| spool.record_attempt(msg.0, &zone, at));
            // A leg that is not noted must not go out.
            let safe = spool.commit();
            if let Err(e) = &safe {
                error!("spool: {e}");
                legs.iter().for_each(|(msg, _)| spool.record_not_run(msg.0));
            }
            safe.is_ok()
        });
        let call = Call { to, endpoint, parts, limit, connect, decided, may_reach, note, stage };
        let tell = move |ends| drop(events.try_send(Event::Ended(n, ends)));
        self.executor.spawn(async move { call.run(&idle, tell).await })
    }
}
