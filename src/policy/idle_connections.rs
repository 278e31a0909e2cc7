//! Idle connections: decides when they are closed instead of reused.

use crate::interface::Actions;
use crate::state::State;
use std::time::Duration;

/// Time without use after which an endpoint's connections count as idle; calls in one burst reuse theirs.
pub(super) const IDLE_AFTER: Duration = Duration::from_secs(1);
/// Window, in seconds, for the results of calls on idle connections; long, as there are few such calls.
pub(crate) const IDLE_RESULT_WINDOW_SECONDS: usize = 30;
/// Failed calls on idle connections (reset, no response) that make them count as stale; one may be a restart.
const STALE_FAILURES_MIN: f64 = 2.0;
/// Share of failed calls on idle connections that makes them count as stale.
const STALE_FAILURE_SHARE: f64 = 0.15;
/// Number of relays above which their idle connections alone can fill an endpoint's connection table.
const CONNECTION_TABLE_RELAYS: u32 = 16;
/// Consecutive calls to a kind of destination that got a connection and show that its tables are not full.
const CONNECTED_CALLS_MIN: u32 = 50;

/// Closes idle connections that may be stale, and in a large fleet those that may fill connection tables.
/// The price is additional handshakes.
pub(super) fn close_idle_connections(state: &mut State, out: &mut dyn Actions) {
    let results = state.idle_results.totals(state.now);
    let are_stale = results.sum >= STALE_FAILURES_MIN && results.sum >= STALE_FAILURE_SHARE * results.count;
    let may_fill_table = state.settings.relay_count > CONNECTION_TABLE_RELAYS;
    for id in std::mem::take(&mut state.idle_review_queue) {
        let Some(endpoint) = state.endpoints.get_mut(id) else { continue };
        // Refused connections alone show a full table too late: relays that keep theirs are not refused.
        let connected = state.consecutive_connected_calls.get(&endpoint.kind).copied().unwrap_or(0);
        let fills_table = may_fill_table && connected < CONNECTED_CALLS_MIN;
        if endpoint.has_connections() && (are_stale || fills_table) {
            endpoint.last_used_at = Duration::ZERO;
            out.close_idle_connections(id);
        }
    }
}
