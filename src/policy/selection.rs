//! Selection: which destination is served next, at which endpoint, with which messages.

use super::DeliveryPolicy;
use super::concurrency::SLOT_SHARE;
use super::idle_connections::IDLE;
use super::slow_start::COLD_ITEM;
use crate::interface::*;
use crate::state::{Breaker, Call, Msg};
use std::collections::BTreeMap;
use std::time::Duration;

const PICK_SLOW: f64 = 0.2; // points for an answer time as long as the span to the target time
const PICK_USED: f64 = 0.05; // points for credits all out; fees and prices count in points as told
const PICK_CHANCE: f64 = 0.01;
const CALL_TIMES: f64 = 0.5; // messages share a call if the shortest time left is this share of the longest

impl DeliveryPolicy {
    /// Free slots go in turns over destinations with messages waiting, fewest calls out first.
    pub(super) fn send_waiting(&mut self, out: &mut dyn Actions) {
        let mut waiting: BTreeMap<DestinationId, Vec<MessageId>> = BTreeMap::new();
        for (id, msg) in &self.msgs {
            if msg.out.is_none() && !msg.ended && msg.not_before <= self.now && self.in_turn(*id, msg) {
                waiting.entry(msg.destination).or_default().push(*id);
            }
        }
        let still = self.handing_over || self.list_due.is_some_and(|at| self.now < at);
        while !still && self.calls.len() < self.settings.max_calls_in_flight {
            let next = waiting.keys().min_by_key(|d| (self.calls_out(**d), self.near.get(d).map(|n| n.1)));
            let Some(dst) = next.copied() else { break };
            let mut list = waiting.remove(&dst).unwrap_or_default();
            if self.send_call(dst, &mut list, out) && !list.is_empty() {
                waiting.insert(dst, list);
            }
        }
    }

    /// Sends one call to a destination, with as many of the messages as may travel in it.
    fn send_call(&mut self, dst: DestinationId, list: &mut Vec<MessageId>, out: &mut dyn Actions) -> bool {
        let now = self.now;
        let free = self.settings.max_calls_in_flight - self.calls.len();
        // Guards against slow or suspect destinations taking all slots. Harm: with few they open late.
        if self.calls_out(dst) as f64 >= SLOT_SHARE * free as f64 {
            return false;
        }
        let target = self.row(&self.msgs[&list[0]]).latency_objective.as_secs_f64();
        let mut options = Vec::new();
        let suspect = |c: &&Call| self.routes.get(&c.route).is_some_and(|r| r.run > 0);
        let suspects = self.calls.values().filter(suspect).count();
        let near = self.near.get(&dst).map(|near| near.0.clone()).unwrap_or_default();
        for id in near.iter().copied() {
            let ep = &self.endpoints[&id];
            let resting = near.len() > 1 && now < ep.rest_until;
            let route_id = self.route_of(id);
            // The trial takes no credit: legs left out on a hung host must not hold it up.
            let closed = self.routes[&route_id].breaker == Breaker::Closed;
            let spent = closed && f64::from(ep.out) + 1.0 > ep.limit;
            let held = closed && self.routes[&route_id].run > 0 && suspects >= free;
            let shut = ep.off_since.is_some() || spent || resting || held;
            let room = if shut { 0 } else { self.room(route_id, self.batch(ep.kind)) };
            if room == 0 {
                continue;
            }
            let ep = &self.endpoints[&id];
            let (n, sum, _) = ep.answers.totals(now, 24);
            let fee = route_id.1.and(self.settings.zone_fees.get(ep.zone.0 as usize)).copied().unwrap_or(0.0);
            let cross = if ep.zone == self.settings.zone { 0.0 } else { self.settings.cross_zone_price };
            let slow = if n > 0.0 { PICK_SLOW * (sum / n / target).min(2.0) } else { 0.0 };
            let cost = fee + cross + slow + PICK_USED * f64::from(ep.out) / ep.limit;
            let cost = cost + PICK_CHANCE * self.chance(id.0);
            options.push((cost, id, room));
        }
        if options.is_empty() {
            return false;
        }
        options.sort_by(|a, b| a.0.total_cmp(&b.0));
        // What is worth most now, with the line behind its key (guards against long ones), goes first.
        let line = |m: &Msg| m.key.and_then(|k| self.lines.get(&k)).map_or(1, |l| l.queue.len()) as f64;
        let rank = |m: &Msg| (!m.untried(), (-self.worth(m) * line(m) * 1e6) as i64, m.target);
        list.sort_by_cached_key(|id| rank(&self.msgs[id]));
        options.into_iter().any(|(_, to, room)| self.send_to(to, room, list, out))
    }

    fn send_to(
        &mut self,
        to: EndpointId,
        room: usize,
        list: &mut Vec<MessageId>,
        out: &mut dyn Actions,
    ) -> bool {
        let now = self.now;
        let route_id = self.route_of(to);
        let trial = self.routes[&route_id].breaker != Breaker::Closed;
        if trial {
            // A trial can strand a message that must not run twice: a safer one goes first.
            list.sort_by_key(|id| self.row(&self.msgs[id]).idempotency);
        }
        self.count += 1;
        let call = self.count;
        let learnt = self.learnt(to);
        let (mut sent, mut expect, mut least, mut most) = (0, Duration::ZERO, Duration::MAX, Duration::ZERO);
        list.retain(|id| {
            // A call ends at its shortest limit: guards against one with little time that cuts others off.
            let time = self.msgs[id].deadline.saturating_sub(now);
            // One whose time is long beside the learnt answer cuts nobody off: else what waited long keeps
            // out what is new, and each takes a call of its own where calls are few.
            let ample = learnt.is_some_and(|span| time.min(least).mul_f64(CALL_TIMES) >= span);
            let joins = sent == 0 || ample || least.min(time) >= most.max(time).mul_f64(CALL_TIMES);
            let span = if sent < room && joins { self.send(*id, to, call, out) } else { None };
            if span.is_some() {
                (least, most) = (least.min(time), most.max(time));
            }
            sent += usize::from(span.is_some());
            expect = expect.max(span.unwrap_or_default());
            span.is_none()
        });
        if sent == 0 {
            return false;
        }
        let (left, full) = (sent as u32, sent >= room);
        let ep = &self.endpoints[&to];
        let idle = ep.out == 0 && ep.used_at > Duration::ZERO && now > ep.used_at + IDLE;
        let made = Call { route: route_id, to, left, sent: now, expect, full, idle, ..Call::default() };
        self.calls.insert(call, made);
        self.near.entry(route_id.0).or_default().1 = call;
        self.endpoints.entry(to).and_modify(|ep| (ep.out, ep.used_at) = (ep.out + 1, now));
        if let Some(route) = self.routes.get_mut(&route_id) {
            route.tokens.left -= 1.0;
            route.cold.left -= 1.0 + COLD_ITEM * (sent as f64 - 1.0);
        }
        trial.then(|| self.set_breaker(route_id, Breaker::HalfOpen(Some(call))));
        true
    }

    pub(super) fn in_turn(&self, id: MessageId, msg: &Msg) -> bool {
        let Some(line) = msg.key.and_then(|k| self.lines.get(&k)) else { return true };
        line.queue.front() == Some(&id) && (line.rest_until <= self.now || line.rest_by == Some(id))
    }
}
