//! Time-outs learnt from answer times, and what happens to calls that are overdue.

use super::{DeliveryPolicy, ms};
use crate::interface::*;
use crate::state::Call;
use std::time::Duration;

const TIMEOUT_LEAST: Duration = ms(600);
const TIMEOUT_MEANS: f64 = 6.0;
const TIMEOUT_PEAKS: f64 = 1.5;
const TIMEOUT_UNKNOWN: f64 = 1.5; // of the span to the target time
pub(super) const PATIENCE: f64 = 0.8; // of the time left, a leg is left out at least
const SLOTS_SPARE: usize = 8; // a slot in so many is kept free by recalling overdue legs
const ONCE_GRACE: u32 = 2; // times the learnt time-out before a one-chance leg is recalled

impl DeliveryPolicy {
    pub(super) fn learnt(&self, to: EndpointId) -> Option<Duration> {
        let (n, sum, peak) = self.endpoints[&to].answers.totals(self.now, 24);
        let span = Duration::from_secs_f64((TIMEOUT_MEANS * sum / n.max(1.0)).max(TIMEOUT_PEAKS * peak));
        (n >= 3.0).then_some(span.max(TIMEOUT_LEAST))
    }

    pub(super) fn timeout(&self, to: EndpointId, row: &MessageClass, late: u32) -> Duration {
        let span =
            self.learnt(to).unwrap_or(row.latency_objective.mul_f64(TIMEOUT_UNKNOWN).max(TIMEOUT_LEAST));
        span * 2u32.pow(late.min(4))
    }

    /// A leg past its learnt time-out counts as failed, though left out: guards against hosts that hang.
    pub(super) fn count_overdue(&mut self) {
        let now = self.now;
        let overdue = self.calls.iter().filter(|(_, c)| !c.counted && c.sent + c.expect <= now);
        let late: Vec<_> = overdue.map(|(id, c)| (*id, c.route, c.to, c.idle)).collect();
        for (call, route, to, idle) in late {
            self.calls.entry(call).and_modify(|c| c.counted = true);
            idle.then(|| self.idle_ends.add(now, 1.0));
            idle.then(|| self.look_at_idle());
            self.failed(route, call, to);
        }
    }

    /// Guards against hung legs holding every slot: the oldest overdue are recalled, one-chance ones later.
    pub(super) fn recall_overdue(&mut self, out: &mut dyn Actions) {
        let spare = self.settings.max_calls_in_flight.div_ceil(SLOTS_SPARE);
        let taken = self.calls.values().filter(|c| !c.recalled).count();
        let short = (taken + spare).saturating_sub(self.settings.max_calls_in_flight);
        let (wanted, mut recalled) = (if self.settings.may_cancel { short } else { 0 }, Vec::new());
        let overdue = |c: &Call| wanted > 0 && !c.recalled && self.now >= c.sent + c.expect;
        for (id, call) in self.calls.iter().filter(|(_, c)| overdue(c)) {
            let legs: Vec<_> = self.msgs.iter().filter(|(_, m)| m.out == Some(*id)).collect();
            let once = legs.iter().any(|(_, m)| self.row(m).idempotency == Idempotency::NotIdempotent);
            if recalled.len() < wanted && (!once || self.now >= call.sent + call.expect * ONCE_GRACE) {
                legs.iter().for_each(|(msg, m)| out.cancel(**msg, AttemptNumber(m.legs - 1)));
                recalled.push(*id);
            }
        }
        self.calls.iter_mut().filter(|(id, _)| recalled.contains(id)).for_each(|(_, c)| c.recalled = true);
    }
}
