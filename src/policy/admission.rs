//! Admission: tenant quotas, priority weights, and load shedding when the relay holds too many messages.

use crate::interface::*;
use crate::state::{Message, State};

/// Factor on the priority weight of a message over its tenant's quota: most other messages are sent first.
const OVER_QUOTA_WEIGHT_FACTOR: f64 = 0.05;
/// Burst that a tenant's quota allows, in seconds of the quota: traffic is uneven within seconds.
pub(super) const QUOTA_BURST_SECONDS: f64 = 2.0;
/// Share of `max_queued` above which queued messages are rejected, so that new submissions still find room.
const LOAD_SHEDDING_THRESHOLD: f64 = 0.9;

pub(super) fn add_message(state: &mut State, id: MessageId, submission: Submission) {
    let Some(class) = state.settings.classes.get(submission.class.0 as usize) else { return };
    let mut message = Message::new(&submission, class);
    message.over_quota = is_over_quota(state, submission.tenant, submission.restored);
    state.messages.insert(id, message);
}

/// Counts a message against its tenant's quota and returns whether the quota is exceeded, as it always is
/// for an unknown tenant if there are quotas. Restored messages were counted at their submission.
fn is_over_quota(state: &mut State, tenant: TenantId, is_restored: bool) -> bool {
    let has_quotas = !state.tenant_budgets.is_empty();
    let Some(budget) = state.tenant_budgets.get_mut(tenant.0 as usize) else { return has_quotas };
    if is_restored {
        return false;
    }
    let quota = state.settings.tenant_quotas[tenant.0 as usize] / f64::from(state.settings.relay_count);
    budget.refill(state.now, quota, quota * QUOTA_BURST_SECONDS);
    let is_over = budget.tokens < 1.0;
    budget.tokens = (budget.tokens - 1.0).max(0.0);
    is_over
}

/// Returns the weight of a message if it is delivered now.
pub(super) fn weight(state: &State, message: &Message) -> f64 {
    let weight = message.remaining_weight(state.class_of(message), state.settings.decay, state.now);
    weight * if message.over_quota { OVER_QUOTA_WEIGHT_FACTOR } else { 1.0 }
}

/// Rejects the queued messages of the lowest weight, so that there is room for new submissions.
pub(super) fn shed_load(state: &mut State, out: &mut dyn Actions) {
    let max_held = (state.settings.max_queued as f64 * LOAD_SHEDDING_THRESHOLD).max(1.0) as usize;
    let held = state.messages.open().count();
    if held <= max_held {
        return;
    }
    let queued = state.messages.open().filter(|(_, message)| may_reject(state, message));
    let mut queued: Vec<_> = queued.map(|(id, message)| (weight(state, message), id)).collect();
    queued.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (_, id) in queued.into_iter().take(held - max_held) {
        let is_acknowledged = out.reject(id, state.settings.max_retry_after);
        state.messages.end(id, is_acknowledged);
    }
}

/// Rule 2: a message is rejected only if the client can safely submit it again.
fn may_reject(state: &State, message: &Message) -> bool {
    let is_repeatable = state.class_of(message).idempotency.is_safe_to_repeat_at_any_endpoint();
    let may_be_resubmitted = message.first_possible_run.is_none() || is_repeatable;
    message.call.is_none() && may_be_resubmitted && !message.is_untried_since_restart()
}
