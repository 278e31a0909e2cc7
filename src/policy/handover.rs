//! Route state that is passed to the next process at an upgrade: `Retry-After`, open breakers, slow starts.

use super::circuit_breaker::FAILURE_THRESHOLD;
use crate::interface::{Actions, RouteSnapshot};
use crate::state::State;

/// Restores the routes of an earlier process of this relay: its `Retry-After` still applies (rule 6) and slow
/// starts continue (rule 4). Routes that are not listed yet are ignored.
pub(super) fn restore_routes(state: &mut State, snapshots: &[RouteSnapshot]) {
    state.routes.restore(snapshots, FAILURE_THRESHOLD, state.now);
}

/// Passes the route state for the next process to the host whenever it has changed.
pub(super) fn persist_routes(state: &mut State, out: &mut dyn Actions) {
    let slow_start_duration = state.settings.slow_start_duration;
    if let Some(snapshots) = state.routes.changed_snapshots(state.now, slow_start_duration) {
        out.persist_routes(snapshots);
    }
}
