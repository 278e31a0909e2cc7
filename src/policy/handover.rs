//! What outlives a process of the relay at an upgrade: `Retry-After`, open breakers, slow starts, by route.

use super::circuit_breaker::FAILURE_THRESHOLD;
use crate::interface::{Actions, RouteSnapshot};
use crate::state::State;

/// What an earlier process of this relay left: its `Retry-After` binds here too (rule 6), and slow starts
/// go on (rule 4). Routes not on the list yet are passed over.
pub(super) fn routes_restored(state: &mut State, snapshots: &[RouteSnapshot]) {
    state.routes.restore(snapshots, FAILURE_THRESHOLD, state.now);
}

/// Tells the host all that must outlive this process, whenever that changed.
pub(super) fn persist_routes(state: &mut State, out: &mut dyn Actions) {
    let slow_start_duration = state.settings.slow_start_duration;
    if let Some(snapshots) = state.routes.changed_snapshots(state.now, slow_start_duration) {
        out.persist_routes(snapshots);
    }
}
