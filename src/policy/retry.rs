//! Retries: whether and when a message may be sent again after an attempt ended.

use super::WAKE;
use super::safety::MARGIN;
use super::{DeliveryPolicy, ms};
use crate::interface::*;
use crate::state::{Breaker, Msg};
use std::time::Duration;

const LEG_PAUSE: Duration = ms(250); // before a further leg, doubled with each
const FULL_SHARE_PAUSE: f64 = 8.0; // times the share of legs refused lately, so much longer after a refusal
const LEGS_LEAST: f64 = 2.0;

impl DeliveryPolicy {
    /// A leg from before a restart; without an outcome that proves the contrary it may have run.
    pub(super) fn earlier_attempt(&mut self, id: MessageId, zone: ZoneId, at: Duration, may_have_run: bool) {
        let Some(msg) = self.msgs.get_mut(&id) else { return };
        (msg.legs, msg.ran) = (msg.legs.saturating_add(1), msg.ran + u32::from(may_have_run));
        msg.may_have_run = msg.may_have_run.or(may_have_run.then_some((at, zone)));
        if let Some(line) = msg.key.filter(|_| may_have_run).and_then(|k| self.lines.get_mut(&k)) {
            (line.rest_until, line.rest_by) = (self.now + self.settings.order_hold_off, Some(id));
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: MessageId,
        to: EndpointId,
        waited: Duration,
        outcome: Outcome,
        over: bool,
    ) {
        let now = self.now;
        let no_room = outcome == Outcome::ConnectionLimit;
        let outcome = if no_room { Outcome::Rejected { retry_after: ms(0) } } else { outcome };
        let Some((msg, call_id)) = self.msgs.get_mut(&id).and_then(|m| m.out.take().map(|c| (m, c))) else {
            return;
        };
        let uncertain = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        msg.ran -= u32::from(outcome.never_ran());
        msg.may_have_run = msg.may_have_run.filter(|_| msg.ran > 0);
        msg.late += u32::from(outcome == Outcome::TimedOut);
        // Guards against legs burnt in a moment on what fails fast, or refused route after route.
        let times = 2f64.powi(i32::from(msg.legs.clamp(1, 6)) - 1);
        let (all, full, _) = self.fulls.totals(now, 30);
        let more = match outcome {
            Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut => times,
            Outcome::Rejected { .. } => times - 1.0 + times * FULL_SHARE_PAUSE * full / all.max(20.0),
            _ => 0.0,
        };
        msg.not_before = now + LEG_PAUSE.mul_f64(more);
        self.fulls.add(now, f64::from(u8::from(matches!(outcome, Outcome::Rejected { .. }))));
        let (key, ended) = (msg.key, msg.ended || over);
        // Rule 5: an attempt that may still be running holds back the rest of its key for a while.
        if let Some(line) = key.filter(|_| uncertain).and_then(|k| self.lines.get_mut(&k)) {
            (line.rest_until, line.rest_by) = (now + self.settings.order_hold_off, Some(id));
        }
        ended.then(|| self.closed(id));
        if let Outcome::Rejected { retry_after: wait } = outcome {
            self.retry_after(to, wait);
        }
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.left -= 1;
        let first = !std::mem::replace(&mut call.counted, true);
        let (route_id, full, idle) = (call.route, first && call.full, first && call.idle);
        idle.then(|| self.idle_ends.add(now, f64::from(u8::from(uncertain))));
        if call.left == 0 {
            self.calls.remove(&call_id);
            self.ended_at.push(to);
            if let Some(ep) = self.endpoints.get_mut(&to) {
                (ep.out, ep.used_at) = (ep.out.saturating_sub(1), now);
                let found = !no_room && outcome != Outcome::ConnectFailed;
                let row = self.found_room.entry(ep.kind).or_default();
                *row = if found { row.saturating_add(1) } else { 0 };
            }
        }
        let suspect = (first && (no_room || outcome == Outcome::ConnectFailed)) || (idle && uncertain);
        suspect.then(|| self.look_at_idle());
        match outcome {
            Outcome::Delivered => {
                first.then(|| self.call_answered(route_id));
                self.succeeded(route_id, call_id, to, waited, full);
            }
            Outcome::Cancelled | Outcome::NotSent => {
                self.end_trial(route_id, call_id, Breaker::HalfOpen(None))
            }
            _ if !first => {}
            Outcome::Rejected { retry_after: wait } => self.refused(route_id, call_id, to, wait),
            _ => self.failed(route_id, call_id, to),
        }
        if matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut | Outcome::Reset) {
            self.routes.entry(route_id).and_modify(|r| r.broken = r.run > 0);
        }
    }

    pub(super) fn may_go_again(&self, msg: &Msg) -> bool {
        let row = self.row(msg);
        // A lane worth nothing is no measure: guards against no leg for it, and any number for the others.
        let least = self
            .settings
            .classes
            .iter()
            .map(|l| l.priority_weight)
            .filter(|v| *v > 0.0)
            .fold(f64::MAX, f64::min);
        let legs = LEGS_LEAST + (row.priority_weight / least).round();
        msg.legs < self.settings.max_attempts
            && f64::from(msg.ran) < legs
            && (row.idempotency == Idempotency::Idempotent
                || msg.may_have_run.is_none()
                || self.known(msg) > Some(MARGIN * 2))
    }

    /// For how long a repeat of what may have run is still known for one, where repeats are.
    pub(super) fn known(&self, msg: &Msg) -> Option<Duration> {
        let until = self
            .row(msg)
            .idempotency
            .deduplication_window()
            .zip(msg.may_have_run)
            .map(|(memory, ran)| ran.0 + memory);
        until.map(|until| until.saturating_sub(self.now))
    }

    /// Fails what can't be sent again or is out of time, even in a call that goes on for others.
    pub(super) fn end_spent(&mut self, out: &mut dyn Actions) {
        let idle = |m: &Msg| m.deadline <= self.now + MARGIN || !self.may_go_again(m);
        let spent = |m: &Msg| if m.out.is_none() { idle(m) } else { m.deadline + WAKE < self.now };
        let ids = self.msgs.iter().filter(|(_, m)| !m.ended && spent(m)).map(|(id, _)| *id);
        for id in ids.collect::<Vec<_>>() {
            let at_once = out.fail(id);
            self.end(id, at_once);
        }
    }

    /// Nothing more is sent for the message: it was withdrawn, or ended here.
    pub(super) fn closed(&mut self, id: MessageId) {
        let Some(msg) = self.msgs.get_mut(&id) else { return };
        if msg.out.is_some() {
            msg.ended = true;
            return;
        }
        let line = msg.key.and_then(|key| self.lines.get_mut(&key));
        line.into_iter().for_each(|l| l.queue.retain(|m| *m != id));
        self.msgs.remove(&id);
    }

    /// Ended here. On sockets it keeps its place in line until the end was taken: guards rule 5.
    pub(super) fn end(&mut self, id: MessageId, at_once: bool) {
        self.msgs.entry(id).and_modify(|m| m.ended = true);
        at_once.then(|| self.closed(id));
    }
}
