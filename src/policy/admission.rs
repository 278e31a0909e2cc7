//! Admission: tenants' quotas, priority weights, and whom to reject when the places for messages run out.

use crate::interface::*;
use crate::state::{Message, State};

/// What is left of the weight of a message over its tenant's quota: it goes where nobody else waits.
const OVER_QUOTA_WEIGHT: f64 = 0.05;
/// Seconds of the quota that may come at once: traffic is uneven within seconds.
pub(super) const QUOTA_BURST_SECONDS: f64 = 2.0;
/// Share of the places held from which messages are rejected: the rest keeps live traffic coming in.
const LOAD_SHED_ABOVE: f64 = 0.9;

pub(super) fn submitted(state: &mut State, id: MessageId, submission: Submission) {
    let Some(class) = state.settings.classes.get(submission.class.0 as usize) else { return };
    let mut message = Message::new(&submission, class);
    message.over_quota = is_over_quota(state, submission.tenant, submission.restored);
    state.messages.insert(id, message);
}

/// A tenant that nobody knows has no quota. What a restart finds was counted when it was submitted.
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

/// What a delivery now is worth beside other messages.
pub(super) fn weight(state: &State, message: &Message) -> f64 {
    let weight = message.remaining_weight(state.class_of(message), state.settings.decay, state.now);
    weight * if message.over_quota { OVER_QUOTA_WEIGHT } else { 1.0 }
}

/// Rejects queued messages of the least weight, so that they don't keep live traffic out.
pub(super) fn shed_load(state: &mut State, out: &mut dyn Actions) {
    let most = (state.settings.max_queued as f64 * LOAD_SHED_ABOVE).max(1.0) as usize;
    let held = state.messages.open().count();
    if held <= most {
        return;
    }
    let queued = state.messages.open().filter(|(_, message)| may_reject(state, message));
    let mut queued: Vec<_> = queued.map(|(id, message)| (weight(state, message), id)).collect();
    queued.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (_, id) in queued.into_iter().take(held - most) {
        let is_taken = out.reject(id, state.settings.max_retry_after);
        state.messages.end(id, is_taken);
    }
}

/// Rule 2: a message is rejected only where submitting it again is safe.
fn may_reject(state: &State, message: &Message) -> bool {
    let is_repeatable = state.class_of(message).idempotency.is_safe_to_repeat_at_any_endpoint();
    let may_come_again = message.first_possible_run.is_none() || is_repeatable;
    message.call.is_none() && may_come_again && !message.is_untried_since_restart()
}
