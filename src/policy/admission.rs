//! Admission: tenants' quotas, priority weights, and whom to reject when space runs out.

use super::DeliveryPolicy;
use crate::interface::*;
use crate::state::Msg;

const OVER_SHARE: f64 = 0.05;
pub(super) const SHARE_BURST: f64 = 2.0; // seconds of the quota
const HELD_MOST: f64 = 0.9; // share of the places held before parked messages are pushed back

impl DeliveryPolicy {
    pub(super) fn submitted(&mut self, id: MessageId, submission: Submission) {
        let Submission { class, tenant, destination, key, deadline, restored } = submission;
        let Some(row) = self.settings.classes.get(class.0 as usize) else { return };
        // A tenant that nobody knows has no share. What a restart finds was counted when it was handed in.
        let mut over_share =
            !self.settings.tenant_quotas.is_empty() && tenant.0 as usize >= self.settings.tenant_quotas.len();
        if let Some(tokens) = self.tenants.get_mut(tenant.0 as usize).filter(|_| !restored) {
            let quota = self.settings.tenant_quotas[tenant.0 as usize] / f64::from(self.settings.relay_count);
            tokens.refill(self.now, quota, quota * SHARE_BURST);
            over_share = tokens.left < 1.0;
            tokens.left = (tokens.left - 1.0).max(0.0);
        }
        let key = key.filter(|_| row.in_order);
        key.into_iter().for_each(|k| self.lines.entry(k).or_default().queue.push_back(id));
        let target = (deadline + row.latency_objective).saturating_sub(row.deadline);
        let fresh = Msg { class, destination, key, target, deadline, over_share, restored, ..Msg::default() };
        self.msgs.insert(id, fresh);
    }

    /// Guards against parked messages that keep live traffic out: those of least worth are pushed back.
    pub(super) fn make_room(&mut self, out: &mut dyn Actions) {
        let most = (self.settings.max_queued as f64 * HELD_MOST).max(1.0) as usize;
        let held = self.msgs.values().filter(|m| !m.ended).count();
        if held <= most {
            return;
        }
        // Rule 2: a pushback only where coming again is safe.
        let again = |m: &Msg| m.may_have_run.is_none() || self.row(m).idempotency.is_repeatable_anywhere();
        let mut idle: Vec<(f64, MessageId)> = (self.msgs.iter())
            .filter(|(_, m)| !m.ended && m.out.is_none() && again(m) && !m.untried())
            .map(|(id, m)| (self.worth(m), *id))
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in idle.into_iter().take(held - most) {
            let at_once = out.reject(id, self.settings.max_retry_after);
            self.end(id, at_once);
        }
    }

    pub(super) fn worth(&self, msg: &Msg) -> f64 {
        let row = self.row(msg);
        let late = self.now.saturating_sub(msg.target).as_secs_f64();
        let span = row.deadline.saturating_sub(row.latency_objective).as_secs_f64().max(0.001);
        let left = match self.settings.decay {
            Decay::Linear => 1.0 - (1.0 - row.late_weight_share) * (late / span).min(1.0),
            Decay::Halving => (0.5f64)
                .powf(late / row.latency_objective.as_secs_f64().max(0.001))
                .max(row.late_weight_share),
        };
        row.priority_weight * left * if msg.over_share { OVER_SHARE } else { 1.0 }
    }
}
